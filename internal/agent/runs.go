package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// answerRetention is how long a finished answer is kept without an acknowledgement.
	answerRetention = 2 * time.Minute
	// handOverRetention is how long the agent remembers that an evicted run had been handed over.
	// An entry trusts the reply that a request did not run only for claims that are younger.
	handOverRetention = messenger.HandOverRetention
	// refusalRetention is how long a refused run is kept; the tombstone of its id stays longer.
	refusalRetention = 10 * time.Second
	// tombstoneRetention is how long a cancelled id stays refused; work cannot arrive later than
	// that.
	tombstoneRetention = 2 * time.Minute
	// orphanTimeout is how long an idempotent run continues without a reader.
	orphanTimeout = 10 * time.Second
	// maxUnreadBytes bounds the unread part of one answer; the producer waits above it.
	maxUnreadBytes = 8 << 20
	// maxAnswerBytes bounds one answer, all of which is kept until it is acknowledged.
	maxAnswerBytes = 64 << 20
)

// runTableConfig configures a runTable. AnswerMemory bounds the size of the kept answers in bytes.
type runTableConfig struct {
	AnswerMemory int
}

// runShards is the number of shards, each with its own lock.
const runShards = 16

// runTable holds the runs of this agent and tombstones of the ids that must not start.
type runTable struct {
	cfg    runTableConfig
	shards [runShards]runShard
}

type runShard struct {
	mu         sync.Mutex
	runs       map[model.RequestID]*run
	tombstones map[model.RequestID]tombstone
}

// tombstone keeps a request id from starting. handedOver reports whether an evicted run of the id
// had been handed to the backend server.
type tombstone struct {
	createdAt  time.Time
	handedOver bool
}

func (t tombstone) isExpired(now time.Time) bool {
	if t.handedOver {
		return now.Sub(t.createdAt) > handOverRetention
	}
	return now.Sub(t.createdAt) > tombstoneRetention
}

func newRunTable(cfg runTableConfig) *runTable {
	t := &runTable{cfg: cfg}
	for i := range t.shards {
		t.shards[i].runs = map[model.RequestID]*run{}
		t.shards[i].tombstones = map[model.RequestID]tombstone{}
	}
	return t
}

func (t *runTable) shard(id model.RequestID) *runShard {
	return &t.shards[xxhash.Sum64String(string(id))%runShards]
}

// findOrCreate returns the run of the request and whether it is new, in which case the caller must
// execute it. A nil run means that a tombstone forbids the id.
func (t *runTable) findOrCreate(ctx context.Context, w messenger.Work, now time.Time) (r *run, created bool) {
	s := t.shard(w.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.tombstones[w.Request]; ok {
		return nil, false
	}
	if r, ok := s.runs[w.Request]; ok {
		return r, false
	}
	r = newRun(ctx, w, now)
	s.runs[w.Request] = r
	return r, true
}

func (t *runTable) find(id model.RequestID) (*run, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[id]
	return r, ok
}

// cancel sets a tombstone, cancels the run of the id and returns whether the request may have run.
func (t *runTable) cancel(id model.RequestID, now time.Time) model.Run {
	s := t.shard(id)
	s.mu.Lock()
	r, ok := s.runs[id]
	if !ok && s.tombstones[id].handedOver {
		s.mu.Unlock()
		return model.RunUnknown
	}
	s.tombstones[id] = tombstone{createdAt: now}
	s.mu.Unlock()
	if !ok {
		return model.RunNo
	}
	return r.tryCancel(now)
}

func (t *runTable) acknowledge(id model.RequestID) {
	if r, ok := t.find(id); ok {
		r.mu.Lock()
		r.acknowledged = true
		r.mu.Unlock()
	}
}

// forEach calls fn for each run of a snapshot, without holding a shard lock.
func (t *runTable) forEach(fn func(*run)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		runs := make([]*run, 0, len(s.runs))
		for _, r := range s.runs {
			runs = append(runs, r)
		}
		s.mu.Unlock()
		for _, r := range runs {
			fn(r)
		}
	}
}

// isIdle reports whether all runs are done, have no reader and have their usage acknowledged or
// recorded.
func (t *runTable) isIdle() bool {
	isIdle := true
	t.forEach(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.stage != stageDone || (r.readers > 0 || r.usage != nil && !r.acknowledged && !r.usageRecorded) {
			isIdle = false
		}
	})
	return isIdle
}

// sweep evicts refused, acknowledged and old runs, deletes expired tombstones and cancels
// idempotent runs without a reader. Above AnswerMemory it also evicts other finished answers.
func (t *runTable) sweep(now time.Time) {
	keptBytes := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, stone := range s.tombstones {
			if stone.isExpired(now) {
				delete(s.tombstones, id)
			}
		}
		for id, r := range s.runs {
			r.mu.Lock()
			if r.isEvictable(now, keptBytes > t.cfg.AnswerMemory) {
				delete(s.runs, id)
				s.tombstones[id] = tombstone{createdAt: now, handedOver: r.wasHandedOver}
			} else {
				keptBytes += r.totalBytes()
			}
			if r.isOrphaned(now) {
				r.cancel()
			}
			r.mu.Unlock()
		}
		s.mu.Unlock()
	}
}

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
	// keptFor is how long an answer waits for its acknowledgement.
	keptFor = 2 * time.Minute
	// ranFor is how long the agent remembers that a forgotten run had been handed over. An
	// entry trusts a "no" only for claims that are younger.
	ranFor = messenger.ClaimRetention
	// refusedFor is how long a refused run is kept; its id stays refused for longer.
	refusedFor = 10 * time.Second
	// tombstoneFor is how long a cancelled id stays refused; work cannot be late by more.
	tombstoneFor = 2 * time.Minute
	// orphanAfter is how long an idempotent run goes on without a reader.
	orphanAfter = 10 * time.Second
	// maxRunBytes bounds the unread part of one answer; a full run waits for its reader.
	maxRunBytes = 8 << 20
)

// runTableConfig configures a runTable; Keep bounds the bytes of finished answers.
type runTableConfig struct {
	Keep int
}

// runShards spreads the table over locks.
const runShards = 16

// runTable holds the requests of this agent and the ids that must not start.
type runTable struct {
	cfg    runTableConfig
	shards [runShards]runShard
}

type runShard struct {
	mu         sync.Mutex
	runs       map[model.RequestID]*run
	tombstones map[model.RequestID]tombstone
}

// tombstone keeps an id from starting. Ran tells that a forgotten run of it was handed over.
type tombstone struct {
	at  time.Time
	ran bool
}

func (t tombstone) expired(now time.Time) bool {
	if t.ran {
		return now.Sub(t.at) > ranFor
	}
	return now.Sub(t.at) > tombstoneFor
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

// begin returns the run of an id; fresh tells the caller to execute it. A nil run means
// that a tombstone stands.
func (t *runTable) begin(ctx context.Context, w messenger.Work, now time.Time) (r *run, fresh bool) {
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

// cancel sets a tombstone and tells whether the request had been handed over.
func (t *runTable) cancel(id model.RequestID, now time.Time) model.Run {
	s := t.shard(id)
	s.mu.Lock()
	r, ok := s.runs[id]
	if !ok && s.tombstones[id].ran {
		s.mu.Unlock()
		return model.RunUnknown
	}
	s.tombstones[id] = tombstone{at: now}
	s.mu.Unlock()
	if !ok {
		return model.RunNo
	}
	return r.cancelled(now)
}

func (t *runTable) acknowledge(id model.RequestID) {
	if r, ok := t.find(id); ok {
		r.mu.Lock()
		r.acked = true
		r.mu.Unlock()
	}
}

// each calls fn for a snapshot of all runs.
func (t *runTable) each(fn func(*run)) {
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

// idle reports whether nothing runs and no finished answer waits for its reader.
func (t *runTable) idle() bool {
	idle := true
	t.each(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.stage != stageDone || (r.readers > 0 || r.usage != nil && !r.acked && !r.billed) {
			idle = false
		}
	})
	return idle
}

// sweep forgets refused, acknowledged and old runs and old tombstones, and ends idempotent runs
// that nobody reads. Finished answers over the byte bound go, the oldest first.
func (t *runTable) sweep(now time.Time) {
	kept := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, stone := range s.tombstones {
			if stone.expired(now) {
				delete(s.tombstones, id)
			}
		}
		for id, r := range s.runs {
			r.mu.Lock()
			if r.forgettable(now, kept > t.cfg.Keep) {
				delete(s.runs, id)
				s.tombstones[id] = tombstone{at: now, ran: r.handed}
			} else {
				kept += r.size()
			}
			if r.orphaned(now) {
				r.cancel()
			}
			r.mu.Unlock()
		}
		s.mu.Unlock()
	}
}

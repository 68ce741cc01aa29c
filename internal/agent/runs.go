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
	// tombstoneFor is how long a cancelled id stays refused; work cannot be late by more.
	tombstoneFor = 10 * time.Minute
	// orphanAfter is how long an idempotent run goes on without a reader.
	orphanAfter = 10 * time.Second
	// maxRunBytes bounds the unread part of one answer; a full run waits for its reader.
	maxRunBytes = 8 << 20
)

// stage is how far a run has come.
type stage int

const (
	stageQueued stage = iota
	stageHanded
	stageDone
)

// run is one request at this agent with the frames of its answer.
type run struct {
	work       messenger.Work
	mu         sync.Mutex
	stage      stage
	frames     []messenger.Frame
	bytes      int
	read       int
	digest     *xxhash.Digest
	changed    chan struct{}
	readers    int
	lastGone   time.Time
	ended      time.Time
	acked      bool
	billed     bool
	queuedBill bool
	usage      *model.Usage
	cancel     context.CancelFunc
	ctx        context.Context
}

func newRun(ctx context.Context, w messenger.Work, now time.Time) *run {
	ctx, cancel := context.WithTimeout(ctx, w.Budget)
	return &run{work: w, digest: xxhash.New(), changed: make(chan struct{}), ctx: ctx, cancel: cancel, lastGone: now}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// hand marks the point after which the request may have run; false means that it was
// cancelled before.
func (r *run) hand() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stage != stageQueued {
		return false
	}
	r.stage = stageHanded
	return true
}

// push adds a frame; it waits while the unread part is too large.
func (r *run) push(f messenger.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.bytes > maxRunBytes && f.Kind == messenger.FramePart {
		wait := r.changed
		r.mu.Unlock()
		select {
		case <-r.ctx.Done():
			r.mu.Lock()
			return r.ctx.Err()
		case <-wait:
		}
		r.mu.Lock()
	}
	r.add(f)
	return nil
}

func (r *run) add(f messenger.Frame) {
	f.Request = r.work.Request
	f.Seq = len(r.frames)
	r.digest.Write(f.Data)
	r.frames = append(r.frames, f)
	r.bytes += len(f.Data)
	r.notify()
}

// finish adds the last frame: the end of a whole answer, or a refusal.
func (r *run) finish(f messenger.Frame, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stage == stageDone {
		return
	}
	if f.End != nil {
		f.End.Frames = len(r.frames)
		f.End.Digest = r.digest.Sum64()
	}
	r.add(f)
	r.stage = stageDone
	r.ended = now
	r.cancel()
}

// cancelled ends the run on an entry's word and tells whether it had been handed over.
func (r *run) cancelled(now time.Time) model.Run {
	r.mu.Lock()
	handed := r.stage == stageHanded
	done := r.stage == stageDone
	idempotent := r.work.Idempotent
	ranAtAll := handed || done && r.usage != nil
	r.mu.Unlock()
	switch {
	case handed && idempotent:
		r.cancel()
		return model.RunUnknown
	case handed:
		// A call that must not be repeated is not torn off in the middle either.
		return model.RunUnknown
	case done && ranAtAll:
		return model.RunYes
	case done:
		return r.refusedRun()
	}
	r.finish(refusalFrame(model.Refuse(model.KindCancelled, "the request was cancelled before it ran: send it again if it is still wanted")), now)
	return model.RunNo
}

// refusedRun is the run state of the refusal that ended the run.
func (r *run) refusedRun() model.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := r.frames[len(r.frames)-1]; last.Refusal != nil {
		return last.Refusal.Run
	}
	return model.RunYes
}

func refusalFrame(refusal *model.Refusal) messenger.Frame {
	return messenger.Frame{Kind: messenger.FrameRefuse, Refusal: refusal}
}

// follow calls send with each frame from a number on until the last one.
func (r *run) follow(ctx context.Context, from int, send func(messenger.Frame) error) error {
	r.mu.Lock()
	r.readers++
	r.mu.Unlock()
	defer r.unfollow()
	for {
		r.mu.Lock()
		frames := r.frames[min(from, len(r.frames)):]
		done, wait := r.stage == stageDone, r.changed
		r.mu.Unlock()
		for _, f := range frames {
			if err := send(f); err != nil {
				return err
			}
			from++
			r.consumed(from)
		}
		if len(frames) > 0 {
			continue
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wait:
		}
	}
}

// consumed notes that frames were read, which lets a waiting producer go on.
func (r *run) consumed(upto int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	full := r.bytes > maxRunBytes
	for r.read < upto {
		r.bytes -= len(r.frames[r.read].Data)
		r.read++
	}
	if full && r.bytes <= maxRunBytes {
		r.notify()
	}
}

func (r *run) unfollow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.lastGone = time.Now()
}

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
	tombstones map[model.RequestID]time.Time
}

func newRunTable(cfg runTableConfig) *runTable {
	t := &runTable{cfg: cfg}
	for i := range t.shards {
		t.shards[i].runs = map[model.RequestID]*run{}
		t.shards[i].tombstones = map[model.RequestID]time.Time{}
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
	s.tombstones[id] = now
	r, ok := s.runs[id]
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

// sweep forgets acknowledged and old runs and old tombstones, and ends idempotent runs
// that nobody reads. Finished answers over the byte bound go, the oldest first.
func (t *runTable) sweep(now time.Time) {
	kept := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, at := range s.tombstones {
			if now.Sub(at) > tombstoneFor {
				delete(s.tombstones, id)
			}
		}
		for id, r := range s.runs {
			r.mu.Lock()
			if r.forgettable(now, kept > t.cfg.Keep) {
				delete(s.runs, id)
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

func (r *run) size() int {
	n := 0
	for _, f := range r.frames {
		n += len(f.Data)
	}
	return n
}

func (r *run) forgettable(now time.Time, tight bool) bool {
	if r.stage != stageDone || r.readers > 0 || r.usage != nil && !r.acked && !r.billed {
		return false
	}
	return r.acked || tight || now.Sub(r.ended) > keptFor
}

func (r *run) orphaned(now time.Time) bool {
	return r.stage == stageHanded && r.work.Idempotent && r.readers == 0 && now.Sub(r.lastGone) > orphanAfter
}

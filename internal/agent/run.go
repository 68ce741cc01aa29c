package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
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
	handed     bool
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
	r.stage, r.handed = stageHanded, true
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
	r.end(f, now)
}

func (r *run) end(f messenger.Frame, now time.Time) {
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

// cancelled ends the run on an entry's word and tells whether it had been handed over. It
// decides and ends under one lock, so that no hand-over comes between.
func (r *run) cancelled(now time.Time) model.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.stage {
	case stageHanded:
		// A call that must not be repeated is not torn off in the middle either.
		if r.work.Idempotent {
			r.cancel()
		}
		return model.RunUnknown
	case stageDone:
		if last := r.frames[len(r.frames)-1]; last.Refusal != nil {
			return last.Refusal.Run
		}
		return model.RunYes
	}
	r.end(refusalFrame(model.Refuse(model.KindCancelled, "the request was cancelled before it ran: send it again if it is still wanted")), now)
	return model.RunNo
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
	if r.frames[len(r.frames)-1].Refusal != nil {
		return now.Sub(r.ended) > refusedFor
	}
	return r.acked || tight || now.Sub(r.ended) > keptFor
}

func (r *run) orphaned(now time.Time) bool {
	return r.stage == stageHanded && r.work.Idempotent && r.readers == 0 && now.Sub(r.lastGone) > orphanAfter
}

package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// stage is a run's place in its life cycle.
type stage int

const (
	stageQueued stage = iota
	stageHandedOver
	stageDone
)

// run is one request at this agent together with the frames of its answer.
type run struct {
	work           messenger.Work
	mu             sync.Mutex
	stage          stage
	frames         []messenger.Frame
	answerBytes    int
	unreadBytes    int
	readFrames     int
	digest         *xxhash.Digest
	changed        chan struct{}
	readers        int
	lastReaderLeft time.Time
	endedAt        time.Time
	wasHandedOver  bool
	acknowledged   bool
	usageRecorded  bool
	usageQueued    bool
	usage          *model.Usage
	cancel         context.CancelFunc
	ctx            context.Context
}

func newRun(ctx context.Context, w messenger.Work, now time.Time) *run {
	ctx, cancel := context.WithTimeout(ctx, w.Budget)
	return &run{work: w, digest: xxhash.New(), changed: make(chan struct{}), ctx: ctx, cancel: cancel, lastReaderLeft: now}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// handOver marks the run as handed to the backend server; from then on the request may have run.
// It returns false if the run was cancelled before.
func (r *run) handOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stage != stageQueued {
		return false
	}
	r.stage, r.wasHandedOver = stageHandedOver, true
	return true
}

// push appends a frame. A part frame waits while the answer has more than maxUnreadBytes unread. An answer of more than
// maxAnswerBytes is an error.
func (r *run) push(f messenger.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answerBytes+len(f.Data) > maxAnswerBytes {
		return errAnswerTooLong
	}
	for r.unreadBytes > maxUnreadBytes && f.Kind == messenger.FramePart {
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
	r.appendFrame(f)
	return nil
}

func (r *run) appendFrame(f messenger.Frame) {
	f.Request = r.work.Request
	f.Seq = len(r.frames)
	r.digest.Write(f.Data)
	r.frames = append(r.frames, f)
	r.unreadBytes += len(f.Data)
	r.answerBytes += len(f.Data)
	r.notify()
}

// finish appends the last frame, which is the end of a complete answer or a refusal.
func (r *run) finish(f messenger.Frame, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLocked(f, now)
}

func (r *run) finishLocked(f messenger.Frame, now time.Time) {
	if r.stage == stageDone {
		return
	}
	if f.End != nil {
		f.End.Frames = len(r.frames)
		f.End.Digest = r.digest.Sum64()
	}
	r.appendFrame(f)
	r.stage = stageDone
	r.endedAt = now
	r.cancel()
}

// tryCancel cancels the run at the request of an entry and returns whether the request may have
// run. It checks the stage and ends the run under one lock, so that no hand-over happens in
// between.
func (r *run) tryCancel(now time.Time) model.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.stage {
	case stageHandedOver:
		// A call that must not be repeated must not be interrupted either.
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
	r.finishLocked(refusalFrame(model.Refuse(model.KindCancelled, "the request was cancelled before it ran: send it again if it is still wanted")), now)
	return model.RunNo
}

func refusalFrame(refusal *model.Refusal) messenger.Frame {
	return messenger.Frame{Kind: messenger.FrameRefuse, Refusal: refusal}
}

// streamFrames calls send with each frame, starting at number from, until the last one is sent.
func (r *run) streamFrames(ctx context.Context, from int, send func(messenger.Frame) error) error {
	r.mu.Lock()
	r.readers++
	r.mu.Unlock()
	defer r.removeReader()
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
			r.markRead(from)
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

// markRead marks the frames before upto as read, which wakes a waiting push.
func (r *run) markRead(upto int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	full := r.unreadBytes > maxUnreadBytes
	for r.readFrames < upto {
		r.unreadBytes -= len(r.frames[r.readFrames].Data)
		r.readFrames++
	}
	if full && r.unreadBytes <= maxUnreadBytes {
		r.notify()
	}
}

func (r *run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.lastReaderLeft = time.Now()
}

func (r *run) totalBytes() int {
	total := 0
	for _, f := range r.frames {
		total += len(f.Data)
	}
	return total
}

func (r *run) isEvictable(now time.Time, overLimit bool) bool {
	if r.stage != stageDone || r.readers > 0 || r.usage != nil && !r.acknowledged && !r.usageRecorded {
		return false
	}
	if r.frames[len(r.frames)-1].Refusal != nil {
		return now.Sub(r.endedAt) > refusalRetention
	}
	return r.acknowledged || overLimit || now.Sub(r.endedAt) > answerRetention
}

func (r *run) isOrphaned(now time.Time) bool {
	return r.stage == stageHandedOver && r.work.Idempotent && r.readers == 0 && now.Sub(r.lastReaderLeft) > orphanTimeout
}

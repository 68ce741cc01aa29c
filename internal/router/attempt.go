package router

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"strconv"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	maxAttempts = 3
	resumeTries = 6
	resumePause = 100 * time.Millisecond
)

// step is one run of a request on one version; a cascade has two.
type step struct {
	id      model.RequestID
	version model.VersionID
	pinned  bool
	bill    model.RecordKey
	noWait  bool
}

// outcome is a whole answer's end and where it ran.
type outcome struct {
	end  *messenger.End
	peer *peer
	addr string
	id   model.RequestID
}

// target is the agent chosen for an attempt, in the life that will receive it.
type target struct {
	peer     *peer
	instance model.Instance
	boot     model.BootID
}

// tried is what one step has learnt of the agents: those that refused it, and those that
// only had no free slot. After enough of these the request waits in a queue.
type tried struct {
	refused map[model.InstanceID]string
	full    map[model.InstanceID]string
	// exhausted tells that all agents were asked for a free slot.
	exhausted bool
}

func newTried() *tried {
	return &tried{refused: map[model.InstanceID]string{}, full: map[model.InstanceID]string{}}
}

func (t *tried) waits() bool { return t.exhausted || len(t.full) >= picker.MaxProbes }

func (t *tried) excluded() map[model.InstanceID]string {
	out := maps.Clone(t.refused)
	if !t.waits() {
		maps.Copy(out, t.full)
	}
	return out
}

// pick chooses an agent and records why. When all agents that are left are full, the
// request is to wait at one of them.
func (e *Entry) pick(c *call, version model.VersionID, t *tried, now time.Time) (target, *model.Refusal) {
	in := picker.Input{
		Version:      version,
		Self:         e.cfg.Self.Place,
		Affinity:     c.affinityKey(),
		LastInstance: c.hint,
		Excluded:     t.excluded(),
		OtherRegion:  len(t.full) >= picker.SameRegionProbes,
		ShortestWait: t.waits(),
		Draws:        dice(),
		Now:          now,
	}
	in.Candidates = e.fleet.candidates(c.service, in.Excluded, now)
	choice := picker.Nearest{}.Decide(in)
	if !choice.Found && len(t.full) > 0 && !t.waits() {
		t.exhausted = true
		return e.pick(c, version, t, now)
	}
	c.note(explainer.Step{What: "backend server " + string(choice.Instance.Instance), Why: choice.Why, Alternatives: choice.Alternatives})
	p, ok := e.fleet.peer(choice.Instance.Instance)
	if !choice.Found || !ok {
		return target{}, model.Refuse(model.KindNoBackend, "no backend server can take the request now: try again").WithRetry(time.Second)
	}
	instance, boot := p.begin()
	return target{peer: p, instance: instance, boot: boot}, nil
}

// attempts runs a step, elsewhere again as long as that is safe and within the budget.
func (e *Entry) attempts(c *call, s step, out sink) (*outcome, *model.Refusal) {
	known := newTried()
	e.budget.CountFirstAttempt()
	var ran *model.Refusal
	for n, sent := 1, 1; ; sent++ {
		t, refusal := e.pick(c, s.version, known, time.Now())
		if refusal != nil {
			return nil, worse(ran, refusal)
		}
		s.id = model.RequestID(string(s.bill) + "." + string(s.version) + "." + strconv.Itoa(sent))
		s.noWait = !known.waits() && c.class.Priority != model.PriorityBatch
		res, refusal := e.runOn(c, s, t, out)
		if refusal == nil {
			return res, nil
		}
		c.note(explainer.Step{What: "refused by " + string(t.instance.Instance), Why: refusal.Error() + " (run: " + string(refusal.Run) + ")"})
		if refusal.Kind == model.KindBusy {
			known.full[t.instance.Instance] = "has no free slot"
			continue
		}
		ran = worse(ran, refusal)
		if !e.mayRetry(c, refusal, out, n) {
			return nil, ran
		}
		n++
		known.refused[t.instance.Instance] = "refused: " + string(refusal.Kind)
	}
}

// worse returns the refusal to tell the caller: once an attempt may have run, no later
// attempt's "not run" is true of the request.
func worse(earlier, later *model.Refusal) *model.Refusal {
	if earlier == nil || earlier.Run == model.RunNo {
		return later
	}
	if later.Run == model.RunNo || earlier.Run == model.RunYes {
		return earlier
	}
	return later
}

// mayRetry allows another attempt only if the request did not run, or may run twice, and
// the caller has seen nothing.
func (e *Entry) mayRetry(c *call, r *model.Refusal, out sink, n int) bool {
	if n >= maxAttempts || out.touched() || c.ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return false
	}
	switch r.Kind {
	case model.KindDeadline, model.KindQuarantined, model.KindTooLarge, model.KindBadRequest, model.KindWithdrawn:
		return false
	}
	if r.Run != model.RunNo && !c.idempotent {
		return false
	}
	return isRefusedCheaply(r) || e.budget.TakeRetry()
}

// isRefusedCheaply reports whether an agent refused before its backend server had any work:
// trying another one then adds no load that the budget must bound.
func isRefusedCheaply(r *model.Refusal) bool {
	if r.Run != model.RunNo {
		return false
	}
	switch r.Kind {
	case model.KindLeaving, model.KindNoBackend, model.KindStale:
		return true
	}
	return false
}

// runOn runs a step on one agent and follows its answer across cuts.
func (e *Entry) runOn(c *call, s step, t target, out sink) (*outcome, *model.Refusal) {
	c.served = t.instance.Instance
	end, refusal, load := e.follow(c, s, t, out)
	if end != nil {
		load = end.Load
	}
	t.peer.end(refusal != nil && blames(refusal), load, time.Now())
	if refusal != nil && refusal.Kind == model.KindCancelled {
		// Nobody waits for the rest of the answer.
		e.settle(c, s, t)
	}
	if refusal != nil {
		c.suspect = c.suspect || refusal.Kind == model.KindBackendFailed
		return nil, refusal
	}
	return &outcome{end: end, peer: t.peer, addr: t.instance.Work, id: s.id}, nil
}

// blames reports whether a refusal speaks against the backend server.
func blames(r *model.Refusal) bool {
	switch r.Kind {
	case model.KindBackendFailed, model.KindBroken, model.KindNoBackend:
		return true
	}
	return false
}

func (e *Entry) follow(c *call, s step, t target, out sink) (*messenger.End, *model.Refusal, *model.Load) {
	work, err := c.work(s, t)
	if err != nil {
		return nil, model.Refuse(model.KindInternal, "encode the request: %v", err), nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	asm := messenger.NewAssembly(s.id)
	reader, err := e.cfg.Work.Start(ctx, t.instance.Work, work)
	for tries := 0; ; tries++ {
		if err == nil {
			var end *messenger.End
			var refusal *model.Refusal
			var load *model.Load
			before := asm.Next()
			end, refusal, load, err = e.receive(reader, asm, out)
			reader.Close()
			if end != nil || refusal != nil {
				return end, refusal, load
			}
			if asm.Next() > before {
				tries = 0
			}
		}
		if isDial(err) && tries == 0 {
			return nil, model.Refuse(model.KindNoBackend, "the agent cannot be reached: another one takes the request"), nil
		}
		if c.ctx.Err() != nil || tries >= resumeTries || errors.Is(err, messenger.ErrNotKept) {
			return nil, e.settle(c, s, t), nil
		}
		pauser.Pause(c.ctx, resumePause<<min(tries, 4))
		in := messenger.ResumeRequest{Request: s.id, From: asm.Next(), Boot: t.boot}
		reader, err = e.cfg.Work.Resume(ctx, t.instance.Work, in)
	}
}

func (c *call) work(s step, t target) (messenger.Work, error) {
	body, err := c.bodyFor(s.version)
	return messenger.Work{
		Request:      s.id,
		Boot:         t.boot,
		Bill:         s.bill,
		Organisation: c.org().Organisation,
		Service:      c.service,
		Version:      s.version,
		Pinned:       s.pinned,
		Revision:     c.access.Service.Revision,
		Class:        c.class.Class,
		Priority:     c.class.Priority,
		Budget:       time.Until(c.deadline),
		Idempotent:   c.idempotent,
		Fingerprint:  c.fingerprint,
		Suspect:      c.suspect,
		NoWait:       s.noWait,
		Method:       c.method,
		Path:         c.path,
		Type:         c.contentType,
		Stream:       c.stream,
		Body:         body,
	}, err
}

// receive passes on the frames of one connection until the answer ends or the
// connection does.
func (e *Entry) receive(reader *messenger.FrameReader, asm *messenger.Assembly, out sink) (*messenger.End, *model.Refusal, *model.Load, error) {
	for {
		f, err := reader.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, nil, nil, err
		}
		fresh, err := asm.Accept(f)
		if err != nil {
			return nil, asRefusal(err), nil, nil
		}
		if !fresh {
			continue
		}
		switch f.Kind {
		case messenger.FrameHead:
			out.head(f.Status, f.Type)
		case messenger.FramePart:
			if err := out.part(f.Data); err != nil {
				return nil, asRefusal(err), nil, nil
			}
		case messenger.FrameRefuse:
			return nil, f.Refusal, f.Load, nil
		case messenger.FrameEnd:
			return f.End, nil, nil, nil
		}
	}
}

func asRefusal(err error) *model.Refusal {
	var r *model.Refusal
	if errors.As(err, &r) {
		return r
	}
	return model.Refuse(model.KindCancelled, "the caller left before the answer ended").WithRun(model.RunYes)
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// settle gives up on an answer: it forbids the request at the agent and says truly whether
// it may have run.
func (e *Entry) settle(c *call, s step, t target) *model.Refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), 2*time.Second)
	defer cancel()
	run, err := e.cfg.Work.Cancel(ctx, t.instance.Work, messenger.CancelRequest{Request: s.id, Boot: t.boot})
	if err != nil {
		run = model.RunUnknown
	}
	if time.Now().After(c.deadline) {
		return model.Refuse(model.KindDeadline, "the deadline passed before the answer: allow more time").WithRun(run)
	}
	return model.Refuse(model.KindBroken, "the connection to the agent broke: send the request again if it may run twice").WithRun(run).WithRetry(time.Second)
}

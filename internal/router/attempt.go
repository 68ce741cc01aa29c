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
	maxAttempts     = 3
	maxResumes      = 6
	resumeBaseDelay = 100 * time.Millisecond
)

// step is the run of a request on one model version; a cascade has up to two.
type step struct {
	id       model.RequestID
	version  model.VersionID
	pinned   bool
	usageKey model.RecordKey
	noWait   bool
}

// stepResult holds the end frame of a complete answer and the agent that gave it.
type stepResult struct {
	end  *messenger.End
	peer *peer
	addr string
	id   model.RequestID
}

// target is the agent chosen for an attempt; boot identifies the run of the agent's process that
// may accept it.
type target struct {
	peer     *peer
	instance model.Instance
	boot     model.BootID
}

// triedAgents records, with the reason, the agents that refused a step and those that had no
// free slot. After enough of the latter the request waits in an agent's queue.
type triedAgents struct {
	refused map[model.InstanceID]string
	full    map[model.InstanceID]string
	// allProbed reports whether every agent was asked for a free slot.
	allProbed bool
}

func newTriedAgents() *triedAgents {
	return &triedAgents{refused: map[model.InstanceID]string{}, full: map[model.InstanceID]string{}}
}

func (t *triedAgents) mustQueue() bool { return t.allProbed || len(t.full) >= picker.MaxProbes }

func (t *triedAgents) excluded() map[model.InstanceID]string {
	out := maps.Clone(t.refused)
	if !t.mustQueue() {
		maps.Copy(out, t.full)
	}
	return out
}

// pickAgent chooses an agent and records the reason. If all remaining agents are full, it
// chooses one in whose queue the request waits.
func (e *Entry) pickAgent(c *call, version model.VersionID, tried *triedAgents, now time.Time) (target, *model.Refusal) {
	in := picker.Input{
		Version:      version,
		Self:         e.cfg.Self.Place,
		Affinity:     c.affinityKey(),
		LastInstance: c.preferredAgent,
		Excluded:     tried.excluded(),
		OtherRegion:  len(tried.full) >= picker.SameRegionProbes,
		ShortestWait: tried.mustQueue(),
		Draws:        randomDraws(),
		Now:          now,
	}
	barred := ""
	bar := func(p model.Place) string {
		why := c.barsPlace(p)
		if why != "" {
			barred = why
		}
		return why
	}
	in.Candidates = e.fleet.candidates(c.service, in.Excluded, bar, now)
	choice := picker.Nearest{}.Decide(in)
	if !choice.Found && len(tried.full) > 0 && !tried.mustQueue() {
		tried.allProbed = true
		return e.pickAgent(c, version, tried, now)
	}
	c.explain(explainer.Step{Decision: "backend server " + string(choice.Instance.Instance), Reason: choice.Reason, Alternatives: choice.Alternatives})
	p, ok := e.fleet.peer(choice.Instance.Instance)
	if !choice.Found && barred != "" {
		return target{}, model.Refuse(model.KindNoBackend, "no backend server may run the request, of one %s: try again later, or change the document", barred).WithRetry(time.Second)
	}
	if !choice.Found || !ok {
		return target{}, model.Refuse(model.KindNoBackend, "no backend server can take the request now: try again").WithRetry(time.Second)
	}
	instance, boot := p.beginRequest()
	return target{peer: p, instance: instance, boot: boot}, nil
}

// barsPlace returns why the request must not run at a place, or the empty string if it may.
func (c *call) barsPlace(p model.Place) string {
	if why := c.document().BarsPlace(c.org().Organisation, p); why != "" {
		return why
	}
	if !c.regions.Allow(p.Region) {
		return "its region is not allowed for the route"
	}
	return ""
}

// runWithRetries runs a step and retries it on other agents while that is safe and the retry
// budget allows it.
func (e *Entry) runWithRetries(c *call, s step, out answerSink) (*stepResult, *model.Refusal) {
	tried := newTriedAgents()
	e.retryBudget.CountFirstAttempt()
	var toReport *model.Refusal
	// sent numbers every attempt; n leaves out those that an agent refused for lack of a free slot.
	for n, sent := 1, 1; ; sent++ {
		t, refusal := e.pickAgent(c, s.version, tried, time.Now())
		if refusal != nil {
			return nil, refusalToReport(toReport, refusal)
		}
		s.id = model.RequestID(string(s.usageKey) + "." + string(s.version) + "." + strconv.Itoa(sent))
		s.noWait = !tried.mustQueue() && c.class.Priority != model.PriorityBatch
		res, refusal := e.runOnAgent(c, s, t, out)
		if refusal == nil {
			return res, nil
		}
		c.explain(explainer.Step{Decision: "refused by " + string(t.instance.Instance), Reason: refusal.Error() + " (run: " + string(refusal.Run) + ")"})
		if refusal.Kind == model.KindBusy {
			tried.full[t.instance.Instance] = "has no free slot"
			continue
		}
		toReport = refusalToReport(toReport, refusal)
		if !e.mayRetry(c, refusal, out, n) {
			return nil, toReport
		}
		n++
		tried.refused[t.instance.Instance] = "refused: " + string(refusal.Kind)
	}
}

// refusalToReport returns the refusal that the caller gets. Once an attempt may have run, a
// later attempt's "not run" does not hold for the request as a whole.
func refusalToReport(earlier, later *model.Refusal) *model.Refusal {
	if earlier == nil || earlier.Run == model.RunNo {
		return later
	}
	if later.Run == model.RunNo || earlier.Run == model.RunYes {
		return earlier
	}
	return later
}

// mayRetry reports whether another attempt is allowed: the request did not run or may run twice,
// and nothing of the answer was sent to the caller.
func (e *Entry) mayRetry(c *call, r *model.Refusal, out answerSink, n int) bool {
	if n >= maxAttempts || out.hasWritten() || c.ctx.Err() != nil || !time.Now().Before(c.deadline) {
		return false
	}
	switch r.Kind {
	case model.KindDeadline, model.KindQuarantined, model.KindTooLarge, model.KindBadRequest, model.KindWithdrawn:
		return false
	}
	if r.Run != model.RunNo && !c.idempotent {
		return false
	}
	return isRefusedBeforeWork(r) || e.retryBudget.TakeRetry()
}

// isRefusedBeforeWork reports whether an agent refused before its backend server did any work. A
// retry then adds no load, so the retry budget need not bound it.
func isRefusedBeforeWork(r *model.Refusal) bool {
	if r.Run != model.RunNo {
		return false
	}
	switch r.Kind {
	case model.KindLeaving, model.KindNoBackend, model.KindStaleConfiguration:
		return true
	}
	return false
}

// runOnAgent runs a step on one agent and resumes its answer when the connection breaks.
func (e *Entry) runOnAgent(c *call, s step, t target, out answerSink) (*stepResult, *model.Refusal) {
	c.lastAgent = t.instance.Instance
	end, refusal, load := e.sendWithResume(c, s, t, out)
	if end != nil {
		load = end.Load
	}
	t.peer.endRequest(refusal != nil && isBreakerFailure(refusal), load, time.Now())
	if refusal != nil && refusal.Kind == model.KindCancelled {
		// The caller no longer waits for the answer.
		e.cancelAtAgent(c, s, t)
	}
	if refusal != nil {
		c.suspect = c.suspect || refusal.Kind == model.KindBackendFailed
		return nil, refusal
	}
	return &stepResult{end: end, peer: t.peer, addr: t.instance.Work, id: s.id}, nil
}

// isBreakerFailure reports whether a refusal counts as a failure for the agent's breaker.
func isBreakerFailure(r *model.Refusal) bool {
	switch r.Kind {
	case model.KindBackendFailed, model.KindBrokenAnswer, model.KindNoBackend:
		return true
	}
	return false
}

// sendWithResume sends a step to an agent and passes the answer on. After a broken connection it
// resumes the answer; it cancels the request when maxResumes attempts in a row bring no new
// frame, the caller leaves or the agent no longer keeps the answer.
func (e *Entry) sendWithResume(c *call, s step, t target, out answerSink) (*messenger.End, *model.Refusal, *model.Load) {
	work, err := c.work(s, t)
	if err != nil {
		return nil, model.Refuse(model.KindInternal, "encode the request: %v", err), nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	verifier := messenger.NewAnswerVerifier(s.id)
	reader, err := e.cfg.Work.Start(ctx, t.instance.Work, work)
	for tries := 0; ; tries++ {
		if err == nil {
			var end *messenger.End
			var refusal *model.Refusal
			var load *model.Load
			before := verifier.NextSeq()
			end, refusal, load, err = e.receiveFrames(reader, verifier, out)
			reader.Close()
			if end != nil || refusal != nil {
				return end, refusal, load
			}
			if verifier.NextSeq() > before {
				tries = 0
			}
		}
		if isDialError(err) && tries == 0 {
			return nil, model.Refuse(model.KindNoBackend, "the agent cannot be reached: another one takes the request"), nil
		}
		if c.ctx.Err() != nil || tries >= maxResumes || errors.Is(err, messenger.ErrAnswerNotKept) {
			return nil, e.cancelAtAgent(c, s, t), nil
		}
		pauser.Pause(c.ctx, resumeBaseDelay<<min(tries, 4))
		in := messenger.ResumeRequest{Request: s.id, From: verifier.NextSeq(), Boot: t.boot}
		reader, err = e.cfg.Work.Resume(ctx, t.instance.Work, in)
	}
}

func (c *call) work(s step, t target) (messenger.Work, error) {
	body, err := c.encodeBody(s.version)
	return messenger.Work{
		Request:      s.id,
		Boot:         t.boot,
		UsageKey:     s.usageKey,
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
		ContentType:  c.contentType,
		Stream:       c.stream,
		Body:         body,
	}, err
}

// receiveFrames passes the frames of one connection to the sink until the answer ends or the
// connection breaks.
func (e *Entry) receiveFrames(reader *messenger.FrameReader, verifier *messenger.AnswerVerifier, out answerSink) (*messenger.End, *model.Refusal, *model.Load, error) {
	for {
		f, err := reader.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, nil, nil, err
		}
		fresh, err := verifier.Accept(f)
		if err != nil {
			return nil, asRefusal(err), nil, nil
		}
		if !fresh {
			continue
		}
		switch f.Kind {
		case messenger.FrameHead:
			out.setHead(f.Status, f.ContentType)
		case messenger.FramePart:
			if err := out.addPart(f.Data); err != nil {
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

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// cancelAtAgent cancels the request at the agent, which refuses it if it arrives later, and
// returns a refusal that states whether it may have run.
func (e *Entry) cancelAtAgent(c *call, s step, t target) *model.Refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), 2*time.Second)
	defer cancel()
	run, err := e.cfg.Work.Cancel(ctx, t.instance.Work, messenger.CancelRequest{Request: s.id, Boot: t.boot})
	if err != nil {
		run = model.RunUnknown
	}
	if time.Now().After(c.deadline) {
		return model.Refuse(model.KindDeadline, "the deadline passed before the answer: allow more time").WithRun(run)
	}
	return model.Refuse(model.KindBrokenAnswer, "the connection to the agent broke: send the request again if it may run twice").WithRun(run).WithRetry(time.Second)
}

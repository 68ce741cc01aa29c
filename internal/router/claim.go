package router

import (
	"errors"
	"net/http"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// claimTries bounds the agents that one claim may name before giving up.
	claimTries = 3
	// attachPoll is how often a second caller of a running key looks for its answer.
	attachPoll = 250 * time.Millisecond
)

// runClaimed runs a request under its idempotency key: the ledger grants the key to one
// request, which names the agent before anything is handed over.
func (e *Entry) runClaimed(c *call, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	key := recorder.ClaimKey(c.service, c.org().Organisation, c.key)
	known := newTried()
	var last *model.Refusal
	var claimed *model.Claim
	for range claimTries {
		t, refusal := e.pick(c, d.Version, known, time.Now())
		if refusal != nil && claimed == nil {
			return e.lookBack(c, key, refusal, d, w)
		}
		if refusal != nil {
			return e.release(c, key, claimed, last, refusal)
		}
		claimed = t.claim(c)
		held, refusal := e.claim(c, key, claimed)
		if refusal != nil {
			t.peer.end(false, nil, time.Now())
			return refusal
		}
		if held != nil {
			t.peer.end(false, nil, time.Now())
			return e.attach(c, key, *held, d, w)
		}
		refusal, done := e.runUnderClaim(c, key, t, d.Version, w)
		if done || refusal == nil {
			return refusal
		}
		last = refusal
		known.refused[t.instance.Instance] = "refused: " + string(refusal.Kind)
	}
	return e.release(c, key, claimed, last, last)
}

// lookBack serves a key while no agent can take work: an earlier request may have it.
func (e *Entry) lookBack(c *call, key model.RecordKey, refusal *model.Refusal, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	held, err := e.cfg.Records.Lookup(c.ctx, key)
	if err != nil {
		return refusal.WithRun(model.RunUnknown)
	}
	if held.Granted {
		return e.attach(c, key, held, d, w)
	}
	return refusal
}

// claim asks the ledger for the key; held is what stands if another request has it.
func (e *Entry) claim(c *call, key model.RecordKey, claim *model.Claim) (held *model.Outcome, refusal *model.Refusal) {
	r := model.Record{Kind: model.RecordClaim, Key: key, Request: c.id, Claim: claim}
	o, err := e.cfg.Records.Commit(c.ctx, r)
	if err != nil {
		c.note(explainer.Step{What: "claim failed", Why: err.Error()})
		return nil, model.Refuse(model.KindUnavailable, "the idempotency key cannot be recorded now: try again with the same key").WithRetry(2 * time.Second)
	}
	if o.Granted {
		c.note(explainer.Step{What: "claim granted"})
		return nil, nil
	}
	return &o, nil
}

func (t target) claim(c *call) *model.Claim {
	return &model.Claim{Agent: t.instance.Instance, Work: t.instance.Work, Boot: t.boot, Fingerprint: c.fingerprint}
}

// claimStep is the one run id of a claim: the same on every entry that looks for it.
func claimStep(claimed model.RequestID, agent model.InstanceID) model.RequestID {
	return model.RequestID(string(claimed) + ".claim." + string(agent))
}

// runUnderClaim runs the request once. Done means that no other agent may be tried.
func (e *Entry) runUnderClaim(c *call, key model.RecordKey, t target, v model.VersionID, w http.ResponseWriter) (refusal *model.Refusal, done bool) {
	s := c.step(v)
	s.id = claimStep(c.id, t.instance.Instance)
	out := &bufferSink{}
	start := time.Now()
	res, refusal := e.runOn(c, s, t, out)
	e.observe(c, v, refusal, time.Since(start))
	if refusal != nil {
		c.note(explainer.Step{What: "refused by " + string(t.instance.Instance), Why: refusal.Error() + " (run: " + string(refusal.Run) + ")"})
		return refusal, refusal.Run != model.RunNo || c.ctx.Err() != nil
	}
	e.finishClaim(c, key, c.id, out.answer())
	e.writeAnswer(c, w, v, out.answerWhole())
	e.settleUsage(c, []ranStep{{v, res}})
	return nil, true
}

// finishClaim keeps the answer for a resend. Until it is kept, a resend finds it at the agent.
func (e *Entry) finishClaim(c *call, key model.RecordKey, claimed model.RequestID, a *model.Answer) {
	r := model.Record{Kind: model.RecordDone, Key: key, Request: claimed, Answer: a}
	e.cfg.Records.Bill(r, nil)
	c.note(explainer.Step{What: "answer kept under the key"})
}

// release frees the key after a request that certainly did not run.
func (e *Entry) release(c *call, key model.RecordKey, claim *model.Claim, last, refusal *model.Refusal) *model.Refusal {
	if last != nil && last.Run == model.RunNo {
		e.cfg.Records.Bill(model.Record{Kind: model.RecordRelease, Key: key, Request: c.id, Claim: claim}, nil)
	}
	return refusal
}

// attach serves a second request with a held key: it gets the first one's answer, waits
// for it, or learns truly what is known. It never runs beside the first.
func (e *Entry) attach(c *call, key model.RecordKey, held model.Outcome, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	if held.Record.Claim == nil || held.Record.Claim.Fingerprint != c.fingerprint {
		return model.Refuse(model.KindKeyReused, "the idempotency key belongs to another request: use a new key")
	}
	c.note(explainer.Step{What: "attached to " + string(held.Record.Request)})
	for {
		if held.Done {
			return e.replay(c, held.Record, w)
		}
		answer, run := e.fetch(c, held.Record)
		if answer != nil {
			e.finishClaim(c, key, held.Record.Request, answer.answer())
			return e.replay(c, model.Record{Answer: answer.answerWhole(), Request: held.Record.Request}, w)
		}
		if run == model.RunNo {
			return e.takeOver(c, key, held.Record, d, w)
		}
		pauser.Pause(c.ctx, attachPoll)
		if c.ctx.Err() != nil {
			return model.Refuse(model.KindKeyHeld, "the first request with this key has no known answer: try again with the same key").WithRun(model.RunUnknown).WithRetry(time.Second)
		}
		next, err := e.cfg.Records.Lookup(c.ctx, key)
		if err != nil || !next.Granted {
			continue
		}
		held = next
	}
}

// fetch reads the first request's answer from its agent, or has the agent confirm that
// it never ran. It waits while the request runs.
func (e *Entry) fetch(c *call, r model.Record) (*bufferSink, model.Run) {
	id := claimStep(r.Request, r.Claim.Agent)
	in := messenger.ResumeRequest{Request: id, Boot: r.Claim.Boot}
	reader, err := e.cfg.Work.Resume(c.ctx, r.Claim.Work, in)
	if errors.Is(err, messenger.ErrNotKept) {
		return nil, e.forbid(c, r, id)
	}
	if err != nil {
		return nil, model.RunUnknown
	}
	defer reader.Close()
	out := &bufferSink{}
	end, refusal, _, _ := e.receive(reader, messenger.NewAssembly(id), out)
	switch {
	case end != nil:
		return out, model.RunYes
	case refusal != nil && refusal.Run == model.RunNo:
		return nil, model.RunNo
	}
	return nil, model.RunUnknown
}

// forbid sets a tombstone for a claimed request that its agent has not seen. A first
// request still on its way is refused there, so the key can be taken over safely.
func (e *Entry) forbid(c *call, r model.Record, id model.RequestID) model.Run {
	age := time.Since(r.Time)
	if age < claimGrace || age > messenger.ClaimMemory/2 {
		return model.RunUnknown
	}
	run, err := e.cfg.Work.Cancel(c.ctx, r.Claim.Work, messenger.CancelRequest{Request: id, Boot: r.Claim.Boot})
	if err != nil {
		return model.RunUnknown
	}
	return run
}

// claimGrace lets the first request reach its agent before a second one may forbid it.
const claimGrace = 2 * time.Second

// takeOver frees the key of a request that certainly did not run and runs the own one.
func (e *Entry) takeOver(c *call, key model.RecordKey, old model.Record, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	_, err := e.cfg.Records.Commit(c.ctx, model.Record{Kind: model.RecordRelease, Key: key, Request: old.Request, Claim: old.Claim})
	if err != nil {
		return unavailable(err)
	}
	c.note(explainer.Step{What: "takes over the key", Why: "the first request did not run"})
	return e.runClaimed(c, d, w)
}

func unavailable(err error) *model.Refusal {
	if storer.IsKind(err, storer.KindUnknown) {
		return model.Refuse(model.KindUnavailable, "the platform's answer was lost: try again with the same key").WithRetry(time.Second)
	}
	return model.Refuse(model.KindUnavailable, "the platform does not answer: try again with the same key").WithRetry(2 * time.Second)
}

func (e *Entry) replay(c *call, r model.Record, w http.ResponseWriter) *model.Refusal {
	if r.Answer == nil || !r.Answer.Kept {
		return model.Refuse(model.KindKeyHeld, "the first request with this key ran; its answer is not kept, because it was large or long ago").WithRun(model.RunYes)
	}
	c.note(explainer.Step{What: "kept answer of " + string(r.Request)})
	w.Header().Set(headerReplayed, string(r.Request))
	e.writeAnswer(c, w, "", r.Answer)
	return nil
}

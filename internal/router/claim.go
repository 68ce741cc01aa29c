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
	// maxClaimAttempts bounds the number of agents that the claim of one request names in turn.
	maxClaimAttempts = 3
	// attachPollInterval is the interval at which a second request with the same key looks for the
	// answer.
	attachPollInterval = 250 * time.Millisecond
)

// runClaimed runs a request under its idempotency key. The ledger grants the key to one request,
// and the claim names the agent before any work is sent to it.
func (e *Entry) runClaimed(c *call, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	key := recorder.ClaimKey(c.service, c.org().Organisation, c.key)
	tried := newTriedAgents()
	var last *model.Refusal
	var claimed *model.Claim
	for range maxClaimAttempts {
		t, refusal := e.pickAgent(c, d.Version, tried, time.Now())
		if refusal != nil && claimed == nil {
			return e.attachIfHeld(c, key, refusal, d, w)
		}
		if refusal != nil {
			return e.releaseClaim(c, key, claimed, last, refusal)
		}
		claimed = t.claim(c)
		held, refusal := e.claim(c, key, claimed)
		if refusal != nil {
			t.peer.endRequest(false, nil, time.Now())
			return refusal
		}
		if held != nil {
			t.peer.endRequest(false, nil, time.Now())
			return e.attachToClaim(c, key, *held, d, w)
		}
		refusal, done := e.runUnderClaim(c, key, t, d.Version, w)
		if done || refusal == nil {
			return refusal
		}
		last = refusal
		tried.refused[t.instance.Instance] = "refused: " + string(refusal.Kind)
	}
	return e.releaseClaim(c, key, claimed, last, last)
}

// attachIfHeld serves a request while no agent can take work: an earlier request may already
// hold the key and have its answer.
func (e *Entry) attachIfHeld(c *call, key model.RecordKey, refusal *model.Refusal, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	held, err := e.cfg.Records.Lookup(c.ctx, key)
	if err != nil {
		return refusal.WithRun(model.RunUnknown)
	}
	if held.Granted {
		return e.attachToClaim(c, key, held, d, w)
	}
	return refusal
}

// claim asks the ledger for the key; held is the current outcome if another request has it.
func (e *Entry) claim(c *call, key model.RecordKey, claim *model.Claim) (held *model.Outcome, refusal *model.Refusal) {
	r := model.Record{Kind: model.RecordClaim, Key: key, Request: c.id, Claim: claim}
	o, err := e.cfg.Records.Commit(c.ctx, r)
	if err != nil {
		c.explain(explainer.Step{Decision: "claim failed", Reason: err.Error()})
		return nil, model.Refuse(model.KindPlatformUnavailable, "the idempotency key cannot be recorded now: try again with the same key").WithRetry(2 * time.Second)
	}
	if o.Granted {
		c.explain(explainer.Step{Decision: "claim granted"})
		return nil, nil
	}
	return &o, nil
}

func (t target) claim(c *call) *model.Claim {
	return &model.Claim{Agent: t.instance.Instance, Work: t.instance.Work, Boot: t.boot, Fingerprint: c.fingerprint}
}

// claimedRequestID returns the id under which a claimed request runs at an agent; every entry
// derives the same id from the claim.
func claimedRequestID(claimed model.RequestID, agent model.InstanceID) model.RequestID {
	return model.RequestID(string(claimed) + ".claim." + string(agent))
}

// runUnderClaim runs the request once; done reports that no other agent may be tried.
func (e *Entry) runUnderClaim(c *call, key model.RecordKey, t target, v model.VersionID, w http.ResponseWriter) (refusal *model.Refusal, done bool) {
	s := c.step(v)
	s.id = claimedRequestID(c.id, t.instance.Instance)
	out := &bufferSink{}
	start := time.Now()
	res, refusal := e.runOnAgent(c, s, t, out)
	e.recordOutcome(c, v, refusal, time.Since(start))
	if refusal != nil {
		c.explain(explainer.Step{Decision: "refused by " + string(t.instance.Instance), Reason: refusal.Error() + " (run: " + string(refusal.Run) + ")"})
		return refusal, refusal.Run != model.RunNo || c.ctx.Err() != nil
	}
	e.recordAnswer(c, key, c.id, out.answer())
	e.writeAnswer(c, w, v, out.fullAnswer())
	e.recordUsage(c, []completedStep{{v, res}})
	return nil, true
}

// recordAnswer writes the answer to the ledger for requests that are sent again. Until it is
// written, such a request gets the answer from the agent.
func (e *Entry) recordAnswer(c *call, key model.RecordKey, claimed model.RequestID, a *model.Answer) {
	r := model.Record{Kind: model.RecordDone, Key: key, Request: claimed, Answer: a}
	e.cfg.Records.Enqueue(r, nil)
	c.explain(explainer.Step{Decision: "answer kept under the key"})
}

// releaseClaim frees the key if the request certainly did not run, and returns refusal.
func (e *Entry) releaseClaim(c *call, key model.RecordKey, claim *model.Claim, last, refusal *model.Refusal) *model.Refusal {
	if last != nil && last.Run == model.RunNo {
		e.cfg.Records.Enqueue(model.Record{Kind: model.RecordRelease, Key: key, Request: c.id, Claim: claim}, nil)
	}
	return refusal
}

// attachToClaim serves a second request with a held key: it returns the first request's answer,
// waits for it, or refuses with what is known of the first. It never runs while the first may
// run.
func (e *Entry) attachToClaim(c *call, key model.RecordKey, held model.Outcome, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	if held.Record.Claim == nil || held.Record.Claim.Fingerprint != c.fingerprint {
		return model.Refuse(model.KindKeyReused, "the idempotency key belongs to another request: use a new key")
	}
	c.explain(explainer.Step{Decision: "attached to " + string(held.Record.Request)})
	for {
		if held.Done {
			return e.replayAnswer(c, held.Record, w)
		}
		answer, run := e.fetchAnswer(c, held.Record)
		if answer != nil {
			e.recordAnswer(c, key, held.Record.Request, answer.answer())
			return e.replayAnswer(c, model.Record{Answer: answer.fullAnswer(), Request: held.Record.Request}, w)
		}
		if run == model.RunNo {
			return e.takeOverKey(c, key, held.Record, d, w)
		}
		pauser.Pause(c.ctx, attachPollInterval)
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

// fetchAnswer reads the first request's answer from its agent and waits while the request runs.
// If the agent has no answer, it may confirm that the request never ran.
func (e *Entry) fetchAnswer(c *call, r model.Record) (*bufferSink, model.Run) {
	id := claimedRequestID(r.Request, r.Claim.Agent)
	in := messenger.ResumeRequest{Request: id, Boot: r.Claim.Boot}
	reader, err := e.cfg.Work.Resume(c.ctx, r.Claim.Work, in)
	if errors.Is(err, messenger.ErrAnswerNotKept) {
		return nil, e.setTombstone(c, r, id)
	}
	if err != nil {
		return nil, model.RunUnknown
	}
	defer reader.Close()
	out := &bufferSink{}
	end, refusal, _, _ := e.receiveFrames(reader, messenger.NewAnswerVerifier(id), out)
	switch {
	case end != nil:
		return out, model.RunYes
	case refusal != nil && refusal.Run == model.RunNo:
		return nil, model.RunNo
	}
	return nil, model.RunUnknown
}

// setTombstone sets a tombstone at the agent for a claimed request that it has not seen. A first
// request that is still on its way is then refused there, so the key can be taken over safely.
func (e *Entry) setTombstone(c *call, r model.Record, id model.RequestID) model.Run {
	age := time.Since(r.Time)
	if age < claimGrace || age > messenger.HandOverRetention/2 {
		return model.RunUnknown
	}
	run, err := e.cfg.Work.Cancel(c.ctx, r.Claim.Work, messenger.CancelRequest{Request: id, Boot: r.Claim.Boot})
	if err != nil {
		return model.RunUnknown
	}
	return run
}

// claimGrace is the time that the first request has to reach its agent before a second one may
// set a tombstone for it.
const claimGrace = 2 * time.Second

// takeOverKey frees the key of a first request that certainly did not run and runs this request
// under it.
func (e *Entry) takeOverKey(c *call, key model.RecordKey, old model.Record, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	_, err := e.cfg.Records.Commit(c.ctx, model.Record{Kind: model.RecordRelease, Key: key, Request: old.Request, Claim: old.Claim})
	if err != nil {
		return unavailableRefusal(err)
	}
	c.explain(explainer.Step{Decision: "takes over the key", Reason: "the first request did not run"})
	return e.runClaimed(c, d, w)
}

func unavailableRefusal(err error) *model.Refusal {
	if storer.IsKind(err, storer.KindUnknown) {
		return model.Refuse(model.KindPlatformUnavailable, "the platform's answer was lost: try again with the same key").WithRetry(time.Second)
	}
	return model.Refuse(model.KindPlatformUnavailable, "the platform does not answer: try again with the same key").WithRetry(2 * time.Second)
}

func (e *Entry) replayAnswer(c *call, r model.Record, w http.ResponseWriter) *model.Refusal {
	if r.Answer == nil || !r.Answer.BodyKept {
		return model.Refuse(model.KindKeyHeld, "the first request with this key ran; its answer is not kept, because it was large or long ago").WithRun(model.RunYes)
	}
	c.explain(explainer.Step{Decision: "kept answer of " + string(r.Request)})
	w.Header().Set(headerReplayed, string(r.Request))
	e.writeAnswer(c, w, "", r.Answer)
	return nil
}

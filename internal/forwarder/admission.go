package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// admit returns the refusal of a call for which a backend server was chosen, or nil if it is to be sent there.
func (f *Forwarder) admit(c *call, now time.Time) *model.Refusal {
	if refusal := f.refuseOverShare(c, now); refusal != nil {
		return refusal
	}
	if !isUnsent(c) {
		return nil
	}
	return f.refuseLate(c, now)
}

// refuseLate returns the refusal of a call that is expected to miss its deadline at the chosen server, or nil.
func (f *Forwarder) refuseLate(c *call, now time.Time) *model.Refusal {
	if !c.crowding.full {
		return nil
	}
	in := f.admissionInput(c, now)
	decision := admitter.Admit(in, rand.Float64())
	if !decision.Refuse {
		return nil
	}
	retry := spreadRetryAfter(decision.Wait, rand.Float64())
	f.cfg.Meter.Count(admissionMetric("admission", "late", c.rank), 1)
	f.cfg.Log.Info().Str("request", c.id).Str("reason", "late").Int("rank", c.rank).Dur("wait", decision.Wait).Dur("prompt", in.Prompt).Dur("answer", in.Answer).
		Dur("left", in.Remaining).Int("busy", in.Busy).Int("slots", in.Slots).Dur("report_age", in.ReportAge).Dur("hold", in.Hold).Dur("hold_age", in.HoldAge).
		Dur("retry", retry).Msg("forwarder: the request cannot be answered in time and is not sent")
	return model.Refuse(model.KindOverload, "all places are taken, and the queue is too long for the deadline: try again later").WithRetry(retry)
}

// admissionInput describes a call and what is known of the server that was chosen for it.
func (f *Forwarder) admissionInput(c *call, now time.Time) admitter.AdmissionInput {
	w := c.crowding
	in := admitter.AdmissionInput{
		Remaining: c.deadline.Sub(now), Rank: c.rank, Full: w.full, Busy: w.busy, Slots: w.slots, Reported: w.reported, ReportAge: w.age,
	}
	in.Hold, in.HoldAge = f.pace.hold(c.service.Service, now)
	in.Answer = in.Hold
	if c.service.Engine != nil {
		in.ByRank, in.Prompt = true, w.wait
		// The expected length of an answer is a rough estimate.
		in.Answer = admitter.UsableTime(f.speeds.estimateAnswer(c.model, c.service.Engine, c.prompt.outputTokens))
	}
	return in
}

// spreadRetryAfter returns when a caller may return for whom room is expected after wait; random in [0, 1) adds jitter, so
// that callers return over as long a time as they waited.
func spreadRetryAfter(wait time.Duration, random float64) time.Duration {
	wait = max(wait, minRetry)
	return wait + time.Duration(random*float64(wait))
}

// isUnsent reports whether nothing of the call was sent to a backend server, and the caller has no part of its answer.
func isUnsent(c *call) bool {
	return c.sent == 0 && c.failedDials == 0 && !c.mayHaveRun && !c.delivered && !c.escalated && c.lastEvent == ""
}

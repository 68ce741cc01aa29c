package owner

import (
	"fmt"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minRequestsPerStep is the number of requests that the guard must have seen before the next step.
	minRequestsPerStep = 20
	// maxSuspicion is the highest level of the guard's verdict at which a roll-out goes on.
	maxSuspicion = 0.5
)

// rolloutInput is everything that a roll-out's next state depends on. Seen is the number of requests
// that the guard has seen, Held how long the current step has lasted.
type rolloutInput struct {
	Service model.ServiceID
	Rollout *model.Rollout
	State   model.RolloutState
	Verdict guard.Verdict
	Seen    int
	Held    time.Duration
	Fence   model.Fence
	Now     time.Time
}

// nextRolloutState returns the roll-out's next state. The version is withdrawn once the guard finds it
// bad. The next step follows after the hold time and enough requests without suspicion; the last step
// is then followed by done. Suspicion holds the current step.
func nextRolloutState(in rolloutInput) model.RolloutState {
	s := in.State
	if !s.Matches(in.Rollout) {
		return startRollout(in)
	}
	if s.Verdict == model.VerdictWithdrawn || s.Verdict == model.VerdictDone {
		return s
	}
	next := s
	next.Fence = in.Fence
	switch {
	case in.Verdict.Bad:
		next.Verdict, next.Share = model.VerdictWithdrawn, 0
		next.Reason = "withdrawn, since " + in.Verdict.Reason
	case in.Verdict.Level > maxSuspicion:
		next.Verdict, next.Reason = model.VerdictHold, "holds, since perhaps "+in.Verdict.Reason
	case in.Held < in.Rollout.Hold || in.Seen < minRequestsPerStep:
		next.Verdict, next.Reason = model.VerdictRunning, describeStep(s.Share)
	case s.Step+1 < len(in.Rollout.Steps):
		next.Step++
		next.Share = in.Rollout.Steps[next.Step]
		next.Verdict, next.Reason = model.VerdictRunning, describeStep(next.Share)
	default:
		next.Verdict, next.Reason = model.VerdictDone, "all steps were held without a finding"
	}
	if next != s {
		next.Since = in.Now
	}
	return next
}

func startRollout(in rolloutInput) model.RolloutState {
	r := in.Rollout
	return model.RolloutState{
		Service: in.Service, Version: r.Version, Baseline: r.Baseline, Attempt: r.Attempt,
		Share: r.Steps[0], Verdict: model.VerdictRunning, Reason: describeStep(r.Steps[0]),
		Since: in.Now, Fence: in.Fence,
	}
}

func describeStep(share model.Share) string {
	return fmt.Sprintf("%.0f%% of the requests go to it", 100*float64(share))
}

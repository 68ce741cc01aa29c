package owner

import (
	"fmt"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minSeen is the number of requests that a step needs before the next one.
	minSeen = 20
	// calm is the level of suspicion below which a roll-out goes on.
	calm = 0.5
)

// advanceInput is everything that a roll-out's next state depends on.
type advanceInput struct {
	Service model.ServiceID
	Rollout *model.Rollout
	State   model.RolloutState
	Verdict guard.Verdict
	Seen    int
	Held    time.Duration
	Fence   model.Fence
	Now     time.Time
}

// advance returns the roll-out's next state: withdrawn once the guard finds it bad, the
// next step after a calm hold, and else the same state.
func advance(in advanceInput) model.RolloutState {
	s := in.State
	if !s.Matches(in.Rollout) {
		return start(in)
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
	case in.Verdict.Level > calm:
		next.Verdict, next.Reason = model.VerdictHold, "holds, since perhaps "+in.Verdict.Reason
	case in.Held < in.Rollout.Hold || in.Seen < minSeen:
		next.Verdict, next.Reason = model.VerdictRunning, stepReason(s.Share)
	case s.Step+1 < len(in.Rollout.Steps):
		next.Step++
		next.Share = in.Rollout.Steps[next.Step]
		next.Verdict, next.Reason = model.VerdictRunning, stepReason(next.Share)
	default:
		next.Verdict, next.Reason = model.VerdictDone, "all steps were held without a finding"
	}
	if next != s {
		next.Since = in.Now
	}
	return next
}

func start(in advanceInput) model.RolloutState {
	r := in.Rollout
	return model.RolloutState{
		Service: in.Service, Version: r.Version, Baseline: r.Baseline, Attempt: r.Attempt,
		Share: r.Steps[0], Verdict: model.VerdictRunning, Reason: stepReason(r.Steps[0]),
		Since: in.Now, Fence: in.Fence,
	}
}

func stepReason(share model.Share) string {
	return fmt.Sprintf("%.0f%% of the requests go to it", 100*float64(share))
}

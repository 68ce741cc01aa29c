package chooser

import (
	"fmt"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// CascadeConfig tunes a Ladder.
type CascadeConfig struct {
	// Floors holds, for each rank of urgency, the confidence in percent under which an answer is
	// dropped for one of a larger model; ranks beyond the last use the last.
	Floors []int
}

// Cascade starts with the smallest model and steps up to the largest when the model itself
// doubts its answer. Models in between cost nearly as much as the largest and rarely suffice.
type Cascade struct{ cfg CascadeConfig }

// NewCascade returns a ladder.
func NewCascade(cfg CascadeConfig) Cascade { return Cascade{cfg: cfg} }

// First returns the model that answers first.
func (Cascade) First(models []model.ModelID) model.ModelID {
	if len(models) == 0 {
		return ""
	}
	return models[0]
}

// EscalationInput is what the decision on an answer reads before any of it was passed on.
type EscalationInput struct {
	Models []model.ModelID
	Ran    model.ModelID
	// Confidence is the model's opinion of its answer in percent; -1 if it gave none.
	Confidence int
	Rank       int
	// Attempts is the number of further backend servers that the request may be sent to.
	Attempts int
	// RetryAllowed tells whether the budget of repeats has room.
	RetryAllowed bool
	// Utilisation is the filled part of the batches of engines that run the larger model.
	Utilisation float64
	// Late tells that the larger model's first token is expected after the target.
	Late bool
	// AnswerDuration is the expected time to its whole answer, TimeLeft the time until the request is over.
	AnswerDuration, TimeLeft time.Duration
}

const (
	// easyFill is the fill up to which a larger model is asked freely: its answers then come
	// within their targets. Above, each further request slows all others.
	easyFill = 0.1
	// fullFill is the fill from which on only the poorest answers are dropped.
	fullFill = 0.4
	// leastPart is the part of the floor that is left then.
	leastPart = 0.2
	// latePart is the part of the floor for an answer that would come late.
	latePart = 0.5
	// wholeMargin is the part of the time left that a whole answer may take: the length of an
	// answer is known only by a rough estimate.
	wholeMargin = 1.0
)

// Escalate returns the model to ask instead, or none if the answer stands, and why.
func (l Cascade) Escalate(in EscalationInput) (model.ModelID, string) {
	if len(in.Models) == 0 || in.Ran == in.Models[len(in.Models)-1] || in.Confidence < 0 {
		return "", "nothing larger is to be asked"
	}
	floor := l.floor(in)
	switch {
	case in.Confidence >= floor:
		return "", fmt.Sprintf("confidence %d reaches %d", in.Confidence, floor)
	case in.Attempts <= 0:
		return "", "no attempt is left"
	case !in.RetryAllowed:
		return "", "the budget of repeats is used up"
	case float64(in.AnswerDuration) > wholeMargin*float64(in.TimeLeft):
		return "", fmt.Sprintf("a larger model's answer would take %v of the %v left", in.AnswerDuration.Round(time.Millisecond), in.TimeLeft.Round(time.Millisecond))
	}
	return in.Models[len(in.Models)-1], fmt.Sprintf("confidence %d is under %d", in.Confidence, floor)
}

// floor is the confidence that an answer must reach. It answers load on the larger model: the
// fuller its engines are, the more a further request slows all that run there.
func (l Cascade) floor(in EscalationInput) int {
	if len(l.cfg.Floors) == 0 {
		return 0
	}
	part := 1 - (1-leastPart)*min(max((in.Utilisation-easyFill)/(fullFill-easyFill), 0), 1)
	if in.Late {
		part *= latePart
	}
	return int(part * float64(l.cfg.Floors[min(max(in.Rank, 0), len(l.cfg.Floors)-1)]))
}

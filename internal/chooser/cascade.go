package chooser

import (
	"fmt"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// CascadeConfig configures a Cascade.
type CascadeConfig struct {
	// Floors holds, by the rank of the request's priority, the confidence in percent below which an answer
	// is dropped and a larger model is asked; ranks beyond the last use the last.
	Floors []int
	// Seed spreads the times at which entries change a learned decision; see AdaptiveCascade.
	Seed uint64
}

// Cascade starts with the smallest model and escalates to the largest when the model itself reports a
// low confidence in its answer. Models in between cost nearly as much as the largest and rarely suffice.
type Cascade struct{ cfg CascadeConfig }

func NewCascade(cfg CascadeConfig) Cascade { return Cascade{cfg: cfg} }

// First returns the model that answers first.
func (Cascade) First(models []model.ModelID) model.ModelID {
	if len(models) == 0 {
		return ""
	}
	return models[0]
}

// EscalationInput is the input of Escalate, gathered before any part of the answer is passed on.
type EscalationInput struct {
	Models []model.ModelID
	// Ran is the model that gave the answer.
	Ran model.ModelID
	// Confidence is the confidence in percent that the model reports; -1 if it reports none.
	Confidence int
	// Rank is the rank of the request's priority; see CascadeConfig.
	Rank int
	// Attempts is the number of further backend servers that the request may be sent to.
	Attempts int
	// RetryAllowed reports whether the retry budget has room.
	RetryAllowed bool
	// Utilisation is the filled part of the batches of the engines that run the larger model.
	Utilisation float64
	// Late reports whether the larger model's first token is expected after the target.
	Late bool
	// AnswerDuration is the expected time to the end of the larger model's answer, TimeLeft the time until
	// the request's deadline.
	AnswerDuration, TimeLeft time.Duration
}

const (
	// lowUtilisation is the utilisation up to which the whole floor applies, since larger models then answer
	// within their targets. Above it, each further request slows all others.
	lowUtilisation = 0.1
	// highUtilisation is the utilisation from which on only the poorest answers are dropped.
	highUtilisation = 0.4
	// minFloorPart is the part of the floor that applies from highUtilisation on.
	minFloorPart = 0.2
	// lateFloorPart is the part of the floor that applies if the larger model would answer late.
	lateFloorPart = 0.5
	// maxTimePart is the part of the time left that the larger model's answer may take: the length of an
	// answer is only a rough estimate.
	maxTimePart = 1.0
)

// Escalate returns the model to ask instead, or none if the answer is kept, and the reason.
func (c Cascade) Escalate(in EscalationInput) (model.ModelID, string) {
	floor, why := c.weak(in)
	switch {
	case why != "":
		return "", why
	case float64(in.AnswerDuration) > maxTimePart*float64(in.TimeLeft):
		return "", fmt.Sprintf("a larger model's answer would take %v of the %v left", in.AnswerDuration.Round(time.Millisecond), in.TimeLeft.Round(time.Millisecond))
	}
	return in.Models[len(in.Models)-1], fmt.Sprintf("confidence %d is under %d", in.Confidence, floor)
}

// weak returns the floor that an answer is under, or the reason to keep it whatever a larger model would take.
func (c Cascade) weak(in EscalationInput) (floor int, keep string) {
	if len(in.Models) == 0 || in.Ran == in.Models[len(in.Models)-1] || in.Confidence < 0 {
		return 0, "no larger model can be asked"
	}
	floor = c.floor(in)
	switch {
	case in.Confidence >= floor:
		return floor, fmt.Sprintf("confidence %d reaches %d", in.Confidence, floor)
	case in.Attempts <= 0:
		return floor, "no attempt is left"
	case !in.RetryAllowed:
		return floor, "the retry budget is used up"
	}
	return floor, ""
}

// floor returns the confidence that an answer must reach. It falls as the utilisation of the larger
// model's engines rises, since each further request slows all that run there.
func (c Cascade) floor(in EscalationInput) int {
	if len(c.cfg.Floors) == 0 {
		return 0
	}
	part := floorPart(in.Utilisation)
	if in.Late {
		part *= lateFloorPart
	}
	return int(part * float64(c.cfg.Floors[min(max(in.Rank, 0), len(c.cfg.Floors)-1)]))
}

// floorPart returns the part of the floor that applies at a utilisation of the larger model's engines.
func floorPart(utilisation float64) float64 {
	return 1 - (1-minFloorPart)*min(max((utilisation-lowUtilisation)/(highUtilisation-lowUtilisation), 0), 1)
}

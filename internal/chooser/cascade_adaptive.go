package chooser

import (
	"fmt"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// insufficientLoss is the loss of an answer that does not suffice, in runs of the largest model. The rule of
	// Cascade pays one run for each sufficient answer, so it is above 1; 2 keeps savings from buying weak answers.
	insufficientLoss = 2
	// lateLoss is the loss of an answer that is late by half a target. As lateFloorPart says, a late answer is
	// worth half as much.
	lateLoss = 0.5 * insufficientLoss
	// lateRamp is the part of the target over which lateness grows, centred at the target, since waits are estimates.
	lateRamp = 1.0
	// fullDirectPart and noDirectPart are the parts of the floor at which all and none of the requests whose key says
	// so start at a larger model. Cascade drops fewer answers of loaded engines, so a start at a larger model would
	// add to the load there. All entries change over gradually, since they see the same load.
	fullDirectPart = 1.0
	noDirectPart   = 0.8
	// switchGain is the gain, in runs of the largest model, from which on a decision is replaced. A start at the
	// largest model saves at most the cost of the smallest one, 0.07; half of that must remain.
	switchGain = 0.03
	// stepGain is that gain for the model that follows a dropped answer. It saves up to half a run, and the share that a
	// model in between answers well is known from fewer answers.
	stepGain = 0.1
	// opinionError is the share of confidences that are assumed to be wrong. Nothing tells how many are: models rate
	// their own answers.
	opinionError = 0.05
	// minDecisionTime is the shortest time between two changes of a key's decision. Entries add up to as much
	// again, by key, so that they do not change together.
	minDecisionTime = 5 * time.Second
	// exploredShare is the share of the requests that start at a larger model, and of the dropped answers, which a
	// smaller model gets instead, so that its share of sufficient answers stays known.
	exploredShare = 0.04
	// refreshShare is that share for models in between of which enough is known.
	refreshShare = 0.01
	// saturatedUtilisation is the utilisation from which on only the most urgent requests ask again. Reports are
	// up to 100 ms old, so the last tenth of the places may be taken already.
	saturatedUtilisation = 0.9
)

// ModelOption is what one model of a route costs a request now.
type ModelOption struct {
	Model model.ModelID
	// Cost is the cost for 1,000 tokens.
	Cost float64
	// Wait is the expected time to the first token, Answer the one to the end of the answer; both from now on.
	Wait, Answer time.Duration
}

// CascadeInput is what AdaptiveCascade compares the models of a request by.
type CascadeInput struct {
	Keys CascadeKeys
	// Options holds the models of the route, the smallest first.
	Options []ModelOption
	Rank    int
	// Attempts is the number of further backend servers that the request may be sent to.
	Attempts int
	// RetryAllowed reports whether the retry budget has room.
	RetryAllowed bool
	// Utilisation is the filled part of the batches of the engines that run the larger models.
	Utilisation float64
	// TimeLeft is the time until the deadline, Elapsed the time since the request came.
	TimeLeft, Elapsed time.Duration
	LatencyTarget     time.Duration
	// Trial means that the present answer was asked for after a dropped one only to learn from it; see StepChoice.
	Trial bool
	// Draw is a random number in [0, 1) that selects the requests for exploration.
	Draw float64
}

// AdaptiveCascade decides by learned shares of sufficient answers which model answers first and which one follows a
// dropped answer. It is made for routes where a third of all runs are answers that are dropped: some prompts are known
// beforehand to be too hard for the smallest model, and some of these not for the one in between. Where too little is
// known it decides as Cascade.
type AdaptiveCascade struct {
	Cascade
	seed      uint64
	knowledge *cascadeKnowledge
}

// NewAdaptiveCascade returns a cascade that has learned nothing.
func NewAdaptiveCascade(cfg CascadeConfig) *AdaptiveCascade {
	return &AdaptiveCascade{Cascade: NewCascade(cfg), seed: cfg.Seed, knowledge: newCascadeKnowledge()}
}

// RankClass returns the rank whose floor applies to a rank.
func (c Cascade) RankClass(rank int) int { return min(max(rank, 0), max(len(c.cfg.Floors)-1, 0)) }

// suffices reports whether a confidence reaches the floor of a rank on idle engines.
func (c Cascade) suffices(confidence, rank int) bool {
	return len(c.cfg.Floors) == 0 || confidence >= c.cfg.Floors[c.RankClass(rank)]
}

// Observe learns from the confidence of an answer; followed means that it followed a dropped one. Confidences outside of
// 0 to 100 are ignored.
func (a *AdaptiveCascade) Observe(keys CascadeKeys, position, confidence, rank int, followed bool, now time.Time) {
	if confidence < 0 || confidence > maxConfidence {
		return
	}
	a.knowledge.observe(keys, position, followed, a.suffices(confidence, rank), now)
}

const maxConfidence = 100

// Learned reports whether enough is known of a request's route for decisions on n models. It costs less than the
// estimates of the models' waits that CascadeInput needs.
func (a *AdaptiveCascade) Learned(keys CascadeKeys, n int, now time.Time) bool {
	a.knowledge.mu.Lock()
	defer a.knowledge.mu.Unlock()
	_, ok := a.knowledge.forecast(keys, n, now)
	return ok
}

// StartChoice is the model that answers first and the values behind the choice.
type StartChoice struct {
	Model model.ModelID
	// Learned means that enough was known to compare the models, Explored that the model was drawn.
	Learned, Explored bool
	// Suffices is the expected share of sufficient answers of the smallest model. Loss and SmallestLoss are the
	// expected losses of a start at the model in force and at the smallest one, in runs of the largest model.
	Suffices, Loss, SmallestLoss float64
}

// Start returns the model that answers first: the one with the least expected loss, from what its run and those
// that may follow cost, how late the answer comes and whether it suffices. A smaller model is tried first unless its
// answer is very likely to be dropped; its run, and its wait, would be spent for nothing.
func (a *AdaptiveCascade) Start(in CascadeInput, now time.Time) StartChoice {
	if len(in.Options) == 0 {
		return StartChoice{}
	}
	a.knowledge.mu.Lock()
	defer a.knowledge.mu.Unlock()
	f, ok := a.knowledge.forecast(in.Keys, len(in.Options), now)
	if !ok || !hasCosts(in.Options) {
		return StartChoice{Model: in.Options[0].Model, Suffices: -1}
	}
	p := &cascadePlanner{in: in, forecast: f}
	best, losses := p.startLosses()
	d := f.decision
	if p.canFollow(0, in.Elapsed, in.Attempts) && losses[best] < losses[d.start]-switchGain && a.mayChange(f, now) {
		d.decided, d.start, d.changed = true, uint8(best), uint32(now.Unix())
	}
	c := StartChoice{Learned: true, Suffices: f.first[0], Loss: losses[d.start], SmallestLoss: losses[0]}
	at, explored := p.start(int(d.start))
	c.Model, c.Explored = in.Options[at].Model, explored
	return c
}

// hasCosts reports whether the costs of the models are known and rise with their size.
func hasCosts(options []ModelOption) bool {
	last := 0.0
	for _, o := range options {
		if !(o.Cost > last) {
			return false
		}
		last = o.Cost
	}
	return true
}

// mayChange reports whether the decision that a forecast refers to has held for long enough.
func (a *AdaptiveCascade) mayChange(f forecast, now time.Time) bool {
	jitter := time.Duration((f.key ^ a.seed) % uint64(minDecisionTime))
	return now.Sub(time.Unix(int64(f.decision.changed), 0)) >= minDecisionTime+jitter
}

// StepChoice is the model that is asked after an answer, none if the answer is kept, and the values behind the choice.
type StepChoice struct {
	Next   model.ModelID
	Reason string
	// Learned means that enough was known to compare the models, Trial that the next model was drawn to learn from its
	// answer. That answer is dropped too: it would be wrong more often than the one of the model chosen otherwise.
	Learned, Trial bool
	// Suffices is the expected share of sufficient answers of the next model, -1 if it is unknown.
	Suffices float64
}

// Next decides whether an answer is dropped, and which model is asked instead. An answer whose confidence reaches the
// floor, which falls with the load of the larger models' engines, is kept as by Cascade. A weak one is kept if no larger
// model is worth its cost and the wait or would end in time, or if engines are saturated and the request is not among the
// most urgent.
func (a *AdaptiveCascade) Next(e EscalationInput, in CascadeInput, now time.Time) StepChoice {
	a.knowledge.mu.Lock()
	defer a.knowledge.mu.Unlock()
	ran := -1
	for i, o := range in.Options {
		if o.Model == e.Ran {
			ran = i
		}
	}
	f, ok := a.knowledge.forecast(in.Keys, len(in.Options), now)
	if !ok || ran < 0 || !hasCosts(in.Options) {
		next, why := a.Escalate(e)
		return StepChoice{Next: next, Reason: why, Suffices: -1}
	}
	c := StepChoice{Learned: true, Suffices: -1}
	if in.Trial {
		// Below any floor, so that only the limits can keep the answer.
		e.Confidence = min(e.Confidence, 0)
	}
	floor, why := a.weak(e)
	switch {
	case why != "":
		c.Reason = why
		return c
	case in.Utilisation >= saturatedUtilisation && in.Rank > 0:
		c.Reason = fmt.Sprintf("engines are filled to %.2f", in.Utilisation)
		return c
	}
	p := &cascadePlanner{in: in, forecast: f}
	at := p.next(ran, a.mayChange(f, now), now)
	if at < 0 {
		c.Reason = fmt.Sprintf("no larger model's answer is worth its cost or comes in the %v left", in.TimeLeft.Round(time.Millisecond))
		return c
	}
	if drawn := p.trial(ran, at); drawn > 0 {
		at, c.Trial = drawn, true
	}
	c.Next, c.Suffices = in.Options[at].Model, f.after[at]
	c.Reason = fmt.Sprintf("confidence %d is under %d", e.Confidence, floor)
	if in.Trial {
		c.Reason = "the answer was asked for as a trial"
	}
	return c
}

package chooser

import "time"

// cascadePlanner compares the models for one request. Losses are in runs of the largest model.
type cascadePlanner struct {
	in       CascadeInput
	forecast forecast
}

// startLosses returns the expected loss from a start at each model, and the model with the least.
func (p *cascadePlanner) startLosses() (best int, losses [maxCascadeModels]float64) {
	for i := range p.in.Options {
		// A model of which nothing is known is not started with.
		losses[i] = insufficientLoss + lateLoss
		if p.forecast.first[i] >= 0 {
			losses[i] = p.loss(i, p.forecast.first[i], p.in.Elapsed, p.in.Attempts)
		}
		if losses[i] < losses[best] {
			best = i
		}
	}
	return best, losses
}

// start returns the model that a request starts at if its key says so, and whether it is a smaller one for exploration.
// Where the answer could not be followed by another, or would itself be late, the smallest model starts.
func (p *cascadePlanner) start(chosen int) (at int, explored bool) {
	last := len(p.in.Options) - 1
	switch {
	case chosen == 0, chosen == last && !p.inTime(last, p.in.Elapsed), chosen < last && !p.canFollow(chosen, p.in.Elapsed, p.in.Attempts):
		return 0, false
	case p.in.Draw < exploredShare:
		if at = int(p.in.Draw / exploredShare * float64(chosen)); p.canFollow(at, p.in.Elapsed, p.in.Attempts) {
			return at, true
		}
		return chosen, false
	}
	direct := (floorPart(p.in.Utilisation) - noDirectPart) / (fullDirectPart - noDirectPart)
	if p.in.Draw >= exploredShare+(1-exploredShare)*direct {
		return 0, false
	}
	return chosen, false
}

// loss returns the expected loss from asking the model at a position whose answer suffices with a probability, a time
// after the request came and with a number of attempts. The load of engines lowers the floor, but not in here: decisions
// that changed with the load would alternate with the load that they cause, and answers of models in between would get
// worse with it.
func (p *cascadePlanner) loss(at int, suffices float64, elapsed time.Duration, attempts int) float64 {
	last := len(p.in.Options) - 1
	cost := p.in.Options[at].Cost / p.in.Options[last].Cost
	elapsed += p.in.Options[at].Wait
	kept := lateLoss * p.lateness(elapsed)
	if at == last {
		return cost + kept
	}
	kept += insufficientLoss * opinionError * (1 - goodShare(suffices))
	weak := (1 - suffices) * (1 - lateFloorPart*p.lateness(elapsed+p.in.Options[last].Wait))
	followed := insufficientLoss + lateLoss*p.lateness(elapsed)
	if attempts > 1 && p.in.RetryAllowed {
		if next, loss := p.cheapest(at, elapsed, attempts-1); next >= 0 {
			followed = min(followed, loss)
		}
	}
	return cost + (1-weak)*kept + weak*followed
}

// goodShare returns the share of good answers if a share is called sufficient, and some of these opinions are wrong.
func goodShare(sufficient float64) float64 {
	return min(max((sufficient-opinionError)/(1-2*opinionError), 0), 1)
}

// canFollow reports whether the largest model can be asked after the answer of the model at a position.
func (p *cascadePlanner) canFollow(at int, elapsed time.Duration, attempts int) bool {
	return attempts > 1 && p.in.RetryAllowed && p.inTime(len(p.in.Options)-1, elapsed+p.in.Options[at].Wait)
}

// cheapest returns the model with the least loss after a dropped answer, and the loss; -1 if none would be in time.
func (p *cascadePlanner) cheapest(ran int, elapsed time.Duration, attempts int) (best int, least float64) {
	best = -1
	for i := ran + 1; i < len(p.in.Options); i++ {
		if loss, ok := p.followLoss(i, elapsed, attempts); ok && (best < 0 || loss < least) {
			best, least = i, loss
		}
	}
	return best, least
}

// followLoss returns the loss from asking a model after a dropped answer, and false if it is unknown, would come too
// late, or would take the last chance from a larger one.
func (p *cascadePlanner) followLoss(at int, elapsed time.Duration, attempts int) (float64, bool) {
	last := len(p.in.Options) - 1
	if p.forecast.after[at] < 0 || !p.inTime(at, elapsed) {
		return 0, false
	}
	if at < last && p.inTime(last, elapsed) && !p.canFollow(at, elapsed, attempts) {
		return 0, false
	}
	return p.loss(at, p.forecast.after[at], elapsed, attempts), true
}

// inTime reports whether the answer of a model that is asked a time after the request came ends before the deadline.
func (p *cascadePlanner) inTime(at int, elapsed time.Duration) bool {
	return elapsed-p.in.Elapsed+p.in.Options[at].Answer <= time.Duration(maxTimePart*float64(p.in.TimeLeft))
}

// lateness returns how late an answer is whose first token comes a time after the request: 0 if it is in time, 1 from
// half a target after the target on.
func (p *cascadePlanner) lateness(elapsed time.Duration) float64 {
	if p.in.LatencyTarget <= 0 {
		return 0
	}
	over := float64(elapsed)/float64(p.in.LatencyTarget) - (1 - lateRamp/2)
	return min(max(over/lateRamp, 0), 1)
}

// next returns the model that is asked after a dropped answer, -1 if the answer is kept, and sets the decision of the
// key if it is clearly better than the one in force.
func (p *cascadePlanner) next(ran int, mayChange bool, now time.Time) int {
	best, least := p.cheapest(ran, p.in.Elapsed, p.in.Attempts)
	if best < 0 || least >= insufficientLoss+lateLoss*p.lateness(p.in.Elapsed) {
		return -1
	}
	last := len(p.in.Options) - 1
	if ran == last-1 {
		return best
	}
	d := p.forecast.decision
	current := int(d.next[ran])
	if current <= ran {
		current = last
	}
	loss, ok := p.followLoss(current, p.in.Elapsed, p.in.Attempts)
	switch {
	case !ok:
		// The decision in force does not fit this request, which says nothing of others.
		return best
	case best != current && least < loss-stepGain && mayChange:
		d.decided, d.next[ran], d.changed = true, uint8(best), uint32(now.Unix())
		return best
	}
	return current
}

// trial returns the model in between that a request drawn for exploration asks after a dropped answer, -1 if it asks
// the chosen one. Its answer may be dropped too, so the chosen one must still come in time, and engines have room.
func (p *cascadePlanner) trial(ran, chosen int) int {
	if p.in.Utilisation > lowUtilisation {
		return -1
	}
	for i := ran + 1; i < chosen; i++ {
		share := exploredShare
		if p.forecast.fresh[i] {
			share = refreshShare
		}
		if p.in.Draw < share && p.canFollow(i, p.in.Elapsed, p.in.Attempts) {
			return i
		}
	}
	return -1
}

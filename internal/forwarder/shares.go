package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// shareClaim is what a call asked for of its service, and how it stands there.
type shareClaim struct {
	ask      admitter.Ask
	standing admitter.Standing
	// asked and taken are set once the request and its first answer are counted.
	asked, taken bool
}

// claimShare counts the call at its service, once, after a backend server was chosen for it.
func (f *Forwarder) claimShare(c *call, now time.Time) {
	if isScarce(c) {
		f.cfg.Shares.ObserveScarce(c.service.Service, now)
	}
	if c.share.asked {
		return
	}
	c.share.asked = true
	c.share.ask = admitter.Ask{Service: c.service.Service, Rank: c.rank, Organisation: c.org, Work: f.estimateWork(c)}
	c.share.standing = f.cfg.Shares.Ask(c.share.ask, rand.Float64(), now)
	if s := c.share.standing; s.OverShare || s.Promoted {
		f.cfg.Meter.Count(admissionMetric("shares", shareReason(s), c.rank), 1)
		f.cfg.Log.Debug().Str("request", c.id).Str("organisation", string(c.org)).Int("rank", c.rank).Str("reason", shareReason(s)).Dur("told_age", s.ToldAge).
			Msg("forwarder: the request is ranked by its organisation's share")
	}
}

func shareReason(s admitter.Standing) string {
	if s.OverShare {
		return "over_share"
	}
	return "promoted"
}

// takeShare counts that a backend server ran the call.
func (f *Forwarder) takeShare(c *call, now time.Time) {
	if c.share.asked && !c.share.taken {
		c.share.taken = true
		f.cfg.Shares.Taken(c.share.ask, now)
	}
}

// estimateWork returns how long the call is expected to keep a place busy. An engine reads one prompt at a time, but
// writes the answers of all its slots at once.
func (f *Forwarder) estimateWork(c *call) time.Duration {
	if c.service.Engine == nil {
		return c.route.LatencyTarget
	}
	answer := f.speeds.estimateAnswer(c.model, c.service.Engine, c.prompt.outputTokens)
	return c.prefillTime + answer/time.Duration(max(c.crowding.slots, 1))
}

// isScarce reports whether no place was free for the call, or no engine could begin its prompt before the route's target.
func isScarce(c *call) bool {
	if c.crowding.full {
		return true
	}
	return c.service.Engine != nil && c.route.LatencyTarget > 0 && c.crowding.wait-c.prefillTime > c.route.LatencyTarget
}

// refuseOverShare returns the refusal of a call that was not sent yet, if its organisation is over its share and the
// plain servers are full, or nil.
func (f *Forwarder) refuseOverShare(c *call, now time.Time) *model.Refusal {
	f.claimShare(c, now)
	if c.service.Engine != nil || !isUnsent(c) {
		return nil
	}
	w := c.crowding
	if !admitter.RefusesOverShare(admitter.ShareRefusalInput{
		OverShare: c.share.standing.OverShare, Full: w.full, Fresh: w.reported && w.age < reportMaxAge, Busy: w.busy, Slots: w.slots,
	}) {
		return nil
	}
	f.cfg.Meter.Count(admissionMetric("admission", "over_share", c.rank), 1)
	// A place is free for the flood once the others' requests in the queues have run, each for about its target.
	wait := c.route.LatencyTarget * time.Duration(w.busy-w.slots) / time.Duration(w.slots)
	f.cfg.Log.Info().Str("request", c.id).Str("reason", "over_share").Str("organisation", string(c.org)).Int("rank", c.rank).Dur("told_age", c.share.standing.ToldAge).
		Int("busy", w.busy).Int("slots", w.slots).Dur("report_age", w.age).Dur("wait", wait).Msg("forwarder: the organisation is over its share and the request is not sent")
	return model.Refuse(model.KindOverload, "all places are taken and the organisation has more than its share of them: try again later").
		WithRetry(max(minRetry, time.Duration((1+rand.Float64())*float64(wait))))
}

package shifter

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/hasher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// stage is one step of a roll-out.
type stage int

// Stages in their order. They follow from the order's time, not from what was seen.
const (
	// stageRest gives the new version requests without a session only.
	stageRest stage = iota
	// stageTrial gives it a share of the sessions.
	stageTrial
	// stageAll gives it everything.
	stageAll
)

const (
	// trialFrom is the part of the order's time from which on sessions may move. Before it, a session
	// whose requests come through several entries must stay where it is.
	trialFrom = 0.5
	// restShare is the share of requests without a session that try the version before that.
	restShare = 0.02
	// trialPart is the part of the exposure bound that the trial takes as its share: more would leave
	// too little time for the old version's streams to end once the new one takes all.
	trialPart = 0.6
	// exposurePart is the part of the exposure bound that is planned for; the rest is for traffic that
	// rises at the end of the order's time.
	exposurePart = 0.9
	// completeLead is how long before the end of the order's time the version is reported as completed:
	// a write whose answer was lost is repeated once, and who gave the order looks at it now and then.
	completeLead = 800 * time.Millisecond
	// leastDrain is how long the old version's streams have at least, if the new version takes all too
	// late to be completed in time.
	leastDrain = 2 * time.Second
	// defaultWithin is the time of an order that names none.
	defaultWithin = time.Minute
	// defaultExposure is the exposure bound if the settings name none.
	defaultExposure = 0.1
)

// schedule tells when a roll-out's stages begin, counted from the order, and what they give.
type schedule struct {
	trialAt, allAt, doneAt time.Duration
	rest, trial            float64
}

// scheduleOf plans a roll-out so that a version whose faults nobody sees stays within the exposure
// bound, a part of all requests in the order's time. It answers versions that fail only under a load
// that the trial does not reach: all requests move so late that those left in the order's time fit
// into the bound. A short order leaves the trial less, and one that is too short is completed late.
func scheduleOf(within time.Duration, exposure float64) schedule {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	budget := exposurePart * exposure
	least := min(float64(completeLead)/float64(max(within, 1)), budget)
	s := schedule{rest: restShare, trial: trialPart * exposure}
	full := (budget - s.rest*trialFrom - s.trial*(1-trialFrom)) / (1 - s.trial)
	if full < least {
		full = least
		s.trial = (budget - full) / (1 - full)
		s.rest = s.trial
	}
	s.trialAt = time.Duration(trialFrom * float64(within))
	s.allAt = within - time.Duration(full*float64(within))
	s.doneAt = max(within-completeLead, s.allAt)
	return s
}

// next returns when the stage after the given one is due, or the completion after the last.
func (s schedule) next(now stage) time.Duration {
	switch now {
	case stageRest:
		return s.trialAt
	case stageTrial:
		return s.allAt
	}
	return s.doneAt
}

// share returns what a stage gives the new version, of requests with or without a session.
func (s schedule) share(now stage, session bool) float64 {
	switch {
	case now >= stageAll:
		return 1
	case now == stageTrial:
		return s.trial
	case session:
		return 0
	}
	return s.rest
}

// Choice tells which versions may get a request: only the named one if there is one, and
// never the excepted one.
type Choice struct {
	Only   model.VersionID
	Except model.VersionID
}

// Allows reports whether a version may get the request.
func (c Choice) Allows(v model.VersionID) bool {
	if c.Only != "" {
		return v == c.Only
	}
	return c.Except == "" || v != c.Except
}

// chooseInput is what the choice of a version reads.
type chooseInput struct {
	order model.RolloutOrder
	// base is the version that served before the order; empty if it is not known.
	base     model.VersionID
	schedule schedule
	stage    stage
	bad      bool
	ask      forwarder.VersionRequest
}

// choose decides whether a request goes to the new version. A hash of the session against a share
// that only rises decides, so that all entries agree without a word and no session goes back. It
// answers sessions whose requests come through several entries while a version is brought in.
func choose(in chooseInput) Choice {
	done := in.order.Reported == in.order.Version
	before, after := Choice{Only: in.base, Except: in.order.Version}, Choice{Only: in.order.Version}
	share := in.schedule.share(in.stage, in.ask.Session != "")
	switch {
	case in.bad || done && in.order.State == model.RolloutReverted:
		return before
	case done && in.order.State == model.RolloutCompleted, share >= 1:
		return after
	}
	key := in.ask.Session
	if key == "" {
		key = in.ask.Request
	}
	if hasher.ToUnitInterval(key+"\x00"+string(in.order.Version)) < share {
		return after
	}
	return before
}

// orderLag is how long a version may be seen before the order that brings it in: a watch of the store
// may hear nothing for a while.
const orderLag = 5 * time.Second

// chooseUnordered decides without a roll-out order: a version that was first seen just now gets
// nothing as long as another one is ready. It answers backend servers that are heard of before the
// order that they were started for.
func chooseUnordered(servers []model.BackendServer, first map[model.VersionID]time.Time, now time.Time) Choice {
	var fresh model.VersionID
	settled := false
	for _, b := range servers {
		if now.Sub(first[b.Version]) < orderLag {
			fresh = b.Version
		} else if b.State == model.BackendReady {
			settled = true
		}
	}
	if !settled {
		return Choice{}
	}
	return Choice{Except: fresh}
}

// baseInput is what the version that served before an order follows from.
type baseInput struct {
	order   model.RolloutOrder
	servers []model.BackendServer
	// last is the version of the order before and its stage, if the store still tells.
	last  model.VersionID
	stage stage
}

// baseOf returns the version that served before an order: the one of the order before if it
// took all, and the one with the oldest backend server otherwise. It answers orders that come
// before the one before them is done, with three versions alive.
func baseOf(in baseInput) model.VersionID {
	oldest := map[model.VersionID]int64{}
	for _, s := range in.servers {
		if born, ok := oldest[s.Version]; s.Version != in.order.Version && (!ok || s.Born < born) {
			oldest[s.Version] = s.Born
		}
	}
	reverted := in.order.State == model.RolloutReverted && in.order.Reported == in.last
	completed := in.order.State == model.RolloutCompleted && in.order.Reported == in.last
	if _, alive := oldest[in.last]; alive && !reverted && (completed || in.stage >= stageAll) {
		return in.last
	}
	best := model.VersionID("")
	for v, born := range oldest {
		if best == "" || born < oldest[best] || born == oldest[best] && v < best {
			best = v
		}
	}
	return best
}

// spread is the part of an order's time over which entries spread their writes, maxSpread the most.
const (
	spread    = 0.015
	maxSpread = 200 * time.Millisecond
)

// turn returns how long an entry waits beyond the time of a write, so that one write suffices in
// most cases.
func turn(self model.InstanceID, n stage, within time.Duration) time.Duration {
	at := hasher.ToUnitInterval(string(self) + string(rune('0'+n)))
	return time.Duration(at * min(spread*float64(within), float64(maxSpread)))
}

package shifter

import (
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/hasher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// stage is a phase of a roll-out.
type stage int

// Stages in their order. The time since the order alone decides when a stage starts.
const (
	// stageSessionless sends the new version a share of the requests without a session.
	stageSessionless stage = iota
	// stageCanary sends it a share of the sessions as well.
	stageCanary
	// stageFull sends it all requests.
	stageFull
)

const (
	// canaryStart is the part of the order's duration after which sessions may move. Until then, a session
	// whose requests arrive at several entries must stay on its version.
	canaryStart = 0.5
	// initialShare is the share of requests without a session that the new version gets before canaryStart.
	initialShare = 0.02
	// canaryPart is the canary's share of requests as a part of the exposure bound. A larger share would
	// leave too little time for the old version's streams to end once the new version gets all requests.
	canaryPart = 0.6
	// plannedPart is the part of the exposure bound that the schedule uses; the rest covers traffic that
	// rises towards the end of the order's duration.
	plannedPart = 0.9
	// completionLead is how long before the end of the order's duration the entry reports the version as
	// completed: it repeats a write whose answer was lost once, and the issuer of the order polls the
	// status only now and then.
	completionLead = 800 * time.Millisecond
	// minDrain is the time that the old version's streams get at least if the new version gets all requests
	// too late to be completed in time.
	minDrain = 2 * time.Second
	// holdLevel is the level of suspicion, as a part of that of a verdict, at which a version is held. Versions in
	// good order seldom reach it.
	holdLevel = 0.4
	// maxHold is how long a version waits at most, at each stage, for a suspicion to end and for evidence that clears
	// it, as a part of the order's duration.
	maxHold = 1.0
	// defaultDuration is the duration of an order that sets none.
	defaultDuration = time.Minute
	// defaultExposure is the exposure bound if the settings set none.
	defaultExposure = 0.1
)

// schedule holds the times of a roll-out's stages, counted from the order, and the shares of requests
// that the new version gets.
type schedule struct {
	canaryAt, fullAt, completeAt  time.Duration
	sessionlessShare, canaryShare float64
}

// newSchedule plans a roll-out so that a version whose faults are never detected gets at most the exposure
// bound, a part of all requests within the order's duration. Some versions fail only under a load that
// the canary does not reach, so all requests move only when those left within the duration fit into the
// bound. A short order reduces the canary's share, and one that is too short completes late.
func newSchedule(duration time.Duration, exposure float64) schedule {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	budget := plannedPart * exposure
	least := min(float64(completionLead)/float64(max(duration, 1)), budget)
	s := schedule{sessionlessShare: initialShare, canaryShare: canaryPart * exposure}
	full := (budget - s.sessionlessShare*canaryStart - s.canaryShare*(1-canaryStart)) / (1 - s.canaryShare)
	if full < least {
		full = least
		s.canaryShare = (budget - full) / (1 - full)
		s.sessionlessShare = s.canaryShare
	}
	s.canaryAt = time.Duration(canaryStart * float64(duration))
	s.fullAt = duration - time.Duration(full*float64(duration))
	s.completeAt = max(duration-completionLead, s.fullAt)
	return s
}

// next returns when the stage after the current one is due, or the completion after the last.
func (s schedule) next(current stage) time.Duration {
	switch current {
	case stageSessionless:
		return s.canaryAt
	case stageCanary:
		return s.fullAt
	}
	return s.completeAt
}

// share returns the new version's share at a stage, of requests with or without a session.
func (s schedule) share(current stage, session bool) float64 {
	switch {
	case current >= stageFull:
		return 1
	case current == stageCanary:
		return s.canaryShare
	case session:
		return 0
	}
	return s.sessionlessShare
}

// Choice restricts the versions that may get a request: to Only if it is set, and never to Except.
type Choice struct {
	Only   model.VersionID
	Except model.VersionID
	// Concentrated sends the requests to one backend server after the other; it is the Turn of one of them.
	Concentrated bool
	Turn         int
}

// Concentrate reports whether requests are concentrated on one backend server after the other, and whose turn it is.
func (c Choice) Concentrate() (turn int, on bool) { return c.Turn, c.Concentrated }

// Allows reports whether a version may get the request.
func (c Choice) Allows(v model.VersionID) bool {
	if c.Only != "" {
		return v == c.Only
	}
	return c.Except == "" || v != c.Except
}

// turnTime is how long the requests are concentrated on one backend server, so that a fault shows on several of them
// before many requests meet it.
const turnTime = 500 * time.Millisecond

// chooseInput is the input of chooseVersions.
type chooseInput struct {
	order model.RolloutOrder
	// previous is the version that served before the order; empty if it is unknown.
	previous model.VersionID
	schedule schedule
	stage    stage
	bad      bool
	// uncleared is set while too little was seen of the new version; inStage is the time since it got all requests.
	uncleared bool
	inStage   time.Duration
	req       forwarder.VersionRequest
}

// chooseVersions decides whether a request goes to the new version. It compares a hash of the session
// with a share that only rises, so that all entries agree without messages and no session moves back,
// even if a session's requests arrive at several entries during the roll-out.
func chooseVersions(in chooseInput) Choice {
	done := in.order.Reported == in.order.Version
	before, after := Choice{Only: in.previous, Except: in.order.Version}, Choice{Only: in.order.Version}
	share := in.schedule.share(in.stage, in.req.Session != "")
	completed := done && in.order.State == model.RolloutCompleted
	switch {
	case completed && (!in.bad || !isReady(in.previous, in.req.Servers)):
		// Another entry completed the version. Once the old one's servers are gone, a faulty version serves more callers
		// than none.
		return after
	case in.bad || done && in.order.State == model.RolloutReverted:
		return before
	case share >= 1:
		// The old version could still take over, so this is the time to see how the new one bears load.
		after.Concentrated, after.Turn = in.uncleared, int(in.inStage/turnTime)
		return after
	}
	key := in.req.Session
	if key == "" {
		key = in.req.Request
	}
	if hasher.ToUnitInterval(key+"\x00"+string(in.order.Version)) < share {
		return after
	}
	return before
}

// isReady reports whether a version has a ready backend server.
func isReady(v model.VersionID, servers []model.BackendServer) bool {
	return slices.ContainsFunc(servers, func(s model.BackendServer) bool { return s.Version == v && s.State == model.BackendReady })
}

// orderLag is how long a version may be known before the order that introduces it: a watch of the store
// may receive nothing for a while.
const orderLag = 5 * time.Second

// chooseWithoutOrder decides while the service has no roll-out order: a version first seen less than
// orderLag ago gets no requests as long as another one is ready. An entry may learn of backend servers
// before it learns of the order that they were started for.
func chooseWithoutOrder(servers []model.BackendServer, first map[model.VersionID]time.Time, now time.Time) Choice {
	var recent model.VersionID
	otherReady := false
	for _, b := range servers {
		if now.Sub(first[b.Version]) < orderLag {
			recent = b.Version
		} else if b.State == model.BackendReady {
			otherReady = true
		}
	}
	if !otherReady {
		return Choice{}
	}
	return Choice{Except: recent}
}

// previousInput is the input of previousVersion.
type previousInput struct {
	order   model.RolloutOrder
	servers []model.BackendServer
	// lastOrdered is the version of the previous order and stage the stage it reached, if the store still holds them.
	lastOrdered model.VersionID
	stage       stage
}

// previousVersion returns the version that served before an order: that of the previous order if it got
// all requests, and the one with the oldest backend server otherwise. An order may arrive before the
// previous one is done, while three versions have backend servers.
func previousVersion(in previousInput) model.VersionID {
	oldest := map[model.VersionID]int64{}
	for _, s := range in.servers {
		if start, ok := oldest[s.Version]; s.Version != in.order.Version && (!ok || s.StartUnixMilli < start) {
			oldest[s.Version] = s.StartUnixMilli
		}
	}
	reverted := in.order.State == model.RolloutReverted && in.order.Reported == in.lastOrdered
	completed := in.order.State == model.RolloutCompleted && in.order.Reported == in.lastOrdered
	if _, present := oldest[in.lastOrdered]; present && !reverted && (completed || in.stage >= stageFull) {
		return in.lastOrdered
	}
	best := model.VersionID("")
	for v, start := range oldest {
		if best == "" || start < oldest[best] || start == oldest[best] && v < best {
			best = v
		}
	}
	return best
}

// writeSpread is the part of an order's duration over which the entries spread their writes, and
// maxWriteSpread its upper bound.
const (
	writeSpread    = 0.015
	maxWriteSpread = 200 * time.Millisecond
)

// writeDelay returns how long an entry waits beyond the time of a write, so that in most cases only one
// entry writes.
func writeDelay(self model.InstanceID, n stage, duration time.Duration) time.Duration {
	at := hasher.ToUnitInterval(string(self) + string(rune('0'+n)))
	return time.Duration(at * min(writeSpread*float64(duration), float64(maxWriteSpread)))
}

// restateSpread is the time over which the entries spread what they write again after a restore of the store. Those
// that read of another's write in time need not write.
const restateSpread = 2 * time.Second

func restateDelay(self model.InstanceID) time.Duration {
	return time.Duration(hasher.ToUnitInterval("restate\x00"+string(self)) * float64(restateSpread))
}

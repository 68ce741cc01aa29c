package shifter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// stage is one step of a roll-out: from a part of the order's time on, the new version gets a
// share of the sessions.
type stage struct {
	at    float64
	share float64
}

// stages keep the new version under 8% of the order's requests until it takes all, so that one
// that fails only under full load is found within the usual bound of 12% to 15%. In the first
// half its share is small and steady: a session whose requests come through several entries may
// move to the new version when the share rises, which is wanted only later. It takes all early
// enough for the old version's streams to end before the order's time is over.
var stages = []stage{
	{at: 0, share: 0.02},
	{at: 0.5, share: 0.15},
	{at: 0.58, share: 0.5},
	{at: 0.66, share: 1},
}

// completeAt is the part of the order's time after which a version that took all is done.
const completeAt = 0.88

// hold returns how long a stage lasts of an order's time.
func hold(n int, within time.Duration) time.Duration {
	end := completeAt
	if n+1 < len(stages) {
		end = stages[n+1].at
	}
	return time.Duration((end - stages[n].at) * float64(within))
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
	base  model.VersionID
	stage int
	bad   bool
	// session names the caller's session; last is whether it was sent to the new version
	// lately, if known.
	session     string
	last, known bool
}

// choose decides whether a request goes to the new version. A session keeps its version until
// the new one takes all; otherwise a hash decides, so that all entries agree. It answers
// sessions whose requests come through several entries while a version is brought in.
func choose(in chooseInput) Choice {
	done := in.order.Reported == in.order.Version
	before, after := Choice{Only: in.base, Except: in.order.Version}, Choice{Only: in.order.Version}
	fresh := in.last
	switch {
	case in.bad || done && in.order.State == model.RolloutReverted:
		return before
	case done && in.order.State == model.RolloutCompleted, stages[in.stage].share >= 1:
		return after
	case !in.known:
		at := float64(xxhash.Sum64String(in.session+"\x00"+string(in.order.Version))>>11) / (1 << 53)
		fresh = at < stages[in.stage].share
	}
	if fresh {
		return after
	}
	return before
}

// baseInput is what the version that served before an order follows from.
type baseInput struct {
	order   model.RolloutOrder
	servers []model.BackendServer
	// last is the version of the order before and its stage, if the store still tells.
	last  model.VersionID
	stage int
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
	if _, alive := oldest[in.last]; alive && !reverted && (completed || stages[min(in.stage, len(stages)-1)].share >= 1) {
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

// spread is the part of an order's time over which entries spread their writes.
const spread = 0.02

// turn returns how long an entry waits beyond a stage's end before it writes, so that one
// write suffices in most cases.
func turn(self model.InstanceID, n int, within time.Duration) time.Duration {
	at := float64(xxhash.Sum64String(string(self)+string(rune('0'+n)))>>11) / (1 << 53)
	return time.Duration(at * spread * float64(within))
}

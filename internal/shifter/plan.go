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

// Choice tells which versions may get a request: only the named one, or all but it. An empty
// version allows all.
type Choice struct {
	Version model.VersionID
	Only    bool
}

// Allows reports whether a version may get the request.
func (c Choice) Allows(v model.VersionID) bool {
	return c.Version == "" || (v == c.Version) == c.Only
}

// chooseInput is what the choice of a version reads.
type chooseInput struct {
	order model.RolloutOrder
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
	switch {
	case in.bad || done && in.order.State == model.RolloutReverted:
		return Choice{Version: in.order.Version}
	case done && in.order.State == model.RolloutCompleted, stages[in.stage].share >= 1:
		return Choice{Version: in.order.Version, Only: true}
	case in.known:
		return Choice{Version: in.order.Version, Only: in.last}
	}
	at := float64(xxhash.Sum64String(in.session+"\x00"+string(in.order.Version))>>11) / (1 << 53)
	return Choice{Version: in.order.Version, Only: at < stages[in.stage].share}
}

// spread is the part of an order's time over which entries spread their writes.
const spread = 0.02

// turn returns how long an entry waits beyond a stage's end before it writes, so that one
// write suffices in most cases.
func turn(self model.InstanceID, n int, within time.Duration) time.Duration {
	at := float64(xxhash.Sum64String(string(self)+string(rune('0'+n)))>>11) / (1 << 53)
	return time.Duration(at * spread * float64(within))
}

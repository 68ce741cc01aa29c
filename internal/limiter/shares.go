package limiter

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// shareInterval is how often an entry's share follows changes of the list of entries.
	shareInterval = time.Second
	// noShareWait is the wait that an entry without a share of a limit states. Other entries may have a share.
	noShareWait = time.Second
)

// fleetLimit is what all entries together may send to a backend server: rate requests a second, and bursts requests at
// once beyond that.
type fleetLimit struct{ rate, bursts float64 }

// shareBucket is a token bucket for an entry's share of a limit. It starts empty: a burst of new buckets would exceed
// the limit.
type shareBucket struct {
	rate, burst, level float64
	refilledAt         time.Time
	// sharedAt is when the share was computed, zero after a change of the limit.
	sharedAt time.Time
}

// refill brings the share and the level of the bucket up to date.
func (b *shareBucket) refill(limit fleetLimit, s model.BackendServer, self model.Instance, members func() []model.Instance, now time.Time) {
	if now.Sub(b.sharedAt) >= shareInterval {
		b.rate, b.burst = shareOfServer(limit, s, self, members())
		b.sharedAt = now
	}
	b.level = min(b.burst, b.level+b.rate*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
}

// wait returns how long it takes until the bucket holds a request.
func (b shareBucket) wait() time.Duration {
	switch {
	case b.level >= 1:
		return 0
	case b.rate <= 0:
		return noShareWait
	}
	return time.Duration((1 - b.level) / b.rate * float64(time.Second))
}

// shareOfServer returns the rate and the burst that an entry may send to a backend server. Only as many entries get a
// share as bursts of one request each allow; those near the server come first.
func shareOfServer(limit fleetLimit, s model.BackendServer, self model.Instance, others []model.Instance) (rate, burst float64) {
	sharers := min(len(others)+1, int(limit.bursts))
	rank := 0
	for _, other := range others {
		if other.Instance != self.Instance && compareSharers(s, other, self) < 0 {
			rank++
		}
	}
	if rank >= sharers {
		return 0, 0
	}
	return limit.rate / float64(sharers), limit.bursts / float64(sharers)
}

// compareSharers orders entries by their distance from a backend server and then by a hash.
func compareSharers(s model.BackendServer, a, b model.Instance) int {
	hash := func(e model.Instance) uint64 {
		return xxhash.Sum64String(string(s.Backend) + "\x00" + string(e.Instance))
	}
	return cmp.Or(cmp.Compare(distance(s.Place, a.Place), distance(s.Place, b.Place)), cmp.Compare(hash(a), hash(b)))
}

func distance(a, b model.Place) int {
	switch {
	case a.Region != b.Region:
		return 2
	case a.Domain != b.Domain:
		return 1
	}
	return 0
}

package limiter

import (
	"math"
	"time"
)

// debtBucket is a token bucket that may become negative. What a request uses is known only when
// it has ended, so that it is charged afterwards; no further request is admitted until the bucket
// is positive again.
type debtBucket struct {
	level      float64
	refilledAt time.Time
}

// bucketSeconds limits the level of a bucket to this many seconds of its rate.
const bucketSeconds = 10.0

// refill adds the amount for the time since the last call; a new bucket starts full.
func (b *debtBucket) refill(rate float64, now time.Time) {
	if b.refilledAt.IsZero() {
		b.level = rate * bucketSeconds
	} else {
		b.level += rate * math.Max(0, now.Sub(b.refilledAt).Seconds())
	}
	b.level = math.Min(b.level, rate*bucketSeconds)
	b.refilledAt = now
}

// timeInDebt returns the time until the bucket is out of debt, zero if it has none.
func (b *debtBucket) timeInDebt(rate float64) time.Duration {
	if b.level > 0 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}

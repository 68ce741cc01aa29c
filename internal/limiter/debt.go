package limiter

import (
	"math"
	"time"
)

// debtBucket is a bucket that may fall below zero: what a request uses is known only after it
// ended, and its debt keeps later ones out until it is paid back.
type debtBucket struct {
	level float64
	at    time.Time
}

// bucketSpan is how many seconds of its rate a bucket holds at most.
const bucketSpan = 10.0

// refill adds what the rate has brought since the last call; a new bucket is full.
func (b *debtBucket) refill(rate float64, now time.Time) {
	if b.at.IsZero() {
		b.level = rate * bucketSpan
	} else {
		b.level += rate * math.Max(0, now.Sub(b.at).Seconds())
	}
	b.level = math.Min(b.level, rate*bucketSpan)
	b.at = now
}

// wait returns how long the bucket stays in debt, zero if it is not.
func (b *debtBucket) wait(rate float64) time.Duration {
	if b.level > 0 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.level) / rate * float64(time.Second))
}

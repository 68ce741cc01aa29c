package limiter

import (
	"math"
	"time"
)

// account is a bucket that may fall below zero: what a request uses is known only after it
// ended, and its debt keeps later ones out until it is paid back.
type account struct {
	level float64
	at    time.Time
}

// accountSpan is how many seconds of its rate an account holds at most.
const accountSpan = 10.0

// refill adds what the rate has brought since the last call; a new account is full.
func (a *account) refill(rate float64, now time.Time) {
	if a.at.IsZero() {
		a.level = rate * accountSpan
	} else {
		a.level += rate * math.Max(0, now.Sub(a.at).Seconds())
	}
	a.level = math.Min(a.level, rate*accountSpan)
	a.at = now
}

// wait returns how long the account stays in debt, zero if it is not.
func (a *account) wait(rate float64) time.Duration {
	if a.level > 0 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - a.level) / rate * float64(time.Second))
}

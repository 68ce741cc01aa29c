// Package admitter decides at a backend server what runs now, what waits and what is refused.
package admitter

import (
	"math"
	"time"
)

const (
	// sampleWindow is the number of requests that one adjustment looks at.
	sampleWindow = 20
	// maxSlow is how many of them may be slower than their target.
	maxSlow = 1
	// tolerance is how far above the unloaded time a request may be, whatever the target:
	// long prompts are slow on an idle server too.
	tolerance = 2.0
	// decrease is the factor by which the limit falls when too many are slow.
	decrease = 0.9
	// failureDecrease is the factor by which one failed request lowers the limit.
	failureDecrease = 0.97
	// baseAge is how long a measured unloaded time is believed.
	baseAge = 10 * time.Minute
)

// LimitConfig bounds an adaptive concurrency limit. First and Between are the targets for
// the time to the first byte and between two tokens; zero means no target.
type LimitConfig struct {
	Initial         int
	Min             int
	Max             int
	FirstByteTarget time.Duration
	TokenGapTarget  time.Duration
}

// Limit adapts the concurrency to the backend server by additive increase and
// multiplicative decrease (Chiu and Jain, 1989): it rises while it is in use and requests
// keep their targets, and falls when they do not.
type Limit struct {
	cfg     LimitConfig
	value   float64
	first   signal
	between signal
	samples int
	peak    int
	probing bool
}

// signal is one observed time: its target and the unloaded time seen lately.
type signal struct {
	target float64
	base   float64
	baseAt time.Time
	sum    float64
	n      int
	slow   int
}

// NewLimit returns a limit at its initial value.
func NewLimit(cfg LimitConfig) *Limit {
	cfg.Min = max(cfg.Min, 1)
	cfg.Max = max(cfg.Max, cfg.Min)
	cfg.Initial = min(max(cfg.Initial, cfg.Min), cfg.Max)
	return &Limit{
		cfg: cfg, value: float64(cfg.Initial),
		first:   signal{target: cfg.FirstByteTarget.Seconds()},
		between: signal{target: cfg.TokenGapTarget.Seconds()},
	}
}

// Value returns the number of requests that may run at once.
func (l *Limit) Value() int {
	if l.probing {
		return max(l.cfg.Min, int(l.value/2))
	}
	return int(l.value)
}

// Fail lowers the limit after a request failed at the backend server.
func (l *Limit) Fail() { l.set(l.value * failureDecrease) }

// Sample is what one finished request tells: the time to its first byte and the mean time
// between its tokens, zero if it had none, and the number that ran beside it.
type Sample struct {
	First   time.Duration
	Between time.Duration
	Running int
}

// Observe takes a sample and adjusts the limit after each window of them.
func (l *Limit) Observe(s Sample, now time.Time) {
	l.first.add(s.First.Seconds())
	l.between.add(s.Between.Seconds())
	l.samples++
	l.peak = max(l.peak, s.Running)
	if l.samples < sampleWindow {
		return
	}
	slow := max(l.first.slow, l.between.slow) > maxSlow
	used := l.peak >= l.Value()
	stale := l.first.close(now)
	stale = l.between.close(now) || stale
	l.samples, l.peak = 0, 0
	switch {
	case l.probing:
		l.probing = false
	case slow:
		l.set(l.value * decrease)
	case used:
		l.set(l.value + 1)
	}
	// Under steady load the unloaded time can only be seen by running less for a moment.
	l.probing = stale && !l.probing && l.value > float64(l.cfg.Min)
}

func (l *Limit) set(v float64) {
	l.value = math.Min(float64(l.cfg.Max), math.Max(float64(l.cfg.Min), v))
}

func (s *signal) add(v float64) {
	if v <= 0 || s.target <= 0 {
		return
	}
	s.sum += v
	s.n++
	if v > math.Max(s.target, tolerance*s.base) {
		s.slow++
	}
}

// close ends a window and reports whether the unloaded time must be measured again.
func (s *signal) close(now time.Time) bool {
	if s.n == 0 {
		return false
	}
	avg := s.sum / float64(s.n)
	s.sum, s.n, s.slow = 0, 0, 0
	stale := !s.baseAt.IsZero() && now.Sub(s.baseAt) > baseAge
	if s.base == 0 || avg < s.base || stale {
		s.base, s.baseAt = avg, now
	}
	return stale
}

// Package admitter runs, queues or refuses the requests to a backend server.
package admitter

import (
	"math"
	"time"
)

const (
	// sampleWindow is the number of samples between two adjustments of the limit.
	sampleWindow = 20
	// maxSlowSamples is the number of slow samples a window may hold before the limit falls.
	maxSlowSamples = 1
	// baselineTolerance is the multiple of the unloaded latency that a sample must also exceed
	// to count as slow, because long prompts miss the target on an idle server too.
	baselineTolerance = 2.0
	// decreaseFactor multiplies the limit after a window with too many slow samples.
	decreaseFactor = 0.9
	// failureDecreaseFactor multiplies the limit after each failed request.
	failureDecreaseFactor = 0.97
	// maxBaselineAge is the age after which the unloaded latency must be measured again.
	maxBaselineAge = 10 * time.Minute
)

// LimitConfig bounds an adaptive concurrency limit. FirstByteTarget and TokenGapTarget are the
// targets for the time to the first byte and the time between two tokens; zero means no target.
type LimitConfig struct {
	Initial         int
	Min             int
	Max             int
	FirstByteTarget time.Duration
	TokenGapTarget  time.Duration
}

// Limit adapts the concurrency limit of a backend server by additive increase and
// multiplicative decrease (Chiu and Jain, 1989): it rises while the limit is reached and
// requests meet their latency targets, and falls when they miss them.
type Limit struct {
	cfg            LimitConfig
	value          float64
	firstByte      latency
	tokenGap       latency
	samples        int
	peakConcurrent int
	probing        bool
}

// latency tracks one kind of latency in seconds: its target, the recent unloaded latency
// (baseline) and the samples of the current window.
type latency struct {
	target     float64
	baseline   float64
	baselineAt time.Time
	sum        float64
	n          int
	slow       int
}

// NewLimit returns a limit at its initial value.
func NewLimit(cfg LimitConfig) *Limit {
	cfg.Min = max(cfg.Min, 1)
	cfg.Max = max(cfg.Max, cfg.Min)
	cfg.Initial = min(max(cfg.Initial, cfg.Min), cfg.Max)
	return &Limit{
		cfg: cfg, value: float64(cfg.Initial),
		firstByte: latency{target: cfg.FirstByteTarget.Seconds()},
		tokenGap:  latency{target: cfg.TokenGapTarget.Seconds()},
	}
}

// Value returns the number of requests that may run concurrently.
func (l *Limit) Value() int {
	if l.probing {
		return max(l.cfg.Min, int(l.value/2))
	}
	return int(l.value)
}

// RecordFailure lowers the limit after a request failed at the backend server.
func (l *Limit) RecordFailure() { l.setClamped(l.value * failureDecreaseFactor) }

// Sample is the measurement of one finished request: the time to its first byte, the mean time
// between its tokens (zero if it had none) and the number of requests running when it finished.
type Sample struct {
	FirstByte  time.Duration
	TokenGap   time.Duration
	Concurrent int
}

// Observe records a sample and adjusts the limit at the end of each window.
func (l *Limit) Observe(s Sample, now time.Time) {
	l.firstByte.add(s.FirstByte.Seconds())
	l.tokenGap.add(s.TokenGap.Seconds())
	l.samples++
	l.peakConcurrent = max(l.peakConcurrent, s.Concurrent)
	if l.samples < sampleWindow {
		return
	}
	slow := max(l.firstByte.slow, l.tokenGap.slow) > maxSlowSamples
	limitReached := l.peakConcurrent >= l.Value()
	stale := l.firstByte.close(now)
	stale = l.tokenGap.close(now) || stale
	l.samples, l.peakConcurrent = 0, 0
	switch {
	case l.probing:
		l.probing = false
	case slow:
		l.setClamped(l.value * decreaseFactor)
	case limitReached:
		l.setClamped(l.value + 1)
	}
	// Under steady load, the unloaded latency can only be measured by briefly halving the concurrency.
	l.probing = stale && !l.probing && l.value > float64(l.cfg.Min)
}

func (l *Limit) setClamped(v float64) {
	l.value = math.Min(float64(l.cfg.Max), math.Max(float64(l.cfg.Min), v))
}

func (s *latency) add(v float64) {
	if v <= 0 || s.target <= 0 {
		return
	}
	s.sum += v
	s.n++
	if v > math.Max(s.target, baselineTolerance*s.baseline) {
		s.slow++
	}
}

// close ends the window, updates the baseline and reports whether the old one had expired.
func (s *latency) close(now time.Time) bool {
	if s.n == 0 {
		return false
	}
	avg := s.sum / float64(s.n)
	s.sum, s.n, s.slow = 0, 0, 0
	stale := !s.baselineAt.IsZero() && now.Sub(s.baselineAt) > maxBaselineAge
	if s.baseline == 0 || avg < s.baseline || stale {
		s.baseline, s.baselineAt = avg, now
	}
	return stale
}

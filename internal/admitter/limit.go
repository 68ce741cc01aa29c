// Package admitter decides at a backend server what runs now, what waits and what is refused.
package admitter

import (
	"math"
	"time"
)

const (
	// sampleWindow is the number of first-byte times that one adjustment averages.
	sampleWindow = 20
	// tolerance is how far the short average may rise above the base before the limit falls.
	tolerance = 2.0
	// baseWeight smooths the base over many windows.
	baseWeight = 0.05
	// smoothing damps each adjustment.
	smoothing = 0.3
)

// LimitConfig bounds an adaptive concurrency limit.
type LimitConfig struct {
	Initial int
	Min     int
	Max     int
}

// Limit adapts the concurrency to the backend server: it falls when the time to the first
// byte rises above its base (a gradient limit) and grows while the limit is in use.
type Limit struct {
	cfg     LimitConfig
	value   float64
	base    float64
	sum     float64
	samples int
	peak    int
}

// NewLimit returns a limit at its initial value.
func NewLimit(cfg LimitConfig) *Limit {
	cfg.Min = max(cfg.Min, 1)
	cfg.Max = max(cfg.Max, cfg.Min)
	cfg.Initial = min(max(cfg.Initial, cfg.Min), cfg.Max)
	return &Limit{cfg: cfg, value: float64(cfg.Initial)}
}

// Value returns the number of requests that may run at once.
func (l *Limit) Value() int { return int(l.value) }

// Fail lowers the limit after a request failed at the backend server.
func (l *Limit) Fail() {
	l.value = math.Max(float64(l.cfg.Min), l.value*0.9)
}

// Observe takes the time to the first byte of a request that ran beside running others.
func (l *Limit) Observe(first time.Duration, running int) {
	l.sum += first.Seconds()
	l.samples++
	l.peak = max(l.peak, running)
	if l.samples < sampleWindow {
		return
	}
	short := l.sum / float64(l.samples)
	l.sum, l.samples = 0, 0
	peak := l.peak
	l.peak = 0
	if l.base == 0 || short < l.base {
		l.base = short
	}
	l.base += (short - l.base) * baseWeight
	gradient := math.Min(1, math.Max(0.5, tolerance*l.base/math.Max(short, 1e-9)))
	target := l.value*gradient + math.Sqrt(l.value)
	if gradient == 1 && peak < l.Value() {
		// An unused limit says nothing about the backend server, so it does not grow.
		return
	}
	next := l.value + (target-l.value)*smoothing
	l.value = math.Min(float64(l.cfg.Max), math.Max(float64(l.cfg.Min), next))
}

package picker

import (
	"math"
	"time"
)

const (
	// slowPeriod is how long a backend server is slowed at a time; a figure that is older says nothing of the present.
	slowPeriod = 600 * time.Millisecond
	// meanPeriod is the time constant of the mean slowdown: eight slow periods, so that a server which is slowed now and
	// then is told from one that stays slow.
	meanPeriod = 5 * time.Second
	// meanMaxAge is the age from which a mean counts nothing. A server that got no request meanwhile is tried again.
	meanMaxAge = 15 * time.Second
	// momentaryMargin and meanMargin are slowdowns that count as none. Figures vary by some percent at servers that are
	// not slowed. Means also differ by the share of slow periods in which answers came: servers that are slowed 2.5 times
	// for a seventh of the time have a mean of 1.2 with a standard deviation of 0.13.
	momentaryMargin = 0.2
	meanMargin      = 0.5
	// maxSlowdown bounds the effect of a single figure.
	maxSlowdown = 8
	// usualPercent is the figure of a server that works at its usual speed; maxPercent is the largest one that is taken.
	usualPercent = 100
	maxPercent   = 100 * usualPercent
)

// Slowdown is how much longer work takes at a backend server than usual; the zero value is a usual or unknown speed. It
// is never below 1: a server is avoided while it is slow, but not sought because it is fast, since all entries that see
// the same figures would send their requests there.
type Slowdown struct {
	// Momentary holds for the time Remaining, Lasting after that.
	Momentary, Lasting float64
	Remaining          time.Duration
}

// Stretch returns how long work takes that usually takes the given time. A slow period delays work by no more than the
// part of the period that is left, so that a long prompt does not leave an engine for a slowdown that ends soon.
func (s Slowdown) Stretch(work time.Duration) time.Duration {
	momentary, lasting := max(s.Momentary, 1), max(s.Lasting, 1)
	slowed := time.Duration(float64(work) * momentary)
	if slowed <= s.Remaining {
		return slowed
	}
	done := time.Duration(float64(s.Remaining) / momentary)
	return s.Remaining + time.Duration(float64(work-done)*lasting)
}

// SpeedEstimate combines what a backend server reports of its speed with what its answers show. It is made for servers
// that are slowed 2.5 times by their neighbours for 0.6 s at a time: the last figure counts less with its age and
// nothing after slowPeriod, and the mean tells which servers are slow for longer. Servers that report no figure always
// have the zero Slowdown.
type SpeedEstimate struct {
	figure   float64
	figureAt time.Time
	// reported is the mean of the figures, observed that of the answers.
	reported, observed agedMean
}

// agedMean is a mean of slowdowns over about meanPeriod.
type agedMean struct {
	value float64
	at    time.Time
}

func (m *agedMean) add(slowdown float64, now time.Time) {
	if m.at.IsZero() {
		// One sample may be of a slow period, so the mean starts at the usual speed.
		m.value, m.at = 1, now
		return
	}
	elapsed := max(now.Sub(m.at), 0)
	m.value += (slowdown - m.value) * (1 - math.Exp(-float64(elapsed)/float64(meanPeriod)))
	m.at = now
}

// Report records a figure, the time that work takes in percent of the usual one, and reports whether it is in range.
func (e *SpeedEstimate) Report(percent int, now time.Time) bool {
	if percent <= 0 || percent > maxPercent {
		return false
	}
	e.figure, e.figureAt = min(float64(percent)/usualPercent, maxSlowdown), now
	e.reported.add(e.figure, now)
	return true
}

// Observe records that work took the given multiple of what such work takes at the servers of the service on average.
func (e *SpeedEstimate) Observe(ratio float64, now time.Time) {
	if e.figureAt.IsZero() || !(ratio > 0) {
		return
	}
	e.observed.add(min(ratio, maxSlowdown), now)
}

// At returns the slowdown to be expected from now on.
func (e *SpeedEstimate) At(now time.Time) Slowdown {
	if e.figureAt.IsZero() {
		return Slowdown{}
	}
	// Answers that were not slowed say that the figures exaggerate, and the other way round.
	excess, weights := 0.0, 0.0
	for _, m := range []agedMean{e.reported, e.observed} {
		if m.at.IsZero() {
			continue
		}
		w := freshness(now.Sub(m.at), meanMaxAge)
		excess, weights = excess+w*(m.value-1), weights+w
	}
	s := Slowdown{Lasting: 1}
	if weights > 0 {
		// Divided by the weights alone, an old mean would stay in force.
		trust := max(freshness(now.Sub(e.reported.at), meanMaxAge), freshness(now.Sub(e.observed.at), meanMaxAge))
		s.Lasting = 1 + max(trust*excess/weights-meanMargin, 0)
	}
	fresh := freshness(now.Sub(e.figureAt), slowPeriod)
	s.Momentary = max(1+max(fresh*(e.figure-1)-momentaryMargin, 0), s.Lasting)
	// At a random moment, half of a slow period is left.
	s.Remaining = time.Duration(fresh * float64(slowPeriod) / 2)
	return s
}

// freshness is the weight of knowledge by its age: 1 when it is new, and 0 from maxAge on.
func freshness(age, maxAge time.Duration) float64 {
	return min(max(1-float64(age)/float64(maxAge), 0), 1)
}

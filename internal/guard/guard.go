// Package guard judges a roll-out's version against the version beside it by sequential
// tests, so that a bad version is found after few requests and a good one seldom stopped.
package guard

import (
	"fmt"
	"math"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// falseAlarm is the tolerated chance that a good roll-out is stopped.
	falseAlarm = 1.0 / 200
	// usualSpan is the number of requests over which the chance of a false alarm is counted, unless the
	// settings name another.
	usualSpan = 20_000
	// minControl is the number of outcomes of the old version needed before means are
	// compared.
	minControl = 50
	// floorFailure is the lowest failure rate assumed of a healthy version.
	floorFailure = 0.005
	// ratingMemory is the number of ratings after which the old version's fade.
	ratingMemory = 5000.0
	// recentMemory is the same for failures and times. It is short, so that what slows or
	// fails both versions at once, such as a busy instance, shows in the old one as well.
	recentMemory = 400.0
)

// Alternatives that each test looks for: failure rates, drops of the mean rating, and
// factors of the first-token time. BadFailures are those of a usual service.
var (
	BadFailures = []float64{0.06, 0.25, 0.7}
	badDrops    = []float64{0.06, 0.15, 0.35}
	badFactors  = []float64{1.5, 2.5, 6}
)

// threshold returns the level of a cumulative sum (CUSUM; Page, 1954) at which a version is bad.
// A sum of log-likelihood ratios passes h within n steps with a chance of at most n*exp(-h); all
// tests share the tolerated chance.
func threshold(span, tests int) float64 {
	return math.Log(float64(span) / falseAlarm * float64(tests) / correction)
}

// correction allows for the overlap of excursions, which makes the plain bound loose.
const correction = 100

// Verdict is what the tests say at present.
type Verdict struct {
	Bad    bool
	Level  float64
	Reason string
}

// Config tunes a Guard.
type Config struct {
	// Failures are the failure rates that are looked for; none skips the test.
	Failures []float64
	// FloorFailure is the lowest failure rate that is taken of a healthy version; 0 stands for the usual
	// one.
	FloorFailure float64
	// Factors are the factors of the first-token time that are looked for; none skips the test.
	Factors []float64
	// Span is the number of outcomes over which the chance of a false alarm is counted; 0 stands for the
	// usual one.
	Span int
	// LogVariance is the least variance that is taken of the logarithm of the first-token time.
	LogVariance float64
}

// Guard compares one version with another from their tallies.
type Guard struct {
	cfg     Config
	limit   float64
	control control
	fails   []float64
	drops   []float64
	slows   []float64
	seen    int
}

// New returns a guard that has seen nothing.
func New() *Guard {
	return NewWith(Config{Failures: BadFailures, Factors: badFactors, LogVariance: minLogVariance})
}

// NewWith returns a guard that looks for other slowness.
func NewWith(cfg Config) *Guard {
	if cfg.Span == 0 {
		cfg.Span = usualSpan
	}
	if cfg.FloorFailure == 0 {
		cfg.FloorFailure = floorFailure
	}
	return &Guard{
		cfg:   cfg,
		limit: threshold(cfg.Span, len(cfg.Failures)+len(badDrops)+len(cfg.Factors)),
		fails: make([]float64, len(cfg.Failures)),
		drops: make([]float64, len(badDrops)),
		slows: make([]float64, len(cfg.Factors)),
	}
}

// Seen returns the number of requests of the new version.
func (g *Guard) Seen() int { return g.seen }

// ObserveControl takes outcomes of the old version.
func (g *Guard) ObserveControl(t model.Tally) { g.control.add(t) }

// Observe takes outcomes of the new version and returns the verdict.
func (g *Guard) Observe(t model.Tally) Verdict {
	g.seen += t.Requests
	g.failures(t)
	g.quality(t)
	g.latency(t)
	return g.Verdict()
}

// Verdict returns the present verdict; Level is 1 at the threshold.
func (g *Guard) Verdict() Verdict {
	tests := []struct {
		sums []float64
		name string
	}{{g.fails, "it fails more often"}, {g.drops, "its answers rate lower"}, {g.slows, "its first token is slower"}}
	v := Verdict{Reason: "nothing speaks against it"}
	for _, test := range tests {
		for _, s := range test.sums {
			if level := s / g.limit; level > v.Level {
				v.Level, v.Reason = level, fmt.Sprintf("%s than the version beside it", test.name)
			}
		}
	}
	v.Bad = v.Level >= 1
	return v
}

func (g *Guard) failures(t model.Tally) {
	ok := g.control.failure(g.cfg.FloorFailure)
	for i, bad := range g.cfg.Failures {
		bad = math.Max(bad, math.Min(0.95, 3*ok))
		if bad <= ok {
			continue
		}
		llr := float64(t.Failures)*math.Log(bad/ok) + float64(t.Requests-t.Failures)*math.Log((1-bad)/(1-ok))
		g.fails[i] = math.Max(0, g.fails[i]+llr)
	}
}

func (g *Guard) quality(t model.Tally) {
	mean, variance, ok := g.control.quality.moments(minVariance)
	if !ok {
		return
	}
	for i, drop := range badDrops {
		llr := drop / variance * (float64(t.Rated)*(mean-drop/2) - t.Quality)
		g.drops[i] = math.Max(0, g.drops[i]+llr)
	}
}

func (g *Guard) latency(t model.Tally) {
	mean, variance, ok := g.control.first.moments(g.cfg.LogVariance)
	if !ok {
		return
	}
	for i, factor := range g.cfg.Factors {
		rise := math.Log(factor)
		llr := rise / variance * (t.LogFirst - float64(t.Timed)*(mean+rise/2))
		g.slows[i] = math.Max(0, g.slows[i]+llr)
	}
}

// control sums the outcomes of the old version.
type control struct {
	requests float64
	failed   float64
	quality  moments
	first    moments
}

func (c *control) add(t model.Tally) {
	if c.requests > recentMemory {
		c.requests /= 2
		c.failed /= 2
	}
	c.requests += float64(t.Requests)
	c.failed += float64(t.Failures)
	c.quality.add(float64(t.Rated), t.Quality, t.Quality2, ratingMemory)
	c.first.add(float64(t.Timed), t.LogFirst, t.LogFirst2, recentMemory)
}

// failure estimates the old version's failure rate, not below a floor.
func (c *control) failure(floor float64) float64 {
	return math.Max(floor, (c.failed+floor*minControl)/(c.requests+minControl))
}

// moments sums a quantity for its mean and variance.
type moments struct {
	n, sum, square float64
}

func (m *moments) add(n, sum, square, memory float64) {
	if m.n > memory {
		m.n /= 2
		m.sum /= 2
		m.square /= 2
	}
	m.n += n
	m.sum += sum
	m.square += square
}

// Variances are not taken for less than these: a quantity that hardly varies would turn
// every small difference into evidence. The second is that of the logarithm of a time.
const (
	minVariance    = 0.002
	minLogVariance = 0.06
)

// moments returns mean and variance once enough was seen. The variance is widened for the
// mean's own uncertainty.
func (m *moments) moments(least float64) (mean, variance float64, ok bool) {
	if m.n < minControl {
		return 0, 0, false
	}
	mean = m.sum / m.n
	variance = math.Max(least, m.square/m.n-mean*mean)
	return mean, variance * (1 + 20/m.n), true
}

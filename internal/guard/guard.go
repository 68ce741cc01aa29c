// Package guard compares a roll-out's new version with the version beside it by sequential tests. They
// detect a bad version after few requests and seldom stop a good one.
package guard

import (
	"fmt"
	"math"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// falseAlarmRate is the tolerated probability that a good roll-out is stopped.
	falseAlarmRate = 1.0 / 200
	// defaultSpan is the number of requests over which the probability of a false alarm is bounded, unless
	// the Config sets another.
	defaultSpan = 20_000
	// minControlOutcomes is the number of outcomes of the old version needed before means are compared.
	minControlOutcomes = 50
	// defaultMinFailureRate is the lowest failure rate assumed of a healthy version.
	defaultMinFailureRate = 0.005
	// ratingMemory is the number of the old version's ratings above which their weight is halved.
	ratingMemory = 5000.0
	// recentMemory is the same number for failures and times. It is short, so that a cause that slows or
	// fails both versions at once, such as a busy instance, soon shows in the old version as well.
	recentMemory = 400.0
)

// Alternative hypotheses of each test: failure rates, drops of the mean rating, and factors in the
// first-token time. DefaultFailureRates suit a usual service.
var (
	DefaultFailureRates   = []float64{0.06, 0.25, 0.7}
	defaultRatingDrops    = []float64{0.06, 0.15, 0.35}
	defaultLatencyFactors = []float64{1.5, 2.5, 6}
)

// threshold returns the value of a cumulative sum (CUSUM; Page, 1954) at which a version is bad. A sum
// of log-likelihood ratios exceeds h within n steps with a probability of at most n*exp(-h); all tests
// share the tolerated probability.
func threshold(span, tests int) float64 {
	return math.Log(float64(span) / falseAlarmRate * float64(tests) / overlapCorrection)
}

// overlapCorrection lowers the threshold: excursions of the sums overlap, which makes the plain bound
// loose.
const overlapCorrection = 100

// Verdict is the current result of all tests. Level is the highest sum relative to the threshold, and
// Reason names its test.
type Verdict struct {
	Bad    bool
	Level  float64
	Reason string
}

// Config configures a Guard.
type Config struct {
	// Failures are the failure rates that the guard tests for; an empty list skips the test.
	Failures []float64
	// MinFailureRate is the lowest failure rate assumed of a healthy version; 0 means the default.
	MinFailureRate float64
	// LatencyFactors are the factors in the first-token time that the guard tests for; an empty list skips
	// the test.
	LatencyFactors []float64
	// Span is the number of outcomes over which the probability of a false alarm is bounded; 0 means the
	// default.
	Span int
	// MinLogVariance is the smallest variance assumed for the logarithm of the first-token time.
	MinLogVariance float64
}

// Guard compares a new version with an old one by the counts of their outcomes.
type Guard struct {
	cfg         Config
	limit       float64
	control     control
	failureSums []float64
	ratingSums  []float64
	latencySums []float64
	seen        int
}

// New returns a guard with the default tests and no outcomes.
func New() *Guard {
	return NewWith(Config{Failures: DefaultFailureRates, LatencyFactors: defaultLatencyFactors, MinLogVariance: minLogVariance})
}

// NewWith returns a guard with the tests that cfg sets and no outcomes.
func NewWith(cfg Config) *Guard {
	if cfg.Span == 0 {
		cfg.Span = defaultSpan
	}
	if cfg.MinFailureRate == 0 {
		cfg.MinFailureRate = defaultMinFailureRate
	}
	return &Guard{
		cfg:         cfg,
		limit:       threshold(cfg.Span, len(cfg.Failures)+len(defaultRatingDrops)+len(cfg.LatencyFactors)),
		failureSums: make([]float64, len(cfg.Failures)),
		ratingSums:  make([]float64, len(defaultRatingDrops)),
		latencySums: make([]float64, len(cfg.LatencyFactors)),
	}
}

// Seen returns the number of observed requests of the new version.
func (g *Guard) Seen() int { return g.seen }

// ObserveControl adds outcomes of the old version.
func (g *Guard) ObserveControl(t model.VersionStats) { g.control.add(t) }

// Observe adds outcomes of the new version and returns the verdict.
func (g *Guard) Observe(t model.VersionStats) Verdict {
	g.seen += t.Requests
	g.failures(t)
	g.quality(t)
	g.latency(t)
	return g.Verdict()
}

// Verdict returns the current verdict; Level is 1 at the threshold.
func (g *Guard) Verdict() Verdict {
	tests := []struct {
		sums []float64
		name string
	}{{g.failureSums, "it fails more often"}, {g.ratingSums, "its answers rate lower"}, {g.latencySums, "its first token is slower"}}
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

// failures updates the sums of the tests for a higher failure rate.
func (g *Guard) failures(t model.VersionStats) {
	healthyRate := g.control.failureRate(g.cfg.MinFailureRate)
	for i, badRate := range g.cfg.Failures {
		badRate = math.Max(badRate, math.Min(0.95, 3*healthyRate))
		if badRate <= healthyRate {
			continue
		}
		llr := float64(t.Failures)*math.Log(badRate/healthyRate) + float64(t.Requests-t.Failures)*math.Log((1-badRate)/(1-healthyRate))
		g.failureSums[i] = math.Max(0, g.failureSums[i]+llr)
	}
}

// quality updates the sums of the tests for lower ratings.
func (g *Guard) quality(t model.VersionStats) {
	mean, variance, ok := g.control.quality.moments(minVariance)
	if !ok {
		return
	}
	for i, drop := range defaultRatingDrops {
		llr := drop / variance * (float64(t.Rated)*(mean-drop/2) - t.Quality)
		g.ratingSums[i] = math.Max(0, g.ratingSums[i]+llr)
	}
}

// latency updates the sums of the tests for a slower first token.
func (g *Guard) latency(t model.VersionStats) {
	mean, variance, ok := g.control.latencies.moments(g.cfg.MinLogVariance)
	if !ok {
		return
	}
	for i, factor := range g.cfg.LatencyFactors {
		rise := math.Log(factor)
		llr := rise / variance * (t.LogFirstTokenSum - float64(t.Timed)*(mean+rise/2))
		g.latencySums[i] = math.Max(0, g.latencySums[i]+llr)
	}
}

// control sums the outcomes of the old version.
type control struct {
	requests  float64
	failures  float64
	quality   moments
	latencies moments
}

func (c *control) add(t model.VersionStats) {
	if c.requests > recentMemory {
		c.requests /= 2
		c.failures /= 2
	}
	c.requests += float64(t.Requests)
	c.failures += float64(t.Failures)
	c.quality.add(float64(t.Rated), t.Quality, t.QualitySquareSum, ratingMemory)
	c.latencies.add(float64(t.Timed), t.LogFirstTokenSum, t.LogFirstTokenSquareSum, recentMemory)
}

// failureRate estimates the old version's failure rate; it is at least floor.
func (c *control) failureRate(floor float64) float64 {
	return math.Max(floor, (c.failures+floor*minControlOutcomes)/(c.requests+minControlOutcomes))
}

// moments holds the sums from which a quantity's mean and variance are computed.
type moments struct {
	n, sum, sumSquares float64
}

func (m *moments) add(n, sum, sumSquares, memory float64) {
	if m.n > memory {
		m.n /= 2
		m.sum /= 2
		m.sumSquares /= 2
	}
	m.n += n
	m.sum += sum
	m.sumSquares += sumSquares
}

// Lower bounds of variances: for a quantity that hardly varies, every small difference would count as
// evidence. minLogVariance applies to the logarithm of a time.
const (
	minVariance    = 0.002
	minLogVariance = 0.06
)

// moments returns the mean and the variance, and ok once there are enough outcomes. It widens the
// variance for the uncertainty of the mean.
func (m *moments) moments(floor float64) (mean, variance float64, ok bool) {
	if m.n < minControlOutcomes {
		return 0, 0, false
	}
	mean = m.sum / m.n
	variance = math.Max(floor, m.sumSquares/m.n-mean*mean)
	return mean, variance * (1 + 20/m.n), true
}

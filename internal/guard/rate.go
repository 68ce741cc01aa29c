package guard

import "math"

const (
	// clearedExcess is the excess rate against which a version is cleared.
	clearedExcess = 0.25
	// clearLimit is the log-likelihood ratio at which a version is cleared. One with clearedExcess is cleared by chance with
	// a probability of about e to the power of -clearLimit, one in twenty.
	clearLimit = 3.0
)

// RateConfig configures a RateTest.
type RateConfig struct {
	// Excess are the rates that the test looks for, of faults among requests that a healthy version serves without.
	Excess []float64
	// Span is the number of requests over which the probability of a false alarm is bounded.
	Span int
	// Tests is the number of tests that share the tolerated probability of a false alarm.
	Tests int
}

// RateTest compares how often a new version shows a fault with how often the version beside it does. Cumulative
// sums find an excess; a sequential probability ratio test (Wald, 1945) tells when enough was seen to rule one out.
type RateTest struct {
	cfg   RateConfig
	limit float64
	sums  []float64
	clear float64
	seen  int
}

// NewRateTest returns a test without outcomes.
func NewRateTest(cfg RateConfig) *RateTest {
	return &RateTest{cfg: cfg, limit: threshold(cfg.Span, cfg.Tests), sums: make([]float64, len(cfg.Excess))}
}

// Observe adds outcomes of the new version. Healthy is the estimated rate of the fault in the version beside it, and
// high the rate that it may have as well, since few of its requests were seen; both are above 0 and below 1.
func (t *RateTest) Observe(seen, bad int, healthy, high float64) {
	t.seen += seen
	for i, excess := range t.cfg.Excess {
		t.sums[i] = math.Max(0, t.sums[i]+likelihoodRatio(seen, bad, high, excess))
	}
	// Outcomes from before a fault do not clear the version of it.
	t.clear = math.Min(0, math.Max(-clearLimit, t.clear+likelihoodRatio(seen, bad, healthy, clearedExcess)))
}

// likelihoodRatio returns the logarithm of the likelihood ratio of outcomes, between a version that shows the fault in
// a part of the requests that a healthy one serves without, and a healthy one.
func likelihoodRatio(seen, bad int, healthy, excess float64) float64 {
	faulty := healthy + (1-healthy)*excess
	return float64(bad)*math.Log(faulty/healthy) + float64(seen-bad)*math.Log((1-faulty)/(1-healthy))
}

// Level returns the highest sum relative to the threshold; from 1 on the version is bad.
func (t *RateTest) Level() float64 {
	level := 0.0
	for _, s := range t.sums {
		level = math.Max(level, s/t.limit)
	}
	return level
}

// Cleared reports whether enough outcomes were seen, since the last one that raised doubts, to rule out an excess.
func (t *RateTest) Cleared() bool { return t.clear <= -clearLimit }

// Seen returns the number of observed outcomes.
func (t *RateTest) Seen() int { return t.seen }

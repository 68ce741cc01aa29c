package chooser

import (
	"math"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Estimate is the expected quality and cost of one version for one organisation. Lower is the mean less
// a margin for the document's confidence.
type Estimate struct {
	Mean  float64
	Lower float64
	Cost  model.Money
	// Rated is the weight of the ratings so far.
	Rated float64
	// Thresholds holds, for each second version, the thresholds at which a cascade may escalate.
	Thresholds map[model.VersionID][]Threshold
}

// Threshold is a Rating below which a cascade escalates: ShareBelow is the share of first answers below
// it, and Quality the quality of the cascade as a whole.
type Threshold struct {
	Rating     model.Quality
	ShareBelow float64
	Quality    float64
}

// stats sums the ratings of one version for one organisation.
type stats struct {
	n             float64
	sum           float64
	sumSquares    float64
	bins          [bins]float64
	outputTokens  float64
	secondRatings map[model.VersionID]*binnedRatings
	repeatRatings *binnedRatings
}

// binnedRatings sums second ratings by the bin of a first rating. They are ratings of a cascade's second
// answer, since the requests that escalate are the harder ones, or of the same answer again, since an
// answer accepted for a noisy rating is worse than that rating.
type binnedRatings struct {
	n, sum [bins]float64
}

// ratingPairs sums repeated ratings of the same answer, which show how noisy ratings are.
type ratingPairs struct {
	n, x, y, xx, yy, xy float64
}

func binOf(rating float64) int { return min(int(rating*bins), bins-1) }

// binMemory is the number of second ratings in one bin after which old ones lose weight.
const binMemory = 500

func (s *binnedRatings) add(i int, rating float64) {
	if s.n[i] >= binMemory {
		s.sum[i] -= s.sum[i] / s.n[i]
		s.n[i]--
	}
	s.n[i]++
	s.sum[i] += rating
}

// binPriorWeight is the number of ratings that the prior counts for in a bin.
const binPriorWeight = 5

// mean returns the mean of the second ratings after a first one in bin i, combined with a prior.
func (s *binnedRatings) mean(i int, prior float64) float64 {
	if s == nil {
		return prior
	}
	return (s.sum[i] + binPriorWeight*prior) / (s.n[i] + binPriorWeight)
}

func (s *stats) scale(f float64) {
	s.n *= f
	s.sum *= f
	s.sumSquares *= f
	for i := range s.bins {
		s.bins[i] *= f
	}
}

// estimate combines the document's prior with the ratings so far.
func (s *stats) estimate(v model.Version, z float64, input int) Estimate {
	weight := math.Max(v.Weight, minPriorWeight)
	n := s.n + weight
	mean := (s.sum + weight*float64(v.PriorQuality)) / n
	variance := (s.sumSquares + weight*(priorVariance+float64(v.PriorQuality*v.PriorQuality))) / n
	variance = math.Max(variance-mean*mean, 0)
	outputTokens := s.outputTokens
	if outputTokens == 0 {
		outputTokens = defaultOutputTokens
	}
	return Estimate{
		Mean: mean, Lower: mean - z*math.Sqrt(variance/n), Rated: s.n,
		Cost: v.Input.Cost(input) + v.Output.Cost(int(outputTokens)),
	}
}

// thresholds lists the thresholds at which a cascade may escalate to a second version.
func (s *stats) thresholds(reliability float64, second *binnedRatings, prior float64) []Threshold {
	accepted := 0.0
	for i := range s.bins {
		accepted += s.bins[i] / s.n * s.expectedQuality(i, binMidpoint(i), reliability)
	}
	var out []Threshold
	below, escalated := 0.0, 0.0
	for i := range bins - 1 {
		p := s.bins[i] / s.n
		below += p
		accepted -= p * s.expectedQuality(i, binMidpoint(i), reliability)
		escalated += p * second.mean(i, prior)
		if p > 0 {
			out = append(out, Threshold{Rating: model.Quality(i+1) / bins, ShareBelow: below, Quality: accepted + escalated})
		}
	}
	return out
}

func binMidpoint(i int) float64 { return (float64(i) + 0.5) / bins }

// expectedQuality returns the true quality to expect of a rating in bin i: the mean of repeated ratings
// of such answers, and regression towards the mean before there are any.
func (s *stats) expectedQuality(i int, rating, reliability float64) float64 {
	mean := s.sum / s.n
	return s.repeatRatings.mean(i, mean+reliability*(rating-mean))
}

func (p *ratingPairs) add(x, y float64) {
	p.n++
	p.x += x
	p.y += y
	p.xx += x * x
	p.yy += y * y
	p.xy += x * y
}

// reliability returns the correlation of repeated ratings, which equals the true share of a rating's
// variance (classical test theory), combined with a default while there are few pairs.
func (p *ratingPairs) reliability() float64 {
	if p.n < 2 {
		return defaultReliability
	}
	cov := p.xy/p.n - p.x*p.y/(p.n*p.n)
	vx := p.xx/p.n - p.x*p.x/(p.n*p.n)
	vy := p.yy/p.n - p.y*p.y/(p.n*p.n)
	r := defaultReliability
	if vx > 0 && vy > 0 {
		r = math.Max(0, math.Min(1, cov/math.Sqrt(vx*vy)))
	}
	return (r*p.n + defaultReliability*reliabilityWeight) / (p.n + reliabilityWeight)
}

// normalQuantile returns the quantile of the standard normal distribution for p.
func normalQuantile(p float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*math.Min(math.Max(p, 0.5), 0.9999)-1)
}

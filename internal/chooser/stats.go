package chooser

import (
	"math"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Estimate is what is believed of one version for one organisation. Lower is the mean
// less a margin for the document's confidence.
type Estimate struct {
	Mean  float64
	Lower float64
	Cost  model.Money
	// Rated is the weight of the ratings seen.
	Rated float64
	// Steps holds, for each second version, the thresholds at which a cascade may step up.
	Steps map[model.VersionID][]Step
}

// Step is a cascade threshold: Below is the share of first answers under it, and Quality
// what the cascade as a whole gives.
type Step struct {
	Under   model.Quality
	Below   float64
	Quality float64
}

// stats sums the ratings of one version for one organisation.
type stats struct {
	n       float64
	sum     float64
	square  float64
	bins    [bins]float64
	output  float64
	seconds map[model.VersionID]*binned
	again   *binned
}

// binned sums second ratings by the rating of a first answer: of the second answer of a
// cascade, since the requests that step up are the harder ones, or of the same answer
// again, since an answer chosen for a noisy rating is worse than that rating.
type binned struct {
	n, sum [bins]float64
}

// pairs sums repeated ratings of the same answer, which show how noisy ratings are.
type pairs struct {
	n, x, y, xx, yy, xy float64
}

func bin(rating float64) int { return min(int(rating*bins), bins-1) }

// binMemory is the number of second answers of one bin after which old ones fade.
const binMemory = 500

func (s *binned) add(i int, rating float64) {
	if s.n[i] >= binMemory {
		s.sum[i] -= s.sum[i] / s.n[i]
		s.n[i]--
	}
	s.n[i]++
	s.sum[i] += rating
}

// secondWeight is how many ratings the prior counts for in a bin.
const secondWeight = 5

// mean is the mean of the second ratings after a first one in bin i, joined with a prior.
func (s *binned) mean(i int, prior float64) float64 {
	if s == nil {
		return prior
	}
	return (s.sum[i] + secondWeight*prior) / (s.n[i] + secondWeight)
}

func (s *stats) scale(f float64) {
	s.n *= f
	s.sum *= f
	s.square *= f
	for i := range s.bins {
		s.bins[i] *= f
	}
}

// estimate joins the document's prior with the ratings seen.
func (s *stats) estimate(v model.Version, z float64, input int) Estimate {
	weight := math.Max(v.Weight, minWeight)
	n := s.n + weight
	mean := (s.sum + weight*float64(v.Prior)) / n
	variance := (s.square + weight*(priorVariance+float64(v.Prior*v.Prior))) / n
	variance = math.Max(variance-mean*mean, 0)
	output := s.output
	if output == 0 {
		output = defaultOutput
	}
	return Estimate{
		Mean: mean, Lower: mean - z*math.Sqrt(variance/n), Rated: s.n,
		Cost: v.Input.Cost(input) + v.Output.Cost(int(output)),
	}
}

// steps lists the thresholds at which a cascade may step up to a second version.
func (s *stats) steps(reliability float64, second *binned, prior float64) []Step {
	accepted := 0.0
	for i := range s.bins {
		accepted += s.bins[i] / s.n * s.trusted(i, center(i), reliability)
	}
	var out []Step
	below, stepped := 0.0, 0.0
	for i := range bins - 1 {
		p := s.bins[i] / s.n
		below += p
		accepted -= p * s.trusted(i, center(i), reliability)
		stepped += p * second.mean(i, prior)
		if p > 0 {
			out = append(out, Step{Under: model.Quality(i+1) / bins, Below: below, Quality: accepted + stepped})
		}
	}
	return out
}

func center(i int) float64 { return (float64(i) + 0.5) / bins }

// trusted is the true quality to expect of a rating in bin i: what repeated ratings of such
// answers gave, and before there are any, regression towards the mean.
func (s *stats) trusted(i int, rating, reliability float64) float64 {
	mean := s.sum / s.n
	return s.again.mean(i, mean+reliability*(rating-mean))
}

func (p *pairs) add(x, y float64) {
	p.n++
	p.x += x
	p.y += y
	p.xx += x * x
	p.yy += y * y
	p.xy += x * y
}

// reliability is the correlation of repeated ratings, which equals the true share of a
// rating's variance (classical test theory), joined with a default for few repeats.
func (p *pairs) reliability() float64 {
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

package chooser

import (
	"math"
	"sync"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// learner is one organisation's standing against its target.
type learner struct {
	mu      sync.Mutex
	stats   map[model.VersionID]*stats
	pairs   pairs
	surplus float64
	rated   float64
	trusted float64
	asked   float64
	arrived float64
}

// maxRated bounds the ratings over which the doubt grows.
const maxRated = 20_000

// doubt is the standard deviation of the surplus that comes from noise in the ratings: a
// mean that only seems to meet its target is not enough.
func (l *learner) doubt(reliability float64) float64 {
	noise := (1 - reliability) * l.variance()
	// What repeated ratings say of accepted answers errs alike for all of them.
	common := l.trusted * l.trusted * 2 * noise / math.Max(l.pairs.n, 1)
	return math.Sqrt(l.rated*noise + common)
}

// variance is the mean variance of the ratings over all versions.
func (l *learner) variance() float64 {
	n, sum := 0.0, 0.0
	for _, s := range l.stats {
		if s.n > 0 {
			m := s.sum / s.n
			n += s.n
			sum += s.square - s.n*m*m
		}
	}
	if n == 0 {
		return priorVariance
	}
	return sum / n
}

// maxMissing bounds the weight that one rating has for those that never arrive.
const maxMissing = 5

// correct replaces an expected quality by a rating. A rating that arrives also stands for
// those that are missing (inverse probability weighting).
func (l *learner) correct(rating, expected model.Quality) {
	l.arrived++
	weight := math.Min(maxMissing, math.Max(1, l.asked/l.arrived))
	l.addSurplus(weight * float64(rating-expected))
	l.rated = math.Min(l.rated+weight*weight, maxRated)
}

func (l *learner) addSurplus(x float64) {
	l.surplus = math.Max(-horizon, math.Min(horizon, l.surplus+x))
}

func (l *learner) version(v model.VersionID) *stats {
	s := l.stats[v]
	if s == nil {
		s = &stats{}
		l.stats[v] = s
	}
	return s
}

func (l *learner) learn(v model.VersionID, rating float64) {
	s := l.version(v)
	if s.n >= memory {
		s.scale(1 - 1/memory)
	}
	s.n++
	s.sum += rating
	s.square += rating * rating
	s.bins[bin(rating)]++
}

// cascades adds the thresholds from each version to each dearer one.
func (l *learner) cascades(d *model.Document, out map[model.VersionID]Estimate, reliability float64) {
	for _, first := range d.Versions {
		s := l.stats[first.Version]
		if s == nil || s.n < minCascade {
			continue
		}
		e := out[first.Version]
		e.Steps = map[model.VersionID][]Step{}
		for _, second := range d.Versions {
			if next := out[second.Version]; next.Cost > e.Cost && next.Mean > e.Mean {
				e.Steps[second.Version] = s.steps(reliability, s.seconds[second.Version], next.Mean)
			}
		}
		out[first.Version] = e
	}
}

// minCascade is the number of ratings from which a cascade's thresholds are judged.
const minCascade = 50

package chooser

import (
	"math"
	"sync"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// learner holds one organisation's ratings and its surplus, the sum of quality above its target.
type learner struct {
	mu               sync.Mutex
	stats            map[model.VersionID]*stats
	ratingPairs      ratingPairs
	surplus          float64
	ratingWeight     float64
	accepted         float64
	ratingsRequested float64
	ratingsArrived   float64
}

// maxRatingWeight bounds the number of ratings over which the deviation of the surplus grows.
const maxRatingWeight = 20_000

// surplusDeviation is the standard deviation of the surplus due to noise in the ratings: a mean that
// meets its target by chance is not enough.
func (l *learner) surplusDeviation(reliability float64) float64 {
	noise := (1 - reliability) * l.variance()
	// Ratings of accepted answers are corrected by the same repeated ratings, so their errors are correlated.
	common := l.accepted * l.accepted * 2 * noise / math.Max(l.ratingPairs.n, 1)
	return math.Sqrt(l.ratingWeight*noise + common)
}

// variance returns the mean variance of the ratings over all versions.
func (l *learner) variance() float64 {
	n, sum := 0.0, 0.0
	for _, s := range l.stats {
		if s.n > 0 {
			m := s.sum / s.n
			n += s.n
			sum += s.sumSquares - s.n*m*m
		}
	}
	if n == 0 {
		return priorVariance
	}
	return sum / n
}

// maxMissingWeight bounds the weight that one rating has on behalf of ratings that never arrive.
const maxMissingWeight = 5

// replaceExpected replaces an expected quality by a rating. A rating that arrives also counts for those
// that are missing (inverse probability weighting).
func (l *learner) replaceExpected(rating, expected model.Quality) {
	l.ratingsArrived++
	weight := math.Min(maxMissingWeight, math.Max(1, l.ratingsRequested/l.ratingsArrived))
	l.addSurplus(weight * float64(rating-expected))
	l.ratingWeight = math.Min(l.ratingWeight+weight*weight, maxRatingWeight)
}

func (l *learner) addSurplus(x float64) {
	l.surplus = math.Max(-correctionHorizon, math.Min(correctionHorizon, l.surplus+x))
}

func (l *learner) versionStats(v model.VersionID) *stats {
	s := l.stats[v]
	if s == nil {
		s = &stats{}
		l.stats[v] = s
	}
	return s
}

func (l *learner) addRating(v model.VersionID, rating float64) {
	s := l.versionStats(v)
	if s.n >= ratingMemory {
		s.scale(1 - 1/ratingMemory)
	}
	s.n++
	s.sum += rating
	s.sumSquares += rating * rating
	s.bins[binOf(rating)]++
}

// addThresholds adds to the estimates the thresholds of the cascades from each version to each more
// expensive one.
func (l *learner) addThresholds(d *model.Document, out map[model.VersionID]Estimate, reliability float64) {
	for _, first := range d.Versions {
		s := l.stats[first.Version]
		if s == nil || s.n < minCascadeRatings {
			continue
		}
		e := out[first.Version]
		e.Thresholds = map[model.VersionID][]Threshold{}
		for _, second := range d.Versions {
			if next := out[second.Version]; next.Cost > e.Cost && next.Mean > e.Mean {
				e.Thresholds[second.Version] = s.thresholds(reliability, s.secondRatings[second.Version], next.Mean)
			}
		}
		out[first.Version] = e
	}
}

// minCascadeRatings is the number of ratings of a version needed before cascades start with it.
const minCascadeRatings = 50

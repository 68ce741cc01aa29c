package chooser

import (
	"math"
	"sync"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// bins is the number of bins of a histogram of ratings.
	bins = 20
	// minPriorWeight is the smallest weight of a document's prior.
	minPriorWeight = 1.0
	// priorVariance is the variance assumed for one rating before any rating arrived.
	priorVariance = 0.05
	// correctionHorizon is the number of requests over which a surplus or deficit is paid back.
	correctionHorizon = 200.0
	// maxCorrection bounds how far the surplus moves the target.
	maxCorrection = 0.08
	// marginDeviations is the number of standard deviations by which the surplus is reduced before it may
	// lower the target.
	marginDeviations = 2.0
	// ratingMemory is the number of ratings after which old ones lose weight, so that changes of a version
	// are detected.
	ratingMemory = 4000.0
	// defaultReliability is the share of a rating's variance assumed to be true quality until repeated
	// ratings of the same answer show otherwise.
	defaultReliability = 0.6
	// reliabilityWeight is the number of repeated ratings that the default counts for.
	reliabilityWeight = 20.0
	// outputSmoothing is the weight of the newest answer in the expected number of output tokens.
	outputSmoothing = 0.05
	// defaultOutputTokens is the number of output tokens expected before any answer was seen.
	defaultOutputTokens = 256.0
)

// Key identifies one organisation's use of one service.
type Key struct {
	Service      model.ServiceID
	Organisation model.OrganisationID
}

// Estimator estimates the quality and cost of versions from ratings. It has one learner for each
// organisation and service.
type Estimator struct {
	mu       sync.RWMutex
	learners map[Key]*learner
}

// NewEstimator returns an estimator without ratings.
func NewEstimator() *Estimator { return &Estimator{learners: map[Key]*learner{}} }

func (e *Estimator) learner(k Key) *learner {
	e.mu.RLock()
	l := e.learners[k]
	e.mu.RUnlock()
	if l != nil {
		return l
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l = e.learners[k]; l == nil {
		l = &learner{stats: map[model.VersionID]*stats{}}
		e.learners[k] = l
	}
	return l
}

// Estimates returns the estimates of all versions for a request with the given number of input tokens,
// and the target corrected by the surplus so far.
func (e *Estimator) Estimates(k Key, d *model.Document, target model.Quality, input int) (map[model.VersionID]Estimate, model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	z := normalQuantile(float64(d.Confidence))
	reliability := l.ratingPairs.reliability()
	out := make(map[model.VersionID]Estimate, len(d.Versions))
	for _, v := range d.Versions {
		s := l.stats[v.Version]
		if s == nil {
			s = &stats{}
		}
		out[v.Version] = s.estimate(v, z, input)
	}
	if d.Cascade {
		l.addThresholds(d, out, reliability)
	}
	correction := math.Max(-maxCorrection, math.Min(maxCorrection, (l.surplus-marginDeviations*l.surplusDeviation(reliability))/correctionHorizon))
	return out, target - model.Quality(correction)
}

// RecordDecision records a decision: the expected quality counts until the rating arrives.
func (e *Estimator) RecordDecision(k Key, d Decision, target model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Second == "" {
		l.ratingsRequested++
	}
	l.addSurplus(float64(d.Expected - target))
}

// RecordRating records the rating of an answer that the caller got; expected is what RecordDecision
// counted.
func (e *Estimator) RecordRating(k Key, v model.VersionID, rating, expected model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaceExpected(rating, expected)
	l.addRating(v, float64(rating))
}

// RecordEscalation records that a cascade runs its second version and returns the quality to expect of
// it, which is that of a harder request; expected is what RecordDecision counted.
func (e *Estimator) RecordEscalation(k Key, v, second model.VersionID, first, expected model.Quality, prior float64) model.Quality {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ratingsRequested++
	next := model.Quality(l.versionStats(v).secondRatings[second].mean(binOf(float64(first)), prior))
	l.addSurplus(float64(next - expected))
	return next
}

// RecordSecondRating records the rating of a cascade's second answer, which the caller got; first is the
// rating that made the cascade escalate.
func (e *Estimator) RecordSecondRating(k Key, v, second model.VersionID, first, rating, expected model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaceExpected(rating, expected)
	s := l.versionStats(v)
	if s.secondRatings == nil {
		s.secondRatings = map[model.VersionID]*binnedRatings{}
	}
	if s.secondRatings[second] == nil {
		s.secondRatings[second] = &binnedRatings{}
	}
	s.secondRatings[second].add(binOf(float64(first)), float64(rating))
}

// RecordFirstRating records the rating of a cascade's first answer.
func (e *Estimator) RecordFirstRating(k Key, v model.VersionID, rating model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addRating(v, float64(rating))
}

// ReplaceExpected replaces the expected quality of a request by its rating, if the rating that decided
// on the answer was already recorded.
func (e *Estimator) ReplaceExpected(k Key, rating, expected model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSurplus(float64(rating - expected))
	l.accepted = math.Min(l.accepted+1, maxRatingWeight)
}

// ExpectedQuality returns the quality to expect of an answer that was accepted for its rating: a noisy
// rating regresses towards the version's mean.
func (e *Estimator) ExpectedQuality(k Key, v model.VersionID, rating model.Quality) model.Quality {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats[v]
	if s == nil || s.n == 0 {
		return rating
	}
	return model.Quality(s.expectedQuality(binOf(float64(rating)), float64(rating), l.ratingPairs.reliability()))
}

// RecordRepeatedRating records two ratings of the same answer of a version.
func (e *Estimator) RecordRepeatedRating(k Key, v model.VersionID, first, second model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ratingPairs.add(float64(first), float64(second))
	s := l.versionStats(v)
	if s.repeatRatings == nil {
		s.repeatRatings = &binnedRatings{}
	}
	s.repeatRatings.add(binOf(float64(first)), float64(second))
}

// RecordOutput records the number of tokens of an answer.
func (e *Estimator) RecordOutput(k Key, v model.VersionID, tokens int) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.versionStats(v)
	if s.outputTokens == 0 {
		s.outputTokens = float64(tokens)
	}
	s.outputTokens += (float64(tokens) - s.outputTokens) * outputSmoothing
}

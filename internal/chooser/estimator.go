package chooser

import (
	"math"
	"sync"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// bins is the number of rating ranges that a histogram tells apart.
	bins = 20
	// minWeight keeps a document's prior from vanishing.
	minWeight = 1.0
	// priorVariance is the variance assumed for one rating before any was seen.
	priorVariance = 0.05
	// horizon is the number of requests over which a surplus or deficit is paid back.
	horizon = 200.0
	// maxCorrection bounds how far the surplus moves the target.
	maxCorrection = 0.08
	// doubtFactor is how many standard deviations of the surplus must be in hand.
	doubtFactor = 2.0
	// memory is the number of ratings after which old ones fade, so that a version that
	// changes is noticed.
	memory = 4000.0
	// defaultReliability is the share of a rating's variance taken as true before repeated
	// ratings of the same answer say otherwise.
	defaultReliability = 0.6
	// reliabilityWeight is how many repeated ratings the default counts for.
	reliabilityWeight = 20.0
	// tokensWeight smooths the expected number of output tokens.
	tokensWeight = 0.05
	// defaultOutput is the output expected before any answer was seen.
	defaultOutput = 256.0
)

// Key names one organisation's use of one service.
type Key struct {
	Service      model.ServiceID
	Organisation model.OrganisationID
}

// Estimator holds what ratings have taught, one learner for each organisation and service.
type Estimator struct {
	mu       sync.RWMutex
	learners map[Key]*learner
}

// NewEstimator returns an estimator that has seen nothing.
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

// Estimates returns the beliefs on all versions for a request with the given input size,
// and the target corrected by the surplus so far.
func (e *Estimator) Estimates(k Key, d *model.Document, target model.Quality, input int) (map[model.VersionID]Estimate, model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	z := normalQuantile(float64(d.Confidence))
	reliability := l.pairs.reliability()
	out := make(map[model.VersionID]Estimate, len(d.Versions))
	for _, v := range d.Versions {
		s := l.stats[v.Version]
		if s == nil {
			s = &stats{}
		}
		out[v.Version] = s.estimate(v, z, input)
	}
	if d.Cascade {
		l.cascades(d, out, reliability)
	}
	correction := math.Max(-maxCorrection, math.Min(maxCorrection, (l.surplus-doubtFactor*l.doubt(reliability))/horizon))
	return out, target - model.Quality(correction)
}

// RecordDecision notes a decision: until its rating arrives, the expected quality stands for it.
func (e *Estimator) RecordDecision(k Key, d Decision, target model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Second == "" {
		l.asked++
	}
	l.addSurplus(float64(d.Expected - target))
}

// RecordRating takes the rating of an answer that was given; expected is what Begin counted.
func (e *Estimator) RecordRating(k Key, v model.VersionID, rating, expected model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.correct(rating, expected)
	l.learn(v, float64(rating))
}

// RecordEscalation notes that a cascade goes on to its second version and returns the quality to
// expect of it, which is that of a harder request; expected is what Begin counted.
func (e *Estimator) RecordEscalation(k Key, v, second model.VersionID, first, expected model.Quality, prior float64) model.Quality {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	next := model.Quality(l.version(v).seconds[second].mean(bin(float64(first)), prior))
	l.addSurplus(float64(next - expected))
	return next
}

// RecordSecondRating takes the rating of a cascade's second answer, which was given; first is the
// rating that made the cascade step up.
func (e *Estimator) RecordSecondRating(k Key, v, second model.VersionID, first, rating, expected model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.correct(rating, expected)
	s := l.version(v)
	if s.seconds == nil {
		s.seconds = map[model.VersionID]*binned{}
	}
	if s.seconds[second] == nil {
		s.seconds[second] = &binned{}
	}
	s.seconds[second].add(bin(float64(first)), float64(rating))
}

// RecordFirstRating takes the rating of a cascade's first answer.
func (e *Estimator) RecordFirstRating(k Key, v model.VersionID, rating model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(v, float64(rating))
}

// ReplaceExpected replaces the expected quality of a request by the one it was given, when the
// rating that chose the answer was already learnt.
func (e *Estimator) ReplaceExpected(k Key, rating, expected model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSurplus(float64(rating - expected))
	l.trusted = math.Min(l.trusted+1, maxRated)
}

// ExpectedQuality returns the quality to expect of an answer that was chosen for its rating: a
// noisy rating regresses towards the version's mean.
func (e *Estimator) ExpectedQuality(k Key, v model.VersionID, rating model.Quality) model.Quality {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats[v]
	if s == nil || s.n == 0 {
		return rating
	}
	return model.Quality(s.trusted(bin(float64(rating)), float64(rating), l.pairs.reliability()))
}

// RecordRepeatedRating takes two ratings of the same answer of a version.
func (e *Estimator) RecordRepeatedRating(k Key, v model.VersionID, first, second model.Quality) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs.add(float64(first), float64(second))
	s := l.version(v)
	if s.again == nil {
		s.again = &binned{}
	}
	s.again.add(bin(float64(first)), float64(second))
}

// RecordOutput notes the number of tokens of an answer.
func (e *Estimator) RecordOutput(k Key, v model.VersionID, tokens int) {
	l := e.learner(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.version(v)
	if s.output == 0 {
		s.output = float64(tokens)
	}
	s.output += (float64(tokens) - s.output) * tokensWeight
}

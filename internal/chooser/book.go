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
	horizon = 300.0
	// maxCorrection bounds how far the surplus moves the target.
	maxCorrection = 0.08
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

// Estimate is what is believed of one version for one organisation. Lower is the mean
// less a margin for the document's confidence.
type Estimate struct {
	Mean  float64
	Lower float64
	Cost  model.Money
	Steps []Step
}

// Step is a cascade threshold: Below is the share of first answers under it, Accepted the
// quality that the answers at or over it contribute.
type Step struct {
	Under    model.Quality
	Below    float64
	Accepted float64
}

// stats sums the ratings of one version for one organisation.
type stats struct {
	n      float64
	sum    float64
	square float64
	bins   [bins]float64
	output float64
}

// pairs sums repeated ratings of the same answer, which show how noisy ratings are.
type pairs struct {
	n, x, y, xx, yy, xy float64
}

// ledgerLine is one organisation's standing against its target.
type account struct {
	mu      sync.Mutex
	stats   map[model.VersionID]*stats
	pairs   pairs
	surplus float64
}

// Key names one organisation's use of one service.
type Key struct {
	Service      model.ServiceID
	Organisation model.OrganisationID
}

// Book holds what ratings have taught, one account for each organisation and service.
type Book struct {
	mu       sync.RWMutex
	accounts map[Key]*account
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{accounts: map[Key]*account{}} }

func (b *Book) account(k Key) *account {
	b.mu.RLock()
	a := b.accounts[k]
	b.mu.RUnlock()
	if a != nil {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a = b.accounts[k]; a == nil {
		a = &account{stats: map[model.VersionID]*stats{}}
		b.accounts[k] = a
	}
	return a
}

// Estimates returns the beliefs on all versions for a request with the given input size,
// and the target corrected by the surplus so far.
func (b *Book) Estimates(k Key, d *model.Document, target model.Quality, input int) (map[model.VersionID]Estimate, model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	z := normalQuantile(float64(d.Confidence))
	reliability := a.pairs.reliability()
	out := make(map[model.VersionID]Estimate, len(d.Versions))
	for _, v := range d.Versions {
		s := a.stats[v.Version]
		if s == nil {
			s = &stats{}
		}
		out[v.Version] = s.estimate(v, z, input, d.Cascade, reliability)
	}
	correction := math.Max(-maxCorrection, math.Min(maxCorrection, a.surplus/horizon))
	return out, target - model.Quality(correction)
}

// Begin notes a decision: until its rating arrives, the expected quality stands for it.
func (b *Book) Begin(k Key, d Decision, target model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addSurplus(float64(d.Expected - target))
}

// Rate takes the rating of an answer that was given; expected is what Begin counted.
func (b *Book) Rate(k Key, v model.VersionID, rating, expected model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addSurplus(float64(rating - expected))
	a.learn(v, float64(rating))
}

// Learn takes a rating of a first answer that was not given to the caller.
func (b *Book) Learn(k Key, v model.VersionID, rating model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learn(v, float64(rating))
}

// Settle replaces the expected quality of a request by the one it was given, when the
// rating that chose the answer was already learnt.
func (b *Book) Settle(k Key, rating, expected model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addSurplus(float64(rating - expected))
}

// Trust returns the quality to expect of an answer that was chosen for its rating: a
// noisy rating regresses towards the version's mean.
func (b *Book) Trust(k Key, v model.VersionID, rating model.Quality) model.Quality {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats[v]
	if s == nil || s.n == 0 {
		return rating
	}
	mean := s.sum / s.n
	return model.Quality(mean + a.pairs.reliability()*(float64(rating)-mean))
}

// Repeat takes two ratings of the same answer.
func (b *Book) Repeat(k Key, first, second model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pairs.add(float64(first), float64(second))
}

// Output notes the number of tokens of an answer.
func (b *Book) Output(k Key, v model.VersionID, tokens int) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.version(v)
	if s.output == 0 {
		s.output = float64(tokens)
	}
	s.output += (float64(tokens) - s.output) * tokensWeight
}

func (a *account) addSurplus(x float64) {
	a.surplus = math.Max(-horizon, math.Min(horizon, a.surplus+x))
}

func (a *account) version(v model.VersionID) *stats {
	s := a.stats[v]
	if s == nil {
		s = &stats{}
		a.stats[v] = s
	}
	return s
}

func (a *account) learn(v model.VersionID, rating float64) {
	s := a.version(v)
	if s.n >= memory {
		s.scale(1 - 1/memory)
	}
	s.n++
	s.sum += rating
	s.square += rating * rating
	s.bins[min(int(rating*bins), bins-1)]++
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
func (s *stats) estimate(v model.Version, z float64, input int, cascade bool, reliability float64) Estimate {
	weight := math.Max(v.Weight, minWeight)
	n := s.n + weight
	mean := (s.sum + weight*float64(v.Prior)) / n
	variance := (s.square + weight*(priorVariance+float64(v.Prior*v.Prior))) / n
	variance = math.Max(variance-mean*mean, 0)
	output := s.output
	if output == 0 {
		output = defaultOutput
	}
	e := Estimate{Mean: mean, Lower: mean - z*math.Sqrt(variance/n)}
	e.Cost = v.Input.Cost(input) + v.Output.Cost(int(output))
	if cascade {
		e.Steps = s.steps(reliability)
	}
	return e
}

// minCascade is the number of ratings from which a cascade's thresholds are judged.
const minCascade = 50

func (s *stats) steps(reliability float64) []Step {
	if s.n < minCascade {
		return nil
	}
	mean := s.sum / s.n
	var out []Step
	below, accepted := 0.0, 0.0
	for i := range s.bins {
		accepted += s.bins[i] / s.n * trusted(i, mean, reliability)
	}
	for i := range bins - 1 {
		p := s.bins[i] / s.n
		below += p
		accepted -= p * trusted(i, mean, reliability)
		if p > 0 {
			out = append(out, Step{Under: model.Quality(i+1) / bins, Below: below, Accepted: accepted})
		}
	}
	return out
}

// trusted is the true quality to expect of a rating in bin i.
func trusted(i int, mean, reliability float64) float64 {
	center := (float64(i) + 0.5) / bins
	return mean + reliability*(center-mean)
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

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

// account is one organisation's standing against its target.
type account struct {
	mu      sync.Mutex
	stats   map[model.VersionID]*stats
	pairs   pairs
	surplus float64
	rated   float64
	trusted float64
	asked   float64
	arrived float64
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
		out[v.Version] = s.estimate(v, z, input)
	}
	if d.Cascade {
		a.cascades(d, out, reliability)
	}
	correction := math.Max(-maxCorrection, math.Min(maxCorrection, (a.surplus-doubtFactor*a.doubt(reliability))/horizon))
	return out, target - model.Quality(correction)
}

// Begin notes a decision: until its rating arrives, the expected quality stands for it.
func (b *Book) Begin(k Key, d Decision, target model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	if d.Second == "" {
		a.asked++
	}
	a.addSurplus(float64(d.Expected - target))
}

// Rate takes the rating of an answer that was given; expected is what Begin counted.
func (b *Book) Rate(k Key, v model.VersionID, rating, expected model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.correct(rating, expected)
	a.learn(v, float64(rating))
}

// StepUp notes that a cascade goes on to its second version and returns the quality to
// expect of it, which is that of a harder request; expected is what Begin counted.
func (b *Book) StepUp(k Key, v, second model.VersionID, first, expected model.Quality, prior float64) model.Quality {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	next := model.Quality(a.version(v).seconds[second].mean(bin(float64(first)), prior))
	a.addSurplus(float64(next - expected))
	return next
}

// RateSecond takes the rating of a cascade's second answer, which was given; first is the
// rating that made the cascade step up.
func (b *Book) RateSecond(k Key, v, second model.VersionID, first, rating, expected model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.correct(rating, expected)
	s := a.version(v)
	if s.seconds == nil {
		s.seconds = map[model.VersionID]*binned{}
	}
	if s.seconds[second] == nil {
		s.seconds[second] = &binned{}
	}
	s.seconds[second].add(bin(float64(first)), float64(rating))
}

// Learn takes the rating of a cascade's first answer.
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
	a.trusted = math.Min(a.trusted+1, maxRated)
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
	return model.Quality(s.trusted(bin(float64(rating)), float64(rating), a.pairs.reliability()))
}

// Repeat takes two ratings of the same answer of a version.
func (b *Book) Repeat(k Key, v model.VersionID, first, second model.Quality) {
	a := b.account(k)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pairs.add(float64(first), float64(second))
	s := a.version(v)
	if s.again == nil {
		s.again = &binned{}
	}
	s.again.add(bin(float64(first)), float64(second))
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

// maxRated bounds the ratings over which the doubt grows.
const maxRated = 20_000

// doubt is the standard deviation of the surplus that comes from noise in the ratings: a
// mean that only seems to meet its target is not enough.
func (a *account) doubt(reliability float64) float64 {
	noise := (1 - reliability) * a.variance()
	// What repeated ratings say of accepted answers errs alike for all of them.
	common := a.trusted * a.trusted * 2 * noise / math.Max(a.pairs.n, 1)
	return math.Sqrt(a.rated*noise + common)
}

// variance is the mean variance of the ratings over all versions.
func (a *account) variance() float64 {
	n, sum := 0.0, 0.0
	for _, s := range a.stats {
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
func (a *account) correct(rating, expected model.Quality) {
	a.arrived++
	weight := math.Min(maxMissing, math.Max(1, a.asked/a.arrived))
	a.addSurplus(weight * float64(rating-expected))
	a.rated = math.Min(a.rated+weight*weight, maxRated)
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
	s.bins[bin(rating)]++
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

// cascades adds the thresholds from each version to each dearer one.
func (a *account) cascades(d *model.Document, out map[model.VersionID]Estimate, reliability float64) {
	for _, first := range d.Versions {
		s := a.stats[first.Version]
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

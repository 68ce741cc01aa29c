package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	versionOrgs     = 10
	versionRequests = 20_000
	ratingDelay     = 60
	ratingMissing   = 0.3
	ratingNoise     = 0.06
	boundSamples    = 40_000
	promptBytes     = 4000
	outputTokens    = 300
	repeatShare     = 0.2
)

// truth is what an all-knowing chooser knows: how the quality of each version falls with a
// request's difficulty, and how an organisation's requests are spread over it.
type truth struct {
	base, slope []float64
	skew        float64
}

func (t truth) difficulty(r *rand.Rand) float64 { return math.Pow(r.Float64(), t.skew) }

func (t truth) quality(v int, difficulty float64, r *rand.Rand) float64 {
	return clamp(t.base[v] - t.slope[v]*difficulty + 0.03*r.NormFloat64())
}

func rate(quality float64, r *rand.Rand) float64 { return clamp(quality + ratingNoise*r.NormFloat64()) }

func clamp(x float64) float64 { return math.Max(0, math.Min(1, x)) }

func versionDocument(cascade bool, target model.Quality) *model.Document {
	d := &model.Document{
		Service: "s", Kind: model.KindModel, Target: target, Confidence: 0.9, Explore: 0.01, Cascade: cascade,
		Versions: []model.Version{
			{Version: "small@1", Model: "small", State: model.StateServing, Input: 100_000_000, Output: 400_000_000, PriorQuality: 0.7, Weight: 10},
			{Version: "middle@1", Model: "middle", State: model.StateServing, Input: 500_000_000, Output: 2_000_000_000, PriorQuality: 0.8, Weight: 10},
			{Version: "large@1", Model: "large", State: model.StateServing, Input: 2_000_000_000, Output: 8_000_000_000, PriorQuality: 0.9, Weight: 10},
		},
	}
	for i := range versionOrgs {
		d.Organisations = append(d.Organisations, model.Organisation{
			Organisation: model.OrganisationID(fmt.Sprint("o", i)),
			Versions:     []model.VersionID{"small@1", "middle@1", "large@1"},
			Target:       target,
		})
	}
	return d
}

func organisationTruth(i int) truth {
	spread := float64(i) / (versionOrgs - 1)
	return truth{
		base:  []float64{0.84, 0.85, 0.86},
		slope: []float64{0.20 + 0.38*spread, 0.12 + 0.20*spread, 0.02 + 0.05*spread},
		skew:  0.6 + 1.8*spread,
	}
}

// versionPolicy decides on the index of the first version, the second or -1, and the
// threshold, for one request.
type versionPolicy interface {
	decide() chooser.Decision
	learn(d chooser.Decision, first, second, again model.Quality, stepped bool)
}

// result is the mean cost and true quality of a policy for one organisation.
type result struct{ cost, quality float64 }

func costOf(d *model.Document, id model.VersionID) float64 {
	v, _ := d.FindVersion(id)
	return float64(v.Input.Cost(promptBytes/4) + v.Output.Cost(outputTokens))
}

func indexOf(d *model.Document, id model.VersionID) int {
	for i, v := range d.Versions {
		if v.Version == id {
			return i
		}
	}
	return -1
}

// runPolicy sends requests of one organisation through a policy.
func runPolicy(d *model.Document, t truth, p versionPolicy, n int, r *rand.Rand) result {
	var out result
	for range n {
		decision := p.decide()
		x := t.difficulty(r)
		q := t.quality(indexOf(d, decision.Version), x, r)
		first := rate(q, r)
		cost := costOf(d, decision.Version)
		again := rate(q, r)
		second, stepped := 0.0, false
		if decision.Second != "" && first < float64(decision.EscalateBelow) {
			stepped = true
			q = t.quality(indexOf(d, decision.Second), x, r)
			second = rate(q, r)
			cost += costOf(d, decision.Second)
		}
		p.learn(decision, model.Quality(first), model.Quality(second), model.Quality(again), stepped)
		out.cost += cost / float64(n)
		out.quality += q / float64(n)
	}
	return out
}

// estimatorPolicy is the router's own policy with ratings that come late or never.
type estimatorPolicy struct {
	doc       *model.Document
	org       model.Organisation
	estimator *chooser.Estimator
	key       chooser.Key
	r         *rand.Rand
	late      []func()
	input     int
}

func newEstimatorPolicy(d *model.Document, org model.Organisation, r *rand.Rand) *estimatorPolicy {
	return &estimatorPolicy{doc: d, org: org, estimator: chooser.NewEstimator(), key: chooser.Key{Service: d.Service, Organisation: org.Organisation}, r: r, input: promptBytes / 4}
}

func (p *estimatorPolicy) decide() chooser.Decision {
	estimates, target := p.estimator.Estimates(p.key, p.doc, p.org.Target, p.input)
	d := chooser.Cheapest{}.Decide(chooser.Input{
		Document: p.doc, Organisation: p.org, Model: string(p.doc.Service), Estimates: estimates, Target: target,
		Mix: p.r.Float64(), Explore: p.r.Float64(), Share: p.r.Float64(),
	})
	p.estimator.RecordDecision(p.key, d, p.org.Target)
	return d
}

func (p *estimatorPolicy) learn(d chooser.Decision, first, second, again model.Quality, stepped bool) {
	p.estimator.RecordOutput(p.key, d.Version, outputTokens)
	if d.Second != "" && p.r.Float64() < repeatShare {
		p.estimator.RecordRepeatedRating(p.key, d.Version, first, again)
	}
	switch {
	case d.Second == "":
		p.after(func() { p.estimator.RecordRating(p.key, d.Version, first, d.Expected) })
	case stepped:
		p.estimator.RecordFirstRating(p.key, d.Version, first)
		expected := p.estimator.RecordEscalation(p.key, d.Version, d.Second, first, d.Expected, float64(d.Prior))
		p.after(func() { p.estimator.RecordSecondRating(p.key, d.Version, d.Second, first, second, expected) })
	default:
		p.estimator.RecordFirstRating(p.key, d.Version, first)
		p.estimator.ReplaceExpected(p.key, p.estimator.ExpectedQuality(p.key, d.Version, first), d.Expected)
	}
	if len(p.late) > ratingDelay {
		p.late[0]()
		p.late = p.late[1:]
	}
}

// after lets a rating arrive late, or never.
func (p *estimatorPolicy) after(learn func()) {
	if p.r.Float64() < ratingMissing {
		learn = func() {}
	}
	p.late = append(p.late, learn)
}

// fixedPolicy is a baseline that does not learn.
type fixedPolicy struct {
	choose func() chooser.Decision
}

func (p fixedPolicy) decide() chooser.Decision                                                { return p.choose() }
func (fixedPolicy) learn(chooser.Decision, model.Quality, model.Quality, model.Quality, bool) {}

// bound is the least cost of any fixed mix of two options that meets the target, by one
// that knows the true distributions but not a request's own difficulty.
func bound(d *model.Document, t truth, r *rand.Rand) float64 {
	options := trueOptions(d, t, r)
	best := math.Inf(1)
	target := float64(d.Target)
	for _, h := range options {
		if h.quality < target {
			continue
		}
		best = math.Min(best, h.cost)
		for _, l := range options {
			if l.quality < target && l.cost < h.cost {
				share := (h.quality - target) / (h.quality - l.quality)
				best = math.Min(best, share*l.cost+(1-share)*h.cost)
			}
		}
	}
	return best
}

func trueOptions(d *model.Document, t truth, r *rand.Rand) []result {
	var out []result
	try := func(decision chooser.Decision) {
		out = append(out, runPolicy(d, t, fixedPolicy{func() chooser.Decision { return decision }}, boundSamples, r))
	}
	for i, v := range d.Versions {
		try(chooser.Decision{Version: v.Version})
		if !d.Cascade {
			continue
		}
		for _, second := range d.Versions[i+1:] {
			for under := 0.4; under < 1; under += 0.05 {
				try(chooser.Decision{Version: v.Version, Second: second.Version, EscalateBelow: model.Quality(under)})
			}
		}
	}
	return out
}

// Versions measures the version choice and the cascade against the cheapest possible.
func Versions(scale Scale) Section {
	s := Section{
		Title: "Version choice and cascade",
		How: fmt.Sprintf("%d organisations of unlike mix, %d requests each, ratings %d requests late, %.0f%% missing, noise %.2f. The bound knows the true distributions.",
			versionOrgs, scale.of(versionRequests), ratingDelay, 100*ratingMissing, ratingNoise),
	}
	for _, cascade := range []bool{false, true} {
		s.Rows = append(s.Rows, versionRows(scale, cascade)...)
	}
	return s
}

func versionRows(scale Scale, cascade bool) []Row {
	d := versionDocument(cascade, 0.74)
	n := scale.of(versionRequests)
	ratios := map[string]float64{}
	missed := map[string]int{}
	names := []string{"always best", "always cheapest", "fixed split", "cascade always"}
	worst := math.Inf(1)
	for i, org := range d.Organisations {
		t := organisationTruth(i)
		least := bound(d, t, newRand(uint64(i)))
		add := func(name string, p versionPolicy) {
			res := runPolicy(d, t, p, n, newRand(uint64(100+i)))
			ratios[name] += res.cost / least / versionOrgs
			if res.quality < float64(d.Target) {
				missed[name]++
			}
			if name == "router" {
				worst = math.Min(worst, res.quality)
			}
		}
		add("router", newEstimatorPolicy(d, org, newRand(uint64(200+i))))
		add(names[0], fixedPolicy{func() chooser.Decision { return chooser.Decision{Version: "large@1"} }})
		add(names[1], fixedPolicy{func() chooser.Decision { return chooser.Decision{Version: "small@1"} }})
		r := newRand(uint64(300 + i))
		add(names[2], fixedPolicy{func() chooser.Decision {
			return chooser.Decision{Version: d.Versions[r.IntN(3)].Version}
		}})
		add(names[3], fixedPolicy{func() chooser.Decision {
			return chooser.Decision{Version: "small@1", Second: "large@1", EscalateBelow: 0.8}
		}})
	}
	var costs, misses []string
	for _, name := range names {
		costs = append(costs, fmt.Sprintf("%s %.2f", name, ratios[name]))
		misses = append(misses, fmt.Sprintf("%s %d", name, missed[name]))
	}
	what := "streams (no cascade)"
	if cascade {
		what = "not streamed (cascade allowed)"
	}
	note := ""
	if ratios["router"] > 1.05 {
		note = "the margin for noise in the ratings of accepted answers costs the rest"
	}
	return []Row{
		{Note: note, What: what + ": mean cost as a ratio to the bound", Target: "at most 1.05", Baseline: strings.Join(costs, ", "), Measured: fmt.Sprintf("%.3f", ratios["router"]), Met: ratios["router"] <= 1.05},
		{What: what + ": organisations under the target 0.74", Target: "0 of 10", Baseline: strings.Join(misses, ", "), Measured: fmt.Sprintf("%d (lowest mean %.4f)", missed["router"], worst), Met: missed["router"] == 0},
	}
}

// Package chooser decides which version answers a request: the cheapest mix that meets
// the organisation's quality target.
package chooser

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Policy decides from an input; the router and the benchmarks' baselines share it.
type Policy[In, Out any] interface {
	Decide(in In) Out
}

// Input is everything that a decision reads. Mix, Explore and Share are random numbers in
// [0, 1), drawn by the caller so that a decision can be repeated.
type Input struct {
	Document     *model.Document
	Organisation model.Organisation
	Model        string
	Pinned       model.VersionID
	Stream       bool
	Rollout      *model.RolloutState
	Excluded     map[model.VersionID]string
	Estimates    map[model.VersionID]Estimate
	Target       model.Quality
	Mix          float64
	Explore      float64
	Share        float64
}

// Decision names the version to run, and for a cascade the second one, which runs if the
// first answer rates below StepUnder. Expected is the quality predicted for the request and
// Prior that of the second version alone.
type Decision struct {
	Version       model.VersionID
	Second        model.VersionID
	EscalateBelow model.Quality
	Expected      model.Quality
	Prior         model.Quality
	Why           string
	Alternatives  []explainer.Alternative
	Refusal       *model.Refusal
}

// option is one way to answer: a single version, or a cascade of two.
type option struct {
	first, second model.VersionID
	stepUnder     model.Quality
	quality       float64
	lower         float64
	cost          float64
}

func (o option) name() string {
	if o.second == "" {
		return string(o.first)
	}
	return fmt.Sprintf("%s, then %s under %.2f", o.first, o.second, float64(o.stepUnder))
}

// Cheapest is the router's policy.
type Cheapest struct{}

// Decide returns the cheapest choice that is expected to keep the organisation's mean
// quality at its target.
func (Cheapest) Decide(in Input) Decision {
	if in.Pinned != "" {
		return pinned(in)
	}
	versions, lost := candidates(in)
	if len(versions) == 0 {
		d := Decision{Alternatives: lost}
		d.Refusal = model.Refuse(model.KindUnknownModel, "no version is open to this organisation under that model: see GET /v1/models")
		return d
	}
	best, cost := optimise(in, versions, lost)
	if d, ok := explore(in, versions, lost, cost); ok {
		return share(in, d)
	}
	return share(in, best)
}

// pinned keeps a session's version, or follows the document's rule if it was withdrawn.
func pinned(in Input) Decision {
	if in.Document.Allows(in.Organisation.Organisation, in.Pinned, true) {
		return Decision{Version: in.Pinned, Expected: model.Quality(in.Estimates[in.Pinned].Mean), Why: "session keeps its version"}
	}
	if in.Document.Session.Withdrawn == model.FallbackRefuse {
		return Decision{Refusal: model.Refuse(model.KindWithdrawn, "the session's version %s takes no work any more: start a new session", in.Pinned)}
	}
	in.Pinned = ""
	d := Cheapest{}.Decide(in)
	d.Why = "session moved from a withdrawn version; " + d.Why
	return d
}

// candidates lists the versions that may take new work of the organisation. The version
// of a roll-out is left out: it takes its share from the version beside it.
func candidates(in Input) (open []model.Version, lost []explainer.Alternative) {
	for _, v := range in.Document.Versions {
		why := in.Excluded[v.Version]
		switch {
		case !slices.Contains(in.Organisation.Versions, v.Version):
			continue
		case v.State != model.StateServing:
			why = "state is " + string(v.State)
		case !matches(v, in):
			why = "another model was asked for"
		case why == "" && rollsOut(in, v.Version) && in.Model != string(v.Version):
			why = "takes its share in the roll-out"
		}
		if why != "" {
			lost = append(lost, explainer.Alternative{Name: string(v.Version), Why: why})
			continue
		}
		open = append(open, v)
	}
	return open, lost
}

func matches(v model.Version, in Input) bool {
	return in.Model == string(in.Document.Service) || in.Model == string(v.Model) || in.Model == string(v.Version)
}

// rollsOut reports whether the version is the new one of a roll-out that the organisation
// also may use the old version of.
func rollsOut(in Input, v model.VersionID) bool {
	r := in.Document.Rollout
	return r != nil && r.Version == v && slices.Contains(in.Organisation.Versions, r.Against) && in.Excluded[r.Against] == ""
}

// enoughRated is the number of ratings from which a version is explored less and less.
const enoughRated = 100

// explore sends a few requests to the version with the fewest ratings. The document's share
// is one of the money spent, so a dear version is explored less often; it falls as ratings
// grow, since what is known need not be paid for again.
func explore(in Input, versions []model.Version, lost []explainer.Alternative, cost float64) (Decision, bool) {
	least := slices.MinFunc(versions, func(a, b model.Version) int {
		return cmp.Or(cmp.Compare(in.Estimates[a.Version].Rated, in.Estimates[b.Version].Rated), cmp.Compare(a.Version, b.Version))
	})
	e := in.Estimates[least.Version]
	known := math.Min(1, enoughRated/math.Max(e.Rated, 1))
	price := math.Min(1, cost/math.Max(float64(e.Cost), 1))
	if in.Explore >= float64(in.Document.Explore)*known*price {
		return Decision{}, false
	}
	return Decision{Version: least.Version, Expected: model.Quality(e.Mean), Why: "explores", Alternatives: lost}, true
}

// optimise solves the small linear program: least cost with mean quality at the target.
// Its optimum mixes at most two options.
func optimise(in Input, versions []model.Version, lost []explainer.Alternative) (Decision, float64) {
	options := singles(in, versions)
	if in.Document.Cascade && !in.Stream {
		options = append(options, cascades(in, options)...)
	}
	low, high, p := mix(options, float64(in.Target))
	chosen, why := high, "cheapest that meets the target"
	if p > 0 && in.Mix < p {
		chosen, why = low, fmt.Sprintf("share %.0f%% of a mix that meets the target", 100*p)
	}
	if high.lower < float64(in.Target) {
		why = "best quality, since nothing meets the target"
	}
	d := Decision{
		Version: chosen.first, Second: chosen.second, EscalateBelow: chosen.stepUnder,
		Expected: model.Quality(chosen.quality), Why: why,
		Prior:        model.Quality(in.Estimates[chosen.second].Mean),
		Alternatives: append(lost, alternatives(options, chosen, float64(in.Target))...),
	}
	return d, chosen.cost
}

func singles(in Input, versions []model.Version) []option {
	options := make([]option, 0, len(versions))
	for _, v := range versions {
		e := in.Estimates[v.Version]
		options = append(options, option{first: v.Version, quality: e.Mean, lower: e.Lower, cost: float64(e.Cost)})
	}
	return options
}

// cascades lists the useful cascades from a cheaper to a dearer version.
func cascades(in Input, options []option) []option {
	var out []option
	for _, a := range options {
		for _, b := range options {
			for _, step := range in.Estimates[a.first].Steps[b.first] {
				margin := (a.quality - a.lower) * (1 - step.Below)
				margin += (b.quality - b.lower) * step.Below
				out = append(out, option{
					first: a.first, second: b.first, stepUnder: step.Under,
					quality: step.Quality, lower: step.Quality - margin, cost: a.cost + step.Below*b.cost,
				})
			}
		}
	}
	return out
}

// mix returns the two options and the share of the lower one that meet the target at the
// least cost. If nothing meets it, the best option stands alone.
func mix(options []option, target float64) (low, high option, p float64) {
	best := -1.0
	for _, h := range options {
		if h.lower < target {
			continue
		}
		if best < 0 || h.cost < best {
			low, high, p, best = h, h, 0, h.cost
		}
		for _, l := range options {
			if l.lower >= target || l.cost >= h.cost {
				continue
			}
			share := (h.lower - target) / (h.lower - l.lower)
			if cost := share*l.cost + (1-share)*h.cost; cost < best {
				low, high, p, best = l, h, share, cost
			}
		}
	}
	if best < 0 {
		high = slices.MaxFunc(options, func(a, b option) int {
			switch {
			case a.lower < b.lower:
				return -1
			case a.lower > b.lower:
				return 1
			}
			return 0
		})
		return high, high, 0
	}
	return low, high, p
}

// maxAlternatives bounds the list in a decision record.
const maxAlternatives = 12

func alternatives(options []option, chosen option, target float64) []explainer.Alternative {
	var out []explainer.Alternative
	for _, o := range options {
		a := explainer.Alternative{Name: o.name(), Cost: model.Money(o.cost), Quality: model.Quality(o.quality)}
		switch {
		case o == chosen:
			a.Chosen, a.Why = true, "chosen"
		case o.lower < target:
			a.Why = fmt.Sprintf("quality %.3f with confidence is under the target %.3f", o.lower, target)
		case o.cost > chosen.cost:
			a.Why = "costs more"
		default:
			a.Why = "is the other part of the mix"
		}
		if len(out) < maxAlternatives || a.Chosen {
			out = append(out, a)
		}
	}
	return out
}

// share gives the roll-out's new version its share of the old version's requests.
func share(in Input, d Decision) Decision {
	r := in.Document.Rollout
	if r == nil || d.Version != r.Against || !in.Rollout.Matches(r) {
		return d
	}
	v, ok := in.Document.FindVersion(r.Version)
	open := ok && v.State == model.StateServing && in.Excluded[r.Version] == "" && slices.Contains(in.Organisation.Versions, r.Version)
	if open && in.Share < float64(in.Rollout.Share) {
		d.Version = r.Version
		d.Why = fmt.Sprintf("%.0f%% of %s goes to the roll-out; %s", 100*float64(in.Rollout.Share), r.Against, d.Why)
	}
	return d
}

// Package chooser decides which version answers a request: the cheapest mix that meets the
// organisation's quality target.
package chooser

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Policy makes a decision from an input. The router and the benchmarks' baselines share it.
type Policy[In, Out any] interface {
	Decide(in In) Out
}

// Input is everything that a decision depends on. Mix, Explore and Share are random numbers in
// [0, 1), which the caller draws so that a decision can be repeated.
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

// Decision names the version to run. For a cascade, Second is the version that runs if the first answer
// rates below EscalateBelow. Expected is the quality predicted for the request and Prior that of the
// second version alone.
type Decision struct {
	Version       model.VersionID
	Second        model.VersionID
	EscalateBelow model.Quality
	Expected      model.Quality
	Prior         model.Quality
	Reason        string
	Alternatives  []explainer.Alternative
	Refusal       *model.Refusal
}

// option is one way to answer: a single version, or a cascade of two.
type option struct {
	first, second model.VersionID
	escalateBelow model.Quality
	quality       float64
	lowerBound    float64
	cost          float64
}

func (o option) name() string {
	if o.second == "" {
		return string(o.first)
	}
	return fmt.Sprintf("%s, then %s under %.2f", o.first, o.second, float64(o.escalateBelow))
}

// Cheapest is the router's policy.
type Cheapest struct{}

// Decide returns the cheapest option that is expected to keep the organisation's mean quality at its
// target.
func (Cheapest) Decide(in Input) Decision {
	if in.Pinned != "" {
		return choosePinned(in)
	}
	versions, rejected := candidates(in)
	if len(versions) == 0 {
		d := Decision{Alternatives: rejected}
		d.Refusal = model.Refuse(model.KindUnknownModel, "no version is open to this organisation under that model: see GET /v1/models")
		return d
	}
	best, cost := optimise(in, versions, rejected)
	if d, ok := explore(in, versions, rejected, cost); ok {
		return applyRolloutShare(in, d)
	}
	return applyRolloutShare(in, best)
}

// choosePinned keeps a session's version. If that version was withdrawn, it refuses the request or
// moves the session, as the document says.
func choosePinned(in Input) Decision {
	if in.Document.Allows(in.Organisation.Organisation, in.Pinned, true) {
		return Decision{Version: in.Pinned, Expected: model.Quality(in.Estimates[in.Pinned].Mean), Reason: "session keeps its version"}
	}
	if in.Document.Session.WithdrawnFallback == model.FallbackRefuse {
		return Decision{Refusal: model.Refuse(model.KindWithdrawn, "the session's version %s takes no work any more: start a new session", in.Pinned)}
	}
	in.Pinned = ""
	d := Cheapest{}.Decide(in)
	d.Reason = "session moved from a withdrawn version; " + d.Reason
	return d
}

// candidates lists the versions that may take new requests of the organisation. It leaves out the new
// version of a roll-out, which gets its share from the version beside it.
func candidates(in Input) (eligible []model.Version, rejected []explainer.Alternative) {
	for _, v := range in.Document.Versions {
		reason := in.Excluded[v.Version]
		switch {
		case !slices.Contains(in.Organisation.Versions, v.Version):
			continue
		case v.State != model.StateServing:
			reason = "state is " + string(v.State)
		case !matchesModel(v, in):
			reason = "another model was asked for"
		case reason == "" && isRolloutTarget(in, v.Version) && in.Model != string(v.Version):
			reason = "takes its share in the roll-out"
		}
		if reason != "" {
			rejected = append(rejected, explainer.Alternative{Name: string(v.Version), Reason: reason})
			continue
		}
		eligible = append(eligible, v)
	}
	return eligible, rejected
}

func matchesModel(v model.Version, in Input) bool {
	return in.Model == string(in.Document.Service) || in.Model == string(v.Model) || in.Model == string(v.Version)
}

// isRolloutTarget reports whether the version is the new one of a roll-out whose old version the
// organisation may use as well.
func isRolloutTarget(in Input, v model.VersionID) bool {
	r := in.Document.Rollout
	return r != nil && r.Version == v && slices.Contains(in.Organisation.Versions, r.Baseline) && in.Excluded[r.Baseline] == ""
}

// fullExploreRatings is the number of ratings above which a version is explored less and less.
const fullExploreRatings = 100

// explore sends a few requests to the version with the fewest ratings. The document's share is a share of
// the cost, so an expensive version is explored less often. The share falls as ratings arrive, so that
// no money is spent on what is known.
func explore(in Input, versions []model.Version, rejected []explainer.Alternative, cost float64) (Decision, bool) {
	least := slices.MinFunc(versions, func(a, b model.Version) int {
		return cmp.Or(cmp.Compare(in.Estimates[a.Version].Rated, in.Estimates[b.Version].Rated), cmp.Compare(a.Version, b.Version))
	})
	e := in.Estimates[least.Version]
	known := math.Min(1, fullExploreRatings/math.Max(e.Rated, 1))
	price := math.Min(1, cost/math.Max(float64(e.Cost), 1))
	if in.Explore >= float64(in.Document.Explore)*known*price {
		return Decision{}, false
	}
	return Decision{Version: least.Version, Expected: model.Quality(e.Mean), Reason: "explores", Alternatives: rejected}, true
}

// optimise solves a small linear program: minimum cost with the mean quality at the target. Its optimum
// mixes at most two options.
func optimise(in Input, versions []model.Version, rejected []explainer.Alternative) (Decision, float64) {
	options := singleOptions(in, versions)
	if in.Document.Cascade && !in.Stream {
		options = append(options, cascadeOptions(in, options)...)
	}
	low, high, p := cheapestMix(options, float64(in.Target))
	chosen, reason := high, "cheapest that meets the target"
	if p > 0 && in.Mix < p {
		chosen, reason = low, fmt.Sprintf("share %.0f%% of a mix that meets the target", 100*p)
	}
	if high.lowerBound < float64(in.Target) {
		reason = "best quality, since nothing meets the target"
	}
	d := Decision{
		Version: chosen.first, Second: chosen.second, EscalateBelow: chosen.escalateBelow,
		Expected: model.Quality(chosen.quality), Reason: reason,
		Prior:        model.Quality(in.Estimates[chosen.second].Mean),
		Alternatives: append(rejected, alternatives(options, chosen, float64(in.Target))...),
	}
	return d, chosen.cost
}

func singleOptions(in Input, versions []model.Version) []option {
	options := make([]option, 0, len(versions))
	for _, v := range versions {
		e := in.Estimates[v.Version]
		options = append(options, option{first: v.Version, quality: e.Mean, lowerBound: e.Lower, cost: float64(e.Cost)})
	}
	return options
}

// cascadeOptions lists the useful cascades from a cheaper to a more expensive version.
func cascadeOptions(in Input, options []option) []option {
	var out []option
	for _, a := range options {
		for _, b := range options {
			for _, threshold := range in.Estimates[a.first].Thresholds[b.first] {
				margin := (a.quality - a.lowerBound) * (1 - threshold.ShareBelow)
				margin += (b.quality - b.lowerBound) * threshold.ShareBelow
				out = append(out, option{
					first: a.first, second: b.first, escalateBelow: threshold.Rating,
					quality: threshold.Quality, lowerBound: threshold.Quality - margin, cost: a.cost + threshold.ShareBelow*b.cost,
				})
			}
		}
	}
	return out
}

// cheapestMix returns the two options, and the share of the lower one, that meet the target at minimum
// cost. If no option meets the target, it returns the best one alone.
func cheapestMix(options []option, target float64) (low, high option, p float64) {
	best := -1.0
	for _, h := range options {
		if h.lowerBound < target {
			continue
		}
		if best < 0 || h.cost < best {
			low, high, p, best = h, h, 0, h.cost
		}
		for _, l := range options {
			if l.lowerBound >= target || l.cost >= h.cost {
				continue
			}
			share := (h.lowerBound - target) / (h.lowerBound - l.lowerBound)
			if cost := share*l.cost + (1-share)*h.cost; cost < best {
				low, high, p, best = l, h, share, cost
			}
		}
	}
	if best < 0 {
		high = slices.MaxFunc(options, func(a, b option) int {
			switch {
			case a.lowerBound < b.lowerBound:
				return -1
			case a.lowerBound > b.lowerBound:
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
			a.Chosen, a.Reason = true, "chosen"
		case o.lowerBound < target:
			a.Reason = fmt.Sprintf("quality %.3f with confidence is under the target %.3f", o.lowerBound, target)
		case o.cost > chosen.cost:
			a.Reason = "costs more"
		default:
			a.Reason = "is the other part of the mix"
		}
		if len(out) < maxAlternatives || a.Chosen {
			out = append(out, a)
		}
	}
	return out
}

// applyRolloutShare moves the roll-out's share of the old version's requests to the new version.
func applyRolloutShare(in Input, d Decision) Decision {
	r := in.Document.Rollout
	if r == nil || d.Version != r.Baseline || !in.Rollout.Matches(r) {
		return d
	}
	v, ok := in.Document.FindVersion(r.Version)
	open := ok && v.State == model.StateServing && in.Excluded[r.Version] == "" && slices.Contains(in.Organisation.Versions, r.Version)
	if open && in.Share < float64(in.Rollout.Share) {
		d.Version = r.Version
		d.Reason = fmt.Sprintf("%.0f%% of %s goes to the roll-out; %s", 100*float64(in.Rollout.Share), r.Baseline, d.Reason)
	}
	return d
}

// Package picker chooses the backend server for a request.
package picker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// affinityBound is how far above the mean load a server may be and still take a
	// session's next request (bounded-load consistent hashing; Mirrokni and others, 2018).
	affinityBound = 1.25
	// affinityFree is the utilisation below which affinity always holds.
	affinityFree = 0.7
	// saturated is the utilisation from which affinity gives way.
	saturated = 1.0
	// regionPenalty is added to the utilisation of servers in other regions.
	regionPenalty = 0.3
	// domainPenalty breaks ties in favour of the own failure domain.
	domainPenalty = 0.02
)

// Candidate is one agent as the entry sees it. Running and Queued are the agent's last
// report; Sent counts this entry's requests since then and Open those still unanswered.
type Candidate struct {
	Instance   model.Instance
	Load       model.Load
	Reachable  bool
	Unanswered int
	Sent       int
	Answered   int
}

// Input is everything that a choice reads. Dice are random numbers in [0, 1).
type Input struct {
	Candidates []Candidate
	Version    model.VersionID
	Self       model.Place
	Affinity   string
	// LastInstance is the server that served the session last.
	LastInstance model.InstanceID
	Excluded     map[model.InstanceID]string
	// OtherRegion asks for another region although the own one has servers left.
	OtherRegion bool
	// ShortestWait asks for the server with the shortest wait, after those drawn had no free slot.
	ShortestWait bool
	Draws        [3]float64
	Now          time.Time
}

// Choice is the chosen agent, or none.
type Choice struct {
	Instance     model.Instance
	Found        bool
	Why          string
	Alternatives []explainer.Alternative
}

// Nearest is the router's policy: own region first, the less loaded of two, and a
// session's server as long as it is not overloaded.
type Nearest struct{}

// Decide returns the agent for the request.
func (Nearest) Decide(in Input) Choice {
	open, lost := eligible(in)
	if len(open) == 0 {
		return Choice{Why: "no backend server serves the version", Alternatives: lost}
	}
	pool, far := split(open, in.Self.Region)
	if len(pool) == 0 || in.OtherRegion && len(far) > 0 {
		pool = far
	}
	if in.ShortestWait {
		return chosen(shortestWait(open, in), "has the shortest wait", open, lost, in)
	}
	if c, ok := byHint(pool, in); ok {
		return chosen(c, "served the session last", pool, lost, in)
	}
	if in.Affinity != "" {
		if c, ok := byAffinity(pool, in); ok {
			return chosen(c, "keeps the session's cache", pool, lost, in)
		}
	}
	return chosen(lessLoaded(pool, in), "less loaded of those drawn", pool, lost, in)
}

// eligible leaves out servers that are leaving, down, excluded or without the version.
func eligible(in Input) (open []Candidate, lost []explainer.Alternative) {
	for _, c := range in.Candidates {
		why := in.Excluded[c.Instance.Instance]
		switch {
		case why != "":
		case c.Instance.Leaving || c.Load.Leaving:
			why = "is leaving"
		case !c.Reachable:
			why = "does not answer"
		case c.Load.Limit == 0:
			why = "its backend server is down"
		case in.Version != "" && !slices.Contains(c.Load.Versions, in.Version):
			why = "has not loaded the version"
		default:
			open = append(open, c)
			continue
		}
		lost = append(lost, explainer.Alternative{Name: string(c.Instance.Instance), Why: why})
	}
	return open, lost
}

func split(cs []Candidate, region model.RegionID) (near, far []Candidate) {
	for _, c := range cs {
		if c.Instance.Place.Region == region {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

// utilisation estimates the present load: the report, corrected by what this entry has
// sent and had answered since, plus a penalty for distance.
func utilisation(c Candidate, in Input) float64 {
	busy := float64(max(c.Unanswered, c.Load.Running+c.Load.Queued+c.Sent-c.Answered))
	u := busy / float64(max(c.Load.Limit, 1))
	return u + byDistance(c.Instance.Place, in.Self, domainPenalty, regionPenalty)
}

// byDistance returns what a place costs: nothing in the own failure domain, domain in another one of the
// own region, region beyond.
func byDistance[T float64 | time.Duration](place, self model.Place, domain, region T) T {
	switch {
	case place.Region != self.Region:
		return region
	case place.Domain != self.Domain:
		return domain
	}
	return 0
}

// byHint returns the server that served the session last, unless it is full.
func byHint(cs []Candidate, in Input) (Candidate, bool) {
	for _, c := range cs {
		if c.Instance.Instance == in.LastInstance && utilisation(c, in) < saturated {
			return c, true
		}
	}
	return Candidate{}, false
}

// byAffinity returns the first server in rendezvous order that is not overloaded.
func byAffinity(cs []Candidate, in Input) (Candidate, bool) {
	sum := 0.0
	for _, c := range cs {
		sum += utilisation(c, in)
	}
	bound := max(affinityFree, affinityBound*sum/float64(len(cs)))
	ranked := slices.Clone(cs)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Compare(affinityScore(in.Affinity, b), affinityScore(in.Affinity, a))
	})
	for _, c := range ranked {
		if u := utilisation(c, in); u <= bound && u < saturated {
			return c, true
		}
	}
	return Candidate{}, false
}

func affinityScore(key string, c Candidate) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(c.Instance.Instance))
}

// lessLoaded draws three servers and takes the least loaded: enough to avoid hot spots,
// too few for all entries to run to the same server after a report (Mitzenmacher, 2001).
func lessLoaded(cs []Candidate, in Input) Candidate {
	best := cs[draw(in.Draws[0], len(cs))]
	for _, dice := range in.Draws[1:] {
		if c := cs[draw(dice, len(cs))]; utilisation(c, in) < utilisation(best, in) {
			best = c
		}
	}
	return best
}

// shortestWait returns the least loaded of all; the loads of servers that just answered
// that they are full are fresh.
func shortestWait(cs []Candidate, in Input) Candidate {
	best := cs[draw(in.Draws[0], len(cs))]
	for _, c := range cs {
		if utilisation(c, in) < utilisation(best, in) {
			best = c
		}
	}
	return best
}

// MaxProbes is the number of servers that are asked to start a request at once before it
// is left to wait at one of them.
const MaxProbes = 8

// SameRegionProbes is how many of them stay in the own region, where asking costs little.
const SameRegionProbes = 7

func draw(dice float64, n int) int { return min(int(dice*float64(n)), n-1) }

// maxAlternatives bounds the list in a decision record.
const maxAlternatives = 8

func chosen(c Candidate, why string, pool []Candidate, lost []explainer.Alternative, in Input) Choice {
	out := Choice{Instance: c.Instance, Found: true, Why: why}
	for _, p := range pool {
		a := explainer.Alternative{Name: string(p.Instance.Instance), Score: utilisation(p, in), Why: "not drawn or more loaded"}
		if p.Instance.Instance == c.Instance.Instance {
			a.Chosen, a.Why = true, why
		}
		if a.Chosen || len(out.Alternatives) < maxAlternatives {
			out.Alternatives = append(out.Alternatives, a)
		}
	}
	if n := len(pool) - len(out.Alternatives); n > 0 {
		out.Why += fmt.Sprintf(" (%d more were weighed)", n)
	}
	out.Alternatives = append(out.Alternatives, lost[:min(len(lost), maxAlternatives)]...)
	return out
}

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
	// affinityLoadFactor is the multiple of the mean load up to which a server may take a
	// session's next request (bounded-load consistent hashing; Mirrokni and others, 2018).
	affinityLoadFactor = 1.25
	// affinityFreeUtilisation is the utilisation up to which affinity holds whatever the mean load.
	affinityFreeUtilisation = 0.7
	// saturatedUtilisation is the utilisation from which affinity is ignored.
	saturatedUtilisation = 1.0
	// regionPenalty is added to the utilisation of servers in other regions.
	regionPenalty = 0.3
	// domainPenalty is added for servers in other failure domains of the own region; it breaks ties
	// in favour of the own one.
	domainPenalty = 0.02
)

// Candidate is the state of an agent as known to the entry. Load is the agent's last report; Sent
// and Answered count this entry's requests since then, Unanswered all that have no answer yet.
type Candidate struct {
	Instance   model.Instance
	Load       model.Load
	Reachable  bool
	Unanswered int
	Sent       int
	Answered   int
}

// Input is the input to a choice by Nearest. Draws are random numbers in [0, 1).
type Input struct {
	Candidates []Candidate
	Version    model.VersionID
	Self       model.Place
	Affinity   string
	// LastInstance is the server that served the session last.
	LastInstance model.InstanceID
	Excluded     map[model.InstanceID]string
	// OtherRegion prefers another region even if the own one has eligible servers.
	OtherRegion bool
	// ShortestWait selects the server with the shortest wait in any region, after the drawn servers
	// had no free slot.
	ShortestWait bool
	Draws        [3]float64
	Now          time.Time
}

// Choice is the chosen agent, if one was found, with the reason and the alternatives.
type Choice struct {
	Instance     model.Instance
	Found        bool
	Reason       string
	Alternatives []explainer.Alternative
}

// Nearest is the router's policy: it prefers the own region, the server of a session while that
// is not overloaded, and otherwise the least loaded of three drawn servers.
type Nearest struct{}

// Decide returns the agent for the request.
func (Nearest) Decide(in Input) Choice {
	eligible, rejected := filterEligible(in)
	if len(eligible) == 0 {
		return Choice{Reason: "no backend server serves the version", Alternatives: rejected}
	}
	pool, far := splitByRegion(eligible, in.Self.Region)
	if len(pool) == 0 || in.OtherRegion && len(far) > 0 {
		pool = far
	}
	if in.ShortestWait {
		return newChoice(pickShortestWait(eligible, in), "has the shortest wait", eligible, rejected, in)
	}
	if c, ok := pickLastInstance(pool, in); ok {
		return newChoice(c, "served the session last", pool, rejected, in)
	}
	if in.Affinity != "" {
		if c, ok := pickByAffinity(pool, in); ok {
			return newChoice(c, "keeps the session's cache", pool, rejected, in)
		}
	}
	return newChoice(pickLessLoaded(pool, in), "less loaded of those drawn", pool, rejected, in)
}

// filterEligible separates the eligible candidates from those that are excluded, leaving, down or
// without the version.
func filterEligible(in Input) (eligible []Candidate, rejected []explainer.Alternative) {
	for _, c := range in.Candidates {
		reason := in.Excluded[c.Instance.Instance]
		switch {
		case reason != "":
		case c.Instance.Draining || c.Load.Draining:
			reason = "is leaving"
		case !c.Reachable:
			reason = "does not answer"
		case c.Load.Limit == 0:
			reason = "its backend server is down"
		case in.Version != "" && !slices.Contains(c.Load.Versions, in.Version):
			reason = "has not loaded the version"
		default:
			eligible = append(eligible, c)
			continue
		}
		rejected = append(rejected, explainer.Alternative{Name: string(c.Instance.Instance), Reason: reason})
	}
	return eligible, rejected
}

func splitByRegion(cs []Candidate, region model.RegionID) (near, far []Candidate) {
	for _, c := range cs {
		if c.Instance.Place.Region == region {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

// utilisation estimates the current utilisation: the last report, corrected by the requests that
// this entry has sent and the answers it got since, plus a penalty for distance.
func utilisation(c Candidate, in Input) float64 {
	busy := float64(max(c.Unanswered, c.Load.Running+c.Load.Queued+c.Sent-c.Answered))
	u := busy / float64(max(c.Load.Limit, 1))
	return u + distanceCost(c.Instance.Place, in.Self, domainPenalty, regionPenalty)
}

// distanceCost returns 0 for the own failure domain, domain for another one in the own region and
// region for another region.
func distanceCost[T float64 | time.Duration](place, self model.Place, domain, region T) T {
	switch {
	case place.Region != self.Region:
		return region
	case place.Domain != self.Domain:
		return domain
	}
	return 0
}

// pickLastInstance returns the server that served the session last, unless it is saturated.
func pickLastInstance(cs []Candidate, in Input) (Candidate, bool) {
	for _, c := range cs {
		if c.Instance.Instance == in.LastInstance && utilisation(c, in) < saturatedUtilisation {
			return c, true
		}
	}
	return Candidate{}, false
}

// pickByAffinity returns the first server in rendezvous order that is not overloaded.
func pickByAffinity(cs []Candidate, in Input) (Candidate, bool) {
	sum := 0.0
	for _, c := range cs {
		sum += utilisation(c, in)
	}
	bound := max(affinityFreeUtilisation, affinityLoadFactor*sum/float64(len(cs)))
	ranked := slices.Clone(cs)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Compare(affinityScore(in.Affinity, b), affinityScore(in.Affinity, a))
	})
	for _, c := range ranked {
		if u := utilisation(c, in); u <= bound && u < saturatedUtilisation {
			return c, true
		}
	}
	return Candidate{}, false
}

func affinityScore(key string, c Candidate) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(c.Instance.Instance))
}

// pickLessLoaded draws three servers and returns the least loaded one. Three draws avoid hot
// spots, and are too few to send all entries to the same server after a report (Mitzenmacher,
// 2001).
func pickLessLoaded(cs []Candidate, in Input) Candidate {
	best := cs[randomIndex(in.Draws[0], len(cs))]
	for _, draw := range in.Draws[1:] {
		if c := cs[randomIndex(draw, len(cs))]; utilisation(c, in) < utilisation(best, in) {
			best = c
		}
	}
	return best
}

// pickShortestWait returns the least loaded of all servers. It is used after some servers refused
// the request as full, so that their loads are recent.
func pickShortestWait(cs []Candidate, in Input) Candidate {
	best := cs[randomIndex(in.Draws[0], len(cs))]
	for _, c := range cs {
		if utilisation(c, in) < utilisation(best, in) {
			best = c
		}
	}
	return best
}

// MaxProbes is the number of servers that are asked to start a request without queueing before it
// queues at one of them.
const MaxProbes = 8

// SameRegionProbes is the number of probes that stay in the own region, where a probe costs little.
const SameRegionProbes = 7

func randomIndex(draw float64, n int) int { return min(int(draw*float64(n)), n-1) }

// maxAlternatives bounds the number of alternatives of each kind in a decision record.
const maxAlternatives = 8

func newChoice(c Candidate, reason string, pool []Candidate, rejected []explainer.Alternative, in Input) Choice {
	out := Choice{Instance: c.Instance, Found: true, Reason: reason}
	for _, p := range pool {
		a := explainer.Alternative{Name: string(p.Instance.Instance), Score: utilisation(p, in), Reason: "not drawn or more loaded"}
		if p.Instance.Instance == c.Instance.Instance {
			a.Chosen, a.Reason = true, reason
		}
		if a.Chosen || len(out.Alternatives) < maxAlternatives {
			out.Alternatives = append(out.Alternatives, a)
		}
	}
	if n := len(pool) - len(out.Alternatives); n > 0 {
		out.Reason += fmt.Sprintf(" (%d more were weighed)", n)
	}
	out.Alternatives = append(out.Alternatives, rejected[:min(len(rejected), maxAlternatives)]...)
	return out
}

package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Backend is one backend server as an entry sees it that forwards directly.
type Backend struct {
	Server model.BackendServer
	// Running and Waiting are its last report.
	Running, Waiting int
	// Sent and Done count this entry's requests since the report, Open those unanswered.
	Sent, Done, Open int
	// Front is the number of prompt tokens of this entry's requests that did not start yet,
	// weighed by the size of their models.
	Front float64
}

// DirectInput is everything that a direct choice reads. Dice is a random number in [0, 1).
type DirectInput struct {
	Backends []Backend
	Self     model.Place
	// Affinity names what the backend server should have in memory already; empty for none.
	Affinity string
	Excluded map[model.BackendID]bool
	Dice     float64
	Now      time.Time
}

// DirectChoice is the chosen backend server, or none, with the figures that decided.
type DirectChoice struct {
	Server model.BackendServer
	Found  bool
	Why    string
	Load   float64
	Open   int
}

// Direct picks a backend server without an agent in between.
type Direct struct{}

const (
	// frontTokens is the number of waiting prompt tokens that weighs like a full batch: about
	// half a second of reading by the largest model.
	frontTokens = 12_000
	// coldLoad is added for a backend server that is still slow after its start.
	coldLoad = 0.2
)

// Decide returns the backend server that keeps the affinity's memory if it is not overloaded,
// and the least loaded one otherwise. It answers traffic of which much is about one thing, and
// reports that are old and read by many entries.
func (Direct) Decide(in DirectInput) DirectChoice {
	open := make([]Backend, 0, len(in.Backends))
	for _, b := range in.Backends {
		if b.Server.State == model.BackendReady && !in.Excluded[b.Server.Backend] {
			open = append(open, b)
		}
	}
	if len(open) == 0 {
		return DirectChoice{Why: "no backend server is ready"}
	}
	slices.SortFunc(open, func(a, b Backend) int { return cmp.Compare(a.Server.Backend, b.Server.Backend) })
	if in.Affinity != "" {
		if b, ok := keeper(open, in); ok {
			return direct(b, open, "keeps the prompt's memory")
		}
	}
	return direct(leastLoaded(open, in), open, "least loaded")
}

func direct(b Backend, open []Backend, why string) DirectChoice {
	return DirectChoice{Server: b.Server, Found: true, Why: why, Load: load(b), Open: len(open)}
}

// load estimates how busy a backend server is; 1 is a full batch.
func load(b Backend) float64 {
	busy := float64(max(b.Open, b.Running+b.Waiting+b.Sent-b.Done))
	u := busy/float64(max(b.Server.Slots, 1)) + b.Front/frontTokens
	if b.Server.Cold > 0 {
		u += coldLoad
	}
	return u
}

// keeper returns the first backend server in rendezvous order that is not overloaded.
func keeper(open []Backend, in DirectInput) (Backend, bool) {
	sum := 0.0
	for _, b := range open {
		sum += load(b)
	}
	bound := max(affinityFloor, affinityBound*sum/float64(len(open)))
	ranked := slices.Clone(open)
	slices.SortFunc(ranked, func(a, b Backend) int {
		return cmp.Compare(rendezvous(in.Affinity, b.Server.Backend), rendezvous(in.Affinity, a.Server.Backend))
	})
	for _, b := range ranked {
		if u := load(b); u <= bound && u < saturated {
			return b, true
		}
	}
	return Backend{}, false
}

// affinityFloor is the load below which affinity always holds: a batch that full still
// answers within its target.
const affinityFloor = 0.5

func rendezvous(key string, id model.BackendID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}

// leastLoaded returns the least loaded of all, far ones at their penalty; the dice spread
// entries that see the same loads.
func leastLoaded(open []Backend, in DirectInput) Backend {
	start := draw(in.Dice, len(open))
	best := open[start]
	for i := range open {
		b := open[(start+i)%len(open)]
		if load(b)+distance(b, in.Self) < load(best)+distance(best, in.Self) {
			best = b
		}
	}
	return best
}

func distance(b Backend, self model.Place) float64 {
	switch {
	case b.Server.Place.Region != self.Region:
		return regionPenalty
	case b.Server.Place.Domain != self.Domain:
		return domainPenalty
	}
	return 0
}

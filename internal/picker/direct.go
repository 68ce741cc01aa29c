package picker

import (
	"cmp"
	"slices"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Backend is one backend server as an entry sees it that forwards directly.
type Backend struct {
	Server model.BackendServer
	// Running and Waiting are its last report.
	Running, Waiting int
	// Sent and Answered count this entry's requests since the report, Unanswered those unanswered.
	Sent, Answered, Unanswered int
}

// DirectInput is everything that a direct choice reads. Dice is a random number in [0, 1).
type DirectInput struct {
	Backends []Backend
	Self     model.Place
	Excluded map[model.BackendID]bool
	Draw     float64
}

// DirectChoice is the chosen backend server, or none, with the load that decided.
type DirectChoice struct {
	Server model.BackendServer
	Found  bool
	Load   float64
	// Busy is the number of requests that run or wait there.
	Busy     int
	Eligible int
}

// LeastLoaded picks a backend server of a plain service without an agent in between.
type LeastLoaded struct{}

// coldLoad is added for a backend server that is still slow after its start.
const coldLoad = 0.2

// Decide returns the least loaded of all, far ones at their penalty; the dice spread entries
// that see the same loads. It answers reports that are old and read by many entries.
func (LeastLoaded) Decide(in DirectInput) DirectChoice {
	open := make([]Backend, 0, len(in.Backends))
	for _, b := range in.Backends {
		if b.Server.State == model.BackendReady && !in.Excluded[b.Server.Backend] {
			open = append(open, b)
		}
	}
	if len(open) == 0 {
		return DirectChoice{}
	}
	slices.SortFunc(open, func(a, b Backend) int { return cmp.Compare(a.Server.Backend, b.Server.Backend) })
	start := draw(in.Draw, len(open))
	best := open[start]
	for i := range open {
		b := open[(start+i)%len(open)]
		if load(b)+distance(b, in.Self) < load(best)+distance(best, in.Self) {
			best = b
		}
	}
	return DirectChoice{Server: best.Server, Found: true, Load: load(best), Busy: busy(best), Eligible: len(open)}
}

// load estimates how busy a backend server is; 1 means that all its slots are taken.
func load(b Backend) float64 {
	u := float64(busy(b)) / float64(max(b.Server.Slots, 1))
	if b.Server.Cold > 0 {
		u += coldLoad
	}
	return u
}

func busy(b Backend) int { return max(b.Unanswered, b.Running+b.Waiting+b.Sent-b.Answered) }

func distance(b Backend, self model.Place) float64 {
	return byDistance(b.Server.Place, self, domainPenalty, regionPenalty)
}

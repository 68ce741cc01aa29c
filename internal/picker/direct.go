package picker

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Backend is the state of a backend server as known to an entry that forwards to it directly.
type Backend struct {
	Server model.BackendServer
	// Running and Waiting are the numbers of requests in the server's last report.
	Running, Waiting int
	// Sent and Answered count this entry's requests since that report; Unanswered counts all
	// requests that entries have sent and that are not answered yet.
	Sent, Answered, Unanswered int
	// Slowdown stretches the requests that run or wait and the one to be sent.
	Slowdown Slowdown
	// RoundTrip is the connect time to the server's failure domain, 0 if it is not known.
	RoundTrip time.Duration
}

// DirectInput is the input to a choice by LeastLoaded. Draw is a random number in [0, 1).
type DirectInput struct {
	Backends []Backend
	Self     model.Place
	Excluded map[model.BackendID]bool
	// Barred backend servers must not get the request, even if all others are excluded.
	Barred map[model.BackendID]bool
	Draw   float64
}

// DirectChoice is the chosen backend server, if one was found, with its load before the distance
// penalty and the number of eligible backend servers.
type DirectChoice struct {
	Server model.BackendServer
	Found  bool
	Load   float64
	// Busy is the number of requests that run or wait there.
	Busy     int
	Eligible int
}

// LeastLoaded picks a backend server of a plain service that has no agents in between.
type LeastLoaded struct{}

// coldStartPenalty is added to the load of a backend server that is still slow after its start.
const coldStartPenalty = 0.2

// Decide returns the eligible backend server with the lowest load plus distance penalty. The
// random draw breaks ties differently at each entry, because many entries see the same old
// reports.
func (LeastLoaded) Decide(in DirectInput) DirectChoice {
	eligible := in.eligible()
	if len(eligible) == 0 {
		return DirectChoice{}
	}
	offset := randomIndex(in.Draw, len(eligible))
	best := eligible[offset]
	for i := range eligible {
		b := eligible[(offset+i)%len(eligible)]
		if estimateCost(b, in.Self) < estimateCost(best, in.Self) {
			best = b
		}
	}
	return DirectChoice{Server: best.Server, Found: true, Load: estimateLoad(best), Busy: countBusy(best), Eligible: len(eligible)}
}

// plainWork is the time that a request to a plain service usually takes: the slowest answers of an unloaded one take a
// third of a second.
const plainWork = 150 * time.Millisecond

// estimateCost returns the load of a backend server with the penalties for distance and for slowness. A slowed server
// counts as if it held as many more requests as its work takes longer, the request to be sent included.
func estimateCost(b Backend, self model.Place) float64 {
	stretch := float64(b.Slowdown.Stretch(plainWork))/float64(plainWork) - 1
	slow := float64(countBusy(b)+1) * stretch / float64(max(b.Server.Slots, 1))
	return estimateLoad(b) + slow + distanceLoad(b.Server.Place, self, b.RoundTrip)
}

// estimateLoad returns the estimated load of a backend server; 1 means that all slots are taken.
func estimateLoad(b Backend) float64 {
	u := float64(countBusy(b)) / float64(max(b.Server.Slots, 1))
	if b.Server.ColdRemaining > 0 {
		u += coldStartPenalty
	}
	return u
}

func countBusy(b Backend) int { return max(b.Unanswered, b.Running+b.Waiting+b.Sent-b.Answered) }

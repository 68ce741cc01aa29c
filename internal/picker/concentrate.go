package picker

import (
	"cmp"
	"slices"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// concentratedLoad is the load up to which one backend server is filled before the next. It leaves free slots for
// what other entries send there meanwhile.
const concentratedLoad = 2.0 / 3

// Concentrated picks a backend server of a plain service so that one server after the other has more load than an even
// share, and the others less. What fails under load only then shows while few requests are affected.
type Concentrated struct {
	// Turn rotates the order of the servers.
	Turn int
}

// Decide returns the first server, in the order of the turn, whose load is below concentratedLoad, and the least loaded
// one if there is none.
func (p Concentrated) Decide(in DirectInput) DirectChoice {
	eligible := in.eligible()
	if len(eligible) == 0 {
		return DirectChoice{}
	}
	first := p.Turn % len(eligible)
	for i := range eligible {
		b := eligible[(first+i)%len(eligible)]
		if estimateLoad(b) < concentratedLoad {
			return DirectChoice{Server: b.Server, Found: true, Load: estimateLoad(b), Busy: countBusy(b), Eligible: len(eligible)}
		}
	}
	return LeastLoaded{}.Decide(in)
}

// eligible returns the backend servers that may get the request, by their ids.
func (in DirectInput) eligible() []Backend {
	out := make([]Backend, 0, len(in.Backends))
	for _, b := range in.Backends {
		if b.Server.State == model.BackendReady && !in.Excluded[b.Server.Backend] && !in.Barred[b.Server.Backend] {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b Backend) int { return cmp.Compare(a.Server.Backend, b.Server.Backend) })
	return out
}

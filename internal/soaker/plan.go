package soaker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a kind of trouble.
type fault string

// Faults. Those of entries and links come from outside the programs.
const (
	entryKill    fault = "entry-kill"
	entryStop    fault = "entry-stop"
	entryPause   fault = "entry-pause"
	entryReload  fault = "entry-reload"
	callerDelay  fault = "callers-delayed"
	callerReset  fault = "callers-reset"
	storeSilent  fault = "store-silent"
	storeOneWay  fault = "store-one-way"
	storeRefuse  fault = "store-refused"
	storeBusy    fault = "store-busy"
	storeSlow    fault = "store-slow"
	storeLost    fault = "store-answers-lost"
	storeForget  fault = "store-forgets"
	serverCrash  fault = "server-crash"
	serverHang   fault = "server-hang"
	serverFail   fault = "server-fails"
	serverLose   fault = "server-loses-answers"
	serverBusy   fault = "server-busy"
	serverSpill  fault = "server-surplus"
	serverDrain  fault = "server-drains"
	serverSilent fault = "server-silent"
	serverOneWay fault = "server-one-way"
	serverReset  fault = "server-reset"
	planChange   fault = "plan-changes"
	keyRevoke    fault = "key-revoked"
)

// allFaults lists the faults that a seed draws from.
var allFaults = []fault{
	entryKill, entryStop, entryPause, entryReload, callerDelay, callerReset,
	storeSilent, storeOneWay, storeRefuse, storeBusy, storeSlow, storeLost, storeForget,
	serverCrash, serverHang, serverFail, serverLose, serverBusy, serverSpill, serverDrain, serverSilent, serverOneWay, serverReset,
	planChange, keyRevoke,
}

// blow is one fault at a time of a run.
type blow struct {
	At, For time.Duration
	Kind    fault
	// Pick chooses the entry or backend server that is hit.
	Pick int
}

const (
	// firstBlow leaves the entries time to start.
	firstBlow = 2 * time.Second
	// calmEnd is the time without faults at the end, in which callers must be served again: trust in
	// keys, breakers and lapsed entries come back within three seconds.
	calmEnd = 6 * time.Second
	// maxBlow and minBlow bound the length of a fault.
	minBlow, maxBlow = 200 * time.Millisecond, 4 * time.Second
	// maxSeries is the most faults of a kind that come in a row.
	maxSeries = 4
)

// draw makes the faults of a run from its seed: single ones and series, which overlap.
func draw(seed uint64, length time.Duration, perSecond float64) []blow {
	r := rand.New(rand.NewPCG(seed, 1))
	span := length - firstBlow - calmEnd
	var out []blow
	for n := int(perSecond * span.Seconds()); len(out) < n; {
		b := blow{
			At:   firstBlow + time.Duration(r.Float64()*float64(span)),
			For:  minBlow + time.Duration(r.Float64()*float64(maxBlow-minBlow)),
			Kind: allFaults[r.IntN(len(allFaults))], Pick: r.IntN(1 << 20),
		}
		series := 1
		if r.IntN(3) == 0 {
			series = 2 + r.IntN(maxSeries-1)
		}
		gap := time.Duration(r.Float64() * float64(b.For))
		for i := range series {
			b.At += time.Duration(i) * gap
			b.Pick += i * r.IntN(2)
			if end := length - calmEnd; b.At+b.For > end {
				b.For = end - b.At
			}
			if b.For > 0 {
				out = append(out, b)
			}
		}
	}
	slices.SortFunc(out, func(a, b blow) int { return int(a.At - b.At) })
	return out
}

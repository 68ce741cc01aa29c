package soaker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a kind of fault that the soak injects.
type fault string

// Kinds of faults. Those of entries and links are injected from outside, by signals and proxies.
const (
	entryKill     fault = "entry-kill"
	entryStop     fault = "entry-stop"
	entryPause    fault = "entry-pause"
	entryReload   fault = "entry-reload"
	callerDelay   fault = "callers-delayed"
	callerReset   fault = "callers-reset"
	storeSilent   fault = "store-silent"
	storeOneWay   fault = "store-one-way"
	storeRefuse   fault = "store-refused"
	storeBusy     fault = "store-busy"
	storeSlow     fault = "store-slow"
	storeLost     fault = "store-answers-lost"
	storeForget   fault = "store-forgets"
	storeRestore  fault = "store-restored"
	serverCrash   fault = "server-crash"
	serverHang    fault = "server-hang"
	serverFail    fault = "server-fails"
	serverLose    fault = "server-loses-answers"
	serverBusy    fault = "server-busy"
	serverSurplus fault = "server-surplus"
	serverDrain   fault = "server-drains"
	serverSilent  fault = "server-silent"
	serverOneWay  fault = "server-one-way"
	serverReset   fault = "server-reset"
	serverLimit   fault = "server-names-limit"
	serverLeave   fault = "server-leaves"
	serverRest    fault = "server-rests"
	promptCrash   fault = "prompt-crashes"
	planChange    fault = "plan-changes"
	keyRevoke     fault = "key-revoked"
	// entriesStop and entriesRoll stop all entries, at once or one after the other before the one before is back.
	entriesStop fault = "entries-stop"
	entriesRoll fault = "entries-roll"
	// entryStopTwice sends a second SIGTERM during the stop.
	entryStopTwice fault = "entry-stop-twice"
	// oddEntry is an entry in the list of backend servers that another writer left.
	oddEntry fault = "odd-entry"
	// serverRepeat has a backend server refuse requests and repeat the refusals on kept connections.
	serverRepeat fault = "server-repeats-refusals"
	// storeMute and serverMute have open connections of an entry to the store, or of all entries to a backend server, fall
	// silent for good, while new ones work.
	storeMute  fault = "store-connections-silent"
	serverMute fault = "server-connections-silent"
	// streamsBreak has the backend servers with models break streams off and answer with errors when they are resumed.
	streamsBreak fault = "streams-break"
)

// allFaults lists the kinds of faults that are drawn.
var allFaults = []fault{
	entryKill, entryStop, entryPause, entryReload, callerDelay, callerReset,
	storeSilent, storeOneWay, storeRefuse, storeBusy, storeSlow, storeLost, storeForget, storeRestore,
	serverCrash, serverHang, serverFail, serverLose, serverBusy, serverSurplus, serverDrain, serverSilent, serverOneWay, serverReset,
	serverLimit, serverLeave, serverRest, promptCrash, planChange, keyRevoke,
}

// stopFaults stop entries, and companionFaults are the planned work that is drawn beside them.
var (
	stopFaults      = []fault{entriesStop, entriesRoll, entryStopTwice, entryStop}
	companionFaults = []fault{planChange, keyRevoke, entryReload, serverDrain, serverLeave}
)

// oddFaults are what odd neighbours do, changeFaults the changes that must be followed meanwhile.
var (
	oddFaults    = []fault{oddEntry, serverRepeat, streamsBreak}
	changeFaults = []fault{serverDrain, serverCrash, planChange, entryStop}
)

// muteChanges are the changes that must be followed although connections fell silent before.
var muteChanges = []fault{serverDrain, serverDrain, planChange, keyRevoke, serverCrash}

// Injection is one fault with its start in a run and its length.
type Injection struct {
	At, Length time.Duration
	Kind       fault
	// Pick selects the affected entry or backend server.
	Pick int
}

const (
	// startupTime is the time without faults at the start of a run, in which the entries start.
	startupTime = 2 * time.Second
	// quietTime is the time without faults at the end of a run, in which callers must be served again:
	// entries accept keys again, breakers close and lapsed server entries return within 3 seconds.
	quietTime = 6 * time.Second
	// minFaultLength and maxFaultLength bound the length of a fault.
	minFaultLength, maxFaultLength = 200 * time.Millisecond, 4 * time.Second
	// longFaultFactor lengthens the faults whose bounds apply only some time after their start.
	longFaultFactor = 3
	// maxSeries is the largest number of faults in a series of one kind.
	maxSeries = 4
	// workInterval is the mean time between two groups of planned work, maxCompanions the largest number of faults
	// beside the stop of a group. They begin at most companionSpread before or after it.
	workInterval    = 2 * time.Second
	maxCompanions   = 5
	companionSpread = 1500 * time.Millisecond
	// oddInterval is the mean time between two odd faults.
	oddInterval = 1200 * time.Millisecond
	// muteInterval is the mean time between two groups of connections that fall silent; settleTime and up to muteSpread
	// later a change must be followed.
	muteInterval = 6 * time.Second
	muteSpread   = time.Second
)

// drawInjections draws the faults of a run from its seed: single faults and series of one kind, which may
// overlap.
func drawInjections(seed uint64, length time.Duration, perSecond float64) []Injection {
	r := rand.New(rand.NewPCG(seed, 1))
	span := length - startupTime - quietTime
	var out []Injection
	for n := int(perSecond * span.Seconds()); len(out) < n; {
		b := Injection{
			At:     startupTime + time.Duration(r.Float64()*float64(span)),
			Length: minFaultLength + time.Duration(r.Float64()*float64(maxFaultLength-minFaultLength)),
			Kind:   allFaults[r.IntN(len(allFaults))], Pick: r.IntN(1 << 20),
		}
		if b.Kind == promptCrash || b.Kind == serverLimit || b.Kind == serverLeave || b.Kind == serverRest {
			b.Length *= longFaultFactor
		}
		series := 1
		if r.IntN(3) == 0 {
			series = 2 + r.IntN(maxSeries-1)
		}
		gap := time.Duration(r.Float64() * float64(b.Length))
		for i := range series {
			b.At += time.Duration(i) * gap
			b.Pick += i * r.IntN(2)
			if end := length - quietTime; b.At+b.Length > end {
				b.Length = end - b.At
			}
			if b.Length > 0 {
				out = append(out, b)
			}
		}
	}
	slices.SortFunc(out, func(a, b Injection) int { return int(a.At - b.At) })
	return out
}

// drawWork draws the planned work of a run from its seed: stops of entries that may overlap, each beside changes of the
// plan, reloads and backend servers that drain or leave.
func drawWork(seed uint64, length time.Duration) []Injection {
	r := rand.New(rand.NewPCG(seed, 6))
	end := length - quietTime
	var out []Injection
	add := func(at, length time.Duration, kinds []fault) {
		at = max(at, startupTime)
		out = append(out, Injection{At: at, Length: min(length, end-at), Kind: kinds[r.IntN(len(kinds))], Pick: r.IntN(1 << 20)})
	}
	for at := startupTime; at < end; at += time.Duration(r.ExpFloat64() * float64(workInterval)) {
		add(at, minFaultLength+time.Duration(r.Float64()*float64(maxFaultLength-minFaultLength)), stopFaults)
		for range r.IntN(maxCompanions + 1) {
			shift := time.Duration((2*r.Float64() - 1) * float64(companionSpread))
			add(min(at+shift, end-minFaultLength), maxFaultLength, companionFaults)
		}
	}
	slices.SortFunc(out, func(a, b Injection) int { return int(a.At - b.At) })
	return out
}

// drawOddities draws odd faults of a run from its seed, each with a change meanwhile that must be followed.
func drawOddities(seed uint64, length time.Duration) []Injection {
	r := rand.New(rand.NewPCG(seed, 7))
	end := length - quietTime
	var out []Injection
	for at := startupTime; at < end; at += time.Duration(r.ExpFloat64() * float64(oddInterval)) {
		d := min(longFaultFactor*(minFaultLength+time.Duration(r.Float64()*float64(maxFaultLength-minFaultLength))), end-at)
		out = append(out,
			Injection{At: at, Length: d, Kind: oddFaults[r.IntN(len(oddFaults))], Pick: r.IntN(1 << 20)},
			Injection{At: at + time.Duration(r.Float64()*float64(d)), Length: min(minFaultLength, d), Kind: changeFaults[r.IntN(len(changeFaults))], Pick: r.IntN(1 << 20)})
	}
	slices.SortFunc(out, func(a, b Injection) int { return int(a.At - b.At) })
	return out
}

// drawSilences draws connections of a run from its seed that fall silent, each with a change that must be followed once
// their entries are in touch again.
func drawSilences(seed uint64, length time.Duration) []Injection {
	r := rand.New(rand.NewPCG(seed, 8))
	end := length - quietTime
	var out []Injection
	for at := startupTime; at < end; at += time.Duration((0.5 + r.ExpFloat64()/2) * float64(muteInterval)) {
		kind := storeMute
		if r.IntN(3) == 0 {
			kind = serverMute
		}
		pick := r.IntN(1 << 20)
		for i := range 1 + r.IntN(3) {
			out = append(out, Injection{At: at, Length: minFaultLength, Kind: kind, Pick: pick + i})
		}
		change := at + settleTime + time.Duration(r.Float64()*float64(muteSpread))
		if change < end {
			out = append(out, Injection{At: change, Length: minFaultLength, Kind: muteChanges[r.IntN(len(muteChanges))], Pick: r.IntN(1 << 20)})
		}
	}
	return out
}

package shifter

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minFaultyServers and minFaultyShare are the number of the new version's backend servers, and
	// their share of those that received requests at a load, that must show a fault there before the version counts
	// as faulty: a single bad backend server does not make a bad version.
	minFaultyServers = 2
	minFaultyShare   = 0.3
	// minClearedServers is the number of its backend servers that must have been seen at a load before the version is
	// cleared there: as load rises, the first of them barely have it.
	minClearedServers = 4
	// recentMemory is the number of the old version's requests above which their weight is halved. It is short, so
	// that a cause that slows or fails both versions at once soon shows in the old version as well.
	recentMemory = 1000.0
	// initialRate is the rate of a fault assumed of the old version, with the weight of initialWeight requests.
	initialRate   = 0.1
	initialWeight = 10.0
	// stratumWeight is the number of requests with which the rate of all requests counts in that of a stratum.
	stratumWeight = 20.0
	// minControlOutcomes is the number of the old version's requests without which its load is not known.
	minControlOutcomes = 50
	// minComparable is the number of the old version's requests, at the load of a backend server or above, without
	// which times at that load are not compared once the old version gets no more requests.
	minComparable = 20
	// minRouteShare and minLoadShare are the shares of a version's requests from which on the new version must be
	// cleared on a route, and at a load. Whatever load the old version has now and then, the new one will have as well.
	minRouteShare = 0.1
	minLoadShare  = 0.03
	// verdictSpan is the number of requests over which the chance of a false alarm is bounded. A roll-out is decided
	// within some hundreds.
	verdictSpan = 1000
	// verdictTests is the number of tests that share this chance. Those of overlapping strata hardly add to it.
	verdictTests = 10
)

// faultTest is what the evaluator tests for one kind of fault: the lowest rate assumed of a healthy version, and the
// excess rates that a faulty version may have.
type faultTest struct {
	floor  float64
	excess []float64
	reason string
}

var faultTests = [faultKinds]faultTest{
	faultFailure: {floor: 0.005, excess: []float64{0.06, 0.25, 0.7}, reason: "it fails more often than the version beside it"},
	faultHead:    {floor: 0.03, excess: []float64{0.25, 0.6}, reason: "its first token is slower than that of the version beside it"},
	faultStream:  {floor: 0.08, excess: []float64{0.25, 0.6}, reason: "its streams are slower than those of the version beside it"},
}

// stratum is a part of the requests that is judged by itself: those of one route, or those sent to a backend server
// that had at least a load. The zero value is all requests. A version may fail on one route only, or under load only,
// and requests without the fault must not hide that.
type stratum struct {
	route model.RouteID
	level loadLevel
}

func (s stratum) String() string {
	switch {
	case s.route != "":
		return "route " + string(s.route)
	case s.level > 0:
		return fmt.Sprintf("servers used to %.0f%% or more", 100*leastUtilisation[s.level])
	}
	return "all requests"
}

// evaluator compares a new version's outcomes with those of the other versions.
type evaluator struct {
	latencies map[latencyKey]*latencyFit
	// servers holds the outcomes of the new version's backend servers at each load or above.
	servers map[model.BackendID]*[maxLevel + 1]rate
	// engines is set if the backend servers run models.
	engines bool
	// control holds the old version's recent counts, and strata the tests of the new version.
	control map[stratum]*[faultKinds]recentRate
	strata  map[stratum]*[faultKinds]*guard.RateTest
	// asked counts the old version's requests since the canary began: the new version had the same loads since.
	asked map[stratum]int
}

// recentRate counts recent outcomes and those among them with a fault.
type recentRate struct{ seen, bad float64 }

func newEvaluator() *evaluator {
	ev := &evaluator{
		latencies: map[latencyKey]*latencyFit{}, servers: map[model.BackendID]*[maxLevel + 1]rate{},
		control: map[stratum]*[faultKinds]recentRate{}, asked: map[stratum]int{}, strata: map[stratum]*[faultKinds]*guard.RateTest{},
	}
	ev.testsOf(stratum{})
	return ev
}

func (ev *evaluator) testsOf(s stratum) *[faultKinds]*guard.RateTest {
	tests := ev.strata[s]
	if tests == nil {
		tests = &[faultKinds]*guard.RateTest{}
		for k := range tests {
			tests[k] = guard.NewRateTest(guard.RateConfig{Excess: faultTests[k].excess, Span: verdictSpan, Tests: verdictTests})
		}
		ev.strata[s] = tests
	}
	return tests
}

// observeTime adds an outcome of another version than the new one to what is known of its times.
func (ev *evaluator) observeTime(o forwarder.Outcome) {
	key, took := measuredTime(o)
	if o.Failed || took <= 0 {
		return
	}
	fit := ev.latencies[key]
	if fit == nil {
		fit = &latencyFit{}
		ev.latencies[key] = fit
	}
	fit.add(float64(o.InFlight), took.Seconds())
}

// logRatio returns the logarithm of an outcome's time divided by the old version's expected time.
func (ev *evaluator) logRatio(o forwarder.Outcome) (float64, bool) {
	key, took := measuredTime(o)
	fit := ev.latencies[key]
	if fit == nil || fit.weight < minFitWeight || took <= 0 {
		return 0, false
	}
	return math.Log(took.Seconds() / fit.predict(float64(o.InFlight))), true
}

// isComparable reports whether the old version's times hold at the load of an outcome although it no longer runs
// beside the new version. Beyond the load that it had, they do not tell slowness from load.
func (ev *evaluator) isComparable(o forwarder.Outcome) bool {
	if o.Engine {
		// Engines that all requests just moved to must read all prompts anew.
		return false
	}
	c := ev.control[stratum{level: levelOf(o.Utilisation)}]
	return c != nil && c[faultHead].seen >= minComparable
}

// observe records evidence on both versions and returns the verdict on the new one.
func (ev *evaluator) observe(e evidence) guard.Verdict {
	for _, c := range e.Old {
		for _, s := range c.strata() {
			ev.observeControl(s, c.Counts)
		}
	}
	ev.forget()
	for _, c := range e.New {
		for _, s := range c.strata() {
			tests := ev.testsOf(s)
			for k, counted := range c.Counts {
				p, deviation := ev.healthyRate(s, faultKind(k))
				tests[k].Observe(counted.Seen, counted.Bad, p, p+deviation)
			}
		}
	}
	for _, s := range e.Servers {
		levels := ev.servers[s.Server]
		if levels == nil {
			levels = &[maxLevel + 1]rate{}
			ev.servers[s.Server] = levels
		}
		for l := range s.Level + 1 {
			levels[l].Seen += s.Seen
			levels[l].Bad += s.Faulty
		}
	}
	return ev.verdict()
}

// beginCanary forgets the loads that the old version had before the new one could have them.
func (ev *evaluator) beginCanary() { clear(ev.asked) }

func (ev *evaluator) observeControl(s stratum, counts [faultKinds]rate) {
	ev.testsOf(s)
	c := ev.control[s]
	if c == nil {
		c = &[faultKinds]recentRate{}
		ev.control[s] = c
	}
	ev.asked[s] += counts[faultFailure].Seen
	for k, counted := range counts {
		c[k].seen += float64(counted.Seen)
		c[k].bad += float64(counted.Bad)
	}
}

// forget halves the weight of the old version's requests when there are many.
func (ev *evaluator) forget() {
	if all := ev.control[stratum{}]; all == nil || all[faultFailure].seen <= recentMemory {
		return
	}
	for _, c := range ev.control {
		for k := range c {
			c[k].seen /= 2
			c[k].bad /= 2
		}
	}
}

// healthyRate estimates the rate of a fault in the old version, with the standard deviation of the estimate.
func (ev *evaluator) healthyRate(s stratum, k faultKind) (p, deviation float64) {
	p, weight := initialRate, initialWeight
	if s != (stratum{}) {
		p, _ = ev.healthyRate(stratum{}, k)
		weight = stratumWeight
	}
	var c recentRate
	if counts := ev.control[s]; counts != nil {
		c = counts[k]
	}
	p = min(max(faultTests[k].floor, (c.bad+p*weight)/(c.seen+weight)), maxHealthyRate)
	return p, min(math.Sqrt(p*(1-p)/(c.seen+weight)), (1-p)/2)
}

// maxHealthyRate bounds the rate of a fault that is taken for the old version's.
const maxHealthyRate = 0.9

// verdict returns the current verdict on the new version.
func (ev *evaluator) verdict() guard.Verdict {
	v := guard.Verdict{Reason: "nothing speaks against it"}
	for _, s := range ev.sortedStrata() {
		for k, test := range ev.strata[s] {
			level := test.Level()
			bad := level >= 1 && ev.isWidespread(s.level)
			if bad && !v.Bad || bad == v.Bad && level > v.Level {
				v.Bad, v.Level, v.Reason = bad, level, faultTests[k].reason+": "+s.String()
			}
		}
	}
	return v
}

// sortedStrata returns the strata in an order that does not change, all requests first.
func (ev *evaluator) sortedStrata() []stratum {
	return slices.SortedFunc(maps.Keys(ev.strata), func(a, b stratum) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.level, b.level))
	})
}

// uncleared returns a stratum in which too little was seen of the new version to rule out a fault, and how much was.
// Strata count that hold a substantial part of the old version's requests, all of which the new one is about to get, or
// of its own.
func (ev *evaluator) uncleared() (where stratum, seen int, found bool) {
	if all := ev.control[stratum{}]; all == nil || all[faultFailure].seen < minControlOutcomes {
		return stratum{}, ev.seen(faultFailure), true
	}
	for _, s := range ev.sortedStrata() {
		for k, test := range ev.strata[s] {
			if ev.isSubstantial(s, faultKind(k)) && (!test.Cleared() || ev.serversAt(s.level) < min(minClearedServers, len(ev.servers))) {
				return s, test.Seen(), true
			}
		}
	}
	return stratum{}, 0, false
}

func (ev *evaluator) isSubstantial(s stratum, k faultKind) bool {
	if k == faultStream || k == faultHead && (ev.engines || s.level > 0) {
		// The times of engines are compared only while the old version runs beside the new one, where a suspicion holds it.
		// Load slows a version in good order as well, so it need not be cleared of late heads at each load.
		return false
	}
	if k != faultFailure && ev.control[stratum{}][k].seen < minControlOutcomes {
		return false
	}
	least := minRouteShare
	if s.level > 0 {
		least = minLoadShare
	}
	own := ev.strata[s][k].Seen()
	return float64(ev.asked[s]) >= least*float64(ev.asked[stratum{}]) || own > 0 && float64(own) >= least*float64(ev.seen(k))
}

// seen returns the number of the new version's outcomes that could show a fault.
func (ev *evaluator) seen(k faultKind) int { return ev.strata[stratum{}][k].Seen() }

// isWidespread reports whether enough of the backend servers that had a load show a fault there. Those that had less
// load need not show one that comes with it.
func (ev *evaluator) isWidespread(l loadLevel) bool {
	faulty := 0
	for _, levels := range ev.servers {
		if levels[l].Bad > 0 {
			faulty++
		}
	}
	return faulty >= min(minFaultyServers, len(ev.servers)) && float64(faulty) >= minFaultyShare*float64(ev.serversAt(l))
}

// serversAt returns the number of the new version's backend servers that were seen at a load or above.
func (ev *evaluator) serversAt(l loadLevel) int {
	n := 0
	for _, levels := range ev.servers {
		if levels[l].Seen > 0 {
			n++
		}
	}
	return n
}

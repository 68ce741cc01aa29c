package shifter

import (
	"math"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minFaultyServers and minFaultyShare are the number of the new version's backend servers, and
	// their share of those that received requests, that must show a fault before the version counts
	// as faulty: a single bad backend server does not make a bad version.
	minFaultyServers = 2
	minFaultyShare   = 0.3
	// slowHeadFactor is the factor in the time to the response headers that the guard tests for. Cold
	// memory and load cause smaller factors.
	slowHeadFactor = 4.0
	// minHeadVariance is the smallest variance assumed for the logarithm of the time to the response
	// headers, which varies because prompts differ in size.
	minHeadVariance = 0.5
	// slowPaceFactor is the factor in the time between events above which a stream counts as slow. The
	// engines of a version that gets few requests are idle, so its streams take half as long as those
	// of the version beside it if it is good, and about twice as long if it is four times as slow.
	slowPaceFactor = 1.5
	// slowStreamRate is the share of slow streams that the guard tests for, since a faulty version may
	// slow only some of its streams. healthySlowRate is the share assumed for every version, since an
	// engine that processes prompts delays its streams.
	slowStreamRate  = 0.3
	healthySlowRate = 0.08
	// paceTestSpan is the number of streams over which the chance of a false alarm is bounded.
	paceTestSpan = 2000
)

// evaluator compares a new version's outcomes with those of the other versions.
type evaluator struct {
	// guard tests failures and times to the response headers, pace tests the share of slow streams.
	guard     *guard.Guard
	pace      *guard.Guard
	latencies map[latencyKey]*latencyFit
	servers   map[model.BackendID]serverCounts
}

// serverCounts counts one backend server's outcomes.
type serverCounts struct {
	Asked  int `json:"asked"`
	Failed int `json:"failed,omitempty"`
	Slow   int `json:"slow,omitempty"`
}

func (r serverCounts) plus(more serverCounts) serverCounts {
	return serverCounts{Asked: r.Asked + more.Asked, Failed: r.Failed + more.Failed, Slow: r.Slow + more.Slow}
}

func newEvaluator() *evaluator {
	return &evaluator{
		guard:     guard.NewWith(guard.Config{Failures: guard.DefaultFailureRates, LatencyFactors: []float64{slowHeadFactor}, MinLogVariance: minHeadVariance}),
		pace:      guard.NewWith(guard.Config{Failures: []float64{slowStreamRate}, MinFailureRate: healthySlowRate, Span: paceTestSpan}),
		latencies: map[latencyKey]*latencyFit{}, servers: map[model.BackendID]serverCounts{},
	}
}

// observeControl records an outcome of another version than the new one.
func (ev *evaluator) observeControl(o forwarder.Outcome) {
	heads, pace, _ := ev.countOutcome(o, true)
	ev.guard.ObserveControl(heads)
	ev.pace.ObserveControl(pace)
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

// measuredTime returns the time that an outcome carries, and the kind of time.
func measuredTime(o forwarder.Outcome) (latencyKey, time.Duration) {
	if o.EventInterval > 0 {
		return latencyKey{o.Route, o.Model, true}, o.EventInterval
	}
	return latencyKey{o.Route, o.Model, false}, o.TimeToHead
}

// logRatio returns the logarithm of an outcome's time divided by the old version's expected time.
func (ev *evaluator) logRatio(o forwarder.Outcome) (float64, bool) {
	key, took := measuredTime(o)
	fit := ev.latencies[key]
	if fit == nil || took <= 0 {
		return 0, false
	}
	return math.Log(took.Seconds() / fit.predict(float64(o.InFlight))), true
}

// evidence sums the outcomes of one version.
type evidence struct {
	// Heads counts requests, failures and times to the response headers.
	Heads model.VersionStats `json:"tally"`
	// Pace counts streams as requests and slow streams as failures.
	Pace    model.VersionStats               `json:"pace"`
	Servers map[model.BackendID]serverCounts `json:"servers"`
}

// countOutcome returns the counts for one outcome: failures and times to the response headers, the pace
// of streams, and those of its backend server. Times count only while another version runs beside it
// (controlRunning), since load slows both.
func (ev *evaluator) countOutcome(o forwarder.Outcome, controlRunning bool) (heads, pace model.VersionStats, server serverCounts) {
	r, ok := ev.logRatio(o)
	timed := ok && controlRunning && !o.Failed
	if o.EventInterval > 0 {
		if timed {
			pace.Requests = 1
		}
		if timed && r > math.Log(slowPaceFactor) {
			pace.Failures, server.Slow = 1, 1
		}
		return heads, pace, server
	}
	heads.Requests, server.Asked = 1, 1
	if o.Failed {
		heads.Failures, server.Failed = 1, 1
	}
	if timed {
		heads.Timed, heads.LogFirstTokenSum, heads.LogFirstTokenSquareSum = 1, r, r*r
	}
	if timed && r > math.Log(slowHeadFactor) {
		server.Slow = 1
	}
	return heads, pace, server
}

// evidenceFrom returns the evidence from one outcome of the new version.
func (ev *evaluator) evidenceFrom(o forwarder.Outcome, controlRunning bool) evidence {
	heads, pace, server := ev.countOutcome(o, controlRunning)
	return evidence{Heads: heads, Pace: pace, Servers: map[model.BackendID]serverCounts{o.Backend: server}}
}

// add adds more evidence to e.
func (e *evidence) add(more evidence) {
	e.Heads = e.Heads.Add(more.Heads)
	e.Pace = e.Pace.Add(more.Pace)
	if e.Servers == nil {
		e.Servers = map[model.BackendID]serverCounts{}
	}
	for id, r := range more.Servers {
		e.Servers[id] = e.Servers[id].plus(r)
	}
}

// observe records evidence on the new version and returns the verdict on it.
func (ev *evaluator) observe(e evidence) guard.Verdict {
	for id, r := range e.Servers {
		ev.servers[id] = ev.servers[id].plus(r)
	}
	ev.guard.Observe(e.Heads)
	ev.pace.Observe(e.Pace)
	return ev.verdict()
}

// verdict returns the current verdict on the new version.
func (ev *evaluator) verdict() guard.Verdict {
	v := ev.guard.Verdict()
	if p := ev.pace.Verdict(); p.Level > v.Level {
		v = p
		v.Reason = "its streams are slower than those of the version beside it"
	}
	v.Bad = v.Bad && ev.widespread()
	return v
}

// widespread reports whether enough backend servers show a fault.
func (ev *evaluator) widespread() bool {
	asked, faulty := 0, 0
	for _, s := range ev.servers {
		asked++
		if s.Failed > 0 || s.Slow > 0 {
			faulty++
		}
	}
	return faulty >= min(minFaultyServers, asked) && float64(faulty) >= minFaultyShare*float64(asked)
}

package shifter

import (
	"math"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minServers and serverShare are how many of the new version's backend servers, in number
	// and as a share of those that were asked, must show a fault before the version has it:
	// a single bad server is no bad version.
	minServers  = 2
	serverShare = 0.3
	// slowFactor is the slowness of an answer's head that is looked for. Smaller factors come from cold
	// memory and from load.
	slowFactor = 4.0
	// headVariance is the least variance of the logarithm of the time to an answer's head, whose
	// spread comes from prompts of unlike size.
	headVariance = 0.5
	// paceFactor is the slowness of a stream from which on it counts as slow. The engines of a version
	// that gets few requests are idle, so that the streams of a good one are half as slow as those beside
	// it, and those of one that is four times as slow are about twice as slow.
	paceFactor = 1.5
	// slowStreams is the part of slow streams that is looked for, since versions may slow a part of their
	// streams only; usualSlow is the part that any version is taken to have, since prompts that are read
	// hold streams up.
	slowStreams = 0.3
	usualSlow   = 0.08
	// trialStreams is the number of streams of a trial, over which the chance of a false alarm is
	// counted.
	trialStreams = 2000
)

// judge weighs a new version's outcomes against those of the others.
type judge struct {
	// guard weighs failures and the times to an answer's head, pace counts slow streams.
	guard   *guard.Guard
	pace    *guard.Guard
	bases   map[baseKey]*base
	servers map[model.BackendID]record
}

// record counts one backend server's outcomes.
type record struct {
	Asked  int `json:"asked"`
	Failed int `json:"failed,omitempty"`
	Slow   int `json:"slow,omitempty"`
}

func (r record) plus(more record) record {
	return record{Asked: r.Asked + more.Asked, Failed: r.Failed + more.Failed, Slow: r.Slow + more.Slow}
}

func newJudge() *judge {
	return &judge{
		guard: guard.NewWith(guard.Config{Failures: guard.BadFailures, Factors: []float64{slowFactor}, LogVariance: headVariance}),
		pace:  guard.NewWith(guard.Config{Failures: []float64{slowStreams}, FloorFailure: usualSlow, Span: trialStreams}),
		bases: map[baseKey]*base{}, servers: map[model.BackendID]record{},
	}
}

// control takes an outcome of another version.
func (j *judge) control(o forwarder.Outcome) {
	heads, pace, _ := j.count(o, true)
	j.guard.ObserveControl(heads)
	j.pace.ObserveControl(pace)
	key, took := timed(o)
	if o.Failed || took <= 0 {
		return
	}
	b := j.bases[key]
	if b == nil {
		b = &base{}
		j.bases[key] = b
	}
	b.learn(float64(o.InFlight), took.Seconds())
}

// timed returns the time that an outcome tells, and the kind of time.
func timed(o forwarder.Outcome) (baseKey, time.Duration) {
	if o.EventInterval > 0 {
		return baseKey{o.Route, o.Model, true}, o.EventInterval
	}
	return baseKey{o.Route, o.Model, false}, o.TimeToHead
}

// relative returns the logarithm of an outcome's time over the old version's usual one.
func (j *judge) relative(o forwarder.Outcome) (float64, bool) {
	key, took := timed(o)
	b := j.bases[key]
	if b == nil || took <= 0 {
		return 0, false
	}
	return math.Log(took.Seconds() / b.at(float64(o.InFlight))), true
}

// evidence is what a number of outcomes of one version tell.
type evidence struct {
	Tally model.Tally `json:"tally"`
	// Pace counts streams, and slow ones as failures.
	Pace    model.Tally                `json:"pace"`
	Servers map[model.BackendID]record `json:"servers"`
}

// count returns what an outcome tells of failures and heads, of the pace of streams and of its backend
// server. Its times count only while another version runs beside it, since load slows both.
func (j *judge) count(o forwarder.Outcome, beside bool) (heads, pace model.Tally, server record) {
	r, ok := j.relative(o)
	timed := ok && beside && !o.Failed
	if o.EventInterval > 0 {
		if timed {
			pace.Requests = 1
		}
		if timed && r > math.Log(paceFactor) {
			pace.Failures, server.Slow = 1, 1
		}
		return heads, pace, server
	}
	heads.Requests, server.Asked = 1, 1
	if o.Failed {
		heads.Failures, server.Failed = 1, 1
	}
	if timed {
		heads.Timed, heads.LogFirst, heads.LogFirst2 = 1, r, r*r
	}
	if timed && r > math.Log(slowFactor) {
		server.Slow = 1
	}
	return heads, pace, server
}

// weigh returns what an outcome of the new version tells.
func (j *judge) weigh(o forwarder.Outcome, beside bool) evidence {
	heads, pace, server := j.count(o, beside)
	return evidence{Tally: heads, Pace: pace, Servers: map[model.BackendID]record{o.Backend: server}}
}

// add sums evidence.
func (e *evidence) add(more evidence) {
	e.Tally = e.Tally.Add(more.Tally)
	e.Pace = e.Pace.Add(more.Pace)
	if e.Servers == nil {
		e.Servers = map[model.BackendID]record{}
	}
	for id, r := range more.Servers {
		e.Servers[id] = e.Servers[id].plus(r)
	}
}

// observe takes evidence on the new version and returns the verdict on it.
func (j *judge) observe(e evidence) guard.Verdict {
	for id, r := range e.Servers {
		j.servers[id] = j.servers[id].plus(r)
	}
	v := j.guard.Observe(e.Tally)
	if p := j.pace.Observe(e.Pace); p.Level > v.Level {
		v = p
		v.Reason = "its streams are slower than those of the version beside it"
	}
	v.Bad = v.Bad && j.widespread()
	return v
}

// widespread reports whether enough backend servers show a fault.
func (j *judge) widespread() bool {
	asked, faulty := 0, 0
	for _, s := range j.servers {
		asked++
		if s.Failed > 0 || s.Slow > 0 {
			faulty++
		}
	}
	return faulty >= min(minServers, asked) && float64(faulty) >= serverShare*float64(asked)
}

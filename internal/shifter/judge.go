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
	// baseWeight smooths the old version's time to an answer's head.
	baseWeight = 0.05
	// slowFactor is the slowness that is looked for, and from when on a head counts as late for
	// its kind of request. Smaller factors come from cold memory and from load.
	slowFactor = 4.0
	// headVariance is the least variance of the logarithm of the time to an answer's head, whose
	// spread comes from prompts of unlike size.
	headVariance = 0.5
)

// judge weighs a new version's outcomes against those of the others.
type judge struct {
	guard   *guard.Guard
	bases   map[baseKey]float64
	servers map[model.BackendID]record
}

// baseKey groups requests whose answers take about as long.
type baseKey struct {
	route model.RouteID
	model model.ModelID
	// between tells times between events from those to an answer's head.
	between bool
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
	return &judge{guard: guard.NewWith(guard.Config{Factors: []float64{slowFactor}, LogVariance: headVariance}), bases: map[baseKey]float64{}, servers: map[model.BackendID]record{}}
}

// control takes an outcome of another version.
func (j *judge) control(o forwarder.Outcome) {
	var t model.Tally
	if o.Between == 0 {
		t.Requests = 1
	}
	if o.Failed {
		t.Failures = 1
	} else if r, ok := j.relative(o); ok {
		t.Timed, t.LogFirst, t.LogFirst2 = 1, r, r*r
	}
	j.guard.Control(t)
	key, took := timed(o)
	if o.Failed || took <= 0 {
		return
	}
	log := math.Log(took.Seconds())
	base, ok := j.bases[key]
	if !ok {
		base = log
	}
	j.bases[key] = base + (log-base)*baseWeight
}

// timed returns the time that an outcome tells, and the kind of time.
func timed(o forwarder.Outcome) (baseKey, time.Duration) {
	if o.Between > 0 {
		return baseKey{o.Route, o.Model, true}, o.Between
	}
	return baseKey{o.Route, o.Model, false}, o.First
}

// relative returns the logarithm of an outcome's time over the old version's usual one.
func (j *judge) relative(o forwarder.Outcome) (float64, bool) {
	key, took := timed(o)
	base, ok := j.bases[key]
	if !ok || took <= 0 {
		return 0, false
	}
	return math.Log(took.Seconds()) - base, true
}

// evidence is what a number of outcomes of the new version tell.
type evidence struct {
	Tally   model.Tally                `json:"tally"`
	Servers map[model.BackendID]record `json:"servers"`
}

// weigh returns what an outcome of the new version tells. Its times count only while another
// version runs beside it, since load slows both.
func (j *judge) weigh(o forwarder.Outcome, beside bool) evidence {
	var t model.Tally
	var s record
	if o.Between == 0 {
		t.Requests, s.Asked = 1, 1
	}
	if o.Failed {
		t.Failures, s.Failed = 1, 1
	} else if r, ok := j.relative(o); ok && beside {
		t.Timed, t.LogFirst, t.LogFirst2 = 1, r, r*r
		if r > math.Log(slowFactor) {
			s.Slow = 1
		}
	}
	return evidence{Tally: t, Servers: map[model.BackendID]record{o.Backend: s}}
}

// add sums evidence.
func (e *evidence) add(more evidence) {
	e.Tally.Requests += more.Tally.Requests
	e.Tally.Failures += more.Tally.Failures
	e.Tally.Timed += more.Tally.Timed
	e.Tally.LogFirst += more.Tally.LogFirst
	e.Tally.LogFirst2 += more.Tally.LogFirst2
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

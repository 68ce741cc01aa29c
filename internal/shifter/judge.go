package shifter

import (
	"math"

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
	servers map[model.BackendID]*record
}

// baseKey groups requests whose answers take about as long.
type baseKey struct {
	route model.RouteID
	model model.ModelID
}

// record counts one backend server's outcomes.
type record struct{ asked, failed, slow int }

func newJudge() *judge {
	return &judge{guard: guard.NewWith(guard.Config{Factors: []float64{slowFactor}, LogVariance: headVariance}), bases: map[baseKey]float64{}, servers: map[model.BackendID]*record{}}
}

// control takes an outcome of another version.
func (j *judge) control(o forwarder.Outcome) {
	t := model.Tally{Requests: 1}
	if o.Failed {
		t.Failures = 1
	} else if r, ok := j.relative(o); ok {
		t.Timed, t.LogFirst, t.LogFirst2 = 1, r, r*r
	}
	j.guard.Control(t)
	if !o.Failed && o.First > 0 {
		key := baseKey{o.Route, o.Model}
		log := math.Log(o.First.Seconds())
		base, ok := j.bases[key]
		if !ok {
			base = log
		}
		j.bases[key] = base + (log-base)*baseWeight
	}
}

// relative returns the logarithm of the time to the head over the old version's usual one.
func (j *judge) relative(o forwarder.Outcome) (float64, bool) {
	base, ok := j.bases[baseKey{o.Route, o.Model}]
	if !ok || o.First <= 0 {
		return 0, false
	}
	return math.Log(o.First.Seconds()) - base, true
}

// observe takes an outcome of the new version and returns the verdict on it. Its times count
// only while another version runs beside it, since load slows both.
func (j *judge) observe(o forwarder.Outcome, beside bool) guard.Verdict {
	s := j.servers[o.Backend]
	if s == nil {
		s = &record{}
		j.servers[o.Backend] = s
	}
	s.asked++
	t := model.Tally{Requests: 1}
	if o.Failed {
		t.Failures = 1
		s.failed++
	} else if r, ok := j.relative(o); ok && beside {
		t.Timed, t.LogFirst, t.LogFirst2 = 1, r, r*r
		if r > math.Log(slowFactor) {
			s.slow++
		}
	}
	v := j.guard.Observe(t)
	v.Bad = v.Bad && j.widespread()
	return v
}

// widespread reports whether enough backend servers show a fault.
func (j *judge) widespread() bool {
	asked, faulty := 0, 0
	for _, s := range j.servers {
		asked++
		if s.failed > 0 || s.slow > 0 {
			faulty++
		}
	}
	return faulty >= min(minServers, asked) && float64(faulty) >= serverShare*float64(asked)
}

package shifter

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// slowHeadFactor is the factor in the time to the response headers above which an answer counts as slow. Cold
	// memory and load cause smaller factors.
	slowHeadFactor = 4.0
	// slowPaceFactor is the factor in the time between events above which a stream counts as slow. The
	// engines of a version that gets few requests are idle, so its streams take half as long as those
	// of the version beside it if it is good, and about twice as long if it is four times as slow.
	slowPaceFactor = 1.5
)

// faultKind is a kind of fault that outcomes show.
type faultKind int

const (
	// faultFailure is an answer with an error.
	faultFailure faultKind = iota
	// faultHead is a head that comes late, compared with those of the old version at the load of its backend server.
	faultHead
	// faultStream is a stream whose events come late in the same way.
	faultStream
	faultKinds
)

// rate counts outcomes that could show a fault, and those that did.
type rate struct {
	Seen int `json:"seen,omitempty"`
	Bad  int `json:"bad,omitempty"`
}

// loadLevel is a range of the utilisation of a backend server.
type loadLevel int

// leastUtilisation holds the lowest utilisation of each level, as a part of the slots.
var leastUtilisation = [...]float64{0, 0.5, 0.625, 0.75, 1}

// maxLevel is the highest level.
const maxLevel = loadLevel(len(leastUtilisation) - 1)

func levelOf(utilisation float64) loadLevel {
	for l := maxLevel; l > 0; l-- {
		if utilisation >= leastUtilisation[l] {
			return l
		}
	}
	return 0
}

// cell holds the counts of a version's outcomes on one route at one load.
type cell struct {
	Route  model.RouteID    `json:"route"`
	Level  loadLevel        `json:"level,omitempty"`
	Counts [faultKinds]rate `json:"counts"`
}

// strata returns the strata that the outcomes of the cell belong to: those of lower loads hold those of higher ones.
func (c cell) strata() []stratum {
	out := []stratum{{}, {route: c.Route}}
	for level := loadLevel(1); level <= c.Level; level++ {
		out = append(out, stratum{level: level})
	}
	return out
}

// serverCell counts one backend server's outcomes at one load.
type serverCell struct {
	Server model.BackendID `json:"server"`
	Level  loadLevel       `json:"level,omitempty"`
	// Seen is the number of outcomes, Faulty that of those with a fault.
	Seen   int `json:"seen,omitempty"`
	Faulty int `json:"faulty,omitempty"`
}

// evidence sums outcomes of the new version, with its backend servers, and of the old one.
type evidence struct {
	New     []cell       `json:"new,omitempty"`
	Old     []cell       `json:"old,omitempty"`
	Servers []serverCell `json:"servers,omitempty"`
}

// isEmpty reports whether there is no evidence.
func (e *evidence) isEmpty() bool { return len(e.New)+len(e.Old)+len(e.Servers) == 0 }

// add adds more evidence to e.
func (e *evidence) add(more evidence) {
	e.New = addCells(e.New, more.New)
	e.Old = addCells(e.Old, more.Old)
next:
	for _, m := range more.Servers {
		for i, s := range e.Servers {
			if s.Server == m.Server && s.Level == m.Level {
				e.Servers[i].Seen += m.Seen
				e.Servers[i].Faulty += m.Faulty
				continue next
			}
		}
		e.Servers = append(e.Servers, m)
	}
}

func addCells(cells, more []cell) []cell {
next:
	for _, m := range more {
		for i := range cells {
			if cells[i].Route != m.Route || cells[i].Level != m.Level {
				continue
			}
			for k, r := range m.Counts {
				cells[i].Counts[k].Seen += r.Seen
				cells[i].Counts[k].Bad += r.Bad
			}
			continue next
		}
		cells = append(cells, m)
	}
	return cells
}

// showsFault reports whether an outcome of the new version shows a fault.
func (e *evidence) showsFault() bool {
	return slices.ContainsFunc(e.Servers, func(s serverCell) bool { return s.Faulty > 0 })
}

// Bounds of the parts of evidence that fit into one message to the other entries.
const (
	maxCells   = 8
	maxServers = 12
)

// split divides evidence into parts that fit into one message each.
func (e *evidence) split() []evidence {
	var out []evidence
	part := evidence{}
	flush := func() {
		if !part.isEmpty() {
			out = append(out, part)
			part = evidence{}
		}
	}
	for _, c := range e.Old {
		if part.Old = append(part.Old, c); len(part.Old) == maxCells {
			flush()
		}
	}
	for _, c := range e.New {
		if part.New = append(part.New, c); len(part.Old)+len(part.New) == maxCells {
			flush()
		}
	}
	flush()
	for _, s := range e.Servers {
		if part.Servers = append(part.Servers, s); len(part.Servers) == maxServers {
			flush()
		}
	}
	flush()
	return out
}

// maxCount bounds the counts that are taken from a message.
const maxCount = 1 << 20

var errCounts = errors.New("counts are none of outcomes")

// validate reports whether the counts of a message can be those of outcomes.
func (e *evidence) validate() error {
	isLevel := func(l loadLevel) bool { return l >= 0 && l <= maxLevel }
	isRate := func(r rate) bool { return r.Bad >= 0 && r.Bad <= r.Seen && r.Seen <= maxCount }
	for _, cells := range [][]cell{e.New, e.Old} {
		for _, c := range cells {
			if !isLevel(c.Level) || slices.ContainsFunc(c.Counts[:], func(r rate) bool { return !isRate(r) }) {
				return errCounts
			}
		}
	}
	for _, s := range e.Servers {
		if !isLevel(s.Level) || !isRate(rate{Seen: s.Seen, Bad: s.Faulty}) {
			return errCounts
		}
	}
	return nil
}

// measuredTime returns the time that an outcome carries, and the kind of time.
func measuredTime(o forwarder.Outcome) (latencyKey, time.Duration) {
	if o.EventInterval > 0 {
		return latencyKey{o.Route, o.Model, true}, o.EventInterval
	}
	return latencyKey{o.Route, o.Model, false}, o.TimeToHead
}

// controlEvidence returns the evidence from one outcome of the old version, and adds its time to what is known of it.
func (ev *evaluator) controlEvidence(o forwarder.Outcome) evidence {
	counts := ev.count(o, true)
	ev.observeTime(o)
	return evidence{Old: []cell{{Route: o.Route, Level: levelOf(o.Utilisation), Counts: counts}}}
}

// evidenceFrom returns the evidence from one outcome of the new version; controlRunning is set while the old one gets
// requests beside it.
func (ev *evaluator) evidenceFrom(o forwarder.Outcome, controlRunning bool) evidence {
	counts := ev.count(o, controlRunning || ev.isComparable(o))
	server := serverCell{Server: o.Backend, Level: levelOf(o.Utilisation), Seen: 1}
	if slices.ContainsFunc(counts[:], func(r rate) bool { return r.Bad > 0 }) {
		server.Faulty = 1
	}
	return evidence{New: []cell{{Route: o.Route, Level: server.Level, Counts: counts}}, Servers: []serverCell{server}}
}

// count returns the counts for one outcome. Its time counts only if it is comparable with the old version's.
func (ev *evaluator) count(o forwarder.Outcome, comparable bool) (counts [faultKinds]rate) {
	ev.engines = ev.engines || o.Engine
	r, ok := ev.logRatio(o)
	timed := ok && comparable && !o.Failed
	kind, factor := faultHead, slowHeadFactor
	if o.EventInterval > 0 {
		kind, factor = faultStream, slowPaceFactor
	} else {
		counts[faultFailure].Seen = 1
		if o.Failed {
			counts[faultFailure].Bad = 1
		}
	}
	if timed {
		counts[kind].Seen = 1
		if r > math.Log(factor) {
			counts[kind].Bad = 1
		}
	}
	return counts
}

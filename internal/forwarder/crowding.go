package forwarder

import (
	"strconv"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// crowding is what an entry knows of the places at the backend servers when it chose one for an attempt.
type crowding struct {
	// busy is the number of requests that run or wait at the chosen server, slots the number of its places.
	busy, slots int
	// full means that no eligible server has a free place.
	full bool
	// wait is the estimated time to the first token at an engine.
	wait time.Duration
	// reported means that the chosen server has told its load, age how long ago; -1 if it has not.
	reported bool
	age      time.Duration
}

// plainCrowding returns the crowding behind the choice of a plain server.
func (f *Forwarder) plainCrowding(choice picker.DirectChoice, in picker.DirectInput, now time.Time) crowding {
	w := f.serverCrowding(choice.Server, choice.Busy, now)
	w.full = w.busy >= w.slots && in.Full()
	return w
}

// engineCrowding returns the crowding behind the choice of an engine.
func (f *Forwarder) engineCrowding(choice picker.EngineChoice, in picker.EngineInput, now time.Time) crowding {
	w := f.serverCrowding(choice.Server, choice.Busy, now)
	w.wait = choice.Wait
	w.full = w.busy >= w.slots && in.Full()
	return w
}

func (f *Forwarder) serverCrowding(s model.BackendServer, busy int, now time.Time) crowding {
	at := f.peers.get(s, now).lastReport()
	if at.IsZero() {
		return crowding{busy: busy, slots: s.Slots, age: -1}
	}
	return crowding{busy: busy, slots: s.Slots, reported: true, age: now.Sub(at)}
}

// lastReport returns when the peer last told its load, or the zero time.
func (p *peer) lastReport() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportedAt
}

// maxMetricRank is the last rank that metrics tell apart.
const maxMetricRank = 3

// admissionMetric returns the name of a counter by reason and rank.
func admissionMetric(name, reason string, rank int) string {
	return name + "/" + reason + "_rank" + strconv.Itoa(min(max(rank, 0), maxMetricRank))
}

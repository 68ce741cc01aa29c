package forwarder

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxReported is more requests than a backend server can hold.
const maxReported = 1 << 20

// loadFigures is the number of figures that a load report must have; a fourth is optional.
const loadFigures = 3

// recordLoad stores the load reported by an answer: running requests, waiting requests, slots and, at some servers, the
// time that work takes in percent of the usual one. It reports whether all figures could be read; those that could not
// leave the last good ones in force.
func (p *peer) recordLoad(value string, now time.Time) bool {
	fields := strings.Split(value, ",")
	if len(fields) < loadFigures {
		return false
	}
	r, ok := parseFigure(fields[0])
	w, ok2 := parseFigure(fields[1])
	if !ok || !ok2 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running, p.waiting, p.reportedAt, p.sentSinceReport, p.doneSinceReport = r, w, now, 0, 0
	slots, sound := parseFigure(fields[2])
	if sound {
		p.slots = slots
	}
	if len(fields) > loadFigures {
		percent, ok := parseFigure(fields[loadFigures])
		sound = ok && p.speed.Report(percent, now) && sound
	}
	return sound
}

func parseFigure(s string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	return n, err == nil && n >= 0 && n <= maxReported
}

// observeLoad records the load that an answer reports. An unreadable report is logged once for each lifetime of the
// server.
func (f *Forwarder) observeLoad(p *peer, value string, now time.Time) {
	if p.recordLoad(value, now) {
		return
	}
	p.mu.Lock()
	first := !p.oddLoad
	p.oddLoad = true
	p.mu.Unlock()
	if first {
		f.cfg.Log.Warn().Str("backend", string(p.server.Backend)).Str("load", value).Msg("forwarder: the load that a backend server reports cannot be read in full")
	}
}

const (
	// maxWorkKinds bounds the table of means; a plan has fewer routes and models.
	maxWorkKinds = 256
	// workMeanWeight smooths the means over about twenty answers of all servers.
	workMeanWeight = 0.05
)

// workKind is work that takes about the same time at all backend servers of a service.
type workKind struct {
	service model.ServiceID
	route   model.RouteID
	model   model.ModelID
}

// workMean is the mean time that work of a kind took lately.
type workMean struct {
	took time.Duration
	at   time.Time
}

// workMeans holds the mean times of kinds of work at all backend servers.
type workMeans struct {
	mu    sync.Mutex
	kinds map[workKind]workMean
}

// compare adds a sample and returns it as a multiple of the mean, 0 if there was none.
func (w *workMeans) compare(k workKind, took time.Duration, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.kinds[k]
	if !ok {
		w.makeRoom()
		w.kinds[k] = workMean{took: took, at: now}
		return 0
	}
	ratio := float64(took) / float64(max(m.took, 1))
	w.kinds[k] = workMean{took: m.took + time.Duration(workMeanWeight*float64(took-m.took)), at: now}
	return ratio
}

// makeRoom removes the kind that was seen longest ago from a full table; the caller holds the lock.
func (w *workMeans) makeRoom() {
	if w.kinds == nil {
		w.kinds = map[workKind]workMean{}
	}
	if len(w.kinds) < maxWorkKinds {
		return
	}
	var oldest workKind
	for k, m := range w.kinds {
		if o, ok := w.kinds[oldest]; !ok || m.at.Before(o.at) {
			oldest = k
		}
	}
	delete(w.kinds, oldest)
}

// observeSpeed records what an answer shows of the speed of its backend server. At engines, that is the interval between
// events: the time to the first one depends on the prompt and the queue. At plain servers, it is the time to the head of
// answers that did not have to queue.
func (f *Forwarder) observeSpeed(o Outcome, p *peer, now time.Time) {
	took := o.EventInterval
	if !o.Engine {
		took = o.TimeToHead
	}
	if took <= 0 || o.Failed || o.InFlight >= p.server.Slots {
		return
	}
	ratio := f.work.compare(workKind{service: o.Service, route: o.Route, model: o.Model}, took, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speed.Observe(ratio, now)
}

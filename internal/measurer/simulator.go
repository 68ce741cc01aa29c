package measurer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// event is something that happens at a time in a small discrete-event run.
type event struct {
	at  float64
	seq int
	run func(now float64)
}

// timeline runs events in order of time.
type timeline struct {
	events []event
	seq    int
	now    float64
}

// Len implements heap.Interface.
func (t *timeline) Len() int { return len(t.events) }

// Less implements heap.Interface.
func (t *timeline) Less(i, j int) bool {
	a, b := t.events[i], t.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// Swap implements heap.Interface.
func (t *timeline) Swap(i, j int) { t.events[i], t.events[j] = t.events[j], t.events[i] }

// Push implements heap.Interface.
func (t *timeline) Push(x any) { t.events = append(t.events, x.(event)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	e := t.events[len(t.events)-1]
	t.events = t.events[:len(t.events)-1]
	return e
}

func (t *timeline) add(at float64, run func(now float64)) {
	t.seq++
	heap.Push(t, event{at, t.seq, run})
}

func (t *timeline) runUntil(end float64) {
	for t.Len() > 0 && t.events[0].at <= end {
		e := heap.Pop(t).(event)
		t.now = e.at
		e.run(e.at)
	}
}

// fakeEngine serves slots requests at once and queues the rest. Its cache holds the most
// recent prefixes of sessions, in tokens.
type fakeEngine struct {
	instance model.Instance
	slots    int
	running  int
	queue    []func(now float64)
	cache    []cached
	memory   int
	seq      uint64
}

// cached is a session's prefix that the engine still has.
type cached struct {
	session int
	tokens  int
}

func (e *fakeEngine) submit(now float64, start func(now float64)) {
	if e.running < e.slots {
		e.running++
		start(now)
		return
	}
	e.queue = append(e.queue, start)
}

func (e *fakeEngine) finish(now float64) {
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		next(now)
		return
	}
	e.running--
}

// hit returns how many of the prompt's tokens are cached, and stores the longer prefix.
func (e *fakeEngine) hit(session, tokens int) int {
	found := 0
	kept := e.cache[:0]
	for _, c := range e.cache {
		if c.session == session {
			found = min(c.tokens, tokens)
			continue
		}
		kept = append(kept, c)
	}
	e.cache = append(kept, cached{session, tokens})
	total := 0
	for i := len(e.cache) - 1; i >= 0; i-- {
		total += e.cache[i].tokens
		if total > e.memory {
			e.cache = append([]cached(nil), e.cache[i+1:]...)
			break
		}
	}
	return found
}

func (e *fakeEngine) load() model.Load {
	e.seq++
	return model.Load{Instance: e.instance.Instance, Running: e.running, Queued: len(e.queue), Limit: e.slots, Versions: []model.VersionID{"v"}, Seq: e.seq}
}

// fakeEntry is one entry's view: late reports, and its own count.
type fakeEntry struct {
	place      model.Place
	candidates []picker.Candidate
	turn       int
}

func lognormal(r *rand.Rand, median, sigma float64) float64 {
	return median * math.Exp(sigma*r.NormFloat64())
}

func seconds(d time.Duration) float64 { return d.Seconds() }

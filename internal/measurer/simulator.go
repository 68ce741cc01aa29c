package measurer

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// event is a function that a timeline runs at a time, in seconds.
type event struct {
	at  float64
	seq int
	run func(now float64)
}

// timeline runs events in order of time, and events of the same time in the order in which
// they were scheduled.
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

func (t *timeline) schedule(at float64, run func(now float64)) {
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

// fakeEngine serves as many requests at once as it has slots and queues the rest. Its cache
// holds the most recent prefixes of sessions, up to cacheTokens tokens.
type fakeEngine struct {
	instance    model.Instance
	slots       int
	running     int
	queue       []func(now float64)
	cache       []cachedPrefix
	cacheTokens int
	seq         uint64
}

// cachedPrefix is the prefix of a session that the engine has in its cache.
type cachedPrefix struct {
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

// hitTokens returns how many tokens of the prompt are cached, and stores the prompt as the new
// prefix of the session. It evicts the least recent prefixes beyond cacheTokens.
func (e *fakeEngine) hitTokens(session, tokens int) int {
	found := 0
	kept := e.cache[:0]
	for _, c := range e.cache {
		if c.session == session {
			found = min(c.tokens, tokens)
			continue
		}
		kept = append(kept, c)
	}
	e.cache = append(kept, cachedPrefix{session, tokens})
	total := 0
	for i := len(e.cache) - 1; i >= 0; i-- {
		total += e.cache[i].tokens
		if total > e.cacheTokens {
			e.cache = append([]cachedPrefix(nil), e.cache[i+1:]...)
			break
		}
	}
	return found
}

func (e *fakeEngine) load() model.Load {
	e.seq++
	return model.Load{Instance: e.instance.Instance, Running: e.running, Queued: len(e.queue), Limit: e.slots, Versions: []model.VersionID{"v"}, Seq: e.seq}
}

// fakeEntry is an entry with its view of the engines: late load reports, and its own counts of
// requests sent and answered since.
type fakeEntry struct {
	place      model.Place
	candidates []picker.Candidate
	nextEngine int
}

func lognormal(r *rand.Rand, median, sigma float64) float64 {
	return median * math.Exp(sigma*r.NormFloat64())
}

func seconds(d time.Duration) float64 { return d.Seconds() }

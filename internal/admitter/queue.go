package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// priorities is the number of priority ranks.
	priorities = 3
	// lowEvery gives each n-th start to the lowest waiting priority, so that none starves.
	lowEvery = 50
	// queueFactor bounds the queue to a multiple of the limit.
	queueFactor = 8
	// minQueue keeps a small queue useful.
	minQueue = 16
	// serviceWeight smooths the mean time that a request holds its slot.
	serviceWeight = 0.1
)

// Config configures a Queue.
type Config struct {
	Limit LimitConfig
}

// Request is what the queue must know of a request. Solo asks for the backend server alone,
// because the request is suspected of crashing it.
type Request struct {
	Organisation model.OrganisationID
	Weight       float64
	Priority     model.Priority
	Deadline     time.Time
	Solo         bool
}

// item is a waiting request; err is set before ready closes if it may not run.
type item struct {
	Request
	ready   chan struct{}
	refusal *model.Refusal
	started bool
}

// share is one organisation's queue within a priority. Virtual time makes organisations
// share the slots by weight (start-time fair queueing; Goyal and others, 1996).
type share struct {
	items   []*item
	virtual float64
}

// Queue admits requests to one backend server.
type Queue struct {
	mu      sync.Mutex
	limit   *Limit
	ranks   [priorities]map[model.OrganisationID]*share
	clock   [priorities]float64
	waiting int
	running int
	solo    bool
	starts  int
	service float64
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{limit: NewLimit(cfg.Limit)}
	for i := range q.ranks {
		q.ranks[i] = map[model.OrganisationID]*share{}
	}
	return q
}

// Load returns the numbers of running and waiting requests and the current limit.
func (q *Queue) Load() (running, waiting, limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting, q.limit.Value()
}

// Admit waits for a slot. On success the caller must call Release once.
func (q *Queue) Admit(ctx context.Context, r Request, now time.Time) *model.Refusal {
	it, refusal := q.Enqueue(r, now)
	if refusal != nil {
		return refusal
	}
	timer := time.NewTimer(r.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-it.ready:
		return it.refusal
	case <-ctx.Done():
		return q.leave(it, model.Refuse(model.KindCancelled, "the request was cancelled while it waited: send it again if it is still wanted"))
	case <-timer.C:
		return q.leave(it, deadlineRefusal())
	}
}

func deadlineRefusal() *model.Refusal {
	return model.Refuse(model.KindDeadline, "the deadline passed while the request waited: allow more time or try later").WithRetry(time.Second)
}

// Enqueue adds a request, or refuses it when it could not start before its deadline.
func (q *Queue) Enqueue(r Request, now time.Time) (*item, *model.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	rank := r.Priority.Rank()
	if wait := q.estimate(rank); now.Add(wait).After(r.Deadline) || q.aheadOf(rank) >= q.capacity() {
		return nil, model.Refuse(model.KindOverload, "the queue is too long for the deadline: try again after the given time").WithRetry(max(wait, time.Second))
	}
	it := &item{Request: r, ready: make(chan struct{})}
	s := q.ranks[rank][r.Organisation]
	if s == nil {
		s = &share{virtual: q.clock[rank]}
		q.ranks[rank][r.Organisation] = s
	}
	if len(s.items) == 0 {
		s.virtual = max(s.virtual, q.clock[rank])
	}
	s.items = append(s.items, it)
	q.waiting++
	q.dispatch(now)
	return it, nil
}

// estimate is the expected wait of a new request behind those of its rank and above.
func (q *Queue) estimate(rank int) time.Duration {
	ahead := q.aheadOf(rank) + q.running - q.limit.Value() + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * q.service / float64(q.limit.Value()) * float64(time.Second))
}

func (q *Queue) aheadOf(rank int) int {
	n := 0
	for i := 0; i <= rank; i++ {
		for _, s := range q.ranks[i] {
			n += len(s.items)
		}
	}
	return n
}

func (q *Queue) capacity() int { return max(minQueue, queueFactor*q.limit.Value()) }

// leave gives up a waiting request; one that started at the same moment gives its slot back.
func (q *Queue) leave(it *item, refusal *model.Refusal) *model.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.started {
		q.free(it.Solo, time.Now())
		return refusal
	}
	q.remove(it)
	return refusal
}

func (q *Queue) remove(it *item) {
	s := q.ranks[it.Priority.Rank()][it.Organisation]
	if s == nil {
		return
	}
	for i, other := range s.items {
		if other == it {
			s.items = append(s.items[:i], s.items[i+1:]...)
			q.waiting--
			break
		}
	}
	q.prune(it.Priority.Rank(), it.Organisation, s)
}

// Release returns a slot. Held is how long the request had it and first the time to the
// first byte, zero if there was none.
func (q *Queue) Release(r Request, held, first time.Duration, failed bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if failed {
		q.limit.Fail()
	} else if first > 0 {
		q.limit.Observe(first, q.running)
	}
	if q.service == 0 {
		q.service = held.Seconds()
	}
	q.service += (held.Seconds() - q.service) * serviceWeight
	q.free(r.Solo, now)
}

func (q *Queue) free(solo bool, now time.Time) {
	q.running--
	if solo {
		q.solo = false
	}
	q.dispatch(now)
}

// dispatch starts waiting requests while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.running < q.limit.Value() && !q.solo {
		rank, s := q.pick()
		it := s.items[0]
		if it.Solo && q.running > 0 {
			// A suspect waits until it can run alone; nothing starts before it.
			return
		}
		s.items = s.items[1:]
		q.waiting--
		q.advance(rank, s, it)
		if now.After(it.Deadline) {
			it.refusal = deadlineRefusal()
			close(it.ready)
			continue
		}
		it.started = true
		q.running++
		q.starts++
		q.solo = it.Solo
		close(it.ready)
	}
}

func (q *Queue) advance(rank int, s *share, it *item) {
	q.clock[rank] = s.virtual
	s.virtual += 1 / max(it.Weight, 0.01)
	q.prune(rank, it.Organisation, s)
}

// prune forgets an organisation without waiting requests whose virtual time has passed.
func (q *Queue) prune(rank int, org model.OrganisationID, s *share) {
	if len(s.items) == 0 && s.virtual <= q.clock[rank] {
		delete(q.ranks[rank], org)
	}
}

// pick returns the share whose head starts next: the highest priority, and each n-th time
// the lowest one that waits.
func (q *Queue) pick() (int, *share) {
	if (q.starts+1)%lowEvery == 0 {
		for rank := priorities - 1; rank >= 0; rank-- {
			if s := q.least(rank); s != nil {
				return rank, s
			}
		}
	}
	for rank := range priorities {
		if s := q.least(rank); s != nil {
			return rank, s
		}
	}
	return 0, nil
}

// least returns the waiting share with the smallest virtual time; names break ties so
// that the order does not depend on the map.
func (q *Queue) least(rank int) *share {
	var best *share
	var name model.OrganisationID
	for org, s := range q.ranks[rank] {
		if len(s.items) == 0 {
			if s.virtual <= q.clock[rank] {
				delete(q.ranks[rank], org)
			}
			continue
		}
		if best == nil || s.virtual < best.virtual || s.virtual == best.virtual && org < name {
			best, name = s, org
		}
	}
	return best
}

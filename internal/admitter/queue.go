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
	// serviceMargin covers most requests that take longer than the mean.
	serviceMargin = 1.5
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
	Exclusive    bool
	// NoWait asks for a refusal instead of a place in the queue.
	NoWait bool
}

// item is a waiting request. Its turn ends the wait: with a slot, or with a refusal.
type item struct {
	Request
	turn    func(*model.Refusal)
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
	counts  [priorities]int
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
	turn := make(chan *model.Refusal, 1)
	it, refusal := q.Enqueue(r, func(refusal *model.Refusal) { turn <- refusal }, now)
	if refusal != nil {
		return refusal
	}
	timer := time.NewTimer(r.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case refusal := <-turn:
		return refusal
	case <-ctx.Done():
		return q.leave(it.item, model.Refuse(model.KindCancelled, "the request was cancelled while it waited: send it again if it is still wanted"))
	case <-timer.C:
		return q.leave(it.item, deadlineRefusal())
	}
}

func deadlineRefusal() *model.Refusal {
	return model.Refuse(model.KindDeadline, "the deadline passed while the request waited: allow more time or try later").WithRetry(time.Second)
}

// Ticket is a request's place in the queue.
type Ticket struct{ item *item }

// Enqueue adds a request, or refuses it when it could not start before its deadline. Its
// turn is called once, with nil for a slot; it must not call the queue.
func (q *Queue) Enqueue(r Request, turn func(*model.Refusal), now time.Time) (*Ticket, *model.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	rank := r.Priority.Rank()
	if r.NoWait && (q.waiting > 0 || q.solo || q.running >= q.limit.Value()) {
		return nil, model.Refuse(model.KindBusy, "no slot is free: another backend server may have one")
	}
	if wait := q.estimate(rank); now.Add(wait+q.expected()).After(r.Deadline) || q.counts[rank] >= q.capacity() {
		return nil, model.Refuse(model.KindOverload, "the queue is too long for the deadline: try again after the given time").WithRetry(max(wait, time.Second))
	}
	it := &item{Request: r, turn: turn}
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
	q.counts[rank]++
	q.dispatch(now)
	return &Ticket{it}, nil
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
	for _, count := range q.counts[:rank+1] {
		n += count
	}
	return n
}

// expected is the time that a request will hold its slot, with a margin for its variance.
func (q *Queue) expected() time.Duration {
	return time.Duration(serviceMargin * q.service * float64(time.Second))
}

func (q *Queue) capacity() int { return max(minQueue, queueFactor*q.limit.Value()) }

// leave gives up a waiting request; one that started at the same moment gives its slot back.
func (q *Queue) leave(it *item, refusal *model.Refusal) *model.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.started {
		q.free(it.Exclusive, time.Now())
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
			q.counts[it.Priority.Rank()]--
			break
		}
	}
	q.prune(it.Priority.Rank(), it.Organisation, s)
}

// Usage is how a request used its slot: how long it held it, and how fast it was served.
type Usage struct {
	HoldTime  time.Duration
	FirstByte time.Duration
	TokenGap  time.Duration
	Failed    bool
}

// Release returns a slot.
func (q *Queue) Release(r Request, u Usage, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if u.Failed {
		q.limit.Fail()
	} else {
		q.limit.Observe(Sample{First: u.FirstByte, Between: u.TokenGap, Running: q.running}, now)
	}
	if q.service == 0 {
		q.service = u.HoldTime.Seconds()
	}
	q.service += (u.HoldTime.Seconds() - q.service) * serviceWeight
	q.free(r.Exclusive, now)
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
		if it.Exclusive && q.running > 0 {
			// A suspect waits until it can run alone; nothing starts before it.
			return
		}
		s.items = s.items[1:]
		q.waiting--
		q.counts[rank]--
		q.advance(rank, s, it)
		if now.Add(q.expected()).After(it.Deadline) {
			it.turn(deadlineRefusal())
			continue
		}
		it.started = true
		q.running++
		q.starts++
		q.solo = it.Exclusive
		it.turn(nil)
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

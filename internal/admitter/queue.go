package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// priorityCount is the number of priority ranks.
	priorityCount = 3
	// lowestPriorityInterval gives every n-th start to the lowest waiting priority, so that none
	// starves.
	lowestPriorityInterval = 50
	// queueLimitFactor bounds the queue of each rank to a multiple of the concurrency limit.
	queueLimitFactor = 8
	// minQueueLength is the least queue bound, so that a low concurrency limit still allows queueing.
	minQueueLength = 16
	// holdTimeWeight is the weight of a new sample in the moving average of slot hold times.
	holdTimeWeight = 0.1
	// holdTimeMargin covers most requests that hold their slot longer than the mean.
	holdTimeMargin = 1.5
)

// Config configures a Queue.
type Config struct {
	Limit LimitConfig
}

// Request describes a request to the queue. An Exclusive request runs alone on the backend
// server, because it is suspected of crashing it.
type Request struct {
	Organisation model.OrganisationID
	Weight       float64
	Priority     model.Priority
	Deadline     time.Time
	Exclusive    bool
	// NoWait asks for a refusal instead of queueing when no slot is free.
	NoWait bool
}

// waiter is a queued request. onDecision ends its wait with a slot (nil) or a refusal.
type waiter struct {
	Request
	onDecision func(*model.Refusal)
	started    bool
}

// organisationQueue is one organisation's queue within a priority. Its virtual time makes
// organisations share the slots by weight (start-time fair queueing; Goyal and others, 1996).
type organisationQueue struct {
	waiters     []*waiter
	virtualTime float64
}

// Queue admits requests to one backend server.
type Queue struct {
	mu              sync.Mutex
	limit           *Limit
	queues          [priorityCount]map[model.OrganisationID]*organisationQueue
	virtualClocks   [priorityCount]float64
	waitingByRank   [priorityCount]int
	waiting         int
	running         int
	exclusive       bool
	starts          int
	meanHoldSeconds float64
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{limit: NewLimit(cfg.Limit)}
	for i := range q.queues {
		q.queues[i] = map[model.OrganisationID]*organisationQueue{}
	}
	return q
}

// Load returns the numbers of running and waiting requests and the current limit.
func (q *Queue) Load() (running, waiting, limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting, q.limit.Value()
}

// Admit waits for a slot until the deadline. On success the caller must call Release once.
func (q *Queue) Admit(ctx context.Context, r Request, now time.Time) *model.Refusal {
	decision := make(chan *model.Refusal, 1)
	ticket, refusal := q.Enqueue(r, func(refusal *model.Refusal) { decision <- refusal }, now)
	if refusal != nil {
		return refusal
	}
	timer := time.NewTimer(r.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case refusal := <-decision:
		return refusal
	case <-ctx.Done():
		return q.abandon(ticket.waiter, model.Refuse(model.KindCancelled, "the request was cancelled while it waited: send it again if it is still wanted"))
	case <-timer.C:
		return q.abandon(ticket.waiter, deadlineRefusal())
	}
}

func deadlineRefusal() *model.Refusal {
	return model.Refuse(model.KindDeadline, "the deadline passed while the request waited: allow more time or try later").WithRetry(time.Second)
}

// Ticket is a request's place in the queue.
type Ticket struct{ waiter *waiter }

// Enqueue adds a request, or refuses it when it could not finish before its deadline or the
// queue is full. It calls onDecision once, with nil when the request gets a slot; onDecision
// must not call the queue.
func (q *Queue) Enqueue(r Request, onDecision func(*model.Refusal), now time.Time) (*Ticket, *model.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	rank := r.Priority.Rank()
	if r.NoWait && (q.waiting > 0 || q.exclusive || q.running >= q.limit.Value()) {
		return nil, model.Refuse(model.KindBusy, "no slot is free: another backend server may have one")
	}
	if wait := q.estimateWait(rank); now.Add(wait+q.expectedHoldTime()).After(r.Deadline) || q.waitingByRank[rank] >= q.maxWaiting() {
		return nil, model.Refuse(model.KindOverload, "the queue is too long for the deadline: try again after the given time").WithRetry(max(wait, time.Second))
	}
	w := &waiter{Request: r, onDecision: onDecision}
	s := q.queues[rank][r.Organisation]
	if s == nil {
		s = &organisationQueue{virtualTime: q.virtualClocks[rank]}
		q.queues[rank][r.Organisation] = s
	}
	if len(s.waiters) == 0 {
		s.virtualTime = max(s.virtualTime, q.virtualClocks[rank])
	}
	s.waiters = append(s.waiters, w)
	q.waiting++
	q.waitingByRank[rank]++
	q.dispatch(now)
	return &Ticket{w}, nil
}

// estimateWait returns the expected wait of a new request behind those of its own and higher ranks.
func (q *Queue) estimateWait(rank int) time.Duration {
	ahead := q.countAhead(rank) + q.running - q.limit.Value() + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * q.meanHoldSeconds / float64(q.limit.Value()) * float64(time.Second))
}

func (q *Queue) countAhead(rank int) int {
	n := 0
	for _, count := range q.waitingByRank[:rank+1] {
		n += count
	}
	return n
}

// expectedHoldTime returns how long a request will hold its slot, with a margin for the variance.
func (q *Queue) expectedHoldTime() time.Duration {
	return time.Duration(holdTimeMargin * q.meanHoldSeconds * float64(time.Second))
}

func (q *Queue) maxWaiting() int { return max(minQueueLength, queueLimitFactor*q.limit.Value()) }

// abandon removes a waiting request; if it has started in the meantime, its slot is released.
func (q *Queue) abandon(w *waiter, refusal *model.Refusal) *model.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.started {
		q.releaseSlot(w.Exclusive, time.Now())
		return refusal
	}
	q.remove(w)
	return refusal
}

func (q *Queue) remove(w *waiter) {
	s := q.queues[w.Priority.Rank()][w.Organisation]
	if s == nil {
		return
	}
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			q.waiting--
			q.waitingByRank[w.Priority.Rank()]--
			break
		}
	}
	q.deleteIdle(w.Priority.Rank(), w.Organisation, s)
}

// Usage reports how long a request held its slot and how fast the backend server answered it.
type Usage struct {
	HoldTime  time.Duration
	FirstByte time.Duration
	TokenGap  time.Duration
	Failed    bool
}

// Release records the usage of a slot and frees it.
func (q *Queue) Release(r Request, u Usage, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if u.Failed {
		q.limit.RecordFailure()
	} else {
		q.limit.Observe(Sample{FirstByte: u.FirstByte, TokenGap: u.TokenGap, Concurrent: q.running}, now)
	}
	if q.meanHoldSeconds == 0 {
		q.meanHoldSeconds = u.HoldTime.Seconds()
	}
	q.meanHoldSeconds += (u.HoldTime.Seconds() - q.meanHoldSeconds) * holdTimeWeight
	q.releaseSlot(r.Exclusive, now)
}

func (q *Queue) releaseSlot(exclusive bool, now time.Time) {
	q.running--
	if exclusive {
		q.exclusive = false
	}
	q.dispatch(now)
}

// dispatch starts waiting requests while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.running < q.limit.Value() && !q.exclusive {
		rank, s := q.pickNext()
		w := s.waiters[0]
		if w.Exclusive && q.running > 0 {
			// An exclusive request waits until the server is idle; nothing starts before it.
			return
		}
		s.waiters = s.waiters[1:]
		q.waiting--
		q.waitingByRank[rank]--
		q.advanceVirtualTime(rank, s, w)
		if now.Add(q.expectedHoldTime()).After(w.Deadline) {
			w.onDecision(deadlineRefusal())
			continue
		}
		w.started = true
		q.running++
		q.starts++
		q.exclusive = w.Exclusive
		w.onDecision(nil)
	}
}

func (q *Queue) advanceVirtualTime(rank int, s *organisationQueue, w *waiter) {
	q.virtualClocks[rank] = s.virtualTime
	s.virtualTime += 1 / max(w.Weight, 0.01)
	q.deleteIdle(rank, w.Organisation, s)
}

// deleteIdle deletes the queue of an organisation that has no waiting requests and whose
// virtual time has passed.
func (q *Queue) deleteIdle(rank int, org model.OrganisationID, s *organisationQueue) {
	if len(s.waiters) == 0 && s.virtualTime <= q.virtualClocks[rank] {
		delete(q.queues[rank], org)
	}
}

// pickNext returns the queue whose first request starts next: one of the highest waiting
// priority, and every lowestPriorityInterval starts one of the lowest.
func (q *Queue) pickNext() (int, *organisationQueue) {
	if (q.starts+1)%lowestPriorityInterval == 0 {
		for rank := priorityCount - 1; rank >= 0; rank-- {
			if s := q.leastVirtualTime(rank); s != nil {
				return rank, s
			}
		}
	}
	for rank := range priorityCount {
		if s := q.leastVirtualTime(rank); s != nil {
			return rank, s
		}
	}
	return 0, nil
}

// leastVirtualTime returns the non-empty queue with the smallest virtual time. Organisation
// names break ties, so that the order does not depend on map iteration.
func (q *Queue) leastVirtualTime(rank int) *organisationQueue {
	var best *organisationQueue
	var name model.OrganisationID
	for org, s := range q.queues[rank] {
		if len(s.waiters) == 0 {
			if s.virtualTime <= q.virtualClocks[rank] {
				delete(q.queues[rank], org)
			}
			continue
		}
		if best == nil || s.virtualTime < best.virtualTime || s.virtualTime == best.virtualTime && org < name {
			best, name = s, org
		}
	}
	return best
}

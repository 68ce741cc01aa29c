package admitter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestQueueInvariants drives a queue with random arrivals, completions and cancellations. It
// checks that the limit holds, an exclusive request runs alone and no slot is lost.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		q := NewQueue(Config{Limit: LimitConfig{Initial: limit, Min: limit, Max: limit}})
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var open []*waiter
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.SampledFrom([]string{"arrive", "arrive", "end", "leave"}).Draw(t, "step") {
			case "arrive":
				ticket, refusal := q.Enqueue(Request{
					Organisation: rapid.SampledFrom([]model.OrganisationID{"x", "y"}).Draw(t, "organisation"),
					Weight:       rapid.Float64Range(0.1, 5).Draw(t, "weight"),
					Priority:     rapid.SampledFrom([]model.Priority{model.PriorityHigh, model.PriorityNormal, model.PriorityBatch}).Draw(t, "priority"),
					Deadline:     now.Add(time.Hour),
					Exclusive:    rapid.IntRange(0, 5).Draw(t, "solo") == 0,
				}, func(*model.Refusal) {}, now)
				if refusal == nil {
					open = append(open, ticket.waiter)
				}
			case "end", "leave":
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				finish(q, open[i], now)
				open = append(open[:i], open[i+1:]...)
			}
			checkRunning(t, open, limit)
		}
		for _, w := range open {
			finish(q, w, now)
		}
		if running, waiting, _ := q.Load(); running != 0 || waiting != 0 {
			t.Fatalf("%d running and %d waiting after all have ended", running, waiting)
		}
	})
}

func finish(q *Queue, w *waiter, now time.Time) {
	if w.started {
		q.Release(w.Request, Usage{HoldTime: time.Millisecond}, now)
		return
	}
	q.abandon(w, nil)
}

func checkRunning(t *rapid.T, open []*waiter, limit int) {
	running, exclusive, noneWaiting := 0, false, true
	for _, w := range open {
		if w.started {
			running++
			exclusive = exclusive || w.Exclusive
		} else {
			noneWaiting = false
		}
	}
	if running > limit || exclusive && running > 1 {
		t.Fatalf("%d running with limit %d, exclusive %v", running, limit, exclusive)
	}
	if running == 0 && !noneWaiting {
		t.Fatal("requests wait although nothing runs")
	}
}

// TestNoPriorityStarves keeps high-priority requests waiting and checks that a batch request
// still starts.
func TestNoPriorityStarves(t *testing.T) {
	q := NewQueue(Config{Limit: LimitConfig{Initial: 1, Min: 1, Max: 1}})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	add := func(p model.Priority) *waiter {
		ticket, refusal := q.Enqueue(Request{Organisation: "x", Weight: 1, Priority: p, Deadline: now.Add(time.Hour)}, func(*model.Refusal) {}, now)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return ticket.waiter
	}
	running := add(model.PriorityHigh)
	waiting := add(model.PriorityHigh)
	batch := add(model.PriorityBatch)
	for n := 1; !batch.started; n++ {
		if n > 2*lowestPriorityInterval {
			t.Fatalf("a batch request did not start within %d others", n)
		}
		q.Release(running.Request, Usage{HoldTime: time.Millisecond}, now)
		running = waiting
		waiting = add(model.PriorityHigh)
	}
}

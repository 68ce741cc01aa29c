package admitter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestQueueKeepsItsPromises drives a queue with random arrivals, ends and departures: the
// limit holds, a suspect runs alone, and when all is done no slot is lost.
func TestQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		q := NewQueue(Config{Limit: LimitConfig{Initial: limit, Min: limit, Max: limit}})
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var open []*item
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
					open = append(open, ticket.item)
				}
			case "end", "leave":
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				end(q, open[i], now)
				open = append(open[:i], open[i+1:]...)
			}
			checkRunning(t, open, limit)
		}
		for _, it := range open {
			end(q, it, now)
		}
		if running, waiting, _ := q.Load(); running != 0 || waiting != 0 {
			t.Fatalf("%d running and %d waiting after all ended", running, waiting)
		}
	})
}

func end(q *Queue, it *item, now time.Time) {
	if it.started {
		q.Release(it.Request, Usage{HoldTime: time.Millisecond}, now)
		return
	}
	q.leave(it, nil)
}

func checkRunning(t *rapid.T, open []*item, limit int) {
	running, solo, waitsFree := 0, false, true
	for _, it := range open {
		if it.started {
			running++
			solo = solo || it.Exclusive
		} else {
			waitsFree = false
		}
	}
	if running > limit || solo && running > 1 {
		t.Fatalf("%d running with limit %d, solo %v", running, limit, solo)
	}
	if running == 0 && !waitsFree {
		t.Fatal("requests wait although nothing runs")
	}
}

// TestNoPriorityStarves keeps a queue full of urgent requests and counts the starts of a
// lowly one.
func TestNoPriorityStarves(t *testing.T) {
	q := NewQueue(Config{Limit: LimitConfig{Initial: 1, Min: 1, Max: 1}})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	add := func(p model.Priority) *item {
		ticket, refusal := q.Enqueue(Request{Organisation: "x", Weight: 1, Priority: p, Deadline: now.Add(time.Hour)}, func(*model.Refusal) {}, now)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return ticket.item
	}
	first := add(model.PriorityHigh)
	urgent := add(model.PriorityHigh)
	lowly := add(model.PriorityBatch)
	for n := 1; !lowly.started; n++ {
		if n > 2*lowEvery {
			t.Fatalf("a batch request did not start within %d others", n)
		}
		q.Release(first.Request, Usage{HoldTime: time.Millisecond}, now)
		first = urgent
		urgent = add(model.PriorityHigh)
	}
}

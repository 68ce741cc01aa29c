package main

import (
	"fmt"
	"net/http"
	"time"
)

// playTimeouts brings in a version half of whose answers take eight times as long, so that they miss the route's timeout.
func playTimeouts(w *world, trouble bool) (verdict, error) {
	const (
		service  = "booking-desk"
		slots    = 12
		duration = 16 * time.Second
	)
	usual := manner{work: 220 * time.Millisecond, far: true}
	slow := manner{work: usual.work, far: true, badRate: 0.5, slowFactor: 8}
	if !trouble {
		slow = usual
	}
	r := route{name: "deposit-book", prefix: "/lohu930/2f/", service: service, kind: "non_idempotent", timeout: 1500 * time.Millisecond, target: 300 * time.Millisecond, attempts: 1}
	if err := w.publish(7, r); err != nil {
		return verdict{}, err
	}
	var old []*server
	for range 3 {
		s, err := w.startServer(service, "v1", slots, usual)
		if err != nil {
			return verdict{}, err
		}
		old = append(old, s)
	}
	if err := w.startEntries(2); err != nil {
		return verdict{}, err
	}
	c := w.startCallers(24, 20, r, 3*time.Second)
	calm := time.Now()
	time.Sleep(contact + 2*time.Second)
	if _, err := w.order(service, "v2", duration); err != nil {
		return verdict{}, err
	}
	ordered := time.Now()
	for range 3 {
		if _, err := w.startServer(service, "v2", slots, slow); err != nil {
			return verdict{}, err
		}
	}
	end := ordered.Add(2*duration + 16*time.Second)
	state := w.awaitStatus(service, "v2", end, "completed", "rolled_back")
	if state == "completed" {
		stopAll(w, old)
	}
	decided := time.Now()
	if left := time.Until(ordered.Add(duration + 10*time.Second)); left > 0 {
		time.Sleep(left)
	}
	time.Sleep(10 * time.Second)
	requests := c.stop()
	share, n := served(requests, calm, ordered)
	if share < 0.95 || n < 50 {
		return verdict{}, fmt.Errorf("%w: %.2f of %d requests were served before the order", errNotRun, share, n)
	}
	v := verdict{broken: w.checkRollback(requests, "v2")}
	v.notes = append(v.notes, fmt.Sprintf("the roll-out ended %q %.1f s after the order", state, decided.Sub(ordered).Seconds()))
	after, n := served(requests, decided.Add(time.Second), decided.Add(10*time.Second))
	v.notes = append(v.notes, fmt.Sprintf("served before the order: %.3f; of %d requests after the end of the roll-out: %.3f", share, n, after))
	timeouts := 0
	for _, s := range requests {
		if s.status == http.StatusGatewayTimeout {
			timeouts++
		}
	}
	v.notes = append(v.notes, fmt.Sprintf("callers got %d answers with status 504", timeouts))
	return v, nil
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

// playBase brings in a bad version, which is rolled back, and then a good one at once. While the bad one is brought in, the
// servers of the old version are replaced one after the other.
func playBase(w *world, trouble bool) (verdict, error) {
	const (
		service  = "booking-desk"
		slots    = 12
		duration = 16 * time.Second
	)
	usual := manner{work: 50 * time.Millisecond}
	faulty := manner{work: usual.work, badRate: 0.5}
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
	if err := w.startEntries(3); err != nil {
		return verdict{}, err
	}
	c := w.startCallers(30, 120, r, 3*time.Second)
	calm := time.Now()
	time.Sleep(contact + 2*time.Second)
	ordered, err := w.order(service, "v2", duration)
	if err != nil {
		return verdict{}, err
	}
	var second []*server
	for range 3 {
		s, err := w.startServer(service, "v2", slots, faulty)
		if err != nil {
			return verdict{}, err
		}
		second = append(second, s)
	}
	released := make(chan error, 1)
	go func() { released <- w.release(service, slots, usual, old, trouble) }()
	state := w.awaitStatus(service, "v2", ordered.Add(duration+6*time.Second), "rolled_back", "completed")
	if state != "rolled_back" {
		return verdict{}, fmt.Errorf("%w: the bad version was not rolled back (%q)", errNotRun, state)
	}
	select {
	case err := <-released:
		if err != nil {
			return verdict{}, err
		}
	default:
		return verdict{}, fmt.Errorf("%w: the bad version was rolled back before the release ended", errNotRun)
	}
	reverted := time.Now()
	for _, s := range second {
		time.AfterFunc(4*time.Second, func() {
			// An error means that the store is closed.
			_ = s.leave()
		})
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := w.order(service, "v3", duration); err != nil {
		return verdict{}, err
	}
	third := time.Now()
	for range 3 {
		if _, err := w.startServer(service, "v3", slots, usual); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(third.Add(duration)))
	requests := c.stop()
	share, n := served(requests, calm, ordered)
	if share < 0.95 || n < 100 {
		return verdict{}, fmt.Errorf("%w: %.2f of %d requests were served before the order", errNotRun, share, n)
	}
	v := verdict{broken: append(w.checkShare("v2", ordered, ordered.Add(duration)), w.checkRollback(requests, "v2")...)}
	v.notes = append(v.notes, fmt.Sprintf("the bad version was rolled back %.1f s after its order", reverted.Sub(ordered).Seconds()))
	after, n := served(requests, third.Add(time.Second), third.Add(duration))
	v.notes = append(v.notes, fmt.Sprintf("served before the first order: %.3f; of %d requests in the %v after the second order: %.3f", share, n, duration, after))
	late := 0
	for _, a := range w.seen() {
		if a.version == "v2" && a.ran && requests[a.id].at.After(third.Add(time.Second)) {
			late++
		}
	}
	refused := 0
	for _, s := range requests {
		if s.status == http.StatusServiceUnavailable && s.at.After(third) {
			refused++
		}
	}
	v.notes = append(v.notes, fmt.Sprintf("%d requests sent later than 1 s after the second order ran on the version that had been rolled back, %d were answered with 503", late, refused))
	return v, nil
}

// release replaces servers one after the other: the new one starts first, the old one drains. Without on, nothing is replaced.
func (w *world) release(service string, slots int, m manner, old []*server, on bool) error {
	time.Sleep(time.Second)
	if !on {
		return nil
	}
	w.say("operator: release of the servers of v1 begins")
	left := make(chan error, len(old))
	for _, s := range old {
		if _, err := w.startServer(service, "v1", slots, m); err != nil {
			return err
		}
		go func() { left <- s.leave() }()
		time.Sleep(time.Second)
	}
	for range old {
		if err := <-left; err != nil {
			return err
		}
	}
	w.say("operator: release of the servers of v1 ends")
	return nil
}

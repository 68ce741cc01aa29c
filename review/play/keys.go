package main

import (
	"fmt"
	"net/http"
	"time"
)

// plainRoute is a route of the booking service.
func plainRoute(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "kind": kind, "service": "booking-desk", "timeout-ms": 3000,
		"target-latency-ms": 300, "priority": 2, "max-attempts": attempts,
	}
}

var bookingDesk = map[string]any{"name": "booking-desk", "max-connections": 110}

// answerAfter returns a replica's work on a plain request.
func answerAfter(d time.Duration) func(*replica, http.ResponseWriter, *http.Request) {
	return func(_ *replica, rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(d)
		_, _ = fmt.Fprint(rw, "booked")
	}
}

// revokeGap is the pause between two keys that are taken away, as on a site's list of troubles.
const revokeGap = 1700 * time.Millisecond

// playKeys takes the keys of the only tenant away, one after the other. Without the disruption the operator writes as
// many manifests, which keep them.
func playKeys(w *world, trouble bool) ([]string, error) {
	ran := &arrivals{}
	for i := range 2 {
		if _, err := w.addReplica(fmt.Sprintf("book%d", i), "booking-desk", 6, answerAfter(20*time.Millisecond), ran.add); err != nil {
			return nil, err
		}
	}
	m := manifest{
		Version: 1, Services: []map[string]any{bookingDesk},
		Routes:  []map[string]any{plainRoute("book", "/book/", "non_idempotent", 1), plainRoute("check", "/check/", "idempotent", 2)},
		Tenants: []map[string]any{tenant("fitters", "key-one", "key-two")},
	}
	if _, err := w.publish(m); err != nil {
		return nil, err
	}
	e, err := w.startEntry("edge-1")
	if err != nil {
		return nil, err
	}
	var broken []string
	n := 0
	send := func(key string, allowed bool, why string) {
		n++
		r := request{ID: fmt.Sprintf("r%03d", n), Method: http.MethodPost, Path: fmt.Sprintf("/book/%d", n), Key: key, Body: "deposit", Limit: 3 * time.Second}
		a := w.once(e.front, r)
		runs := ran.of(r.ID)
		for _, one := range runs {
			if one.Ran && !allowed {
				broken = append(broken, fmt.Sprintf("%s (%s, key %q) ran at %s for tenant %q and got status %d", r.ID, why, key, one.Replica, one.Tenant, a.Status))
			}
		}
	}
	send("key-one", true, "valid key")
	send("key-two", true, "valid key")
	send("key-never", false, "a key that no manifest ever held")
	left := []string{"key-one", "key-two"}
	last := time.Now()
	for len(left) > 0 {
		left = left[1:]
		m.Version += 3
		if trouble {
			m.Tenants = []map[string]any{tenant("fitters", left...)}
		}
		if last, err = w.publish(m); err != nil {
			return nil, err
		}
		time.Sleep(revokeGap)
	}
	// All bounds of the last manifest have passed by then.
	time.Sleep(time.Until(last.Add(revoke + 500*time.Millisecond)))
	for range 3 {
		send("key-one", !trouble, fmt.Sprintf("sent %.1f s after its key was taken away", time.Since(last).Seconds()+revokeGap.Seconds()))
		send("key-two", !trouble, fmt.Sprintf("sent %.1f s after its key was taken away", time.Since(last).Seconds()))
		send("key-never", false, "a key that no manifest ever held")
		time.Sleep(200 * time.Millisecond)
	}
	return broken, nil
}

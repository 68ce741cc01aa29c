// Package recorder keeps the ledger: claims, usage lines and session pins in an
// append-only log of the platform's object API.
package recorder

import "time"

// aged is a map whose entries expire in whole buckets, so that expiry costs nothing per entry.
type aged[V any] struct {
	window  time.Duration
	span    time.Duration
	buckets []bucket[V]
}

type bucket[V any] struct {
	start   time.Time
	entries map[string]V
}

// bucketsPerWindow sets how finely entries expire.
const bucketsPerWindow = 24

func newAged[V any](window time.Duration) *aged[V] {
	return &aged[V]{window: window, span: max(window/bucketsPerWindow, time.Second)}
}

// get returns the newest entry of a key.
func (a *aged[V]) get(key string) (V, bool) {
	for i := len(a.buckets) - 1; i >= 0; i-- {
		if v, ok := a.buckets[i].entries[key]; ok {
			return v, true
		}
	}
	var zero V
	return zero, false
}

// put stores an entry under the time of its record.
func (a *aged[V]) put(key string, v V, at time.Time) {
	a.remove(key)
	start := at.Truncate(a.span)
	n := len(a.buckets)
	if n == 0 || a.buckets[n-1].start.Before(start) {
		a.buckets = append(a.buckets, bucket[V]{start: start, entries: map[string]V{}})
		n++
	}
	a.buckets[n-1].entries[key] = v
}

func (a *aged[V]) remove(key string) {
	for i := range a.buckets {
		delete(a.buckets[i].entries, key)
	}
}

// expire drops the buckets that ended before the window.
func (a *aged[V]) expire(now time.Time) {
	for len(a.buckets) > 0 && now.Sub(a.buckets[0].start) > a.window+a.span {
		a.buckets = a.buckets[1:]
	}
}

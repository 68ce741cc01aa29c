// Package recorder keeps the ledger: claims, usage lines and session pins in an
// append-only log of the platform's object API.
package recorder

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// keyHash stands for a key in memory. Two keys with the same 128 bits would be taken for one,
// which with millions of keys a day does not happen in the life of a fleet.
type keyHash [2]uint64

// Seeds of the two halves of a keyHash; any two different numbers do.
const (
	firstSeed  = 0x9e3779b97f4a7c15
	secondSeed = 0xc2b2ae3d27d4eb4f
)

func hashKey(k model.RecordKey) keyHash {
	return keyHash{seeded(firstSeed, k), seeded(secondSeed, k)}
}

func seeded(seed uint64, k model.RecordKey) uint64 {
	d := xxhash.NewWithSeed(seed)
	// Writing to a hash cannot fail.
	_, _ = d.WriteString(string(k))
	return d.Sum64()
}

// aged is a map whose entries expire in whole buckets, so that expiry costs nothing per entry.
type aged[K comparable, V any] struct {
	window  time.Duration
	span    time.Duration
	buckets []bucket[K, V]
}

type bucket[K comparable, V any] struct {
	start   time.Time
	entries map[K]V
}

// bucketsPerWindow sets how finely entries expire.
const bucketsPerWindow = 24

func newAged[K comparable, V any](window time.Duration) *aged[K, V] {
	return &aged[K, V]{window: window, span: max(window/bucketsPerWindow, time.Second)}
}

// get returns the newest entry of a key.
func (a *aged[K, V]) get(key K) (V, bool) {
	for i := len(a.buckets) - 1; i >= 0; i-- {
		if v, ok := a.buckets[i].entries[key]; ok {
			return v, true
		}
	}
	var zero V
	return zero, false
}

// put stores an entry under the time of its record.
func (a *aged[K, V]) put(key K, v V, at time.Time) {
	a.remove(key)
	start := at.Truncate(a.span)
	n := len(a.buckets)
	if n == 0 || a.buckets[n-1].start.Before(start) {
		a.buckets = append(a.buckets, bucket[K, V]{start: start, entries: map[K]V{}})
		n++
	}
	a.buckets[n-1].entries[key] = v
}

func (a *aged[K, V]) remove(key K) {
	for i := range a.buckets {
		delete(a.buckets[i].entries, key)
	}
}

// expire drops the buckets that ended before the window.
func (a *aged[K, V]) expire(now time.Time) {
	n := 0
	for n < len(a.buckets) && now.Sub(a.buckets[n].start) > a.window+a.span {
		n++
	}
	// Delete clears what it removes; a shorter slice alone would keep the entries reachable.
	a.buckets = slices.Delete(a.buckets, 0, n)
}

// Package recorder keeps the ledger, which records claims, usage and session pins in an
// append-only log in the platform's object store.
package recorder

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// keyHash is the 128-bit hash that replaces a key in memory. Two keys with the same hash would be taken
// for one; at millions of keys a day the probability of that is negligible.
type keyHash [2]uint64

// Seeds of the two halves of a keyHash; they only need to differ.
const (
	firstSeed  = 0x9e3779b97f4a7c15
	secondSeed = 0xc2b2ae3d27d4eb4f
)

func hashKey(k model.RecordKey) keyHash {
	return keyHash{hashWithSeed(firstSeed, k), hashWithSeed(secondSeed, k)}
}

func hashWithSeed(seed uint64, k model.RecordKey) uint64 {
	d := xxhash.NewWithSeed(seed)
	// WriteString of a hash never returns an error.
	_, _ = d.WriteString(string(k))
	return d.Sum64()
}

// expiringMap is a map whose entries expire in whole buckets, so that expiry has no cost per entry.
type expiringMap[K comparable, V any] struct {
	window      time.Duration
	bucketWidth time.Duration
	buckets     []bucket[K, V]
}

type bucket[K comparable, V any] struct {
	start   time.Time
	entries map[K]V
}

// bucketsPerWindow sets the granularity of expiry.
const bucketsPerWindow = 24

func newExpiringMap[K comparable, V any](window time.Duration) *expiringMap[K, V] {
	return &expiringMap[K, V]{window: window, bucketWidth: max(window/bucketsPerWindow, time.Second)}
}

// get returns the entry of a key.
func (a *expiringMap[K, V]) get(key K) (V, bool) {
	for i := len(a.buckets) - 1; i >= 0; i-- {
		if v, ok := a.buckets[i].entries[key]; ok {
			return v, true
		}
	}
	var zero V
	return zero, false
}

// put stores an entry in the bucket of its record's time and replaces an earlier entry of the key.
func (a *expiringMap[K, V]) put(key K, v V, at time.Time) {
	a.remove(key)
	start := at.Truncate(a.bucketWidth)
	n := len(a.buckets)
	if n == 0 || a.buckets[n-1].start.Before(start) {
		a.buckets = append(a.buckets, bucket[K, V]{start: start, entries: map[K]V{}})
		n++
	}
	a.buckets[n-1].entries[key] = v
}

func (a *expiringMap[K, V]) remove(key K) {
	for i := range a.buckets {
		delete(a.buckets[i].entries, key)
	}
}

// expire drops the buckets that lie wholly before the window.
func (a *expiringMap[K, V]) expire(now time.Time) {
	n := 0
	for n < len(a.buckets) && now.Sub(a.buckets[n].start) > a.window+a.bucketWidth {
		n++
	}
	// Delete zeroes the removed elements; reslicing alone would keep their entries reachable.
	a.buckets = slices.Delete(a.buckets, 0, n)
}

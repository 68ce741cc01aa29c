package recorder

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// overlay tries records against a state without changing it: it copies only the keys
// that the records touch.
type overlay struct {
	base   *state
	window time.Duration
	copy   *state
	seen   map[model.RecordKey]bool
}

func (o *overlay) apply(r model.Record) (model.Outcome, bool) {
	if o.copy == nil {
		o.copy = newState(o.window)
		o.seen = map[model.RecordKey]bool{}
	}
	if !o.seen[r.Key] {
		o.seen[r.Key] = true
		o.borrow(r)
	}
	return o.copy.apply(r)
}

func (o *overlay) borrow(r model.Record) {
	key := hashKey(r.Key)
	copyEntry(o.base.claims, o.copy.claims, key, r.Time)
	copyEntry(o.base.done, o.copy.done, key, r.Time)
	copyEntry(o.base.answers, o.copy.answers, key, r.Time)
	copyEntry(o.base.usage, o.copy.usage, key, r.Time)
	copyEntry(o.base.pins, o.copy.pins, key, r.Time)
}

func copyEntry[K comparable, V any](from, to *aged[K, V], key K, at time.Time) {
	if v, ok := from.get(key); ok {
		to.put(key, v, at)
	}
}

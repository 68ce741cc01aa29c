package recorder

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// overlay applies records to a copy of a state and leaves the state unchanged. It copies only the
// keys that the records use.
type overlay struct {
	base   *state
	window time.Duration
	copy   *state
	copied map[model.RecordKey]bool
}

func (o *overlay) apply(r model.Record) (model.Outcome, bool) {
	if o.copy == nil {
		o.copy = newState(o.window)
		o.copied = map[model.RecordKey]bool{}
	}
	if !o.copied[r.Key] {
		o.copied[r.Key] = true
		o.copyKey(r)
	}
	return o.copy.apply(r)
}

func (o *overlay) copyKey(r model.Record) {
	key := hashKey(r.Key)
	copyEntry(o.base.claims, o.copy.claims, key, r.Time)
	copyEntry(o.base.finished, o.copy.finished, key, r.Time)
	copyEntry(o.base.answers, o.copy.answers, key, r.Time)
	copyEntry(o.base.usage, o.copy.usage, key, r.Time)
	copyEntry(o.base.pins, o.copy.pins, key, r.Time)
}

func copyEntry[K comparable, V any](from, to *expiringMap[K, V], key K, at time.Time) {
	if v, ok := from.get(key); ok {
		to.put(key, v, at)
	}
}

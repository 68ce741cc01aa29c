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
	key := string(r.Key)
	if c, ok := o.base.claims.get(key); ok {
		o.copy.claims.put(key, c, c.record.Time)
	}
	if _, ok := o.base.usage.get(key); ok {
		o.copy.usage.put(key, struct{}{}, r.Time)
	}
	if p, ok := o.base.pins.get(key); ok {
		o.copy.pins.put(key, p, p.Time)
	}
}

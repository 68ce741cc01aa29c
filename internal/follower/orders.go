package follower

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// lostOrderGrace is how long an order is kept that a copy of the store lacks. Its issuer writes it again.
const lostOrderGrace = 5 * time.Second

// orderTable holds the newest roll-out order of each service.
type orderTable struct {
	orders map[model.ServiceID]model.RolloutOrder
	// replaced holds the orders that another one replaced or that were removed: a copy of the store may still have them.
	replaced map[orderID]bool
	// lostAt holds when a copy of the store was found to lack an order.
	lostAt map[model.ServiceID]time.Time
	// unreadable holds the revisions of the objects that cannot be decoded, by their keys.
	unreadable map[string]model.Revision
}

// orderID identifies an order that a copy of the store still has. The number of the change that created it is the same
// in the copy, in another era.
type orderID struct {
	service model.ServiceID
	version model.VersionID
	change  int64
}

func newOrderTable() *orderTable {
	return &orderTable{orders: map[model.ServiceID]model.RolloutOrder{}, replaced: map[orderID]bool{}, lostAt: map[model.ServiceID]time.Time{}, unreadable: map[string]model.Revision{}}
}

func idOf(o model.RolloutOrder) orderID {
	return orderID{service: o.Service, version: o.Version, change: o.Created.Change()}
}

// put replaces the order of a service by a newer one and reports whether it was that.
func (t *orderTable) put(o model.RolloutOrder) bool {
	known, ok := t.orders[o.Service]
	if ok && known.Revision >= o.Revision || t.replaced[idOf(o)] {
		return false
	}
	if ok && idOf(known) != idOf(o) {
		t.noteReplaced(known)
	}
	t.orders[o.Service] = o
	return true
}

// keepUnreadable keeps the order of a service whose object can no longer be decoded, at the object's revision, so that
// its status can still be reported. An order that the object took the place of was removed. It reports whether the
// object is new.
func (t *orderTable) keepUnreadable(o storer.Object, s model.ServiceID) bool {
	known, ok := t.orders[s]
	switch {
	case !ok || o.Revision < known.Revision:
	case o.Created != 0 && o.Created.Change() != known.Created.Change():
		t.remove(s)
	default:
		known.Revision = o.Revision
		t.orders[s] = known
	}
	changed := t.unreadable[o.Key] != o.Revision
	t.unreadable[o.Key] = o.Revision
	return changed
}

func (t *orderTable) remove(s model.ServiceID) {
	if known, ok := t.orders[s]; ok {
		t.noteReplaced(known)
	}
	delete(t.orders, s)
	delete(t.lostAt, s)
}

// noteReplaced remembers an order, unless the store does not tell one order for a version from the next.
func (t *orderTable) noteReplaced(o model.RolloutOrder) {
	if o.Created != 0 {
		t.replaced[idOf(o)] = true
	}
}

// keepListed removes the orders that a list of all orders lacks, those that a copy of the store lacks only after
// lostOrderGrace.
func (t *orderTable) keepListed(listed map[model.ServiceID]bool, restored bool, now time.Time) {
	for s := range t.orders {
		_, lost := t.lostAt[s]
		switch {
		case listed[s]:
			delete(t.lostAt, s)
		case restored:
			t.lostAt[s] = now
		case !lost:
			t.remove(s)
		}
	}
}

func (t *orderTable) removeLost(now time.Time) {
	for s, at := range t.lostAt {
		if now.Sub(at) > lostOrderGrace {
			t.remove(s)
		}
	}
}

func (f *Follower) applyOrders(b batch, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[model.ServiceID]bool{}
	for _, o := range b.objects {
		order, err := f.cfg.Decode.Order(o)
		if o.Deleted {
			delete(f.orders.unreadable, o.Key)
			f.orders.remove(order.Service)
			continue
		}
		listed[order.Service] = true
		if err != nil {
			if f.orders.keepUnreadable(o, order.Service) {
				f.cfg.Log.Error().Err(err).Int64("revision", o.Revision.Change()).Uint32("era", uint32(o.Revision.Era())).
					Msg("follower: roll-out order cannot be decoded, the last one stays in force")
			}
			continue
		}
		delete(f.orders.unreadable, o.Key)
		delete(f.orders.lostAt, order.Service)
		if f.orders.put(order) {
			f.cfg.Log.Info().Str("service", string(order.Service)).Str("version", string(order.Version)).Dur("within", order.Duration).
				Str("state", string(order.State)).Int64("revision", order.Revision.Change()).Uint32("era", uint32(order.Revision.Era())).
				Msg("follower: roll-out order changed")
		} else if b.restored {
			f.cfg.Log.Info().Str("service", string(order.Service)).Str("version", string(order.Version)).
				Msg("follower: copy of the store has a roll-out order that was replaced, which is ignored")
		}
	}
	if b.full {
		f.orders.keepListed(listed, b.restored, now)
	}
	f.orders.removeLost(now)
}

// Order returns the roll-out order of a service.
func (f *Follower) Order(s model.ServiceID) (model.RolloutOrder, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	o, ok := f.orders.orders[s]
	return o, ok
}

// Orders returns all roll-out orders.
func (f *Follower) Orders() []model.RolloutOrder {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]model.RolloutOrder, 0, len(f.orders.orders))
	for _, o := range f.orders.orders {
		out = append(out, o)
	}
	return out
}

// Package follower keeps what an entry believes of the platform: the plan, the backend
// servers, the roll-outs and the marks that entries leave for each other.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Kinds names the store's kinds of object.
type Kinds struct {
	Plan, Servers, Orders, Shared string
}

// Decoder reads the store's objects.
type Decoder struct {
	IsPlan func(key string) bool
	Plan   func(value []byte) (*model.Plan, error)
	Server func(storer.Object) (model.BackendServer, error)
	Order  func(storer.Object) (model.RolloutOrder, error)
}

// Config configures a Follower.
type Config struct {
	Store  storer.Store
	Kinds  Kinds
	Decode Decoder
	// MaxKeyAge is how long keys are believed without word from the store; 0 has no bound.
	MaxKeyAge time.Duration
	// Clock returns the time since boot, which goes on while the machine is suspended.
	Clock func() time.Duration
	Meter *meter.Meter
	Log   zerolog.Logger
}

// Follower follows the store.
type Follower struct {
	cfg Config

	mu        sync.RWMutex
	plan      *model.Plan
	planRev   model.Revision
	confirmed time.Duration
	known     bool
	servers   *serverTable
	orders    map[model.ServiceID]model.RolloutOrder
	marks     map[string]storer.Object
	listed    map[string]bool
	// ready is closed once the plan and the lists were read.
	ready  chan struct{}
	onMark []func(storer.Object)
	// interrupted ends all watches; it is replaced when the store is lost or its history is gone.
	interrupted context.Context
	interrupt   context.CancelCauseFunc
	// forgot is when the history was last found to be gone.
	forgot time.Time
	// away is closed when the store is regained, and nil while it answers.
	away chan struct{}
}

// New returns a follower that has read nothing.
func New(cfg Config) *Follower {
	f := &Follower{
		cfg:     cfg,
		servers: newServerTable(),
		orders:  map[model.ServiceID]model.RolloutOrder{},
		marks:   map[string]storer.Object{},
		listed:  map[string]bool{},
		ready:   make(chan struct{}),
	}
	f.interrupted, f.interrupt = context.WithCancelCause(context.Background())
	return f
}

// Run follows all kinds until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, k := range []stream{
		{kind: f.cfg.Kinds.Plan, wait: planWait, gap: planGap, pause: maxPlanPause, apply: f.applyPlan, confirm: f.confirm},
		{kind: f.cfg.Kinds.Servers, wait: otherWait, gap: serversGap, pause: maxPause, apply: f.applyServers},
		{kind: f.cfg.Kinds.Orders, wait: otherWait, gap: otherGap, pause: maxPause, apply: f.applyOrders},
		{kind: f.cfg.Kinds.Shared, wait: otherWait, gap: otherGap, pause: maxPause, apply: f.applyMarks},
	} {
		wg.Go(func() { f.follow(ctx, k) })
	}
	wg.Wait()
}

func (f *Follower) setListed(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed[kind] = true
	f.settle()
}

// confirm counts an answer on the plan. It holds as of the start of the call, and of a watch
// that waited as of its end less the time for which it may have been deaf.
func (f *Follower) confirm(sent, answered time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed, f.known = max(sent, answered-deafness), true
}

// SetMaxKeyAge changes how long keys are believed without word from the store.
func (f *Follower) SetMaxKeyAge(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.MaxKeyAge = d
}

// trustMargin covers the time between the check of a key and the arrival at the backend server.
const trustMargin = 300 * time.Millisecond

// Trusted reports whether the keys of the plan are recent enough at a time since boot, and
// how old the knowledge is.
func (f *Follower) Trusted(now time.Duration) (bool, time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	age := now - f.confirmed
	if !f.known {
		return false, 0
	}
	return f.cfg.MaxKeyAge == 0 || age < f.cfg.MaxKeyAge-trustMargin, age
}

// Plan returns the plan in force, or nil.
func (f *Follower) Plan() *model.Plan {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.plan
}

// Ready is closed once the plan and the lists were read.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// settle closes ready if all was read; the lock is held.
func (f *Follower) settle() {
	k := f.cfg.Kinds
	if f.plan == nil || !f.listed[k.Servers] || !f.listed[k.Orders] || !f.listed[k.Shared] {
		return
	}
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// applyPlan puts a newer plan in force. An unreadable one leaves the last in force.
func (f *Follower) applyPlan(b batch, _ time.Time) {
	for _, o := range b.objects {
		if !f.cfg.Decode.IsPlan(o.Key) || o.Deleted || o.Revision <= f.planRev {
			continue
		}
		p, err := f.cfg.Decode.Plan(o.Value)
		if err != nil {
			f.cfg.Log.Error().Err(err).Int64("revision", int64(o.Revision)).Msg("follower: plan cannot be read, the last one stays in force")
			continue
		}
		f.mu.Lock()
		f.plan, f.planRev = p, o.Revision
		f.settle()
		f.mu.Unlock()
		f.cfg.Log.Info().Int64("version", p.Version).Int64("revision", int64(o.Revision)).
			Int("routes", len(p.Routes)).Int("keys", len(p.Keys)).Msg("follower: plan in force")
	}
}

func (f *Follower) applyOrders(b batch, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.full {
		clear(f.orders)
	}
	for _, o := range b.objects {
		order, err := f.cfg.Decode.Order(o)
		if err != nil {
			f.cfg.Log.Error().Err(err).Msg("follower: roll-out order cannot be read and is left out")
			continue
		}
		if o.Deleted {
			delete(f.orders, order.Service)
			continue
		}
		if known, ok := f.orders[order.Service]; ok && known.Revision >= order.Revision {
			continue
		}
		f.orders[order.Service] = order
		f.cfg.Log.Info().Str("service", string(order.Service)).Str("version", string(order.Version)).Dur("within", order.Within).
			Str("state", string(order.State)).Int64("revision", int64(order.Revision)).Msg("follower: roll-out order")
	}
}

// Order returns the roll-out order of a service.
func (f *Follower) Order(s model.ServiceID) (model.RolloutOrder, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	o, ok := f.orders[s]
	return o, ok
}

// Orders returns all roll-out orders.
func (f *Follower) Orders() []model.RolloutOrder {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]model.RolloutOrder, 0, len(f.orders))
	for _, o := range f.orders {
		out = append(out, o)
	}
	return out
}

// OnSharedObject calls fn with each mark that appears or changes; call it before Run.
func (f *Follower) OnSharedObject(fn func(storer.Object)) { f.onMark = append(f.onMark, fn) }

func (f *Follower) applyMarks(b batch, _ time.Time) {
	for _, o := range b.objects {
		f.mu.Lock()
		known, ok := f.marks[o.Key]
		fresh := !ok || o.Revision > known.Revision
		if fresh && o.Deleted {
			delete(f.marks, o.Key)
		} else if fresh {
			f.marks[o.Key] = o
		}
		f.mu.Unlock()
		if !fresh || o.Deleted {
			continue
		}
		for _, fn := range f.onMark {
			fn(o)
		}
	}
}

// Mark returns a mark by its key.
func (f *Follower) Mark(key string) (storer.Object, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	o, ok := f.marks[key]
	return o, ok
}

// Package follower keeps what an entry believes of the platform: the plan, the backend
// servers, the roll-outs and the marks that entries leave for each other.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// planWait bounds a watch of the plan. While the store answers, keys are confirmed this often;
	// shorter waits cost a call each, longer ones leave less of the trust when an outage begins.
	planWait = 2 * time.Second
	// deafness is how long a watch may miss changes: a store that compacts its history leaves
	// watches without word for about a second before it cuts them.
	deafness = 1200 * time.Millisecond
	// otherWait bounds the other watches. A connection that falls silent is found by its probes
	// and by the plan's watch.
	otherWait = 20 * time.Second
	// planGap, serversGap and otherGap space the answers of a watch, so that changes in quick
	// succession cost one call. They are small beside the time in which a change must hold.
	planGap    = 150 * time.Millisecond
	serversGap = 600 * time.Millisecond
	otherGap   = 50 * time.Millisecond
	// firstPause and maxPause space the calls to a store that fails. The plan's are closer, since
	// requests with keys are refused until it answers again.
	firstPause   = 100 * time.Millisecond
	maxPause     = 800 * time.Millisecond
	maxPlanPause = 350 * time.Millisecond
	// noWait asks for what a watch has at once, after the store was away.
	noWait = time.Millisecond
)

// Kinds names the store's kinds of object.
type Kinds struct {
	Plan, Servers, Orders, Marks string
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
	// Trust is how long keys are believed without word from the store; 0 has no bound.
	Trust time.Duration
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
		{kind: f.cfg.Kinds.Marks, wait: otherWait, gap: otherGap, pause: maxPause, apply: f.applyMarks},
	} {
		wg.Go(func() { f.follow(ctx, k) })
	}
	wg.Wait()
}

// batch is what one answer of the store changes. Full lists hold all objects of the kind.
type batch struct {
	objects []storer.Object
	full    bool
	// regained means that the store was out of reach for a while before this answer.
	regained bool
}

// stream is one kind that is followed.
type stream struct {
	kind  string
	wait  time.Duration
	gap   time.Duration
	pause time.Duration
	apply func(b batch, now time.Time)
	// confirm is nil for kinds other than the plan. Sent and answered are times since boot.
	confirm func(sent, answered time.Duration)
}

// outage is how long the store must be out of reach for its entries to lapse meanwhile.
const outage = time.Second

// follow lists a kind and then watches it, and starts over when the store forgot its history.
func (f *Follower) follow(ctx context.Context, s stream) {
	var from model.Revision
	var lostAt time.Time
	full, asked, pause := true, false, firstPause
	for ctx.Err() == nil {
		sent := f.cfg.Clock()
		listing, err := f.read(ctx, s, from, full, asked || !lostAt.IsZero())
		asked = false
		now, answered := time.Now(), f.cfg.Clock()
		switch {
		case err == nil && listing.Revision < from:
			// An answer from before what is known already: a stale read.
			f.count(s, "stale")
			pauser.Pause(ctx, pause)
			continue
		case storer.IsKind(err, storer.KindCompacted):
			f.cfg.Log.Info().Str("kind", s.kind).Int64("from", int64(from)).Msg("follower: the store forgot the history, listing again")
			f.count(s, "compacted")
			full = true
			f.forget(now)
			continue
		case errors.Is(err, errForgotten):
			asked = true
			continue
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			f.count(s, "failed")
			if lostAt.IsZero() {
				lostAt = now
				f.cfg.Log.Warn().Err(err).Str("kind", s.kind).Int64("from", int64(from)).Msg("follower: store lost")
				if s.confirm != nil {
					f.setAway(true)
					f.interruptAll(errLost)
				}
			}
			pauser.Pause(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, s.pause)
			if s.confirm == nil {
				f.awaitStore(ctx)
			}
			continue
		}
		f.count(s, "answered")
		regained := !lostAt.IsZero() && now.Sub(lostAt) >= outage
		if !lostAt.IsZero() {
			f.cfg.Log.Info().Str("kind", s.kind).Dur("away", now.Sub(lostAt)).Int64("revision", int64(listing.Revision)).Msg("follower: store regained")
		}
		lostAt, pause = time.Time{}, firstPause
		s.apply(batch{objects: listing.Objects, full: full, regained: regained}, now)
		if full {
			f.setListed(s.kind)
		}
		from, full = listing.Revision, false
		if s.confirm != nil {
			f.setAway(false)
			s.confirm(sent, answered)
		}
		if len(listing.Objects) > 0 {
			pauser.Pause(ctx, s.gap)
		}
	}
}

// awaitStore waits while the plan's calls fail, so that one kind asks for all of them.
func (f *Follower) awaitStore(ctx context.Context) {
	for {
		f.mu.RLock()
		away := f.away
		f.mu.RUnlock()
		if away == nil {
			return
		}
		select {
		case <-away:
		case <-ctx.Done():
			return
		}
	}
}

// setAway tells the other kinds whether the store is lost.
func (f *Follower) setAway(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost && f.away == nil {
		f.away = make(chan struct{})
	}
	if !lost && f.away != nil {
		close(f.away)
		f.away = nil
	}
}

// Causes for which a watch is ended before its time.
var (
	errLost      = errors.New("another watch found the store lost")
	errForgotten = errors.New("another watch found the history gone")
)

// interruptAll ends all watches, whose connections may be silent.
func (f *Follower) interruptAll(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt(cause)
	f.interrupted, f.interrupt = context.WithCancelCause(context.Background())
}

// forgetPause is the least time between two interruptions because the history is gone: all watches
// find out at about the same time.
const forgetPause = time.Second

// forget lets all kinds ask at once, because the history is gone. It answers a store that drops its
// history and leaves watches waiting that will hear nothing.
func (f *Follower) forget(now time.Time) {
	f.mu.Lock()
	recent := now.Sub(f.forgot) < forgetPause
	if !recent {
		f.forgot = now
	}
	f.mu.Unlock()
	if !recent {
		f.interruptAll(errForgotten)
	}
}

// watch waits for changes until another kind's watch finds that this one may hear nothing.
func (f *Follower) watch(ctx context.Context, s stream, from model.Revision) (storer.Listing, error) {
	f.mu.RLock()
	interrupted := f.interrupted
	f.mu.RUnlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(interrupted, cancel)()
	listing, err := f.cfg.Store.Watch(ctx, s.kind, from, s.wait)
	if cause := context.Cause(interrupted); err != nil && errors.Is(cause, errForgotten) {
		return storer.Listing{}, cause
	}
	return listing, err
}

func (f *Follower) read(ctx context.Context, s stream, from model.Revision, full, ask bool) (storer.Listing, error) {
	switch {
	case full:
		return f.cfg.Store.List(ctx, s.kind)
	case ask:
		return f.cfg.Store.Watch(ctx, s.kind, from, noWait)
	}
	return f.watch(ctx, s, from)
}

func (f *Follower) count(s stream, result string) {
	f.cfg.Meter.Count("store_calls/"+s.kind+"_"+result, 1)
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

// SetTrust changes how long keys are believed without word from the store.
func (f *Follower) SetTrust(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Trust = d
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
	return f.cfg.Trust == 0 || age < f.cfg.Trust-trustMargin, age
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
	if f.plan == nil || !f.listed[k.Servers] || !f.listed[k.Orders] || !f.listed[k.Marks] {
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

// OnMark calls fn with each mark that appears or changes; call it before Run.
func (f *Follower) OnMark(fn func(storer.Object)) { f.onMark = append(f.onMark, fn) }

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

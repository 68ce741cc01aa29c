// Package follower watches the object store and keeps an entry's local copy of the plan, the
// backend servers, the roll-out orders and the objects that entries share with each other.
package follower

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Kinds holds the store's names for the kinds of object that are watched.
type Kinds struct {
	Plan, Servers, Orders, Shared string
	// Evacuations is empty if evacuations are not followed.
	Evacuations string
}

// Decoder decodes the store's objects. IsPlan reports whether a key holds the plan. Order sets the order's service also
// if it returns an error.
type Decoder struct {
	IsPlan func(key string) bool
	Plan   func(value []byte) (*model.Plan, error)
	Server func(storer.Object) (model.BackendServer, error)
	Order  func(storer.Object) (model.RolloutOrder, error)
	// Evacuation returns the failure domain that an object evacuates, also if it returns an error since its content
	// cannot be read.
	Evacuation func(storer.Object) (model.DomainID, error)
}

// Config configures a Follower.
type Config struct {
	Store  storer.Store
	Kinds  Kinds
	Decode Decoder
	// Relays spreads what is read from the store among the entries of a region; nil if each entry watches for
	// itself.
	Relays *Relays
	// MaxKeyAge is how long API keys count as fresh without an answer of the store; 0 sets no bound.
	MaxKeyAge time.Duration
	// Clock returns the time since boot, which also counts while the computer is suspended.
	Clock func() time.Duration
	Meter *meter.Meter
	Log   zerolog.Logger
}

// Follower watches the store and answers queries from its local copy.
type Follower struct {
	cfg Config

	mu   sync.RWMutex
	plan *model.Plan
	// planRev is the position of the plan in force; storeBehind is set while the store holds an older plan, since
	// it came back from a copy.
	planRev     model.Revision
	storeBehind bool
	// unreadablePlan is the revision of the last plan that could not be decoded; updates guards it.
	unreadablePlan model.Revision
	floor          floor
	confirmedAt    time.Duration
	everConfirmed  bool
	servers        *serverTable
	orders         *orderTable
	evacuations    *evacuationTable
	sharedObjects  map[string]storer.Object
	listed         map[string]bool
	// ready is closed once the plan and all lists have been read.
	ready          chan struct{}
	onSharedObject []func(storer.Object)
	onRestored     []func()
	// Cancelling watchCtx ends all watches; it is replaced when the store is lost or its history is gone.
	watchCtx       context.Context
	cancelWatchCtx context.CancelCauseFunc
	// historyLostAt is when the store last reported that its history is gone.
	historyLostAt time.Time
	// feed holds the objects in the form in which they are passed on; updates serialises their application.
	feed    *relayer.Feed
	updates sync.Mutex
	// revisions holds the revision of the last update of each kind; updates guards it.
	revisions map[string]model.Revision
	relayed   relayState
	calls     coveredCalls
	// planWait is the longest wait of one watch of the plan that no other entry depends on.
	planWait time.Duration
	// outageEnded is nil while the store answers. An outage sets it and closes it at its end.
	outageEnded chan struct{}
}

// New returns a Follower that has not read anything yet.
func New(cfg Config) *Follower {
	f := &Follower{
		cfg:           cfg,
		servers:       newServerTable(),
		orders:        newOrderTable(),
		evacuations:   newEvacuationTable(),
		sharedObjects: map[string]storer.Object{},
		listed:        map[string]bool{},
		ready:         make(chan struct{}),
		feed:          relayer.NewFeed(),
		revisions:     map[string]model.Revision{},
		floor:         floor{newEra: make(chan struct{}, 1)},
		calls:         coveredCalls{coverage: newCoverage(), end: map[string]context.CancelCauseFunc{}},
		planWait:      planWait,
	}
	if cfg.Relays != nil {
		f.relayed.relayWait = cfg.Relays.Timing.Wait
		f.planWait = min(planWait, cfg.Relays.Timing.OwnWait)
	}
	f.relayed.inactive = make(chan struct{})
	close(f.relayed.inactive)
	f.watchCtx, f.cancelWatchCtx = context.WithCancelCause(context.Background())
	return f
}

// Run watches all kinds until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range f.subscriptions() {
		wg.Go(func() { f.followKind(ctx, s) })
	}
	if f.cfg.Relays != nil {
		wg.Go(func() { f.followRelays(ctx) })
		wg.Go(func() { f.askFloors(ctx) })
	}
	wg.Wait()
}

// subscriptions returns how each kind is watched. The kind of the plan is first.
func (f *Follower) subscriptions() []subscription {
	all := []subscription{
		{kind: f.cfg.Kinds.Plan, wait: f.planWait, gap: planGap, backoff: maxPlanBackoff, apply: f.applyPlan, confirm: f.confirmAsOf},
		{kind: f.cfg.Kinds.Servers, wait: otherWait, gap: serversGap, backoff: maxBackoff, apply: f.applyServers},
		{kind: f.cfg.Kinds.Orders, wait: otherWait, gap: otherGap, backoff: maxBackoff, apply: f.applyOrders},
		{kind: f.cfg.Kinds.Shared, wait: otherWait, gap: otherGap, backoff: maxBackoff, apply: f.applySharedObjects},
	}
	if f.cfg.Kinds.Evacuations != "" {
		all = append(all, subscription{kind: f.cfg.Kinds.Evacuations, wait: otherWait, gap: otherGap, backoff: maxBackoff, apply: f.applyEvacuations})
	}
	return all
}

func (f *Follower) setListed(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed[kind] = true
	f.closeReadyIfComplete()
}

// confirmAsOf records that the plan in force was the newest as of a time since boot. A store that holds an older plan
// confirms nothing: it may lack others too.
func (f *Follower) confirmAsOf(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeBehind || f.everConfirmed && at <= f.confirmedAt {
		return
	}
	f.confirmedAt, f.everConfirmed = at, true
	f.feed.Confirm(f.planRev, at)
}

// SetMaxKeyAge changes how long API keys count as fresh without an answer of the store; 0 sets no bound.
func (f *Follower) SetMaxKeyAge(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.MaxKeyAge = d
}

// keyAgeMargin covers the time from the check of a key to the arrival of its request at the backend server.
const keyAgeMargin = 300 * time.Millisecond

// KeysFresh reports whether the API keys of the plan are fresh enough at now, a time since boot, and
// how long ago the store last confirmed them.
func (f *Follower) KeysFresh(now time.Duration) (bool, time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	age := now - f.confirmedAt
	if !f.everConfirmed {
		return false, 0
	}
	if f.isBelowFloor() {
		return false, age
	}
	return f.cfg.MaxKeyAge == 0 || age < f.cfg.MaxKeyAge-keyAgeMargin, age
}

// Plan returns the plan in force, or nil.
func (f *Follower) Plan() *model.Plan {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.plan
}

// Ready returns a channel that is closed once the plan and all lists have been read.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// closeReadyIfComplete closes ready if the plan and all lists have been read; the caller holds the lock.
func (f *Follower) closeReadyIfComplete() {
	k := f.cfg.Kinds
	if f.plan == nil || f.floor.asking || !f.listed[k.Servers] || !f.listed[k.Orders] || !f.listed[k.Shared] ||
		k.Evacuations != "" && !f.listed[k.Evacuations] {
		return
	}
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// applyPlan puts a newer plan in force. If it cannot be decoded, the previous plan stays in force. So it does if a
// store that came back from a copy holds an older version, until the operator has written a version that is not.
func (f *Follower) applyPlan(b batch, _ time.Time) {
	found := false
	for _, o := range b.objects {
		if !f.cfg.Decode.IsPlan(o.Key) || o.Deleted {
			continue
		}
		found = true
		if o.Revision <= f.planRev {
			f.cfg.Log.Info().Int64("revision", o.Revision.Change()).Uint32("era", uint32(o.Revision.Era())).Int64("known", f.planRev.Change()).
				Msg("follower: plan is not newer than the one in force and is ignored")
			continue
		}
		p, err := f.cfg.Decode.Plan(o.Value)
		if err != nil {
			if o.Revision != f.unreadablePlan {
				f.unreadablePlan = o.Revision
				f.cfg.Log.Error().Err(err).Int64("revision", o.Revision.Change()).Uint32("era", uint32(o.Revision.Era())).
					Msg("follower: plan cannot be decoded, the previous one stays in force")
			}
			continue
		}
		f.putPlan(p, o.Revision)
	}
	if b.restored && !found {
		f.mu.Lock()
		f.storeBehind = f.plan != nil
		f.mu.Unlock()
	}
}

func (f *Follower) putPlan(p *model.Plan, at model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeBehind = f.plan != nil && at.Era() > f.planRev.Era() && p.Version < f.plan.Version
	if f.storeBehind {
		f.cfg.Meter.Count("plans/older_in_copy", 1)
		f.cfg.Log.Warn().Int64("version", p.Version).Int64("revision", at.Change()).Uint32("era", uint32(at.Era())).Int64("kept", f.plan.Version).
			Msg("follower: store came back with an older plan, the newer one stays in force")
		return
	}
	f.plan, f.planRev = p, at
	f.feed.SetVersion(p.Version)
	f.closeReadyIfComplete()
	f.cfg.Log.Info().Int64("version", p.Version).Int64("revision", at.Change()).Uint32("era", uint32(at.Era())).
		Int("routes", len(p.Routes)).Int("keys", len(p.Keys)).Bool("open", p.Open).Msg("follower: plan in force")
}

// OnSharedObject registers fn, which is called with each shared object that appears or changes. OnSharedObject
// must be called before Run.
func (f *Follower) OnSharedObject(fn func(storer.Object)) {
	f.onSharedObject = append(f.onSharedObject, fn)
}

// OnRestored registers fn, which is called once the shared objects of a store that came back from a copy are known, so
// that what the store has lost can be written again. OnRestored must be called before Run.
func (f *Follower) OnRestored(fn func()) { f.onRestored = append(f.onRestored, fn) }

func (f *Follower) applySharedObjects(b batch, _ time.Time) {
	if b.full {
		f.dropUnlistedShared(b.objects)
	}
	for _, o := range b.objects {
		f.mu.Lock()
		known, ok := f.sharedObjects[o.Key]
		newer := !ok || o.Revision > known.Revision
		if newer && o.Deleted {
			delete(f.sharedObjects, o.Key)
		} else if newer {
			f.sharedObjects[o.Key] = o
		}
		f.mu.Unlock()
		if !newer || o.Deleted {
			continue
		}
		for _, fn := range f.onSharedObject {
			fn(o)
		}
	}
	if !b.restored {
		return
	}
	for _, fn := range f.onRestored {
		fn()
	}
}

// dropUnlistedShared forgets the shared objects that a list of all lacks, so that they can be created again.
func (f *Follower) dropUnlistedShared(listed []storer.Object) {
	present := make(map[string]bool, len(listed))
	for _, o := range listed {
		present[o.Key] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.sharedObjects, func(key string, _ storer.Object) bool { return !present[key] })
}

// SharedObject returns the shared object with the key.
func (f *Follower) SharedObject(key string) (storer.Object, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	o, ok := f.sharedObjects[key]
	return o, ok
}

package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// controllerConfig configures the work for one service during one term.
type controllerConfig struct {
	Config
	Service model.ServiceID
	Fence   model.Fence
	Since   time.Time
}

// controller is the owner's work for one service. All its writes are conditional on revisions
// that it created itself when it adopted the objects.
type controller struct {
	cfg     controllerConfig
	mu      sync.Mutex
	rollout kept[model.RolloutState]
	orders  kept[model.LoadOrders]
	status  kept[Status]
	guard   *guard.Guard
	stepped time.Time
	reports map[model.InstanceID]report
	loads   map[model.InstanceID]model.Load
	asked   time.Time
}

// kept is a stored object that only this term writes.
type kept[T any] struct {
	value    T
	revision model.Revision
}

// report is an entry's last word on its demand.
type report struct {
	demand  map[model.OrganisationID]model.Rate
	running map[model.OrganisationID]int
	until   time.Time
}

// Status tells operators what the owner does and why.
type Status struct {
	Service model.ServiceID     `json:"service"`
	Owner   model.InstanceID    `json:"owner"`
	Fence   model.Fence         `json:"fence"`
	Rollout *model.RolloutState `json:"rollout,omitempty"`
	Repair  string              `json:"repair"`
	Fault   string              `json:"fault,omitempty"`
}

// StatusKey returns the key of a service's status object.
func StatusKey(s model.ServiceID) string { return "status/" + string(s) }

func newController(cfg controllerConfig) *controller {
	return &controller{
		cfg:     cfg,
		guard:   guard.New(),
		stepped: cfg.Since,
		reports: map[model.InstanceID]report{},
		loads:   map[model.InstanceID]model.Load{},
	}
}

// adopt takes the service's objects over: each gets a new revision under the new fencing number.
func (c *controller) adopt(ctx context.Context) error {
	id, fence := c.cfg.Service, c.cfg.Fence
	holder := kept[model.Holder]{}
	return errors.Join(
		takeOver(ctx, c.cfg.Store, watcher.OwnerKey(id), &holder, func(h *model.Holder) {
			*h = model.Holder{Service: id, Holder: c.cfg.Self.Instance, Fence: fence}
		}),
		takeOver(ctx, c.cfg.Store, watcher.RolloutKey(id), &c.rollout, func(r *model.RolloutState) {
			r.Service, r.Fence = id, fence
		}),
		takeOver(ctx, c.cfg.Store, watcher.OrderKey(id), &c.orders, func(o *model.LoadOrders) {
			o.Service, o.Fence = id, fence
		}),
		read(ctx, c.cfg.Store, StatusKey(id), &c.status),
	)
}

// takeOver reads an object, changes it and writes it back.
func takeOver[T any](ctx context.Context, store storer.Store, key string, k *kept[T], change func(*T)) error {
	if err := read(ctx, store, key, k); err != nil {
		return err
	}
	change(&k.value)
	return write(ctx, store, key, k)
}

func read[T any](ctx context.Context, store storer.Store, key string, k *kept[T]) error {
	o, err := store.Get(ctx, key)
	if storer.IsKind(err, storer.KindNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	if err := json.Unmarshal(o.Value, &k.value); err != nil {
		return fmt.Errorf("decode %s: %w", key, err)
	}
	k.revision = o.Revision
	return nil
}

func write[T any](ctx context.Context, store storer.Store, key string, k *kept[T]) error {
	value, err := json.Marshal(k.value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	rev, err := storer.PutWithReadback(ctx, store, key, value, k.revision)
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	k.revision = rev
	return nil
}

// work moves the roll-out and repairs the fleet by one step each.
func (c *controller) work(ctx context.Context, s *watcher.Service, now time.Time) error {
	if err := c.moveRollout(ctx, s.Declared, now); err != nil {
		return err
	}
	repair, err := c.repair(ctx, s.Document, now)
	if err != nil {
		return err
	}
	return c.writeStatus(ctx, repair, s.Fault)
}

func (c *controller) moveRollout(ctx context.Context, doc *model.Document, now time.Time) error {
	if doc == nil || doc.Rollout == nil {
		return nil
	}
	c.mu.Lock()
	state := c.rollout.value
	if !state.Matches(doc.Rollout) {
		c.guard, c.stepped = guard.New(), now
	}
	next := advance(advanceInput{
		Rollout: doc.Rollout, State: state, Verdict: c.guard.Verdict(), Seen: c.guard.Seen(),
		Held: now.Sub(c.stepped), Fence: c.cfg.Fence, Service: c.cfg.Service, Now: now,
	})
	c.mu.Unlock()
	if next == state {
		return nil
	}
	stored := kept[model.RolloutState]{value: next, revision: c.rollout.revision}
	if err := write(ctx, c.cfg.Store, watcher.RolloutKey(c.cfg.Service), &stored); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Step != state.Step {
		c.stepped = now
	}
	c.rollout = stored
	c.cfg.Log.Info().Str("service", string(c.cfg.Service)).Str("verdict", string(next.Verdict)).Str("reason", next.Reason).Msg("owner: roll-out moved")
	return nil
}

func (c *controller) writeStatus(ctx context.Context, repair, fault string) error {
	next := Status{Service: c.cfg.Service, Owner: c.cfg.Self.Instance, Fence: c.cfg.Fence, Repair: repair, Fault: fault}
	if c.rollout.value.Version != "" {
		state := c.rollout.value
		next.Rollout = &state
	}
	if sameStatus(next, c.status.value) {
		return nil
	}
	c.status.value = next
	return write(ctx, c.cfg.Store, StatusKey(c.cfg.Service), &c.status)
}

func sameStatus(a, b Status) bool {
	if (a.Rollout == nil) != (b.Rollout == nil) || a.Rollout != nil && *a.Rollout != *b.Rollout {
		return false
	}
	a.Rollout, b.Rollout = nil, nil
	return a == b
}

// grantIntervals is how many report intervals a grant lasts.
const grantIntervals = 2

// report takes one entry's tallies and demand. A new owner gives no grants until those of
// the last owner have run out.
func (c *controller) report(in messenger.ReportRequest, doc *model.Document, entries []model.Instance, now time.Time) messenger.ReportReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	valid := grantIntervals * in.Interval
	c.observe(in.Stats, doc)
	c.reports[in.Entry] = report{demand: in.Demand, running: in.Running, until: now.Add(valid)}
	if now.Sub(c.cfg.Since) < valid {
		return messenger.ReportReply{}
	}
	reply := messenger.ReportReply{Grants: map[model.OrganisationID]model.Grant{}, ValidFor: valid}
	for _, o := range doc.Organisations {
		if o.Rate > 0 || o.Concurrency > 0 || o.Tokens > 0 || o.SpendRate > 0 {
			reply.Grants[o.Organisation] = c.grant(o, in.Entry, entries, now)
		}
	}
	return reply
}

func (c *controller) observe(tallies []model.VersionStats, doc *model.Document) {
	if doc.Rollout == nil {
		return
	}
	for _, t := range tallies {
		switch t.Version {
		case doc.Rollout.Baseline:
			c.guard.ObserveControl(t)
		case doc.Rollout.Version:
			c.guard.Observe(t)
		}
	}
}

// parts turns demands into parts of their sum.
func parts(demand map[model.InstanceID]float64) map[model.InstanceID]float64 {
	sum := 0.0
	for _, d := range demand {
		sum += d
	}
	out := make(map[model.InstanceID]float64, len(demand))
	for e, d := range demand {
		out[e] = d / max(sum, 1e-9)
	}
	return out
}

func (c *controller) grant(o model.Organisation, entry model.InstanceID, entries []model.Instance, now time.Time) model.Grant {
	ids := make([]model.InstanceID, 0, len(entries))
	rates := map[model.InstanceID]float64{}
	running := map[model.InstanceID]float64{}
	for _, e := range entries {
		ids = append(ids, e.Instance)
		if r, ok := c.reports[e.Instance]; ok && now.Before(r.until) {
			rates[e.Instance] = float64(r.demand[o.Organisation])
			running[e.Instance] = float64(r.running[o.Organisation])
		}
	}
	return model.Grant{
		Share:       model.Share(limiter.Split(1, ids, parts(rates))[entry]),
		Rate:        model.Rate(limiter.Split(float64(o.Rate), ids, rates)[entry]),
		Concurrency: limiter.SplitInt(o.Concurrency, ids, running)[entry],
	}
}

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

// controllerConfig configures the controller of one service for one term of ownership.
type controllerConfig struct {
	Config
	Service model.ServiceID
	Fence   model.Fence
	Since   time.Time
}

// controller does the owner's work for one service during one term. All its writes are conditional on
// revisions that it created itself when it adopted the objects, so they fail once another owner has
// adopted them.
type controller struct {
	cfg         controllerConfig
	mu          sync.Mutex
	rollout     ownedObject[model.RolloutState]
	orders      ownedObject[model.LoadOrders]
	status      ownedObject[Status]
	guard       *guard.Guard
	stepSince   time.Time
	reports     map[model.InstanceID]report
	loads       map[model.InstanceID]model.Load
	loadsReadAt time.Time
}

// ownedObject is a stored object that only the service's owner writes, and the revision that this term
// wrote or read last.
type ownedObject[T any] struct {
	value    T
	revision model.Revision
}

// report is the demand that an entry reported last.
type report struct {
	demand     map[model.OrganisationID]model.Rate
	running    map[model.OrganisationID]int
	validUntil time.Time
}

// Status is the object that shows operators the state of a service: its owner, its roll-out, the last
// repair step and the fault of its document, if any.
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
		cfg:       cfg,
		guard:     guard.New(),
		stepSince: cfg.Since,
		reports:   map[model.InstanceID]report{},
		loads:     map[model.InstanceID]model.Load{},
	}
}

// adoptObjects rewrites the service's objects under the new fencing number. Their new revisions make
// writes of an earlier owner fail. The status object is only read.
func (c *controller) adoptObjects(ctx context.Context) error {
	id, fence := c.cfg.Service, c.cfg.Fence
	holder := ownedObject[model.Holder]{}
	return errors.Join(
		adoptObject(ctx, c.cfg.Store, watcher.OwnerKey(id), &holder, func(h *model.Holder) {
			*h = model.Holder{Service: id, Holder: c.cfg.Self.Instance, Fence: fence}
		}),
		adoptObject(ctx, c.cfg.Store, watcher.RolloutKey(id), &c.rollout, func(r *model.RolloutState) {
			r.Service, r.Fence = id, fence
		}),
		adoptObject(ctx, c.cfg.Store, watcher.OrderKey(id), &c.orders, func(o *model.LoadOrders) {
			o.Service, o.Fence = id, fence
		}),
		readObject(ctx, c.cfg.Store, StatusKey(id), &c.status),
	)
}

// adoptObject reads an object, applies change to it and writes it back.
func adoptObject[T any](ctx context.Context, store storer.Store, key string, k *ownedObject[T], change func(*T)) error {
	if err := readObject(ctx, store, key, k); err != nil {
		return err
	}
	change(&k.value)
	return writeObject(ctx, store, key, k)
}

func readObject[T any](ctx context.Context, store storer.Store, key string, k *ownedObject[T]) error {
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

func writeObject[T any](ctx context.Context, store storer.Store, key string, k *ownedObject[T]) error {
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

// reconcile advances the roll-out and repairs the loaded versions by at most one step each, and then
// updates the status object.
func (c *controller) reconcile(ctx context.Context, s *watcher.Service, now time.Time) error {
	if err := c.advanceRollout(ctx, s.Declared, now); err != nil {
		return err
	}
	repair, err := c.repair(ctx, s.Document, now)
	if err != nil {
		return err
	}
	return c.writeStatus(ctx, repair, s.Fault)
}

func (c *controller) advanceRollout(ctx context.Context, doc *model.Document, now time.Time) error {
	if doc == nil || doc.Rollout == nil {
		return nil
	}
	c.mu.Lock()
	state := c.rollout.value
	if !state.Matches(doc.Rollout) {
		c.guard, c.stepSince = guard.New(), now
	}
	next := nextRolloutState(rolloutInput{
		Rollout: doc.Rollout, State: state, Verdict: c.guard.Verdict(), Seen: c.guard.Seen(),
		Held: now.Sub(c.stepSince), Fence: c.cfg.Fence, Service: c.cfg.Service, Now: now,
	})
	c.mu.Unlock()
	if next == state {
		return nil
	}
	stored := ownedObject[model.RolloutState]{value: next, revision: c.rollout.revision}
	if err := writeObject(ctx, c.cfg.Store, watcher.RolloutKey(c.cfg.Service), &stored); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Step != state.Step {
		c.stepSince = now
	}
	c.rollout = stored
	c.cfg.Log.Info().Str("service", string(c.cfg.Service)).Str("verdict", string(next.Verdict)).Str("reason", next.Reason).Msg("owner: roll-out state changed")
	return nil
}

func (c *controller) writeStatus(ctx context.Context, repair, fault string) error {
	next := Status{Service: c.cfg.Service, Owner: c.cfg.Self.Instance, Fence: c.cfg.Fence, Repair: repair, Fault: fault}
	if c.rollout.value.Version != "" {
		state := c.rollout.value
		next.Rollout = &state
	}
	if equalStatus(next, c.status.value) {
		return nil
	}
	c.status.value = next
	return writeObject(ctx, c.cfg.Store, StatusKey(c.cfg.Service), &c.status)
}

func equalStatus(a, b Status) bool {
	if (a.Rollout == nil) != (b.Rollout == nil) || a.Rollout != nil && *a.Rollout != *b.Rollout {
		return false
	}
	a.Rollout, b.Rollout = nil, nil
	return a == b
}

// grantIntervals is the number of report intervals for which a grant is valid.
const grantIntervals = 2

// handleReport takes one entry's version statistics and demand and returns its grants. A new owner
// grants nothing until the grants of the previous owner have expired.
func (c *controller) handleReport(in messenger.ReportRequest, doc *model.Document, entries []model.Instance, now time.Time) messenger.ReportReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	valid := grantIntervals * in.Interval
	c.observeStats(in.Stats, doc)
	c.reports[in.Entry] = report{demand: in.Demand, running: in.Running, validUntil: now.Add(valid)}
	if now.Sub(c.cfg.Since) < valid {
		return messenger.ReportReply{}
	}
	reply := messenger.ReportReply{Grants: map[model.OrganisationID]model.Grant{}, ValidFor: valid}
	for _, o := range doc.Organisations {
		if o.Rate > 0 || o.Concurrency > 0 || o.Tokens > 0 || o.SpendRate > 0 {
			reply.Grants[o.Organisation] = c.splitLimits(o, in.Entry, entries, now)
		}
	}
	return reply
}

func (c *controller) observeStats(stats []model.VersionStats, doc *model.Document) {
	if doc.Rollout == nil {
		return
	}
	for _, t := range stats {
		switch t.Version {
		case doc.Rollout.Baseline:
			c.guard.ObserveControl(t)
		case doc.Rollout.Version:
			c.guard.Observe(t)
		}
	}
}

// normalise returns each demand as a fraction of their sum.
func normalise(demand map[model.InstanceID]float64) map[model.InstanceID]float64 {
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

func (c *controller) splitLimits(o model.Organisation, entry model.InstanceID, entries []model.Instance, now time.Time) model.Grant {
	ids := make([]model.InstanceID, 0, len(entries))
	rates := map[model.InstanceID]float64{}
	running := map[model.InstanceID]float64{}
	for _, e := range entries {
		ids = append(ids, e.Instance)
		if r, ok := c.reports[e.Instance]; ok && now.Before(r.validUntil) {
			rates[e.Instance] = float64(r.demand[o.Organisation])
			running[e.Instance] = float64(r.running[o.Organisation])
		}
	}
	return model.Grant{
		Share:       model.Share(limiter.Split(1, ids, normalise(rates))[entry]),
		Rate:        model.Rate(limiter.Split(float64(o.Rate), ids, rates)[entry]),
		Concurrency: limiter.SplitInt(o.Concurrency, ids, running)[entry],
	}
}

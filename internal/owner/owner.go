// Package owner elects one entry as the leader of each service, its owner. The owner advances the
// roll-out, orders the versions that agents load and splits the organisations' limits over the entries.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// workInterval is the pause between two rounds over all services.
	workInterval = time.Second
	// renewInterval is the shortest time between two renewals of a held lease.
	renewInterval = 2 * time.Second
	// leaseDuration is how long other entries, by their own clocks, must see a lease unchanged before
	// they may acquire it.
	leaseDuration = 6 * time.Second
	// activeDuration is how long after a renewal the holder acts as owner. It is shorter than
	// leaseDuration, so that the holder stops before another entry may acquire the lease.
	activeDuration = 4 * time.Second
)

// Config configures an Owner.
type Config struct {
	Self    model.Instance
	Store   storer.Store
	Watcher *watcher.Watcher
	Pool    *messenger.Pool
	Log     zerolog.Logger
}

// Owner competes for the leases of the services and does the owner's work for those it holds.
type Owner struct {
	cfg      Config
	mu       sync.Mutex
	services map[model.ServiceID]*serviceLease
}

// serviceLease is this entry's view of one service's lease: the revision that it saw last and, while
// it holds the lease, the fencing number and the controller that does the work.
type serviceLease struct {
	service      model.ServiceID
	seenRevision model.Revision
	seenAt       time.Time
	held         bool
	fence        model.Fence
	revision     model.Revision
	renewed      time.Time
	since        time.Time
	controller   *controller
}

// leaseObject is the stored lease. Each renewal changes its revision, by which other entries notice it.
type leaseObject struct {
	Holder model.InstanceID `json:"holder"`
	Fence  model.Fence      `json:"fence"`
	At     time.Time        `json:"at"`
}

func leaseKey(s model.ServiceID) string { return "owners/" + string(s) }

// New returns an owner that holds no lease.
func New(cfg Config) *Owner {
	return &Owner{cfg: cfg, services: map[model.ServiceID]*serviceLease{}}
}

// Register registers the handler for the reports of other entries.
func (o *Owner) Register(s *messenger.Server) {
	messenger.Handle(s, messenger.MethodReport, func(_ context.Context, _ messenger.Peer, in messenger.ReportRequest) (messenger.ReportReply, error) {
		return o.HandleReport(in, time.Now())
	})
}

// Run runs a round for each service that has a document, until the context ends.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for id, s := range o.cfg.Watcher.Catalogue().Services {
			if s.Document != nil {
				o.runRound(ctx, id, s)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(workInterval):
		}
	}
}

// Holder returns the entry that owns a service, if one is known.
func (o *Owner) Holder(id model.ServiceID, now time.Time) (model.InstanceID, bool) {
	o.mu.Lock()
	t := o.services[id]
	if t != nil && t.isActive(now) {
		o.mu.Unlock()
		return o.cfg.Self.Instance, true
	}
	o.mu.Unlock()
	s := o.cfg.Watcher.Catalogue().Services[id]
	if s == nil || s.Holder == nil || s.Holder.Holder == o.cfg.Self.Instance {
		return "", false
	}
	return s.Holder.Holder, true
}

// Resign deletes the leases that this entry holds, so that other entries need not wait for them to
// expire.
func (o *Owner) Resign(ctx context.Context) {
	o.mu.Lock()
	var held []*serviceLease
	for _, t := range o.services {
		if t.held {
			held = append(held, t)
		}
	}
	o.mu.Unlock()
	for _, t := range held {
		if err := o.cfg.Store.Delete(ctx, leaseKey(t.service), t.revision); err != nil {
			o.cfg.Log.Debug().Err(err).Msg("owner: lease could not be deleted")
		}
	}
}

func (t *serviceLease) isActive(now time.Time) bool {
	return t.held && now.Sub(t.renewed) < activeDuration
}

// runRound renews or acquires the lease of one service and, if this entry is its active owner,
// reconciles the service once. A conflicting write means that another entry has taken over.
func (o *Owner) runRound(ctx context.Context, id model.ServiceID, s *watcher.Service) {
	t := o.findOrAddLease(id)
	now := time.Now()
	if err := o.maintainLease(ctx, t, now); err != nil {
		o.cfg.Log.Debug().Err(err).Str("service", string(id)).Msg("owner: lease could not be renewed or acquired")
	}
	o.mu.Lock()
	active, ctl := t.isActive(time.Now()), t.controller
	o.mu.Unlock()
	if !active {
		return
	}
	if err := ctl.reconcile(ctx, s, time.Now()); err != nil {
		if storer.IsKind(err, storer.KindConflict) {
			o.loseLease(t)
		}
		o.cfg.Log.Warn().Err(err).Str("service", string(id)).Msg("owner: reconciling the service failed")
	}
}

func (o *Owner) findOrAddLease(id model.ServiceID) *serviceLease {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.services[id]
	if t == nil {
		t = &serviceLease{service: id}
		o.services[id] = t
	}
	return t
}

func (o *Owner) loseLease(t *serviceLease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.held, t.controller = false, nil
}

// maintainLease renews a held lease. If this entry does not hold the lease but is a candidate for it, it
// acquires a lease that does not exist or that it has seen unchanged for leaseDuration.
func (o *Owner) maintainLease(ctx context.Context, t *serviceLease, now time.Time) error {
	if t.held {
		if now.Sub(t.renewed) < renewInterval {
			return nil
		}
		return o.renewLease(ctx, t, now)
	}
	if !o.isCandidate(t.service) {
		return nil
	}
	obj, err := o.cfg.Store.Get(ctx, leaseKey(t.service))
	if storer.IsKind(err, storer.KindNotFound) {
		return o.acquireLease(ctx, t, 0, now)
	}
	if err != nil {
		return err
	}
	if obj.Revision != t.seenRevision {
		t.seenRevision, t.seenAt = obj.Revision, now
		return nil
	}
	if now.Sub(t.seenAt) < leaseDuration {
		return nil
	}
	return o.acquireLease(ctx, t, obj.Revision, now)
}

// maxCandidates is the number of entries that compete for one lease.
const maxCandidates = 3

func (o *Owner) isCandidate(id model.ServiceID) bool {
	ranked := registrar.Rank("owner/"+string(id), o.cfg.Watcher.View().Entries())
	for _, e := range ranked[:min(maxCandidates, len(ranked))] {
		if e.Instance == o.cfg.Self.Instance {
			return true
		}
	}
	return false
}

func (o *Owner) renewLease(ctx context.Context, t *serviceLease, now time.Time) error {
	rev, err := o.putLease(ctx, t, t.fence, t.revision, now)
	if storer.IsKind(err, storer.KindConflict) || storer.IsKind(err, storer.KindNotFound) {
		o.loseLease(t)
		return fmt.Errorf("another entry owns %s now: %w", t.service, err)
	}
	if err != nil {
		return err
	}
	o.mu.Lock()
	t.revision, t.renewed = rev, now
	o.mu.Unlock()
	return nil
}

func (o *Owner) putLease(ctx context.Context, t *serviceLease, fence model.Fence, expect model.Revision, now time.Time) (model.Revision, error) {
	value, err := json.Marshal(leaseObject{Holder: o.cfg.Self.Instance, Fence: fence, At: now})
	if err != nil {
		return 0, fmt.Errorf("encode lease: %w", err)
	}
	return storer.PutWithReadback(ctx, o.cfg.Store, leaseKey(t.service), value, expect)
}

// acquireLease makes this entry the owner. The revision of the write that acquires the lease is the
// fencing number. Adopting the service's objects gives them new revisions, so that a delayed write of
// an earlier owner fails.
func (o *Owner) acquireLease(ctx context.Context, t *serviceLease, expect model.Revision, now time.Time) error {
	rev, err := o.putLease(ctx, t, 0, expect, now)
	if err != nil {
		return fmt.Errorf("acquire lease of %s: %w", t.service, err)
	}
	fence := model.Fence(rev)
	ctl := newController(controllerConfig{Config: o.cfg, Service: t.service, Fence: fence, Since: now})
	if err := ctl.adoptObjects(ctx); err != nil {
		return errors.Join(fmt.Errorf("adopt objects of %s", t.service), err)
	}
	o.mu.Lock()
	t.held, t.fence, t.revision, t.renewed, t.since, t.controller = true, fence, rev, now, now, ctl
	o.mu.Unlock()
	o.cfg.Log.Info().Str("service", string(t.service)).Uint64("fence", uint64(fence)).Msg("owner: acquired the lease of the service")
	return nil
}

// HandleReport takes an entry's demand and version statistics and returns its part of the limits. It
// refuses with KindPlatformUnavailable if this entry does not own the service, and with
// KindUnknownService if the service has no document.
func (o *Owner) HandleReport(in messenger.ReportRequest, now time.Time) (messenger.ReportReply, error) {
	o.mu.Lock()
	t := o.services[in.Service]
	if t == nil || !t.isActive(now) {
		o.mu.Unlock()
		return messenger.ReportReply{}, model.Refuse(model.KindPlatformUnavailable, "this entry does not own %s: look the owner up again", in.Service)
	}
	ctl := t.controller
	o.mu.Unlock()
	s := o.cfg.Watcher.Catalogue().Services[in.Service]
	if s == nil || s.Document == nil {
		return messenger.ReportReply{}, model.Refuse(model.KindUnknownService, "service %s has no document: apply one", in.Service)
	}
	return ctl.handleReport(in, s.Document, o.cfg.Watcher.View().Entries(), now), nil
}

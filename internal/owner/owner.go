// Package owner does what one entry does for a whole service: it moves the roll-out,
// orders versions to be loaded and divides the organisations' limits.
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
	// workEvery is the time between two rounds of an owner.
	workEvery = time.Second
	// renewEvery is the time between two renewals of a held lease.
	renewEvery = 2 * time.Second
	// leaseTime is how long a lease that is not renewed keeps others out, by their clock.
	leaseTime = 6 * time.Second
	// actTime is how long after a renewal the holder itself still acts.
	actTime = 4 * time.Second
)

// Config configures an Owner.
type Config struct {
	Self    model.Instance
	Store   storer.Store
	Watcher *watcher.Watcher
	Pool    *messenger.Pool
	Log     zerolog.Logger
}

// Owner competes for the services and works for those that this entry holds.
type Owner struct {
	cfg      Config
	mu       sync.Mutex
	services map[model.ServiceID]*term
}

// term is this entry's standing towards one service: what it last saw of the lease, and
// its own work while it holds it.
type term struct {
	service    model.ServiceID
	seen       model.Revision
	seenAt     time.Time
	held       bool
	fence      model.Fence
	revision   model.Revision
	renewed    time.Time
	since      time.Time
	controller *controller
}

// leaseObject is the stored lease; its revision changes with each renewal.
type leaseObject struct {
	Holder model.InstanceID `json:"holder"`
	Fence  model.Fence      `json:"fence"`
	At     time.Time        `json:"at"`
}

func leaseKey(s model.ServiceID) string { return "owners/" + string(s) }

// New returns an owner that holds nothing.
func New(cfg Config) *Owner {
	return &Owner{cfg: cfg, services: map[model.ServiceID]*term{}}
}

// Register answers the reports of other entries.
func (o *Owner) Register(s *messenger.Server) {
	messenger.Handle(s, messenger.MethodReport, func(_ context.Context, _ messenger.Peer, in messenger.ReportRequest) (messenger.ReportReply, error) {
		return o.HandleReport(in, time.Now())
	})
}

// Run competes and works until the context ends.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for id, s := range o.cfg.Watcher.Catalogue().Services {
			if s.Document != nil {
				o.round(ctx, id, s)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(workEvery):
		}
	}
}

// Holder returns the entry that owns a service.
func (o *Owner) Holder(id model.ServiceID, now time.Time) (model.InstanceID, bool) {
	o.mu.Lock()
	t := o.services[id]
	if t != nil && t.acts(now) {
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

// Resign gives all leases up, so that others need not wait for them to run out.
func (o *Owner) Resign(ctx context.Context) {
	o.mu.Lock()
	var held []*term
	for _, t := range o.services {
		if t.held {
			held = append(held, t)
		}
	}
	o.mu.Unlock()
	for _, t := range held {
		if err := o.cfg.Store.Delete(ctx, leaseKey(t.service), t.revision); err != nil {
			o.cfg.Log.Debug().Err(err).Msg("owner: lease was not given up")
		}
	}
}

func (t *term) acts(now time.Time) bool { return t.held && now.Sub(t.renewed) < actTime }

// round keeps or takes the lease of one service and does one round of its work.
func (o *Owner) round(ctx context.Context, id model.ServiceID, s *watcher.Service) {
	t := o.term(id)
	now := time.Now()
	if err := o.keep(ctx, t, now); err != nil {
		o.cfg.Log.Debug().Err(err).Str("service", string(id)).Msg("owner: lease was not renewed")
	}
	o.mu.Lock()
	acts, d := t.acts(time.Now()), t.controller
	o.mu.Unlock()
	if !acts {
		return
	}
	if err := d.work(ctx, s, time.Now()); err != nil {
		if storer.IsKind(err, storer.KindConflict) {
			o.drop(t)
		}
		o.cfg.Log.Warn().Err(err).Str("service", string(id)).Msg("owner: round failed")
	}
}

func (o *Owner) term(id model.ServiceID) *term {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.services[id]
	if t == nil {
		t = &term{service: id}
		o.services[id] = t
	}
	return t
}

func (o *Owner) drop(t *term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.held, t.controller = false, nil
}

// keep renews a held lease, or takes one that is free, ranked first for this entry, or
// has not been renewed for the lease time.
func (o *Owner) keep(ctx context.Context, t *term, now time.Time) error {
	if t.held {
		if now.Sub(t.renewed) < renewEvery {
			return nil
		}
		return o.renew(ctx, t, now)
	}
	if !o.competes(t.service) {
		return nil
	}
	obj, err := o.cfg.Store.Get(ctx, leaseKey(t.service))
	if storer.IsKind(err, storer.KindNotFound) {
		return o.take(ctx, t, 0, now)
	}
	if err != nil {
		return err
	}
	if obj.Revision != t.seen {
		t.seen, t.seenAt = obj.Revision, now
		return nil
	}
	if now.Sub(t.seenAt) < leaseTime {
		return nil
	}
	return o.take(ctx, t, obj.Revision, now)
}

// competitors is how many entries watch one lease.
const competitors = 3

func (o *Owner) competes(id model.ServiceID) bool {
	ranked := registrar.Rank("owner/"+string(id), o.cfg.Watcher.View().Entries())
	for _, e := range ranked[:min(competitors, len(ranked))] {
		if e.Instance == o.cfg.Self.Instance {
			return true
		}
	}
	return false
}

func (o *Owner) renew(ctx context.Context, t *term, now time.Time) error {
	rev, err := o.put(ctx, t, t.fence, t.revision, now)
	if storer.IsKind(err, storer.KindConflict) || storer.IsKind(err, storer.KindNotFound) {
		o.drop(t)
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

func (o *Owner) put(ctx context.Context, t *term, fence model.Fence, expect model.Revision, now time.Time) (model.Revision, error) {
	value, err := json.Marshal(leaseObject{Holder: o.cfg.Self.Instance, Fence: fence, At: now})
	if err != nil {
		return 0, fmt.Errorf("encode lease: %w", err)
	}
	return storer.PutWithReadback(ctx, o.cfg.Store, leaseKey(t.service), value, expect)
}

// take makes this entry the owner. The revision of the taking write is the fencing number;
// adopting the service's objects gives them new revisions, so that no write of an earlier
// owner that is still on its way can take effect.
func (o *Owner) take(ctx context.Context, t *term, expect model.Revision, now time.Time) error {
	rev, err := o.put(ctx, t, 0, expect, now)
	if err != nil {
		return fmt.Errorf("take lease of %s: %w", t.service, err)
	}
	fence := model.Fence(rev)
	d := newController(controllerConfig{Config: o.cfg, Service: t.service, Fence: fence, Since: now})
	if err := d.adopt(ctx); err != nil {
		return errors.Join(fmt.Errorf("adopt %s", t.service), err)
	}
	o.mu.Lock()
	t.held, t.fence, t.revision, t.renewed, t.since, t.controller = true, fence, rev, now, now, d
	o.mu.Unlock()
	o.cfg.Log.Info().Str("service", string(t.service)).Uint64("fence", uint64(fence)).Msg("owner: took the service")
	return nil
}

// HandleReport takes what an entry saw and returns its part of the limits.
func (o *Owner) HandleReport(in messenger.ReportRequest, now time.Time) (messenger.ReportReply, error) {
	o.mu.Lock()
	t := o.services[in.Service]
	if t == nil || !t.acts(now) {
		o.mu.Unlock()
		return messenger.ReportReply{}, model.Refuse(model.KindPlatformUnavailable, "this entry does not own %s: look the owner up again", in.Service)
	}
	d := t.controller
	o.mu.Unlock()
	s := o.cfg.Watcher.Catalogue().Services[in.Service]
	if s == nil || s.Document == nil {
		return messenger.ReportReply{}, model.Refuse(model.KindUnknownService, "service %s has no document: apply one", in.Service)
	}
	return d.report(in, s.Document, o.cfg.Watcher.View().Entries(), now), nil
}

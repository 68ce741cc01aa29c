package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Intervals and limits of the configuration traffic. The sum of the intervals stays well below the
// lease.
const (
	// WatchWait is the longest wait of one watch of the platform.
	WatchWait         = 500 * time.Millisecond
	pollWait          = 800 * time.Millisecond
	listInterval      = 2 * time.Second
	instancesInterval = time.Second
	viewCheckInterval = 250 * time.Millisecond
	retryPause        = 200 * time.Millisecond
	// maxRetryPause bounds the pause of a process that has no configuration yet.
	maxRetryPause     = 3 * time.Second
	refreshTimeout    = 700 * time.Millisecond
	directReadsPerSec = 0.5
	directReadBurst   = 2
)

// Config configures a Watcher. Scope limits it to one service; empty means all services. Peers are
// control addresses that the watcher polls at the start, in case the platform is down.
type Config struct {
	Self   model.Instance
	Scope  model.ServiceID
	Store  storer.Store
	Lister storer.Lister
	Pool   *messenger.Pool
	Peers  []string
	Lease  time.Duration
	Log    zerolog.Logger
}

// Watcher follows the platform's configuration and instance list.
type Watcher struct {
	cfg         Config
	feed        *Feed
	views       *registrar.History
	readLimiter *rate.Limiter
	mu          sync.Mutex
	answeredAt  map[model.RegionID]time.Time
	cursors     map[string]cursor
	pollLoops   map[string]context.CancelFunc
	refreshSlot chan struct{}
	started     atomic.Bool
	sourceCache atomic.Pointer[sourceList]
}

// sourceList caches the sources derived from one view, so that requests do not derive them again.
type sourceList struct {
	view    *registrar.View
	sources []model.Instance
}

// New returns a watcher without any configuration.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg:         cfg,
		feed:        NewFeed(),
		views:       registrar.NewHistory(),
		readLimiter: rate.NewLimiter(directReadsPerSec, directReadBurst),
		answeredAt:  map[model.RegionID]time.Time{},
		cursors:     map[string]cursor{},
		pollLoops:   map[string]context.CancelFunc{},
		refreshSlot: make(chan struct{}, 1),
	}
}

// Catalogue returns the active configuration.
func (w *Watcher) Catalogue() *Catalogue { return w.feed.Catalogue() }

// View returns the newest instance list.
func (w *Watcher) View() *registrar.View { return w.views.Current() }

// Feed returns the objects from which the catalogue is built.
func (w *Watcher) Feed() *Feed { return w.feed }

// Register makes the control server answer polls of other processes.
func (w *Watcher) Register(s *messenger.Server) {
	messenger.Handle(s, messenger.MethodPoll, w.servePoll)
}

// Run follows the configuration until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.bootstrap(ctx); w.runPollLoops(ctx) })
	if w.cfg.Self.Role == model.RoleEntry {
		wg.Go(func() { w.runWhileRelay(ctx, w.watchOnce) })
		wg.Go(func() { w.runWhileRelay(ctx, w.paceByRelays(listInterval, w.listOnce)) })
		wg.Go(func() { w.runWhileRelay(ctx, w.paceByRelays(instancesInterval, w.instancesOnce)) })
	}
	wg.Wait()
}

// Ready reports whether the watcher has read its first configuration.
func (w *Watcher) Ready() bool { return w.started.Load() }

// bootstrap reads the platform and the peers until one answers. It then reads all sources and keeps
// the highest revisions, because the platform's first answer may be stale.
func (w *Watcher) bootstrap(ctx context.Context) {
	wait := retryPause
	for ctx.Err() == nil && !w.Ready() {
		w.instancesOnce(ctx)
		w.listOnce(ctx)
		for _, addr := range w.cfg.Peers {
			if err := w.pollOnce(ctx, addr, "", 0); err != nil {
				w.cfg.Log.Debug().Err(err).Str("peer", addr).Msg("watcher: peer did not answer")
			}
		}
		if w.feed.Confirmed().IsZero() {
			// Many processes may start at once while the platform is down.
			pauser.Pause(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxRetryPause)
			continue
		}
		w.readAllSources(ctx)
		w.started.Store(true)
	}
}

// runPollLoops keeps one polling loop for each source of the current view.
func (w *Watcher) runPollLoops(ctx context.Context) {
	for ctx.Err() == nil {
		w.updatePollLoops(ctx, time.Now())
		pauser.Pause(ctx, viewCheckInterval+rand.N(viewCheckInterval))
	}
}

func (w *Watcher) updatePollLoops(ctx context.Context, now time.Time) {
	wanted := map[string]model.Instance{}
	for _, s := range w.currentSources() {
		wanted[s.Control] = s
	}
	w.mu.Lock()
	for addr, cancel := range w.pollLoops {
		if _, ok := wanted[addr]; !ok {
			cancel()
			delete(w.pollLoops, addr)
		}
	}
	for addr, s := range wanted {
		if _, ok := w.pollLoops[addr]; ok {
			continue
		}
		child, cancel := context.WithCancel(ctx)
		w.pollLoops[addr] = cancel
		go w.pollLoop(child, s)
	}
	w.mu.Unlock()
	// A process whose sources are silent reads the platform itself, as often as readLimiter allows.
	if now.Sub(w.feed.Confirmed()) > w.cfg.Lease/2 && w.readLimiter.AllowN(now, 1) {
		w.instancesOnce(ctx)
		w.listOnce(ctx)
	}
}

// currentSources returns the relays that this process polls.
func (w *Watcher) currentSources() []model.Instance {
	view := w.View()
	if l := w.sourceCache.Load(); l != nil && l.view == view {
		return l.sources
	}
	l := &sourceList{view: view, sources: view.Sources(w.cfg.Self)}
	w.sourceCache.Store(l)
	return l.sources
}

func (w *Watcher) pollLoop(ctx context.Context, source model.Instance) {
	for ctx.Err() == nil {
		if err := w.pollOnce(ctx, source.Control, source.Place.Region, pollWait); err != nil && ctx.Err() == nil {
			w.cfg.Log.Debug().Err(err).Str("source", string(source.Instance)).Msg("watcher: source did not answer")
			w.cfg.Pool.Drop(source.Control)
			pauser.Pause(ctx, retryPause+rand.N(retryPause))
		}
	}
}

// pollOnce polls a source for changes. The answer counts as current at the start of the call plus
// the time that the source held the request, less the age of the source's own copy. A process that
// was frozen during the call therefore does not take an old answer for a new one.
func (w *Watcher) pollOnce(ctx context.Context, addr string, region model.RegionID, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+refreshTimeout)
	defer cancel()
	start := time.Now()
	view := w.View()
	w.mu.Lock()
	from := w.cursors[addr]
	w.mu.Unlock()
	in := messenger.PollRequest{Feed: from.feed, Seq: from.seq, Service: w.cfg.Scope, Digest: view.Digest(), ListReadAt: view.ReadAt(), Wait: wait}
	reply, err := messenger.Call[messenger.PollReply](ctx, w.cfg.Pool, addr, messenger.MethodPoll, in)
	if err != nil {
		return err
	}
	answeredAt := start.Add(reply.HeldFor)
	w.mu.Lock()
	if region != "" && answeredAt.After(w.answeredAt[region]) {
		w.answeredAt[region] = answeredAt
	}
	w.mu.Unlock()
	w.applyInstances(reply.Instances)
	if reply.Age < 0 {
		return nil
	}
	w.feed.ApplyPoll(Batch{Objects: reply.Objects, Newest: reply.Newest}, w.cfg.Scope, answeredAt.Add(-reply.Age))
	w.mu.Lock()
	w.cursors[addr] = cursor{reply.Feed, reply.Seq}
	w.mu.Unlock()
	return nil
}

func (w *Watcher) applyInstances(d *messenger.InstanceDelta) {
	if d == nil {
		return
	}
	if next, ok := w.View().Apply(d); ok {
		w.addView(next)
	}
}

func (w *Watcher) addView(v *registrar.View) {
	if w.views.Add(v) {
		w.feed.Wake()
	}
}

// runWhileRelay repeats a step as long as the instance list makes this entry a relay.
func (w *Watcher) runWhileRelay(ctx context.Context, step func(ctx context.Context) error) {
	for ctx.Err() == nil {
		if !w.Ready() || !w.View().IsRelay(w.cfg.Self) {
			pauser.Pause(ctx, viewCheckInterval)
			continue
		}
		if err := step(ctx); err != nil && ctx.Err() == nil {
			w.cfg.Log.Debug().Err(err).Msg("watcher: platform did not answer")
			pauser.Pause(ctx, retryPause+rand.N(retryPause))
		}
	}
}

// maxFullRateRelays is the number of relays up to which each reads the platform at the full rate.
// With more of them the interval grows, since each relay passes what it reads on to the others.
const maxFullRateRelays = 4

// paceByRelays returns a step that pauses after each full read. The pause grows with the number of
// relays.
func (w *Watcher) paceByRelays(interval time.Duration, step func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		err := step(ctx)
		relays := 0
		for _, region := range w.View().Regions() {
			relays += len(w.View().Relays(region))
		}
		wait := interval * time.Duration(max(1, relays-maxFullRateRelays+1))
		pauser.Pause(ctx, wait-wait/4+rand.N(wait/2))
		return err
	}
}

func (w *Watcher) watchOnce(ctx context.Context) error {
	start := time.Now()
	l, err := w.cfg.Store.Watch(ctx, Prefix, w.feed.Revision(), WatchWait)
	if storer.IsKind(err, storer.KindCompacted) {
		return w.resumeFromList(ctx)
	}
	if err != nil {
		return err
	}
	w.feed.Apply(l.Objects, l.Revision, start)
	return nil
}

// listOnce lists all objects, which recovers a change that the watch skipped.
func (w *Watcher) listOnce(ctx context.Context) error {
	_, _, err := w.list(ctx)
	return err
}

// resumeFromList continues the watch from a fresh list after the platform has compacted the watch's
// revision.
func (w *Watcher) resumeFromList(ctx context.Context) error {
	l, fresh, err := w.list(ctx)
	if err == nil && fresh {
		w.feed.AdvanceTo(l.Revision)
	}
	return err
}

func (w *Watcher) list(ctx context.Context) (l storer.Listing, fresh bool, err error) {
	start := time.Now()
	l, err = w.cfg.Store.List(ctx, Prefix)
	if err != nil {
		return l, false, err
	}
	if w.cfg.Scope != "" {
		l.Objects = filterByService(l.Objects, w.cfg.Scope)
	}
	return l, w.feed.ApplyList(l.Objects, w.cfg.Scope, start), nil
}

func filterByService(objects []storer.Object, service model.ServiceID) []storer.Object {
	var out []storer.Object
	for _, o := range objects {
		if isRelevant(o.Key, service) {
			out = append(out, o)
		}
	}
	return out
}

func (w *Watcher) instancesOnce(ctx context.Context) error {
	now := time.Now()
	rows, err := w.cfg.Lister.Instances(ctx)
	if err != nil {
		return err
	}
	w.addView(registrar.NewView(rows, now))
	return nil
}

func (w *Watcher) servePoll(ctx context.Context, _ messenger.Peer, in messenger.PollRequest) (messenger.PollReply, error) {
	start := time.Now()
	timer := time.NewTimer(min(in.Wait, pollWait))
	defer timer.Stop()
	for {
		from := cursor{in.Feed, in.Seq}
		batch := w.feed.Since(from, in.Service)
		delta := w.views.Since(in.Digest, in.ListReadAt)
		if len(batch.Objects) == 0 && delta == nil {
			select {
			case <-ctx.Done():
				return messenger.PollReply{}, ctx.Err()
			case <-batch.Changed:
				continue
			case <-timer.C:
				batch = w.feed.Since(from, in.Service)
			}
		}
		return newPollReply(batch, delta, start, time.Now()), nil
	}
}

func newPollReply(b Batch, delta *messenger.InstanceDelta, start, now time.Time) messenger.PollReply {
	age := time.Duration(-1)
	if !b.Confirmed.IsZero() {
		age = now.Sub(b.Confirmed)
	}
	return messenger.PollReply{Objects: b.Objects, Feed: b.cursor.feed, Seq: b.cursor.seq, Newest: b.Newest, Age: age, HeldFor: now.Sub(start), Instances: delta}
}

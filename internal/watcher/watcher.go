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

// Intervals of the configuration traffic. Their sum stays well below the lease.
const (
	watchWait    = 500 * time.Millisecond
	pollWait     = 800 * time.Millisecond
	listEvery    = 2 * time.Second
	rowsEvery    = time.Second
	plannerEvery = 250 * time.Millisecond
	retryPause   = 200 * time.Millisecond
	// maxRetryPause bounds the pause of a process that has not started yet.
	maxRetryPause = 3 * time.Second
	refreshLimit  = 700 * time.Millisecond
	readsPerSec   = 0.5
	readBurst     = 2
)

// Config configures a Watcher. Scope limits it to one service; Peers are control
// addresses to ask when the platform is down at the start.
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
	cfg     Config
	feed    *Feed
	views   *registrar.History
	budget  *rate.Limiter
	mu      sync.Mutex
	heard   map[model.RegionID]time.Time
	places  map[string]cursor
	sources map[string]context.CancelFunc
	refresh chan struct{}
	started atomic.Bool
	sourced atomic.Pointer[sourceList]
}

// sourceList is the sources derived from one view, so that requests need not derive them.
type sourceList struct {
	view    *registrar.View
	sources []model.Instance
}

// New returns a watcher that knows nothing yet.
func New(cfg Config) *Watcher {
	return &Watcher{
		cfg:     cfg,
		feed:    NewFeed(),
		views:   registrar.NewHistory(),
		budget:  rate.NewLimiter(readsPerSec, readBurst),
		heard:   map[model.RegionID]time.Time{},
		places:  map[string]cursor{},
		sources: map[string]context.CancelFunc{},
		refresh: make(chan struct{}, 1),
	}
}

// Catalogue returns what is in force.
func (w *Watcher) Catalogue() *Catalogue { return w.feed.Catalogue() }

// View returns the newest instance list.
func (w *Watcher) View() *registrar.View { return w.views.Current() }

// Feed returns the objects behind the catalogue.
func (w *Watcher) Feed() *Feed { return w.feed }

// Register answers polls of other processes on the control server.
func (w *Watcher) Register(s *messenger.Server) {
	messenger.Handle(s, messenger.MethodPoll, w.servePoll)
}

// Run follows configuration until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.bootstrap(ctx); w.plan(ctx) })
	if w.cfg.Self.Role == model.RoleEntry {
		wg.Go(func() { w.whileRelay(ctx, w.watchOnce) })
		wg.Go(func() { w.whileRelay(ctx, w.inTurn(listEvery, w.listOnce)) })
		wg.Go(func() { w.whileRelay(ctx, w.inTurn(rowsEvery, w.rowsOnce)) })
	}
	wg.Wait()
}

// Ready reports whether the watcher has finished its first reading.
func (w *Watcher) Ready() bool { return w.started.Load() }

// bootstrap reads the platform and peers until one answers; it takes the highest of all,
// since the platform's first answer may be a stale one.
func (w *Watcher) bootstrap(ctx context.Context) {
	wait := retryPause
	for ctx.Err() == nil && !w.Ready() {
		w.rowsOnce(ctx)
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
		w.ask(ctx)
		w.started.Store(true)
	}
}

// plan keeps one listening loop for each source of the current view.
func (w *Watcher) plan(ctx context.Context) {
	for ctx.Err() == nil {
		w.planOnce(ctx, time.Now())
		pauser.Pause(ctx, plannerEvery+rand.N(plannerEvery))
	}
}

func (w *Watcher) planOnce(ctx context.Context, now time.Time) {
	wanted := map[string]model.Instance{}
	for _, s := range w.sourcesNow() {
		wanted[s.Control] = s
	}
	w.mu.Lock()
	for addr, cancel := range w.sources {
		if _, ok := wanted[addr]; !ok {
			cancel()
			delete(w.sources, addr)
		}
	}
	for addr, s := range wanted {
		if _, ok := w.sources[addr]; ok {
			continue
		}
		child, cancel := context.WithCancel(ctx)
		w.sources[addr] = cancel
		go w.listen(child, s)
	}
	w.mu.Unlock()
	// A process whose sources are silent reads the platform itself, within its budget.
	if now.Sub(w.feed.Confirmed()) > w.cfg.Lease/2 && w.budget.AllowN(now, 1) {
		w.rowsOnce(ctx)
		w.listOnce(ctx)
	}
}

// sourcesNow returns the relays that this process listens to.
func (w *Watcher) sourcesNow() []model.Instance {
	view := w.View()
	if l := w.sourced.Load(); l != nil && l.view == view {
		return l.sources
	}
	l := &sourceList{view: view, sources: view.Sources(w.cfg.Self)}
	w.sourced.Store(l)
	return l.sources
}

func (w *Watcher) listen(ctx context.Context, source model.Instance) {
	for ctx.Err() == nil {
		if err := w.pollOnce(ctx, source.Control, source.Place.Region, pollWait); err != nil && ctx.Err() == nil {
			w.cfg.Log.Debug().Err(err).Str("source", string(source.Instance)).Msg("watcher: source did not answer")
			w.cfg.Pool.Drop(source.Control)
			pauser.Pause(ctx, retryPause+rand.N(retryPause))
		}
	}
}

// pollOnce asks a source for news. The answer is current as of the call's start plus the
// time that the source held it, less the source's own age; a frozen caller so never
// believes an old answer to be new.
func (w *Watcher) pollOnce(ctx context.Context, addr string, region model.RegionID, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+refreshLimit)
	defer cancel()
	start := time.Now()
	view := w.View()
	w.mu.Lock()
	at := w.places[addr]
	w.mu.Unlock()
	in := messenger.PollRequest{Feed: at.feed, Seq: at.seq, Service: w.cfg.Scope, Digest: view.Digest(), ListReadAt: view.ReadAt(), Wait: wait}
	reply, err := messenger.Call[messenger.PollReply](ctx, w.cfg.Pool, addr, messenger.MethodPoll, in)
	if err != nil {
		return err
	}
	heard := start.Add(reply.Held)
	w.mu.Lock()
	if region != "" && heard.After(w.heard[region]) {
		w.heard[region] = heard
	}
	w.mu.Unlock()
	w.takeInstances(reply.Instances)
	if reply.Age < 0 {
		return nil
	}
	w.feed.ApplyPoll(Batch{Objects: reply.Objects, Newest: reply.Newest}, w.cfg.Scope, heard.Add(-reply.Age))
	w.mu.Lock()
	w.places[addr] = cursor{reply.Feed, reply.Seq}
	w.mu.Unlock()
	return nil
}

func (w *Watcher) takeInstances(d *messenger.InstanceDelta) {
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

// whileRelay repeats a step as long as the instance list makes this entry a relay.
func (w *Watcher) whileRelay(ctx context.Context, step func(ctx context.Context) error) {
	for ctx.Err() == nil {
		if !w.Ready() || !w.View().IsRelay(w.cfg.Self) {
			pauser.Pause(ctx, plannerEvery)
			continue
		}
		if err := step(ctx); err != nil && ctx.Err() == nil {
			w.cfg.Log.Debug().Err(err).Msg("watcher: platform did not answer")
			pauser.Pause(ctx, retryPause+rand.N(retryPause))
		}
	}
}

// freeReaders is the number of relays that each read at the full rate; more of them take
// turns, since each passes what it reads on to the others.
const freeReaders = 4

// inTurn repeats a whole read at an interval that grows with the number of relays.
func (w *Watcher) inTurn(interval time.Duration, step func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		err := step(ctx)
		relays := 0
		for _, region := range w.View().Regions() {
			relays += len(w.View().Relays(region))
		}
		turn := interval * time.Duration(max(1, relays-freeReaders+1))
		pauser.Pause(ctx, turn-turn/4+rand.N(turn/2))
		return err
	}
}

func (w *Watcher) watchOnce(ctx context.Context) error {
	start := time.Now()
	l, err := w.cfg.Store.Watch(ctx, Prefix, w.feed.Revision(), watchWait)
	if storer.IsKind(err, storer.KindCompacted) {
		return w.restart(ctx)
	}
	if err != nil {
		return err
	}
	w.feed.Apply(l.Objects, l.Revision, start)
	return nil
}

// listOnce reads everything, which repairs a watch that skipped a change.
func (w *Watcher) listOnce(ctx context.Context) error {
	_, _, err := w.list(ctx)
	return err
}

// restart continues from a fresh list after a watch that was too old.
func (w *Watcher) restart(ctx context.Context) error {
	l, fresh, err := w.list(ctx)
	if err == nil && fresh {
		w.feed.Skip(l.Revision)
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
		l.Objects = scoped(l.Objects, w.cfg.Scope)
	}
	return l, w.feed.ApplyList(l.Objects, w.cfg.Scope, start), nil
}

func scoped(objects []storer.Object, service model.ServiceID) []storer.Object {
	var out []storer.Object
	for _, o := range objects {
		if concerns(o.Key, service) {
			out = append(out, o)
		}
	}
	return out
}

func (w *Watcher) rowsOnce(ctx context.Context) error {
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
		return pollReply(batch, delta, start, time.Now()), nil
	}
}

func pollReply(b Batch, delta *messenger.InstanceDelta, start, now time.Time) messenger.PollReply {
	age := time.Duration(-1)
	if !b.Confirmed.IsZero() {
		age = now.Sub(b.Confirmed)
	}
	return messenger.PollReply{Objects: b.Objects, Feed: b.cursor.feed, Seq: b.cursor.seq, Newest: b.Newest, Age: age, Held: now.Sub(start), Instances: delta}
}

// Package forwarder implements an entry, the edge proxy that serves callers, for the direct data path: it
// sends requests to backend servers over HTTP/1.1 without agents in between.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/bramleyhinge/bramleyhinge/internal/acceptor"
	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// unreadyDelay is how long an entry still accepts connections after it reports that it is not ready. The load
	// balancer checks readiness every second and needs two failed checks.
	unreadyDelay = 3 * time.Second
	// unlistedTime is how long before it closes its listener an entry can rely on having been left out.
	unlistedTime = 500 * time.Millisecond
	// exitMargin is how long before the end of the grace period, when the process is killed, shutdown must end. The
	// process ends its other work and its log in that time; 200 ms were used up by a log that nobody read.
	exitMargin = 300 * time.Millisecond
	// refusalTime is how long before that the requests which still run are ended, so that their refusals arrive. It is
	// eight round trips between regions.
	refusalTime = 200 * time.Millisecond
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply until a plan is known.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// headerSlackBytes is added to the plan's limit before net/http answers 431 itself, because net/http also
	// counts the request line and line ends.
	headerSlackBytes = 4 << 10
	// bodyMemoryDivisor limits request bodies to the configured memory divided by it.
	bodyMemoryDivisor = 4
)

// PlatformState is the entry's local copy of the platform's state, as far as a Forwarder reads it.
type PlatformState interface {
	Plan() *model.Plan
	// Ready is closed once the plan and all lists have been read.
	Ready() <-chan struct{}
	// KeysFresh reports whether the API keys are fresh enough at now, a time since boot, and how long ago the
	// store confirmed them.
	KeysFresh(now time.Duration) (bool, time.Duration)
	Servers(s model.ServiceID, now time.Time) []model.BackendServer
	// Evacuations returns the failure domains that operators have emptied; nil if there were none.
	Evacuations() *model.Evacuations
}

// Config configures a Forwarder.
type Config struct {
	Settings      model.DirectSettings
	Names         Names
	PlatformState PlatformState
	Versions      Versions
	Quarantine    Quarantine
	// Announcements keeps to what backend servers say of themselves in their answers.
	Announcements limiter.Announcements
	Cascade       chooser.CascadeConfig
	// Shares divides scarce places among organisations; nil means that this entry divides them on its own view.
	Shares *admitter.Shares
	// RemoteWork returns the open work of other entries at a backend server; nil if it is not shared.
	RemoteWork func(b model.BackendID, now time.Time) gossiper.OpenWork
	// Clock returns the time since boot.
	Clock func() time.Duration
	Meter *meter.Meter
	Log   zerolog.Logger
}

// VersionRequest describes the request that a version is chosen for, and the service's backend servers.
type VersionRequest struct {
	Service model.ServiceID
	// Session is empty if the request has none.
	Session, Request string
	Servers          []model.BackendServer
}

// Versions decides which versions of a service may serve a request and records outcomes.
type Versions interface {
	Choose(req VersionRequest, now time.Time) VersionChoice
	Observe(o Outcome, now time.Time)
}

// VersionChoice reports which versions may serve a request.
type VersionChoice interface {
	Allows(v model.VersionID) bool
	// Concentrate reports whether the requests are concentrated on one backend server after the other, and whose turn
	// it is.
	Concentrate() (turn int, on bool)
}

// Outcome describes how one request to one backend server ended.
type Outcome struct {
	Service model.ServiceID
	Backend model.BackendID
	Version model.VersionID
	Route   model.RouteID
	Model   model.ModelID
	// Engine means that the backend server runs models.
	Engine bool
	// Failed means that the backend server ran the request and answered with an error.
	Failed bool
	// InFlight is the number of running and waiting requests at the backend server when it was chosen.
	InFlight int
	// Utilisation is the part of the backend server's slots that were in use with this request.
	Utilisation float64
	// TimeToHead is the time from sending the request to receiving the head of the answer.
	TimeToHead time.Duration
	// EventInterval is the mean interval between the first events of a stream. It is reported in a separate
	// outcome, after the one for the head of the answer.
	EventInterval time.Duration
}

// Quarantine tracks requests that crash the backend servers that run them.
type Quarantine interface {
	IsBanned(traits []model.Trait, now time.Time) bool
	// ClaimTrial reports whether a banned request may be sent to one backend server, once.
	ClaimTrial(ctx context.Context, traits []model.Trait, now time.Time) bool
	// ReturnTrial takes back a trial that reached no backend server.
	ReturnTrial(traits []model.Trait, now time.Time)
	// IsTried reports whether a request with a banned one of the traits is being tried at any entry.
	IsTried(traits []model.Trait, now time.Time) bool
	// HasCrashed reports whether a backend server crashed since its start and may still be listed.
	HasCrashed(s model.ServerLifetime, now time.Time) bool
	// RecordCrash records the traits of all requests that may have crashed a backend server.
	RecordCrash(s model.ServerLifetime, suspects []model.Trait, now time.Time)
	// RecordProven records an answer that shows that the request's traits crash no backend server.
	RecordProven(traits []model.Trait, now time.Time)
}

// Forwarder accepts callers' requests and forwards them to backend servers.
type Forwarder struct {
	cfg         Config
	cascade     *chooser.AdaptiveCascade
	modelWaits  *modelWaits
	retryBudget *limiter.RetryBudget
	peers       *peerTable
	speeds      *speeds
	work        workMeans
	distances   distances
	pace        *pace
	bodies      *semaphore.Weighted
	answers     heldMemory
	parts       *partMemory
	reserved    map[string]bool
	// awaitingTrial counts the requests that wait for the outcome of a trial.
	awaitingTrial atomic.Int32
	// unreadableConfidence logs the first confidence that is no percentage.
	unreadableConfidence sync.Once
	// grace is the time that a stop has, in nanoseconds.
	grace atomic.Int64
	// stop is nil while the entry does not stop.
	stop atomic.Pointer[stopPlan]
	// running ends the requests that a stop cuts.
	running acceptor.Running
}

// stopPlan holds the times of an entry's stop: when the load balancer has left it out, when it stops accepting
// connections, when it ends the requests that still run, and when it closes what is left.
type stopPlan struct {
	unlistedAt, closeAt, cutAt, exitAt time.Time
}

// maxMarginDivisor bounds both margins at the end of a stop to the grace period divided by it. A short grace period is
// worth more to running requests than to refusals.
const maxMarginDivisor = 8

// planStop returns the times of a stop that begins at now.
func planStop(grace time.Duration, now time.Time) stopPlan {
	margin := min(exitMargin+refusalTime, grace/maxMarginDivisor)
	end, closeAt := now.Add(grace), now.Add(min(unreadyDelay, grace/2))
	return stopPlan{
		unlistedAt: closeAt.Add(-unlistedTime), closeAt: closeAt,
		cutAt: end.Add(-margin), exitAt: end.Add(-ExitMargin(grace)),
	}
}

// ExitMargin returns how long before the end of the grace period Run has returned at the latest.
func ExitMargin(grace time.Duration) time.Duration {
	margin := min(exitMargin+refusalTime, grace/maxMarginDivisor)
	return margin * exitMargin / (exitMargin + refusalTime)
}

// New returns a forwarder; Run starts it.
func New(cfg Config) *Forwarder {
	if cfg.Shares == nil {
		cfg.Shares = admitter.NewShares(admitter.SharesConfig{Meter: cfg.Meter, Log: cfg.Log})
	}
	f := &Forwarder{
		cfg:         cfg,
		cascade:     newCascade(cfg),
		modelWaits:  newModelWaits(),
		retryBudget: limiter.NewRetryBudget(cfg.Settings.RetryBudget.Ratio, cfg.Settings.RetryBudget.Window),
		peers:       newPeerTable(),
		speeds:      newSpeeds(),
		pace:        newPace(),
		bodies:      semaphore.NewWeighted(int64(cfg.Settings.Memory) / bodyMemoryDivisor),
		parts:       newPartMemory(int(cfg.Settings.Memory) / unfinishedMemoryDivisor),
		reserved:    map[string]bool{},
	}
	f.answers.limit = int64(cfg.Settings.Memory) / answerMemoryDivisor
	f.running = acceptor.NewRunning()
	f.SetGrace(cfg.Settings.Grace)
	for _, name := range cfg.Names.Reserved {
		f.reserved[http.CanonicalHeaderKey(name)] = true
	}
	return f
}

// OpenWork returns this entry's open work at each backend server.
func (f *Forwarder) OpenWork() map[model.BackendID]gossiper.OpenWork { return f.peers.openWork() }

// SetRetryBudget changes the limits of the retry budget.
func (f *Forwarder) SetRetryBudget(s model.RetryBudgetSettings) {
	f.retryBudget.Configure(s.Ratio, s.Window)
}

// SetGrace changes the time that a stop has which begins later.
func (f *Forwarder) SetGrace(grace time.Duration) { f.grace.Store(int64(grace)) }

// Grace returns the time that a stop has.
func (f *Forwarder) Grace() time.Duration { return time.Duration(f.grace.Load()) }

// Listeners holds the sockets of a forwarder; Metrics may be nil.
type Listeners struct {
	Callers, Ready, Metrics net.Listener
}

// Run serves until ctx ends. It then reports that it is not ready, serves requests that still arrive,
// completes those in flight and returns before the grace period ends.
func (f *Forwarder) Run(ctx context.Context, l Listeners) error {
	front := acceptor.New(acceptor.Config{
		Handler: http.HandlerFunc(f.serve), Limits: f.limits, RequestHeader: f.cfg.Names.Request, Meter: f.cfg.Meter, Log: f.cfg.Log,
	})
	ready := &http.Server{Handler: http.HandlerFunc(f.serveReady), ReadHeaderTimeout: time.Second}
	errs := make(chan error, 3)
	var wg sync.WaitGroup
	start := func(serve func() error) {
		wg.Go(func() {
			if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				errs <- err
			}
		})
	}
	start(func() error { return front.Serve(l.Callers) })
	start(func() error { return ready.Serve(l.Ready) })
	metrics := &http.Server{Handler: http.HandlerFunc(f.serveMetrics), ReadHeaderTimeout: time.Second}
	if l.Metrics != nil {
		start(func() error { return metrics.Serve(l.Metrics) })
	}
	sweepCtx, stopSweep := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSweep()
	wg.Go(func() { f.peers.sweep(sweepCtx) })
	select {
	case err := <-errs:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	f.gracefulStop(front)
	stopSweep()
	err := errors.Join(ready.Close(), metrics.Close())
	wg.Wait()
	if err != nil {
		return fmt.Errorf("close listeners: %w", err)
	}
	return nil
}

func (f *Forwarder) gracefulStop(front *acceptor.Acceptor) {
	start := time.Now()
	p := planStop(f.Grace(), start)
	f.stop.Store(&p)
	defer time.AfterFunc(time.Until(p.cutAt), f.running.Cut).Stop()
	f.cfg.Log.Info().Int64("running", front.Running()).Msg("forwarder: shutting down, no longer ready")
	time.Sleep(time.Until(p.closeAt))
	ctx, cancel := context.WithDeadline(context.Background(), p.exitAt)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		f.cfg.Log.Warn().Err(err).Int64("running", front.Running()).Msg("forwarder: grace period ended while requests were in flight")
	}
	f.cfg.Log.Info().Dur("took", time.Since(start)).Msg("forwarder: shutdown complete")
}

// limits returns the plan's limits, or defaults for those that no plan sets.
func (f *Forwarder) limits() acceptor.Limits {
	var l model.PlanLimits
	if p := f.cfg.PlatformState.Plan(); p != nil {
		l = p.Limits
	}
	return acceptor.Limits{
		HeaderBytes:   orDefault(int(l.Header), defaultHeaderBytes) + headerSlackBytes,
		HeaderTimeout: orDefault(l.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:   orDefault(l.IdleTimeout, defaultIdleTimeout),
	}
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func (f *Forwarder) isStopping() bool { return f.stop.Load() != nil }

// timeLeft returns how long an answer may still take: until the request's deadline and, while the entry stops,
// within the part of the remaining grace period that may be planned for.
func (f *Forwarder) timeLeft(c *call, now time.Time) time.Duration {
	left := c.deadline.Sub(now)
	if p := f.stop.Load(); p != nil {
		left = min(left, admitter.UsableTime(p.cutAt.Sub(now)))
	}
	return left
}

// canFinish reports whether a request that was not sent yet can be answered before the entry ends.
func (f *Forwarder) canFinish(c *call, now time.Time) bool {
	p := f.stop.Load()
	return p == nil || admitter.FinishesBeforeStop(admitter.StopInput{
		Remaining: p.cutAt.Sub(now), Expected: c.expected, Limit: c.deadline.Sub(now),
		Stream: c.route.Stream, Once: c.route.RetryPolicy == model.RetryNever, Elsewhere: !now.Before(p.unlistedAt),
	})
}

func (f *Forwarder) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != f.cfg.Names.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case f.isStopping() || !f.isReady():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// isReady reports whether the plan and all lists have been read.
func (f *Forwarder) isReady() bool {
	select {
	case <-f.cfg.PlatformState.Ready():
		return true
	default:
		return false
	}
}

// planWait is how long a request waits for the plan: three times what the store's first answers take when
// all entries start at once. Callers disconnect after a second in which their request is not read, and some
// retry only once.
const planWait = 500 * time.Millisecond

// awaitPlan delays a request that arrived before the plan. When entries restart, all their callers return at
// once; refusing them would use up the last retry of most.
func (f *Forwarder) awaitPlan(ctx context.Context) {
	if f.isReady() {
		return
	}
	t := time.NewTimer(planWait)
	defer t.Stop()
	select {
	case <-f.cfg.PlatformState.Ready():
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Forwarder) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != f.cfg.Names.MetricsPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	f.cfg.Meter.SetGauge("answer_bytes_held", int(f.answers.used.Load()))
	f.cfg.Meter.SetGauge("part_bytes_held", f.parts.bytes())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := f.cfg.Meter.WriteText(w); err != nil {
		f.cfg.Log.Debug().Err(err).Msg("forwarder: writing the metrics failed")
	}
}

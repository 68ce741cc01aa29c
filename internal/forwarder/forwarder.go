// Package forwarder is an entry that passes callers' requests to backend servers directly,
// over HTTP/1.1, without agents beside them.
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

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// unreadyDelay is how long an unready entry still takes new connections: the balancer needs two
	// misses of a question that it asks each second.
	unreadyDelay = 3 * time.Second
	// exitMargin is the time before the kill at which the process has ended by itself.
	exitMargin = 400 * time.Millisecond
	// bodyMemoryDivisor is the part of the memory that request bodies may hold.
	bodyMemoryDivisor = 4
)

// PlatformState is what the forwarder must know of the platform.
type PlatformState interface {
	Plan() *model.Plan
	// Ready is closed once the plan and all lists were read.
	Ready() <-chan struct{}
	// Trusted reports whether keys are recent enough at a time since boot, and their age.
	Trusted(now time.Duration) (bool, time.Duration)
	Servers(s model.ServiceID, now time.Time) []model.BackendServer
}

// Config configures a Forwarder.
type Config struct {
	Settings   model.DirectSettings
	Names      Names
	State      PlatformState
	Versions   VersionSelector
	Quarantine Quarantine
	Cascade    chooser.CascadeConfig
	// RemoteLoad returns what other entries have open at a backend server; nil if nobody tells.
	RemoteLoad func(b model.BackendID, now time.Time) gossiper.BackendLoad
	// Clock returns the time since boot.
	Clock func() time.Duration
	Meter *meter.Meter
	Log   zerolog.Logger
}

// VersionRequest names the request that a version is chosen for, and the service's backend servers.
type VersionRequest struct {
	Service model.ServiceID
	// Session is empty if the request has none.
	Session, Request string
	Servers          []model.BackendServer
}

// VersionSelector decides which versions of a service may get a request and learns of outcomes.
type VersionSelector interface {
	Choose(ask VersionRequest, now time.Time) VersionChoice
	Observe(o Outcome, now time.Time)
}

// VersionChoice tells which versions may get a request.
type VersionChoice interface {
	Allows(v model.VersionID) bool
}

// Outcome is how one request to one backend server ended.
type Outcome struct {
	Service model.ServiceID
	Backend model.BackendID
	Version model.VersionID
	Route   model.RouteID
	Model   model.ModelID
	// Failed means that the backend server ran the request and answered with a failure.
	Failed bool
	// InFlight is the number of requests that ran or waited at the backend server when it was chosen.
	InFlight int
	// TimeToHead is the time from sending the request to the answer's head.
	TimeToHead time.Duration
	// EventInterval is the mean time between the first events of a stream. It is told by an outcome of
	// its own, after the one of the answer's head.
	EventInterval time.Duration
}

// Quarantine knows the requests that crash the backend servers that run them.
type Quarantine interface {
	Banned(fingerprint uint64, now time.Time) bool
	Crashed(fingerprint uint64, b model.BackendID, now time.Time)
}

// Forwarder serves callers.
type Forwarder struct {
	cfg         Config
	cascade     chooser.Cascade
	retryBudget *limiter.RepeatBudget
	peers       *peerTable
	speeds      *modelSpeeds
	bodies      *semaphore.Weighted
	reserved    map[string]bool
	stopping    atomic.Bool
}

// New returns a forwarder that has not started.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		cfg:         cfg,
		cascade:     chooser.NewCascade(cfg.Cascade),
		retryBudget: limiter.NewRepeatBudget(cfg.Settings.Repeats.Ratio, cfg.Settings.Repeats.Window),
		peers:       newPeerTable(),
		speeds:      newModelSpeeds(),
		bodies:      semaphore.NewWeighted(int64(cfg.Settings.Memory) / bodyMemoryDivisor),
		reserved:    map[string]bool{},
	}
	for _, name := range cfg.Names.Reserved {
		f.reserved[http.CanonicalHeaderKey(name)] = true
	}
	return f
}

// OpenLoad returns what is open at each backend server.
func (f *Forwarder) OpenLoad() map[model.BackendID]gossiper.BackendLoad { return f.peers.openLoad() }

// SetRetryBudget changes the bound on requests that are sent once more.
func (f *Forwarder) SetRetryBudget(s model.RepeatSettings) {
	f.retryBudget.Configure(s.Ratio, s.Window)
}

// Listeners are the sockets of a forwarder; Metrics may be nil.
type Listeners struct {
	Callers, Ready, Metrics net.Listener
}

// Run serves until the context ends. It then turns unready, serves what still comes, finishes
// what runs and returns before the grace is over.
func (f *Forwarder) Run(ctx context.Context, l Listeners) error {
	front := newFrontend(http.HandlerFunc(f.serve), f.limits)
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
	start(func() error { return front.serve(l.Callers) })
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
	f.shutdown(front)
	stopSweep()
	err := errors.Join(ready.Close(), metrics.Close())
	wg.Wait()
	if err != nil {
		return fmt.Errorf("close listeners: %w", err)
	}
	return nil
}

func (f *Forwarder) shutdown(front *frontend) {
	start := time.Now()
	f.stopping.Store(true)
	f.cfg.Log.Info().Int64("running", front.inFlight.Load()).Msg("forwarder: leaving, no longer ready")
	delay := min(unreadyDelay, f.cfg.Settings.Grace/2)
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), f.cfg.Settings.Grace-exitMargin-delay)
	defer cancel()
	if err := front.shutdown(ctx); err != nil {
		f.cfg.Log.Warn().Err(err).Int64("running", front.inFlight.Load()).Msg("forwarder: requests still ran at the end of the grace")
	}
	f.cfg.Log.Info().Dur("took", time.Since(start)).Msg("forwarder: left")
}

// limits returns the limits in force, or those of a process that knows no plan yet.
func (f *Forwarder) limits() model.PlanLimits {
	if p := f.cfg.State.Plan(); p != nil {
		return p.Limits
	}
	return model.PlanLimits{}
}

func (f *Forwarder) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != f.cfg.Names.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case f.stopping.Load() || !f.isReady():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// isReady reports whether enough is known to serve.
func (f *Forwarder) isReady() bool {
	select {
	case <-f.cfg.State.Ready():
		return true
	default:
		return false
	}
}

// planWait is how long a request waits for what an entry must know: three times what the first
// answers of the store take when all entries start at once. Callers leave after a second without
// having been read, and some return only once.
const planWait = 500 * time.Millisecond

// awaitPlan holds a request that came before the entry knows its plan. It answers callers who all
// return to entries that have just started; to send them away would cost most of them their last try.
func (f *Forwarder) awaitPlan(ctx context.Context) {
	if f.isReady() {
		return
	}
	t := time.NewTimer(planWait)
	defer t.Stop()
	select {
	case <-f.cfg.State.Ready():
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Forwarder) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != f.cfg.Names.MetricsPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := f.cfg.Meter.WriteText(w); err != nil {
		f.cfg.Log.Debug().Err(err).Msg("forwarder: the reader of the metrics left")
	}
}

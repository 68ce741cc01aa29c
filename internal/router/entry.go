// Package router implements the entry process: it authenticates callers' requests, chooses a
// model version and a backend server, and returns complete answers or refusals that state
// whether the request ran.
package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/bramleyhinge/bramleyhinge/internal/acceptor"
	"github.com/bramleyhinge/bramleyhinge/internal/breaker"
	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/owner"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/signer"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxExplanations is the number of requests whose decisions an entry keeps for the explain call.
const maxExplanations = 4096

type Config struct {
	Settings *model.Settings
	Self     model.Instance
	Watcher  *watcher.Watcher
	Store    storer.Store
	Pool     *messenger.Pool
	Work     *messenger.WorkClient
	Ledger   *recorder.Ledger
	Records  *recorder.Client
	Signer   *signer.Signer
	Owner    *owner.Owner
	Meter    *meter.Meter
	Log      zerolog.Logger
}

// Entry serves callers' requests and control calls.
type Entry struct {
	cfg          Config
	fleet        *fleet
	estimator    *chooser.Estimator
	limits       *limiter.Limiter
	explanations *explainer.Ring
	acks         *ackQueue
	rater        *raterClient
	outcomes     *outcomeCounter
	retryBudget  *breaker.RetryBudget
	pins         *pinCache
	bodyBytes    *semaphore.Weighted
	draining     atomic.Bool
	// running ends the requests that a stop cuts.
	running acceptor.Running
}

// New returns an entry; Run starts it.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg:          cfg,
		estimator:    chooser.NewEstimator(),
		limits:       limiter.New(),
		explanations: explainer.NewRing(maxExplanations),
		outcomes:     newOutcomeCounter(),
		retryBudget:  breaker.NewRetryBudget(),
		pins:         newPinCache(),
		bodyBytes:    semaphore.NewWeighted(int64(cfg.Settings.Limits.BodyMemory)),
		running:      acceptor.NewRunning(),
	}
	e.fleet = newFleet(fleetConfig{Self: cfg.Self, Watcher: cfg.Watcher, Pool: cfg.Pool, Log: cfg.Log})
	e.acks = newAckQueue(cfg.Work, cfg.Log)
	e.rater = newRaterClient(raterConfig{URL: cfg.Settings.Rater, Log: cfg.Log})
	return e
}

// Register registers the handlers of control calls.
func (e *Entry) Register(s *messenger.Server) {
	e.cfg.Watcher.Register(s)
	e.cfg.Ledger.Register(s)
	e.cfg.Owner.Register(s)
	messenger.Handle(s, messenger.MethodExplain, e.serveExplain)
	messenger.Handle(s, messenger.MethodStatus, e.serveStatus)
	messenger.Handle(s, messenger.MethodMetrics, e.serveMetrics)
	messenger.Handle(s, messenger.MethodSuspect, e.serveSuspect)
}

// Run serves until the context ends, then drains: it reports not ready, waits for the load
// balancer to notice, lets running requests finish and flushes the ledger.
func (e *Entry) Run(ctx context.Context, callers, control net.Listener, server *messenger.Server) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := acceptor.New(acceptor.Config{
		Handler: e.Handler(), Limits: e.callerLimits, Meter: e.cfg.Meter, Log: e.cfg.Log,
	})
	errs := make(chan error, 2)
	go func() { errs <- front.Serve(newLimitListener(callers, e.cfg.Settings.Limits.Connections)) }()
	go func() { errs <- server.Serve(runCtx, control) }()
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		e.cfg.Watcher.Run, e.cfg.Ledger.Run, e.cfg.Records.Run, e.cfg.Signer.Run, e.cfg.Owner.Run,
		e.fleet.run, e.acks.run, e.rater.run, e.reportLoop,
	} {
		wg.Go(func() { run(runCtx) })
	}
	select {
	case err := <-errs:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	e.drain(runCtx, front)
	server.Close()
	stop()
	wg.Wait()
	return nil
}

const (
	// headerTimeout is how long the head of a request may take, idleTimeout how long a connection may be idle.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

func (e *Entry) callerLimits() acceptor.Limits {
	return acceptor.Limits{HeaderBytes: int(e.cfg.Settings.Limits.Header), HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

const (
	// maxCutMargin is how long before the end of the grace period the requests that still run are ended, so that they
	// are answered, and flushMargin how long before it their connections are closed, so that records can be flushed.
	// minGraceShare bounds the first to that part of a short grace period, and the second in proportion.
	maxCutMargin  = 4 * time.Second
	flushMargin   = 2 * time.Second
	minGraceShare = 4
)

func (e *Entry) drain(ctx context.Context, front *acceptor.Acceptor) {
	e.draining.Store(true)
	e.cfg.Log.Info().Msg("entry: draining, no longer ready")
	pauser.Pause(ctx, e.cfg.Settings.Drain.Lag)
	grace := e.cfg.Settings.Drain.Grace
	margin := min(maxCutMargin, grace/minGraceShare)
	end, cancelEnd := context.WithTimeout(ctx, grace)
	defer cancelEnd()
	defer time.AfterFunc(grace-margin, func() {
		if n := front.Running(); n > 0 {
			e.cfg.Log.Warn().Int64("running", n).Msg("entry: grace period is nearly over, ending the requests that still run")
		}
		e.running.Cut()
	}).Stop()
	shutdown, cancel := context.WithTimeout(end, grace-margin*flushMargin/maxCutMargin)
	defer cancel()
	if err := front.Shutdown(shutdown); err != nil {
		e.cfg.Log.Warn().Err(err).Msg("entry: requests were still running at the end of the grace time")
	}
	e.cfg.Owner.Resign(ctx)
	for e.cfg.Records.QueueLength() > 0 && end.Err() == nil {
		e.cfg.Records.Flush(end)
		pauser.Pause(end, 50*time.Millisecond)
	}
	e.acks.flush(end)
	e.cfg.Log.Info().Msg("entry: drained")
}

// Ready reports whether the load balancer may send requests to this entry.
func (e *Entry) Ready(now time.Time) bool {
	return !e.draining.Load() && e.cfg.Watcher.Ready() && e.fleet.allPolled() && e.cfg.Watcher.LeaseState(now) != watcher.LeaseCutOff
}

// limitListener bounds the number of open connections from callers.
type limitListener struct {
	net.Listener
	slots chan struct{}
	// closed ends a wait for a slot.
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l net.Listener, n int) net.Listener {
	return &limitListener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	tc, ok := c.(*net.TCPConn)
	if !ok {
		<-l.slots
		return nil, errors.Join(errNoTCP, c.Close())
	}
	return &limitedConn{TCPConn: tc, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

var errNoTCP = errors.New("the connection of a caller is not TCP: listen on a TCP address")

// Close ends a wait for a slot as well.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	*net.TCPConn
	release func()
}

// Close frees the connection's slot.
func (c *limitedConn) Close() error {
	c.release()
	return c.TCPConn.Close()
}

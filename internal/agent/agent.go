// Package agent is the last gate before a backend server: it admits work, keeps answers
// until they are acknowledged and alone gives orders to its engine.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Config configures an Agent.
type Config struct {
	Settings *model.Settings
	Watcher  *watcher.Watcher
	Store    storer.Store
	Pool     *messenger.Pool
	Ledger   *recorder.Client
	TLS      *tls.Config
	Meter    *meter.Meter
	Log      zerolog.Logger
}

// Agent stands beside one backend server.
type Agent struct {
	cfg     Config
	queue   *admitter.Queue
	runs    *runTable
	backend *backend
	secret  messenger.Secret
	leaving atomic.Bool
	loadMu  sync.Mutex
	load    model.Load
	changed chan struct{}
	polls   atomic.Int64
	crashes crashes
	boot    model.BootID
	bodies  *semaphore.Weighted
	stop    context.Context
}

// New returns an agent that has not started.
func New(cfg Config) *Agent {
	s := cfg.Settings
	limit := admitter.LimitConfig{Initial: s.Backend.Concurrency, Min: 1, Max: s.Backend.Concurrency, FirstByteTarget: s.Backend.FirstByteTarget, TokenGapTarget: s.Backend.TokenGapTarget}
	a := &Agent{
		cfg:     cfg,
		queue:   admitter.NewQueue(admitter.Config{Limit: limit}),
		runs:    newRunTable(runTableConfig{Keep: int(s.Limits.AnswerMemory)}),
		backend: newBackend(backendConfig{URL: s.Backend.URL, Kind: s.Backend.Kind}),
		secret:  messenger.Secret(s.Secret),
		changed: make(chan struct{}),
		bodies:  semaphore.NewWeighted(int64(s.Limits.BodyMemory)),
		stop:    context.Background(),
	}
	a.boot = model.BootID(ulid.Make().String())
	a.load = model.Load{Instance: s.Instance, Boot: a.boot}
	return a
}

// Handler serves the work calls of entries.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathWork, a.authenticated(a.serveWork))
	mux.HandleFunc("POST "+messenger.PathResume, a.authenticated(a.serveResume))
	mux.HandleFunc("POST "+messenger.PathCancel, a.authenticated(a.serveCancel))
	mux.HandleFunc("POST "+messenger.PathAck, a.authenticated(a.serveAck))
	return mux
}

// Register answers control calls.
func (a *Agent) Register(s *messenger.Server) {
	messenger.Handle(s, messenger.MethodLoad, a.serveLoad)
	messenger.Handle(s, messenger.MethodStatus, a.serveStatus)
	messenger.Handle(s, messenger.MethodMetrics, a.serveMetrics)
}

// Run works until the context ends, then drains: nothing new is taken and what runs finishes.
func (a *Agent) Run(ctx context.Context, work, control net.Listener, server *messenger.Server) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	a.stop = life
	httpServer := a.newHTTPServer()
	errs := make(chan error, 2)
	go func() { errs <- serveWorkOn(httpServer, work) }()
	go func() { errs <- server.Serve(life, control) }()
	go a.cfg.Watcher.Run(life)
	go a.cfg.Ledger.Run(life)
	go a.probe(life)
	go a.reconcile(life)
	go a.sweep(life)
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
	}
	a.drain(life)
	server.Close()
	// Nothing runs any more; closing spares idle HTTP/2 connections their long goodbye.
	return httpServer.Close()
}

func (a *Agent) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           a.Handler(),
		Protocols:         messenger.HTTP2Protocols(a.cfg.TLS),
		TLSConfig:         a.cfg.TLS,
		ReadHeaderTimeout: 5 * time.Second,
		MaxHeaderBytes:    int(a.cfg.Settings.Limits.Header),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 1000},
	}
}

func serveWorkOn(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// drain refuses new work, tells the entries and waits for what runs and for its answers
// to be acknowledged, within the grace time.
func (a *Agent) drain(ctx context.Context) {
	a.leaving.Store(true)
	a.publishLoad()
	a.cfg.Log.Info().Msg("agent: leaving, no new work")
	deadline := time.Now().Add(a.cfg.Settings.Drain.Grace)
	for time.Now().Before(deadline) {
		if a.runs.idle() && a.cfg.Ledger.Waiting() == 0 {
			break
		}
		pauser.Pause(ctx, 20*time.Millisecond)
	}
	a.reportUnacknowledged(time.Now().Add(unacknowledgedAfter))
	a.cfg.Ledger.Flush(ctx)
	a.cfg.Log.Info().Msg("agent: left")
}

// Package agent runs beside a backend server: it makes the last admission check, runs the
// requests, keeps answers until they are acknowledged, and is the only process that sends
// orders to the server's engine.
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
	Records  *recorder.Client
	TLS      *tls.Config
	Meter    *meter.Meter
	Log      zerolog.Logger
}

// Agent admits and runs the requests of one backend server.
type Agent struct {
	cfg           Config
	queue         *admitter.Queue
	runs          *runTable
	backend       *backend
	secret        messenger.Secret
	draining      atomic.Bool
	loadMu        sync.Mutex
	load          model.Load
	loadChanged   chan struct{}
	loadPolls     atomic.Int64
	crashDetector crashDetector
	boot          model.BootID
	bodyMemory    *semaphore.Weighted
	baseCtx       context.Context
}

// New returns an agent; Run starts it.
func New(cfg Config) *Agent {
	s := cfg.Settings
	limit := admitter.LimitConfig{Initial: s.Backend.Concurrency, Min: 1, Max: s.Backend.Concurrency, FirstByteTarget: s.Backend.FirstByteTarget, TokenGapTarget: s.Backend.TokenGapTarget}
	a := &Agent{
		cfg:         cfg,
		queue:       admitter.NewQueue(admitter.Config{Limit: limit}),
		runs:        newRunTable(runTableConfig{AnswerMemory: int(s.Limits.AnswerMemory)}),
		backend:     newBackend(backendConfig{URL: s.Backend.URL, Kind: s.Backend.Kind}),
		secret:      messenger.Secret(s.Secret),
		loadChanged: make(chan struct{}),
		bodyMemory:  semaphore.NewWeighted(int64(s.Limits.BodyMemory)),
		baseCtx:     context.Background(),
	}
	a.boot = model.BootID(ulid.Make().String())
	a.load = model.Load{Instance: s.Instance, Boot: a.boot}
	return a
}

// Handler returns the handler of the work calls that entries make.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathWork, a.authenticate(a.serveWork))
	mux.HandleFunc("POST "+messenger.PathResume, a.authenticate(a.serveResume))
	mux.HandleFunc("POST "+messenger.PathCancel, a.authenticate(a.serveCancel))
	mux.HandleFunc("POST "+messenger.PathAck, a.authenticate(a.serveAck))
	return mux
}

// Register registers the agent's control calls on a server.
func (a *Agent) Register(s *messenger.Server) {
	messenger.Handle(s, messenger.MethodLoad, a.serveLoad)
	messenger.Handle(s, messenger.MethodStatus, a.serveStatus)
	messenger.Handle(s, messenger.MethodMetrics, a.serveMetrics)
}

// Run serves until the context ends and then drains: the agent refuses new work and waits for
// running requests to finish.
func (a *Agent) Run(ctx context.Context, work, control net.Listener, server *messenger.Server) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a.baseCtx = runCtx
	httpServer := a.newHTTPServer()
	errs := make(chan error, 2)
	go func() { errs <- serveWorkOn(httpServer, work) }()
	go func() { errs <- server.Serve(runCtx, control) }()
	go a.cfg.Watcher.Run(runCtx)
	go a.cfg.Records.Run(runCtx)
	go a.probe(runCtx)
	go a.reconcile(runCtx)
	go a.sweep(runCtx)
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
	}
	a.drain(runCtx)
	server.Close()
	// No request is running, so Close is safe; Shutdown would wait for idle HTTP/2 connections.
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

// drain refuses new work, reports this to the entries and waits up to the grace time until the
// running requests have finished and their answers are acknowledged.
func (a *Agent) drain(ctx context.Context) {
	a.draining.Store(true)
	a.publishLoad()
	a.cfg.Log.Info().Msg("agent: draining, new work is refused")
	deadline := time.Now().Add(a.cfg.Settings.Drain.Grace)
	for time.Now().Before(deadline) {
		if a.runs.isIdle() && a.cfg.Records.QueueLength() == 0 {
			break
		}
		pauser.Pause(ctx, 20*time.Millisecond)
	}
	a.reportUnacknowledged(time.Now().Add(acknowledgementTimeout))
	a.cfg.Records.Flush(ctx)
	a.cfg.Log.Info().Msg("agent: drained")
}

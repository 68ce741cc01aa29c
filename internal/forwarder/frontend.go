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

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply until a plan is known.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// headerSlackBytes is added to the plan's limit before net/http answers 431 itself, because net/http also
	// counts the request line and line ends.
	headerSlackBytes = 4 << 10
)

// frontendConfig configures a frontend. RequestHeader names the header with a request's id.
type frontendConfig struct {
	Handler       http.Handler
	Limits        func() model.PlanLimits
	RequestHeader string
	Meter         *meter.Meter
	Log           zerolog.Logger
}

// frontend serves callers' connections. net/http applies its limits when a connection starts, so
// connections that start after a change of the limits go to a new server.
type frontend struct {
	cfg      frontendConfig
	handler  http.Handler
	inFlight atomic.Int64
	// draining is set once a shutdown has begun: each connection is closed after its next answer.
	draining atomic.Bool

	mu          sync.Mutex
	current     *generation
	generations []*generation
	listener    net.Listener
	closed      bool
	// accepted is closed once serve has passed on all accepted connections.
	accepted chan struct{}
}

// generation is a server with fixed limits; accepted connections are passed to it.
type generation struct {
	cfg    frontendConfig
	server *http.Server
	limits model.PlanLimits
	// accepts passes accepted connections to the server.
	accepts chan net.Conn
	done    chan struct{}
	addr    net.Addr
	once    sync.Once

	mu sync.Mutex
	// conns holds the connections that are not closed on both sides.
	conns map[*callerConn]bool
}

func newFrontend(cfg frontendConfig) *frontend {
	f := &frontend{cfg: cfg, accepted: make(chan struct{})}
	f.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inFlight.Add(1)
		defer f.inFlight.Add(-1)
		id := r.Header.Get(cfg.RequestHeader)
		if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok && !c.beginRequest(id) {
			c.logCrossed(id)
			panic(http.ErrAbortHandler)
		}
		if f.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		cfg.Handler.ServeHTTP(w, r)
	})
	return f
}

// serve accepts connections until the frontend is shut down.
func (f *frontend) serve(l net.Listener) error {
	defer close(f.accepted)
	f.mu.Lock()
	f.listener = l
	f.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			f.mu.Lock()
			closed := f.closed
			f.mu.Unlock()
			var ne net.Error
			switch {
			case closed:
				return nil
			case errors.As(err, &ne) && ne.Timeout(), errors.Is(err, net.ErrClosed):
				return err
			}
			// File descriptors ran out or the caller disconnected: the next Accept may succeed.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		g := f.generation(l.Addr())
		c := g.track(conn, time.Now())
		select {
		case g.accepts <- c:
		case <-g.done:
			// The entry has stopped.
			_ = c.Close()
		}
	}
}

// generation returns the server for the current limits and starts a new one if they changed.
func (f *frontend) generation(addr net.Addr) *generation {
	limits := f.cfg.Limits()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.limits == limits {
		return f.current
	}
	g := &generation{cfg: f.cfg, limits: limits, accepts: make(chan net.Conn), done: make(chan struct{}), addr: addr, conns: map[*callerConn]bool{}}
	g.server = &http.Server{
		Handler:           f.handler,
		MaxHeaderBytes:    orDefault(int(limits.Header), defaultHeaderBytes) + headerSlackBytes,
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
		ConnState:         trackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerConnKey{}, c)
		},
	}
	f.current = g
	f.generations = append(f.generations, g)
	go func() {
		// Serve returns only when the generation is shut down.
		_ = g.server.Serve(g)
	}()
	return g
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// shutdown stops accepting, closes connections once they are idle and waits until all are closed. It returns an error
// if some had to be cut when ctx ended. Connections that were accepted before are served first: their callers may have
// sent a request already.
func (f *frontend) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closed = true
	f.draining.Store(true)
	l := f.listener
	f.mu.Unlock()
	var errs []error
	if l != nil {
		errs = append(errs, l.Close())
		select {
		case <-f.accepted:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	generations := f.generations
	f.mu.Unlock()
	// http.Server.Shutdown would drop requests that arrive during it, and closing idle connections under it
	// could cut requests that it has just read.
	errs = append(errs, awaitClosed(ctx, generations))
	now := time.Now()
	for _, g := range generations {
		for _, c := range g.list() {
			c.cut(now)
		}
		errs = append(errs, g.server.Close())
	}
	return errors.Join(errs...)
}

// quietCheckInterval is how often a shutdown checks which connections are idle.
const quietCheckInterval = 20 * time.Millisecond

// awaitClosed closes the connections of all generations as they become idle, until none is left. It returns an error
// if some are left when ctx ends.
func awaitClosed(ctx context.Context, generations []*generation) error {
	t := time.NewTicker(quietCheckInterval)
	defer t.Stop()
	now := time.Now()
	for {
		open := 0
		for _, g := range generations {
			for _, c := range g.list() {
				open++
				c.closeIfQuiet(now)
			}
		}
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %d connections: %w", open, ctx.Err())
		case now = <-t.C:
		}
	}
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.accepts:
		return c, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.done) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }

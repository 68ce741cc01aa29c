package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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

// frontend serves callers' connections. net/http applies its limits when a connection starts, so
// connections that start after a change of the limits go to a new server.
type frontend struct {
	handler  http.Handler
	limits   func() model.PlanLimits
	inFlight atomic.Int64

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
	server *http.Server
	limits model.PlanLimits
	conns  chan net.Conn
	done   chan struct{}
	addr   net.Addr
	once   sync.Once

	mu sync.Mutex
	// busy holds the connections that are neither idle nor closed, and when they became so.
	busy map[net.Conn]time.Time
}

// trackState records whether a connection is idle.
func (g *generation) trackState(c net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		g.busy[c] = time.Now()
	default:
		delete(g.busy, c)
	}
}

// firstRequestTime is how long a new connection may take to send its first request while its entry stops.
const firstRequestTime = time.Second

// isBusy reports whether requests run, or may arrive on connections that were opened just before now.
func (g *generation) isBusy(inFlight int64, now time.Time) bool {
	if inFlight > 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, since := range g.busy {
		if now.Sub(since) < firstRequestTime {
			return true
		}
	}
	return false
}

func newFrontend(h http.Handler, limits func() model.PlanLimits) *frontend {
	f := &frontend{limits: limits, accepted: make(chan struct{})}
	f.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inFlight.Add(1)
		defer f.inFlight.Add(-1)
		h.ServeHTTP(w, r)
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
		g.trackState(conn, http.StateNew)
		select {
		case g.conns <- conn:
		case <-g.done:
			conn.Close()
		}
	}
}

// generation returns the server for the current limits and starts a new one if they changed.
func (f *frontend) generation(addr net.Addr) *generation {
	limits := f.limits()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.limits == limits {
		return f.current
	}
	g := &generation{limits: limits, conns: make(chan net.Conn), done: make(chan struct{}), addr: addr, busy: map[net.Conn]time.Time{}}
	g.server = &http.Server{
		Handler:           f.handler,
		MaxHeaderBytes:    orDefault(int(limits.Header), defaultHeaderBytes) + headerSlackBytes,
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
		ConnState:         g.trackState,
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

// shutdown stops accepting, closes idle connections and waits for requests. Connections that were accepted
// before are served first: their callers may have sent a request already.
func (f *frontend) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closed = true
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
	// http.Server.Shutdown would drop requests that arrive during it, so each connection is closed after its
	// next answer instead. That goes for all generations at once: one with long requests must not keep the
	// others open.
	for _, g := range generations {
		g.server.SetKeepAlivesEnabled(false)
	}
	errs = append(errs, f.awaitQuiet(ctx, generations))
	for _, g := range generations {
		errs = append(errs, g.server.Close())
	}
	return errors.Join(errs...)
}

// quietCheckInterval is how often a shutdown checks whether requests still run.
const quietCheckInterval = 20 * time.Millisecond

// awaitQuiet waits until no request runs. It returns an error if some still run when ctx ends.
func (f *frontend) awaitQuiet(ctx context.Context, generations []*generation) error {
	t := time.NewTicker(quietCheckInterval)
	defer t.Stop()
	now := time.Now()
	for slices.ContainsFunc(generations, func(g *generation) bool { return g.isBusy(f.inFlight.Load(), now) }) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %d requests: %w", f.inFlight.Load(), ctx.Err())
		case now = <-t.C:
		}
	}
	return nil
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
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

package forwarder

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	server *http.Server
	limits model.PlanLimits
	// accepts passes accepted connections to the server.
	accepts chan net.Conn
	done    chan struct{}
	addr    net.Addr
	once    sync.Once

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// idle is set between requests; since is when it last changed.
	idle   bool
	since  time.Time
	closed bool
}

type callerConnKey struct{}

// beginRequest marks the connection as busy and reports whether it is still open.
func (c *callerConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return !c.closed
}

// close closes the connection, with onlyIdle set only if no request runs on it. A request that was read
// meanwhile finds it closed and does not run.
func (c *callerConn) close(onlyIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.idle || !onlyIdle) && !c.closed {
		c.closed = true
		// The caller learns of the end in any case.
		_ = c.Close()
	}
}

// track adds a connection that was just accepted.
func (g *generation) track(conn net.Conn, now time.Time) *callerConn {
	c := &callerConn{Conn: conn, since: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = c
	return c
}

// trackState records whether a connection is idle.
func (g *generation) trackState(conn net.Conn, s http.ConnState) {
	g.mu.Lock()
	c := g.conns[conn]
	if s == http.StateClosed || s == http.StateHijacked {
		delete(g.conns, conn)
	}
	g.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since = s == http.StateIdle, time.Now()
}

// firstRequestTime is how long a new connection may take to send its first request while its entry stops.
const firstRequestTime = time.Second

func (g *generation) list() []*callerConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.conns))
}

// closeAll closes all connections.
func (g *generation) closeAll() {
	for _, c := range g.list() {
		c.close(false)
	}
}

// closeIdle closes the idle connections and reports whether requests may still arrive on others, which were
// opened or got a request just before now.
func (g *generation) closeIdle(now time.Time) (busy bool) {
	for _, c := range g.list() {
		c.close(true)
		c.mu.Lock()
		busy = busy || !c.idle && now.Sub(c.since) < firstRequestTime
		c.mu.Unlock()
	}
	return busy
}

func newFrontend(h http.Handler, limits func() model.PlanLimits) *frontend {
	f := &frontend{limits: limits, accepted: make(chan struct{})}
	f.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inFlight.Add(1)
		defer f.inFlight.Add(-1)
		if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok && !c.beginRequest() {
			// The request crossed the closing of its idle connection and must not run.
			panic(http.ErrAbortHandler)
		}
		if f.draining.Load() {
			w.Header().Set("Connection", "close")
		}
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
		select {
		case g.accepts <- g.track(conn, time.Now()):
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
	g := &generation{limits: limits, accepts: make(chan net.Conn), done: make(chan struct{}), addr: addr, conns: map[net.Conn]*callerConn{}}
	g.server = &http.Server{
		Handler:           f.handler,
		MaxHeaderBytes:    orDefault(int(limits.Header), defaultHeaderBytes) + headerSlackBytes,
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
		ConnState:         g.trackState,
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

// shutdown stops accepting, closes idle connections and waits for requests. Connections that were accepted
// before are served first: their callers may have sent a request already.
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
	errs = append(errs, f.awaitQuiet(ctx, generations))
	for _, g := range generations {
		g.closeAll()
		errs = append(errs, g.server.Close())
	}
	return errors.Join(errs...)
}

// quietCheckInterval is how often a shutdown checks whether requests still run.
const quietCheckInterval = 20 * time.Millisecond

// awaitQuiet closes idle connections of all generations until no request runs. It returns an error if some
// still run when ctx ends.
func (f *frontend) awaitQuiet(ctx context.Context, generations []*generation) error {
	t := time.NewTicker(quietCheckInterval)
	defer t.Stop()
	now := time.Now()
	for {
		busy := false
		for _, g := range generations {
			busy = g.closeIdle(now) || busy
		}
		if !busy && f.inFlight.Load() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %d requests: %w", f.inFlight.Load(), ctx.Err())
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

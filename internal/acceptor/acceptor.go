// Package acceptor accepts callers' connections, serves HTTP on them and stops without losing a request or an answer.
package acceptor

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
	"github.com/bramleyhinge/bramleyhinge/internal/peeker"
)

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	// HeaderTimeout is how long the head of a request may take, IdleTimeout how long a connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// Config configures an Acceptor. Limits returns those for a new connection. RequestHeader names the header with a
// request's id.
type Config struct {
	Handler       http.Handler
	Limits        func() Limits
	RequestHeader string
	Meter         *meter.Meter
	Log           zerolog.Logger
}

// Acceptor serves callers' connections. net/http applies its limits when a connection starts, so
// connections that start after a change of the limits go to a new server, and older ones end if the limit for headers was
// raised.
type Acceptor struct {
	cfg      Config
	handler  http.Handler
	inFlight atomic.Int64
	// draining is set once a shutdown has begun: each connection is closed after its next answer.
	draining atomic.Bool

	mu          sync.Mutex
	current     *generation
	generations []*generation
	listener    net.Listener
	closed      bool
	// accepted is closed once Serve has passed on all accepted connections.
	accepted chan struct{}
}

// generation is a server with fixed limits; accepted connections are passed to it.
type generation struct {
	cfg    Config
	server *http.Server
	limits Limits
	// accepts passes accepted connections to the server.
	accepts chan net.Conn
	done    chan struct{}
	addr    net.Addr
	once    sync.Once

	mu sync.Mutex
	// conns holds the connections that are not closed on both sides.
	conns map[*callerConn]bool
}

// New returns an acceptor; Serve starts it.
func New(cfg Config) *Acceptor {
	a := &Acceptor{cfg: cfg, accepted: make(chan struct{})}
	a.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.inFlight.Add(1)
		defer a.inFlight.Add(-1)
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if !r.ProtoAtLeast(1, 1) {
				// Without chunks, an answer that breaks off would look complete.
				ResetOnClose(r.Context(), true)
			}
			panic(p)
		}()
		id := r.Header.Get(cfg.RequestHeader)
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok && !c.beginRequest(id) {
			c.logCrossed(id)
			panic(http.ErrAbortHandler)
		}
		if c, ok := r.Context().Value(connKey{}).(*callerConn); a.draining.Load() || ok && c.headerBytes < cfg.Limits().HeaderBytes {
			w.Header().Set("Connection", "close")
		}
		cfg.Handler.ServeHTTP(w, r)
	})
	return a
}

// Serve accepts connections until Shutdown.
func (a *Acceptor) Serve(l net.Listener) error {
	defer close(a.accepted)
	a.mu.Lock()
	a.listener = l
	a.mu.Unlock()
	go a.closeLowerLimits(a.accepted)
	for {
		conn, err := l.Accept()
		if err != nil {
			a.mu.Lock()
			closed := a.closed
			a.mu.Unlock()
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
		if tc, ok := conn.(interface{ SetWriteBuffer(int) error }); ok {
			// This fails only if the connection is closed, which the next read reports.
			_ = tc.SetWriteBuffer(sendBufferBytes)
		}
		g := a.generation(l.Addr())
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
func (a *Acceptor) generation(addr net.Addr) *generation {
	limits := a.cfg.Limits()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && a.current.limits == limits {
		return a.current
	}
	g := &generation{cfg: a.cfg, limits: limits, accepts: make(chan net.Conn), done: make(chan struct{}), addr: addr, conns: map[*callerConn]bool{}}
	g.server = &http.Server{
		Handler:           a.handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnState:         trackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	a.current = g
	a.generations = append(a.generations, g)
	go func() {
		// Serve returns only when the generation is shut down.
		_ = g.server.Serve(g)
	}()
	return g
}

// Running returns the number of requests whose handlers run.
func (a *Acceptor) Running() int64 { return a.inFlight.Load() }

// Shutdown stops accepting, closes connections once they are idle and waits until all are closed. It returns an error
// if some had to be cut when ctx ended. Connections that were accepted before are served first: their callers may have
// sent a request already.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	a.closed = true
	a.draining.Store(true)
	l := a.listener
	a.mu.Unlock()
	var errs []error
	if l != nil {
		awaitAccepted(ctx, l)
		errs = append(errs, l.Close())
		select {
		case <-a.accepted:
		case <-ctx.Done():
		}
	}
	a.mu.Lock()
	generations := a.generations
	a.mu.Unlock()
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

const (
	// acceptCheckInterval is how often a shutdown checks whether connections wait to be accepted, maxAcceptWait how long
	// it waits for them: without free descriptors none is accepted until connections are closed.
	acceptCheckInterval = time.Millisecond
	maxAcceptWait       = 500 * time.Millisecond
)

// awaitAccepted waits until no connection waits to be accepted: closing the listener would reset those that do, and
// their callers may have sent a request already.
func awaitAccepted(ctx context.Context, l net.Listener) {
	ctx, cancel := context.WithTimeout(ctx, maxAcceptWait)
	defer cancel()
	t := time.NewTicker(acceptCheckInterval)
	defer t.Stop()
	for peeker.HasPending(l) {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
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

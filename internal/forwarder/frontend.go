package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
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
}

// generation is a server with fixed limits; accepted connections are passed to it.
type generation struct {
	server *http.Server
	limits model.PlanLimits
	conns  chan net.Conn
	done   chan struct{}
	addr   net.Addr
	once   sync.Once
}

func newFrontend(h http.Handler, limits func() model.PlanLimits) *frontend {
	f := &frontend{limits: limits}
	f.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inFlight.Add(1)
		defer f.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
	return f
}

// serve accepts connections until the frontend is shut down.
func (f *frontend) serve(l net.Listener) error {
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
	g := &generation{limits: limits, conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
	g.server = &http.Server{
		Handler:           f.handler,
		MaxHeaderBytes:    orDefault(int(limits.Header), defaultHeaderBytes) + headerSlackBytes,
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
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

// shutdown stops accepting, closes idle connections and waits for requests.
func (f *frontend) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closed = true
	generations := f.generations
	l := f.listener
	f.mu.Unlock()
	var errs []error
	if l != nil {
		errs = append(errs, l.Close())
	}
	// Shut down all generations at once: one with long requests must not keep the others open.
	results := make(chan error, len(generations))
	for _, g := range generations {
		go func() { results <- g.server.Shutdown(ctx) }()
	}
	for range generations {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
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

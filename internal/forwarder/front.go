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
	// defaultHeader, defaultHeaderTimeout and defaultIdle hold until a plan is known.
	defaultHeader        = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdle          = time.Minute
	// headerSlack lets net/http answer 431 itself only above the plan's limit, for it counts
	// the request line and line ends as well.
	headerSlack = 4 << 10
)

// front serves callers' connections. net/http reads its limits when a connection starts, so
// connections that start under other limits go to a server of their own.
type front struct {
	handler http.Handler
	limits  func() model.PlanLimits
	running atomic.Int64

	mu       sync.Mutex
	current  *generation
	all      []*generation
	listener net.Listener
	closed   bool
}

// generation is a server with its limits; accepted connections are handed to it.
type generation struct {
	server *http.Server
	limits model.PlanLimits
	conns  chan net.Conn
	done   chan struct{}
	addr   net.Addr
	once   sync.Once
}

func newFront(h http.Handler, limits func() model.PlanLimits) *front {
	f := &front{limits: limits}
	f.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.running.Add(1)
		defer f.running.Add(-1)
		h.ServeHTTP(w, r)
	})
	return f
}

// serve accepts connections until the front is shut down.
func (f *front) serve(l net.Listener) error {
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
			// Descriptors ran out or the caller left: the next one may be taken.
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

func (f *front) generation(addr net.Addr) *generation {
	limits := f.limits()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.limits == limits {
		return f.current
	}
	g := &generation{limits: limits, conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
	g.server = &http.Server{
		Handler:           f.handler,
		MaxHeaderBytes:    orDefault(int(limits.Header), defaultHeader) + headerSlack,
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdle),
	}
	f.current = g
	f.all = append(f.all, g)
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
func (f *front) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closed = true
	all := f.all
	l := f.listener
	f.mu.Unlock()
	var errs []error
	if l != nil {
		errs = append(errs, l.Close())
	}
	// All at once: one whose requests run long must not leave the others open.
	ends := make(chan error, len(all))
	for _, g := range all {
		go func() { ends <- g.server.Shutdown(ctx) }()
	}
	for range all {
		errs = append(errs, <-ends)
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

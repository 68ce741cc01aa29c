package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is what a proxy does to the connections that pass it.
type link struct {
	// delay holds each piece of data up.
	delay time.Duration
	// stall and stallBack hold all data up, towards the target and back, until the link is mended.
	stall, stallBack bool
	// refuse closes new connections at once.
	refuse bool
}

// proxy passes connections on over loopback and harms them on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	link    link
	changed chan struct{}
	conns   map[net.Conn]bool
}

// newProxy listens at an address, which may have port 0.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the link; data that was held up goes on.
func (p *proxy) set(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset drops all open connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// present returns the link and a channel that is closed with its next change.
func (p *proxy) present() (link, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link, p.changed
}

func (p *proxy) serve(in net.Conn) {
	if l, _ := p.present(); l.refuse {
		abort(in)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(in)
		return
	}
	p.track(in, true)
	p.track(out, true)
	var wg sync.WaitGroup
	wg.Go(func() { p.pass(out, in, func(l link) bool { return l.stall }) })
	wg.Go(func() { p.pass(in, out, func(l link) bool { return l.stallBack }) })
	wg.Wait()
	p.track(in, false)
	p.track(out, false)
	_ = in.Close()
	_ = out.Close()
}

// pass copies data in one direction; an end is passed on as an end, a failure as a reset.
func (p *proxy) pass(to, from net.Conn, stalled func(link) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			l, changed := p.present()
			if !stalled(l) {
				time.Sleep(l.delay)
				break
			}
			<-changed
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				abort(from)
				return
			}
		}
		if err == io.EOF {
			if tc, ok := to.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// link is the state of the link that a proxy simulates.
type link struct {
	// delay is added to each piece of data.
	delay time.Duration
	// stallForward and stallBack hold all data to the target, and all data from it, until the link recovers.
	stallForward, stallBack bool
	// refuse resets new connections at once.
	refuse bool
}

// proxy forwards TCP connections over loopback; its link can be disturbed.
type proxy struct {
	target string
	// shallow has the proxy buffer little, so that it holds back the sender if the receiver reads slowly.
	shallow bool

	mu       sync.Mutex
	listener net.Listener
	link     link
	changed  chan struct{}
	conns    map[net.Conn]bool
	pairs    map[*pair]bool
}

// pair is a connection and the one to the target.
type pair struct {
	silent atomic.Bool
	// sent is the beginning of what was last sent to the target.
	sent atomic.Pointer[string]
}

// sentBytes is the length of what is kept of that: a request line.
const sentBytes = 80

const (
	// shallowBytes is the size of the socket buffers of shallow connections.
	shallowBytes = 16 << 10
	// segmentBytes is the segment size of shallow connections: segments of loopback are larger than such a buffer, and the
	// sender would wait for its timer each time.
	segmentBytes = 1400
)

// makeShallow sets the buffers of a socket before it connects or listens; accepted connections inherit them.
func makeShallow(_, _ string, c syscall.RawConn) error {
	var errs []error
	err := c.Control(func(fd uintptr) {
		errs = append(errs,
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, shallowBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, shallowBytes),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes))
	})
	return errors.Join(append(errs, err)...)
}

// shallowDialer opens shallow connections.
var shallowDialer = net.Dialer{Timeout: time.Second, Control: makeShallow}

// newProxy listens at an address, whose port may be 0, and forwards connections to target.
func newProxy(address, target string, shallow bool) (*proxy, error) {
	var lc net.ListenConfig
	if shallow {
		lc.Control = makeShallow
	}
	l, err := lc.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, shallow: shallow, changed: make(chan struct{}), conns: map[net.Conn]bool{}, pairs: map[*pair]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// goDown stops listening, so that new connections are refused, and resets all open connections.
func (p *proxy) goDown() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.resetConns()
}

// goUp listens again at the same address after goDown.
func (p *proxy) goUp() error {
	l, err := listenAgain(p.address())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// setLink replaces the state of the link; stalled data continues if the new state allows it.
func (p *proxy) setLink(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetConns closes all open connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// silence makes open connections silent for good, those whose last request contains a text, or each second one: the proxy
// reads on, so that what is sent is acknowledged, and passes nothing on.
func (p *proxy) silence(text string, half bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.pairs {
		sent := c.sent.Load()
		if n++; half && n%2 == 0 || text != "" && (sent == nil || !strings.Contains(*sent, text)) {
			continue
		}
		c.silent.Store(true)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
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

func (p *proxy) trackPair(c *pair, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.pairs[c] = true
	} else {
		delete(p.pairs, c)
	}
}

// currentLink returns the state of the link and a channel that is closed when it changes.
func (p *proxy) currentLink() (link, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link, p.changed
}

func (p *proxy) serve(in net.Conn) {
	if l, _ := p.currentLink(); l.refuse {
		resetConn(in)
		return
	}
	var d net.Dialer
	if p.shallow {
		d = shallowDialer
	}
	out, err := d.Dial("tcp4", p.target)
	if err != nil {
		resetConn(in)
		return
	}
	p.track(in, true)
	p.track(out, true)
	both := &pair{}
	p.trackPair(both, true)
	var wg sync.WaitGroup
	wg.Go(func() { p.copyData(out, in, both, true, func(l link) bool { return l.stallForward }) })
	wg.Go(func() { p.copyData(in, out, both, false, func(l link) bool { return l.stallBack }) })
	wg.Wait()
	p.trackPair(both, false)
	p.track(in, false)
	p.track(out, false)
	_ = in.Close()
	_ = out.Close()
}

// copyData copies data in one direction. It forwards the end of the data as a half-close and a read error as
// a reset.
func (p *proxy) copyData(to, from net.Conn, both *pair, forward bool, stalled func(link) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			l, changed := p.currentLink()
			if !stalled(l) {
				time.Sleep(l.delay)
				break
			}
			<-changed
		}
		if n > 0 && forward {
			sent := string(buf[:min(n, sentBytes)])
			both.sent.Store(&sent)
		}
		if n > 0 && !both.silent.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				resetConn(from)
				return
			}
		}
		if err != nil && both.silent.Load() {
			// The other side does not learn of the end either.
			return
		}
		if err == io.EOF {
			if tc, ok := to.(*net.TCPConn); ok {
				_ = tc.CloseWrite()
			}
			return
		}
		if err != nil {
			resetConn(to)
			return
		}
	}
}

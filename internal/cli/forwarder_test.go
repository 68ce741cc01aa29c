package cli

import (
	"io"
	"net"
	"strconv"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// proxy is a TCP forwarder that a script can cut.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	blocked  bool
	cutAfter int
	conns    map[net.Conn]bool
}

func newProxy(ts *testscript.TestScript, addr string) *proxy {
	l, err := net.Listen("tcp", addr)
	ts.Check(err)
	w := &proxy{listener: l, cutAfter: -1, conns: map[net.Conn]bool{}}
	go w.serve()
	return w
}

func (w *proxy) forwardTo(target string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.target = target
	return w.listener.Addr().String()
}

// setProxy sets what the forwarder does: open, block (no connections, none kept), reset (end
// those that are open) or a number of answer bytes after which a connection ends.
func (f *testFleet) setProxy(ts *testscript.TestScript, name, how string) {
	w := f.proxies[name]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked, w.cutAfter = how == "block", -1
	if n, err := strconv.Atoi(how); err == nil {
		w.cutAfter = n
	} else if how != "open" && how != "block" && how != "reset" {
		ts.Fatalf("cut %s: open, block, reset or a number", how)
	}
	if how == "block" || how == "reset" {
		for c := range w.conns {
			c.Close()
		}
	}
}

func (w *proxy) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		blocked, target := w.blocked, w.target
		w.mu.Unlock()
		out, err := net.Dial("tcp", target)
		if blocked || err != nil {
			c.Close()
			if out != nil {
				out.Close()
			}
			continue
		}
		w.track(c, out)
		go w.copy(out, c, false)
		go w.copy(c, out, true)
	}
}

func (w *proxy) track(conns ...net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range conns {
		w.conns[c] = true
	}
}

// copy forwards one direction; answers may be cut after a number of bytes.
func (w *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 1024)
	for {
		n, err := from.Read(buf)
		if answers {
			var last bool
			if n, last = w.countAnswerBytes(n); last {
				to.Write(buf[:n])
				return
			}
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err == io.EOF || err != nil {
			return
		}
	}
}

// countAnswerBytes counts answer bytes down to the cut, which happens once.
func (w *proxy) countAnswerBytes(n int) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutAfter < 0 {
		return n, false
	}
	if n < w.cutAfter {
		w.cutAfter -= n
		return n, false
	}
	n = w.cutAfter
	w.cutAfter = -1
	return n, true
}

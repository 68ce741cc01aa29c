package cli

import (
	"io"
	"net"
	"strconv"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// proxy is a TCP proxy whose connections a script can block, reset or cut.
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

// setProxy sets the mode of a proxy: open; block, which closes open and new connections; reset, which
// closes the open ones; or a number of answer bytes after which one connection is closed.
func (f *testFleet) setProxy(ts *testscript.TestScript, name, mode string) {
	w := f.proxies[name]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked, w.cutAfter = mode == "block", -1
	if n, err := strconv.Atoi(mode); err == nil {
		w.cutAfter = n
	} else if mode != "open" && mode != "block" && mode != "reset" {
		ts.Fatalf("cut %s: mode must be open, block, reset or a number", mode)
	}
	if mode == "block" || mode == "reset" {
		for c := range w.conns {
			c.Close()
		}
	}
}

func (w *proxy) serve() {
	for {
		caller, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		blocked, target := w.blocked, w.target
		w.mu.Unlock()
		out, err := net.Dial("tcp", target)
		if blocked || err != nil {
			caller.Close()
			if out != nil {
				out.Close()
			}
			continue
		}
		w.track(caller, out)
		go w.copy(out, caller, false)
		go w.copy(caller, out, true)
	}
}

func (w *proxy) track(conns ...net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range conns {
		w.conns[c] = true
	}
}

// copy forwards one direction of a connection. It closes the connection at the answer byte where
// limitAnswer ends it.
func (w *proxy) copy(to, from net.Conn, isAnswer bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 1024)
	for {
		n, err := from.Read(buf)
		if isAnswer {
			var last bool
			if n, last = w.limitAnswer(n); last {
				to.Write(buf[:n])
				return
			}
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err == io.EOF || err != nil {
			return
		}
	}
}

// limitAnswer returns how many of n answer bytes may pass and whether the connection ends after them.
// A cut happens once, so later connections pass unchanged.
func (w *proxy) limitAnswer(n int) (int, bool) {
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

package launcher

import (
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Listener serves a stand-in on one address and can crash and come back there.
type Listener struct {
	mu      sync.Mutex
	addr    string
	handler http.Handler
	server  *http.Server
	crashes int
}

// NewListener serves a handler.
func NewListener(addr string, h http.Handler) (*Listener, error) {
	l := &Listener{addr: addr, handler: h}
	return l, l.start()
}

func (l *Listener) start() error {
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("listen for stand-in: %w", err)
	}
	l.addr = listener.Addr().String()
	l.server = &http.Server{Handler: l.handler}
	// Serve returns when the server is closed, which is how a stand-in ends.
	go func(s *http.Server) { _ = s.Serve(listener) }(l.server)
	return nil
}

// URL returns the address of the stand-in.
func (l *Listener) URL() string { return "http://" + l.addr }

// Crash ends the stand-in and all its connections at once.
func (l *Listener) Crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes++
	l.server.Close()
}

// Crashes returns how often the stand-in crashed.
func (l *Listener) Crashes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashes
}

// Restart serves again on the same address.
func (l *Listener) Restart() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.start()
}

// Close ends the stand-in.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server.Close()
}

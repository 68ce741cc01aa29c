package launcher

import (
	"fmt"
	"net"
	"net/http"
	"sync"
)

// RestartableServer is the HTTP server of a stand-in; it can crash and restart on the same address.
type RestartableServer struct {
	mu      sync.Mutex
	addr    string
	handler http.Handler
	server  *http.Server
	crashes int
}

// NewRestartableServer starts a server for h on addr.
func NewRestartableServer(addr string, h http.Handler) (*RestartableServer, error) {
	s := &RestartableServer{addr: addr, handler: h}
	return s, s.start()
}

func (s *RestartableServer) start() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen for stand-in: %w", err)
	}
	s.addr = listener.Addr().String()
	s.server = &http.Server{Handler: s.handler}
	// Serve always returns an error; the expected one reports that Crash or Close closed the server.
	go func(srv *http.Server) { _ = srv.Serve(listener) }(s.server)
	return nil
}

// URL returns the base URL of the server.
func (s *RestartableServer) URL() string { return "http://" + s.addr }

// Crash closes the listener and all connections at once.
func (s *RestartableServer) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	s.server.Close()
}

// Crashes returns the number of calls of Crash.
func (s *RestartableServer) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Restart listens and serves again on the same address.
func (s *RestartableServer) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start()
}

// Close stops the server and closes its connections.
func (s *RestartableServer) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server.Close()
}

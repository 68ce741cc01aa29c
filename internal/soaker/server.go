package soaker

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// server is a place for a backend server: lives follow each other there, each with a name of its own.
type server struct {
	slot    int
	service string
	zone    string
	store   *standin.Store
	seen    func(standin.Arrival)
	// link is what entries reach it by.
	link *proxy
	// turn lets one fault at a time end and begin lives.
	turn sync.Mutex

	mu      sync.Mutex
	life    int
	entry   standin.Server
	handler *standin.Handler
	http    *http.Server
}

// listenTries bounds the tries to take the address of the life before.
const listenTries = 50

// begin starts the next life and announces it.
func (s *server) begin() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := "127.0.0.1:0"
	if s.link != nil {
		target = s.link.target
	}
	l, err := net.Listen("tcp4", target)
	for n := 0; err != nil && n < listenTries; n++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp4", target)
	}
	if err != nil {
		return fmt.Errorf("start backend server %d: %w", s.slot, err)
	}
	if s.link == nil {
		if s.link, err = newProxy("127.0.0.1:0", l.Addr().String()); err != nil {
			return err
		}
	}
	s.link.set(link{})
	s.life++
	s.entry = standin.Server{
		ID: fmt.Sprintf("i-%d-%d", s.slot, s.life), Service: s.service, Address: s.link.address(), Zone: s.zone, Version: "v1",
		Slots: 32, StartUnixMilli: time.Now().UnixMilli(),
	}
	s.handler = standin.NewHandler(s.entry, s.seen)
	s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second}
	go func(h *http.Server) {
		// Serve returns when the life ends.
		_ = h.Serve(l)
	}(s.http)
	return s.store.Announce(s.entry)
}

// crash ends the life without a word.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.set(link{refuse: true})
	_ = s.http.Close()
	s.link.reset()
}

// leave announces that the life ends.
func (s *server) leave() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Draining = true
	return s.store.Announce(s.entry)
}

func (s *server) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.ID
}

func (s *server) harm(f standin.ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler.SetFaults(f)
}

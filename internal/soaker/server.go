package soaker

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// serverSlot runs one backend server after another at one address, each with an ID of its own.
type serverSlot struct {
	index     int
	service   string
	zone      string
	store     *standin.Store
	onArrival func(standin.Arrival)
	// onCrash is called with the server's id if a part of a prompt crashes it.
	onCrash func(id, part string)
	// onCold is called with the server's id when it starts; nil if its servers are never cold.
	onCold func(id string)
	// link is the proxy through which entries reach the backend server.
	link *proxy
	// faultMu lets one fault at a time stop and start backend servers.
	faultMu sync.Mutex

	mu          sync.Mutex
	incarnation int
	down        bool
	info        standin.Server
	handler     *standin.Handler
	// faults holds the switches of the faults in effect.
	faults []*standin.ServerFaults
	http   *http.Server
}

// maxListenTries bounds the attempts to listen at the address of the previous backend server.
const maxListenTries = 50

// launch starts the next backend server and announces it in the store.
func (s *serverSlot) launch() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := "127.0.0.1:0"
	if s.link != nil {
		target = s.link.target
	}
	l, err := listenAgain(target)
	if err != nil {
		return fmt.Errorf("start backend server %d: %w", s.index, err)
	}
	if s.link == nil {
		if s.link, err = newProxy("127.0.0.1:0", l.Addr().String(), false); err != nil {
			return err
		}
	}
	s.link.setLink(link{})
	if s.incarnation > 0 {
		if err := s.link.goUp(); err != nil {
			return fmt.Errorf("start backend server %d: %w", s.index, err)
		}
	}
	s.incarnation++
	s.down = false
	s.info = standin.Server{
		ID: fmt.Sprintf("i-%d-%d", s.index, s.incarnation), Service: s.service, Address: s.link.address(), Zone: s.zone, Version: "v1",
		Slots: 32, StartUnixMilli: time.Now().UnixMilli(),
	}
	id := s.info.ID
	if s.onCold != nil {
		s.info.Cold = coldTime
		s.onCold(id)
		go s.warmUp(id)
	}
	s.faults = nil
	s.handler = standin.NewHandler(s.info, s.onArrival, func(part string) { s.onCrash(id, part) })
	s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second, ConnContext: standin.ConnContext}
	go func(h *http.Server) {
		// Serve returns when crash closes the backend server.
		_ = h.Serve(l)
	}(s.http)
	return s.store.Announce(s.info)
}

// crash ends the backend server without an announcement, resets its connections and refuses new ones.
func (s *serverSlot) crash() { s.crashIfUp(s.id()) }

// crashIfUp crashes the backend server if it still has the id, and reports whether it did.
func (s *serverSlot) crashIfUp(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.info.ID != id {
		return false
	}
	s.down = true
	_ = s.http.Close()
	s.link.goDown()
	return true
}

// listenAgain listens at an address that another listener may have left just now.
func listenAgain(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	for n := 0; err != nil && n < maxListenTries; n++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp4", address)
	}
	return l, err
}

// announceDrain announces in the store that the backend server drains.
func (s *serverSlot) announceDrain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info.Draining = true
	return s.store.Announce(s.info)
}

// announceAgain writes the entry of the backend server once more, unless it is down.
func (s *serverSlot) announceAgain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil
	}
	return s.store.Announce(s.info)
}

func (s *serverSlot) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info.ID
}

// addFaults adds fault switches to those that other faults have set, and returns a function that takes them back. A
// backend server that starts has none.
func (s *serverSlot) addFaults(f standin.ServerFaults) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := &f
	s.faults = append(s.faults, added)
	s.applyFaults()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = slices.DeleteFunc(s.faults, func(g *standin.ServerFaults) bool { return g == added })
		s.applyFaults()
	}
}

func (s *serverSlot) applyFaults() {
	var merged standin.ServerFaults
	for _, f := range s.faults {
		merged = merged.Merge(*f)
	}
	s.handler.SetFaults(merged)
}

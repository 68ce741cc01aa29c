package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/hasher"
)

// manner is how a version of a backend server's software works.
type manner struct {
	// work is how long a request takes.
	work time.Duration
	// far is set if the servers are in another region than the entries.
	far bool
	// badRate is the share of requests that fail or, if slowFactor is set, take that many times as long.
	badRate, slowFactor float64
}

// server is a stand-in for a backend server. It works on slots requests at a time and lets queue more wait.
type server struct {
	w                             *world
	id, service, version, address string
	slots, queue                  int
	manner                        manner
	born                          int64
	http                          *http.Server
	places                        chan struct{}
	running, waiting              atomic.Int32
}

var serverCount atomic.Int32

// startServer starts a backend server and writes its entry to the store.
func (w *world) startServer(service, version string, slots int, m manner) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		w: w, id: fmt.Sprintf("i-%04x", 0x7f3a+int(serverCount.Add(1))), service: service, version: version, address: l.Addr().String(),
		slots: slots, queue: 4 * slots, manner: m, born: time.Now().UnixMilli(), places: make(chan struct{}, slots),
	}
	s.http = &http.Server{Handler: s}
	go func() {
		// Serve returns when the server stops.
		_ = s.http.Serve(l)
	}()
	w.note("server %s (%s %s) starts", s.id, service, version)
	return s, s.announce("ready")
}

func (s *server) announce(state string) error {
	return s.w.store.Set("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone(), "version": s.version, "slots": s.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": s.born,
	})
}

func (s *server) zone() string {
	if s.manner.far {
		return farZone
	}
	return zone
}

// travel waits for as long as a message takes between the server and the entries.
func (s *server) travel() {
	if s.manner.far {
		time.Sleep(farLink)
	}
}

// leave announces that the server drains, serves on for a while, and ends.
func (s *server) leave() error {
	s.w.note("server %s (%s) drains", s.id, s.version)
	if err := s.announce("draining"); err != nil {
		return err
	}
	time.Sleep(drain + time.Second)
	s.stop()
	s.w.store.Remove("servers/" + s.id)
	return nil
}

// stop ends the server at once.
func (s *server) stop() {
	s.w.note("server %s (%s) ends", s.id, s.version)
	_ = s.http.Close()
}

// lapse is how long the store keeps the entry of a server that ended: three intervals of its pings.
const lapse = 3600 * time.Millisecond

// stopAll ends servers without draining, as the platform does once a roll-out is completed.
func stopAll(w *world, servers []*server) {
	for _, s := range servers {
		s.stop()
		time.AfterFunc(lapse, func() { w.store.Remove("servers/" + s.id) })
	}
}

// ServeHTTP answers one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.travel()
	a := arrival{
		id: r.Header.Get("X-Request-Id"), server: s.id, service: s.service, version: s.version, session: r.Header.Get("Session"), at: time.Now(),
	}
	defer func() {
		if a.ended.IsZero() {
			a.ended = time.Now()
		}
		s.w.arrived(a)
		s.w.note("server %s (%s) had request %s from %.3f to %.3f: ran %v, status %d", s.id, s.version, a.id, s.w.since(a.at), s.w.since(a.ended), a.ran, a.status)
	}()
	left := time.Minute
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("X-Request-Id", a.id)
	refuse := func(status int) {
		a.status = status
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if r.Header.Get("X-Expect-Replica") != s.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), a.at.Add(left))
	defer cancel()
	if int(s.waiting.Add(1)) > s.slots+s.queue {
		s.waiting.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.places <- struct{}{}:
		s.waiting.Add(-1)
	case <-ctx.Done():
		s.waiting.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.running.Add(1)
	defer func() { s.running.Add(-1); <-s.places }()
	a.ran = true
	bad := hasher.ToUnitInterval(a.id+s.version) < s.manner.badRate
	work := s.manner.work
	if bad && s.manner.slowFactor > 0 {
		work, a.slow = time.Duration(float64(work)*s.manner.slowFactor), true
	}
	t := time.NewTimer(work)
	defer t.Stop()
	status := http.StatusOK
	select {
	case <-t.C:
		if bad && s.manner.slowFactor == 0 {
			status = http.StatusInternalServerError
		}
	case <-ctx.Done():
		if r.Context().Err() != nil {
			// The entry has left.
			panic(http.ErrAbortHandler)
		}
		status = http.StatusGatewayTimeout
	}
	a.status, a.ended = status, time.Now()
	s.travel()
	h.Set("X-Replica-Seal", s.id+"."+a.id)
	h.Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d", s.running.Load()-1, s.waiting.Load(), s.slots))
	w.WriteHeader(status)
	// A write error means that the entry left.
	_, _ = io.WriteString(w, "done "+a.id+"\n")
}

// isBad reports whether the answer of a server shows that its version is bad.
func (a arrival) isBad() bool { return a.ran && (a.slow || a.status >= http.StatusInternalServerError) }

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// arrival is a request that reached a replica.
type arrival struct {
	ID, Replica, Tenant, Path, Kind string
	Key                             bool
	At                              time.Time
	Ran                             bool
}

// replica is a stand-in for a backend server that does what the pages allow.
type replica struct {
	world   *world
	name    string
	service string
	slots   int
	// serve answers a request that the replica runs.
	serve func(r *replica, rw http.ResponseWriter, req *http.Request)
	// onArrival is called with each request; it may be nil.
	onArrival func(arrival)

	mu     sync.Mutex
	starts int
	id     string
	addr   string
	server *http.Server
	conns  map[net.Conn]bool
	down   bool
	// leaving is set once the replica has announced that it drains.
	leaving bool
	born    int64
}

// addReplica starts a replica and registers it in the store.
func (w *world) addReplica(name, service string, slots int, serve func(*replica, http.ResponseWriter, *http.Request), onArrival func(arrival)) (*replica, error) {
	r := &replica{world: w, name: name, service: service, slots: slots, serve: serve, onArrival: onArrival}
	w.replicas = append(w.replicas, r)
	return r, r.launch()
}

// launch starts the next lifetime of the replica, under a new id.
func (r *replica) launch() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	addr := r.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", addr)
	for n := 0; err != nil && n < 100; n++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp4", addr)
	}
	if err != nil {
		return err
	}
	r.starts++
	r.addr, r.id, r.down, r.conns = l.Addr().String(), fmt.Sprintf("i-%s-%d", r.name, r.starts), false, map[net.Conn]bool{}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second, ConnState: r.track}
	go func(s *http.Server) {
		// Serve returns when the replica ends.
		_ = s.Serve(l)
	}(r.server)
	r.leaving, r.born = false, time.Now().UnixMilli()
	r.world.note("replica %s: started at %s", r.id, r.addr)
	return r.announce()
}

// announce writes the replica's entry to the store; the caller holds the lock.
func (r *replica) announce() error {
	return r.world.platform.store.Announce(standin.Server{
		ID: r.id, Service: r.service, Address: r.addr, Zone: "addis-bole", Version: "v1", Slots: r.slots, StartUnixMilli: r.born, Draining: r.leaving,
	})
}

// drain announces that the replica leaves and returns when the store had accepted that. The replica goes on serving.
func (r *replica) drain() (time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	err := r.announce()
	now := time.Now()
	r.world.note("replica %s: draining, accepted by the store", r.id)
	return now, err
}

func (r *replica) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

func (r *replica) track(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// crash ends the replica at once: it resets its channels and refuses new ones.
func (r *replica) crash() {
	r.mu.Lock()
	if r.down || r.server == nil {
		r.mu.Unlock()
		return
	}
	r.down = true
	for c := range r.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	s, id := r.server, r.id
	r.mu.Unlock()
	_ = s.Close()
	r.world.note("replica %s: crashed", id)
	r.world.platform.store.Remove("servers/" + id)
}

func (r *replica) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// ServeHTTP receives one request.
func (r *replica) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	id := r.currentID()
	a := arrival{
		ID: req.Header.Get("X-Request-Id"), Replica: id, Tenant: req.Header.Get("X-Tenant"), Path: req.URL.Path,
		Key: req.Header.Get("Authorization") != "", At: time.Now(), Kind: req.Header.Get("X-Kind"),
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	rw.Header().Set("X-Request-Id", a.ID)
	if r.isLeaving() {
		rw.Header().Set("Connection", "close")
	}
	if req.Header.Get("X-Expect-Replica") != id {
		r.arrived(a)
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.Ran = true
	r.arrived(a)
	rw.Header().Set("X-Replica-Seal", standin.Seal(a.ID, id))
	r.serve(r, rw, req)
}

func (r *replica) arrived(a arrival) {
	r.world.note("replica %s: request %s, path %s, tenant %q, ran %v", a.Replica, a.ID, a.Path, a.Tenant, a.Ran)
	if r.onArrival != nil {
		r.onArrival(a)
	}
}

// arrivals collects what replicas received.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) add(one arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, one)
}

func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.all...)
}

// of returns the arrivals of one request.
func (a *arrivals) of(id string) []arrival {
	var out []arrival
	for _, one := range a.list() {
		if one.ID == id {
			out = append(out, one)
		}
	}
	return out
}

package forwarder

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// state is what net/http last said of the connection; since is when it changed.
	state http.ConnState
	since time.Time
	// request is the id of the last request.
	request string
	closed  bool
}

type callerConnKey struct{}

// beginRequest marks the connection as busy with a request and reports whether it is still open.
func (c *callerConn) beginRequest(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.request = http.StateActive, id
	return !c.closed
}

// close closes the connection, with onlyIdle set only if no request runs on it. A request that was read
// meanwhile finds it closed and does not run.
func (c *callerConn) close(onlyIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.state == http.StateIdle || !onlyIdle) && !c.closed {
		c.closed = true
		// The caller learns of the end in any case.
		_ = c.Close()
	}
}

// track adds a connection that was just accepted.
func (g *generation) track(conn net.Conn, now time.Time) *callerConn {
	c := &callerConn{Conn: conn, since: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = c
	return c
}

// trackState records whether a connection is idle.
func (g *generation) trackState(conn net.Conn, s http.ConnState) {
	g.mu.Lock()
	c := g.conns[conn]
	if s == http.StateClosed || s == http.StateHijacked {
		delete(g.conns, conn)
	}
	g.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, time.Now()
}

// firstRequestTime is how long a new connection may take to send its first request while its entry stops.
const firstRequestTime = time.Second

func (g *generation) list() []*callerConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.conns))
}

// logOpen logs the connections that the end of a stop closes although a request runs on them or may come.
func (g *generation) logOpen(cfg frontendConfig, now time.Time) {
	for _, c := range g.list() {
		c.mu.Lock()
		state, since, id, closed := c.state, c.since, c.request, c.closed
		c.mu.Unlock()
		if closed {
			continue
		}
		cfg.Meter.Count("stop/open/"+state.String(), 1)
		cfg.Log.Warn().Str("request", id).Str("state", state.String()).Dur("age", now.Sub(since)).Str("caller", c.RemoteAddr().String()).
			Msg("forwarder: the stop closes a connection that is not idle")
	}
}

// closeAll closes all connections.
func (g *generation) closeAll() {
	for _, c := range g.list() {
		c.close(false)
	}
}

// closeIdle closes the idle connections and reports whether requests may still arrive on others, which were
// opened or got a request just before now.
func (g *generation) closeIdle(now time.Time) (busy bool) {
	for _, c := range g.list() {
		c.close(true)
		c.mu.Lock()
		busy = busy || c.state != http.StateIdle && now.Sub(c.since) < firstRequestTime
		c.mu.Unlock()
	}
	return busy
}

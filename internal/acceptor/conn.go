package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/peeker"
)

const (
	// firstRequestTime is how long a new connection may take to send its first byte while its entry stops.
	firstRequestTime = time.Second
	// lingerTime is how long a caller that has received everything may take to close its side of a connection, and
	// maxLinger how long one may take in all.
	lingerTime = time.Second
	maxLinger  = 10 * time.Second
	// sendBufferBytes is how much of an answer the kernel holds for a caller that does not read it, where it would hold
	// up to 4 MiB; Linux doubles the value. It is enough for 10 MB/s over the 24 ms between regions.
	sendBufferBytes = 128 << 10
	// crossedBytes is how much is kept of a request that crossed the closing of its connection, to log its id.
	crossedBytes = 4 << 10
)

// callerConn is a caller's connection. Close ends only the entry's side; the connection is released once the caller has
// closed its side as well. Closing both at once resets the connection if the caller has sent more bytes, and the reset
// drops what the caller has not received yet.
type callerConn struct {
	net.Conn
	cfg Config
	// headerBytes is the limit for headers that holds on it.
	headerBytes int
	// released is called once the connection is closed on both sides.
	released func(*callerConn)

	// reading is held during a read. receiving is set once bytes have arrived in the state.
	reading   sync.Mutex
	receiving atomic.Bool

	mu sync.Mutex
	// state is what net/http last said of the connection; since is when it changed. net/http says idle only after it
	// has flushed the answer, and active only after it has read the head of the request.
	state http.ConnState
	since time.Time
	// request is the id of the last request.
	request string
	// deadline is the one that net/http has set for reads.
	deadline time.Time
	closing  bool
	// resets is set while closing the connection resets it.
	resets bool
}

type connKey struct{}

// pastDeadline ends a read that waits.
var pastDeadline = time.Unix(1, 0)

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.readOnce(b)
		c.mu.Lock()
		closing, deadline := c.closing, c.deadline
		c.mu.Unlock()
		switch {
		case n > 0:
			return n, err
		case closing:
			return 0, net.ErrClosed
		case !errors.Is(err, os.ErrDeadlineExceeded) || !deadline.IsZero() && !time.Now().Before(deadline):
			return n, err
		}
		// closeIfQuiet ended the read and left the connection open.
	}
}

func (c *callerConn) readOnce(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.receiving.Store(true)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. While the connection is closing, the deadline is not net/http's to set.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

// closeLocked closes the entry's side; c.mu is held.
func (c *callerConn) closeLocked() error {
	if c.closing {
		return nil
	}
	c.closing = true
	// A read of net/http that waits must end, since the rest is read here.
	err := c.Conn.SetReadDeadline(pastDeadline)
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if c.resets {
		ok = false
	}
	if ok && err == nil {
		err = w.CloseWrite()
	}
	if !ok || err != nil {
		defer c.released(c)
		return errors.Join(err, c.Conn.Close())
	}
	go c.linger((c.state == http.StateIdle || c.state == http.StateNew) && !c.receiving.Load())
	return nil
}

// ResetOnClose sets whether closing the connection of a request, also by the end of the process, resets it. The context
// is the request's.
func ResetOnClose(ctx context.Context, on bool) {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = on
	seconds := -1
	if on {
		seconds = 0
	}
	if tc, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		// This fails only if the connection is closed, which the next write reports.
		_ = tc.SetLinger(seconds)
	}
}

// linger waits until the connection may be closed on both sides, and closes it. What the caller still sends is read,
// so that no reset drops what it has yet to receive. Bytes that follow the closing of an idle connection, or of one
// without a request, are a request that crossed it: they stay unread once the caller has its last answer, and the
// reset says so.
func (c *callerConn) linger(idle bool) {
	c.reading.Lock()
	defer c.reading.Unlock()
	defer c.released(c)
	b := make([]byte, crossedBytes)
	start := time.Now()
	for {
		// An error means that the connection is closed, which the next call reports as well.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		n, err := peeker.Await(c.Conn, b)
		if idle && n > 0 {
			c.logCrossed(requestID(b[:n], c.cfg.RequestHeader))
			if peeker.Unacknowledged(c.Conn) <= finLength {
				break
			}
			idle = false
		}
		if n > 0 || errors.Is(err, errors.ErrUnsupported) {
			_, err = c.Conn.Read(b)
		} else if err == nil {
			err = io.EOF
		}
		if isLingerOver(err, peeker.Unacknowledged(c.Conn), time.Since(start)) {
			break
		}
		if errors.Is(err, io.EOF) {
			time.Sleep(quietCheckInterval)
		}
	}
	_ = c.Conn.Close()
}

// finLength is what the end of the entry's side itself counts in a connection's sequence numbers.
const finLength = 1

// requestID returns the id of a request that begins with b, or the empty string if b does not hold its head.
func requestID(b []byte, header string) string {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
	if err != nil {
		return ""
	}
	return r.Header.Get(header)
}

// isLingerOver reports whether a connection whose own side is closed may be closed on both: the caller has closed its
// side or is out of time, and its host has all that was sent. Err is the result of the last read.
func isLingerOver(err error, unacknowledged int, took time.Duration) bool {
	var timeout interface{ Timeout() bool }
	switch {
	case took >= maxLinger:
		return true
	case err == nil:
		return false
	case errors.Is(err, io.EOF), errors.As(err, &timeout) && timeout.Timeout():
		return unacknowledged == 0
	}
	return true
}

// hasUnread reports whether bytes wait in the socket.
func hasUnread(c net.Conn) bool {
	n, err := peeker.Peek(c)
	return err == nil && n > 0
}

// beginRequest marks the connection as busy with a request and reports whether it is still open.
func (c *callerConn) beginRequest(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.request = http.StateActive, id
	return !c.closing
}

func (c *callerConn) logCrossed(id string) {
	c.cfg.Meter.Count("stop/crossed", 1)
	c.cfg.Log.Info().Str("request", id).Str("caller", c.RemoteAddr().String()).
		Msg("acceptor: a request crossed the closing of its idle connection and does not run")
}

// closeIfQuiet closes the connection if its last answer is flushed and no byte of another request has arrived.
func (c *callerConn) closeIfQuiet(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.since) >= firstRequestTime
	if c.closing || !quiet || c.receiving.Load() {
		return
	}
	// No read may take bytes from the socket between the check and the closing.
	if err := c.Conn.SetReadDeadline(pastDeadline); err != nil {
		_ = c.closeLocked()
		return
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.receiving.Load() || hasUnread(c.Conn) {
		// An error means that the connection is closed, which the next read reports as well.
		_ = c.Conn.SetReadDeadline(c.deadline)
		return
	}
	// The caller learns of the end in any case.
	_ = c.closeLocked()
}

// cut closes the connection at the end of a stop, whatever runs on it.
func (c *callerConn) cut(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state.String()
	if c.closing {
		state = "closing"
	}
	c.closing = true
	c.cfg.Meter.Count("stop/open/"+state, 1)
	c.cfg.Log.Warn().Str("request", c.request).Str("state", state).Dur("age", now.Sub(c.since)).Int("unsent", peeker.Unacknowledged(c.Conn)).
		Str("caller", c.RemoteAddr().String()).Msg("acceptor: the stop closes a connection that is not idle")
	_ = c.Conn.Close()
}

// track adds a connection that was just accepted.
func (g *generation) track(conn net.Conn, now time.Time) *callerConn {
	c := &callerConn{Conn: conn, cfg: g.cfg, headerBytes: g.limits.HeaderBytes, since: now, released: g.release}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = true
	return c
}

func (g *generation) release(c *callerConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// trackState records what net/http says of a connection.
func trackState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, time.Now()
	c.receiving.Store(false)
	if s == http.StateIdle {
		// The handler's deadline for its answer must not fail what net/http itself writes next.
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
}

func (g *generation) list() []*callerConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.conns))
}

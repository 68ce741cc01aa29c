package dialer

import (
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/peeker"
)

const (
	// resetWait is how long a reset may take that answers bytes on their way: several round trips between regions.
	resetWait = 300 * time.Millisecond
	// resetPoll is how often the state of the connection is looked at meanwhile.
	resetPoll = time.Millisecond
)

// ErrResetDuringRequest means that the peer ended a connection while a request was being written to it.
var ErrResetDuringRequest = errors.New("the connection was reset while the request was being written")

// RequestWrite is the write of a request that goes on beside the read of its answer.
type RequestWrite interface {
	// Window returns what InspectTransfer told of the peer's window before the write, when the peer had read all, or 0.
	Window() int
	// Ended reports whether the write has ended.
	Ended() bool
	// Result waits for the end of the write and returns its error.
	Result() error
}

// EndError returns the error that ended a connection whose last read returned io.EOF, or nil if the peer closed its side in
// order. Two ends look like that to a read and are none:
//
// Linux reports the error of a connection to one system call only. If that was the write, a read beside it finds a regular end.
//
// The host of a process that has ended closes the connection in order if the process had read all that came, and resets it when
// more of the request arrives. EndError waits for that while a part of the request is on its way.
func EndError(c net.Conn, w RequestWrite) error {
	var first *peeker.Transfer
	for start := time.Now(); ; time.Sleep(resetPoll) {
		// Asked before the state, which then shows all that was written.
		ended := w.Ended()
		t, err := peeker.InspectTransfer(c)
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// The kernel does not tell.
			return nil
		case t.Closed:
			return closeError(t, w)
		}
		if first == nil {
			first = &t
		}
		if isClosedInOrder(*first, t, w.Window(), ended) || time.Since(start) > resetWait {
			return nil
		}
	}
}

// closeError returns the error that ended a connection, or nil if the peer had closed its side in order before.
func closeError(t peeker.Transfer, w RequestWrite) error {
	// After the peer has closed its side, the kernel reports a reset as EPIPE.
	if err := w.Result(); err != nil && !errors.Is(err, syscall.EPIPE) {
		return err
	}
	if t.InFlight > 0 && !holdsUnread(t, w.Window()) {
		return ErrResetDuringRequest
	}
	return nil
}

// isClosedInOrder reports whether a peer that has closed its side of a connection still takes what comes, has not ended, or has
// all of the request. The first state is that when the end was read, now the present one.
func isClosedInOrder(first, now peeker.Transfer, window int, ended bool) bool {
	return now.Acked > first.Acked || holdsUnread(now, window) || ended && now.InFlight == 0 && now.Unsent == 0
}

// holdsUnread reports whether the peer's host holds bytes that its process has not read, by the window before the request. The
// host of a process that ends with unread bytes resets the connection and does not close it in order.
func holdsUnread(t peeker.Transfer, window int) bool { return t.Window < window }

// ReportErrors returns a connection whose reads return the error that ended it as EndError does.
func ReportErrors(c net.Conn) net.Conn { return &reportingConn{Conn: c} }

// TraceRequest returns the trace that a request on a connection of ReportErrors must carry, which tells when all of it is written.
func TraceRequest() *httptrace.ClientTrace {
	var c *reportingConn
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, _ = info.Conn.(*reportingConn); c != nil {
				c.begin()
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c != nil {
				c.writing.Store(false)
			}
		},
	}
}

type reportingConn struct {
	net.Conn
	// mu is held while a write is under way.
	mu       sync.Mutex
	writeErr error
	// writing is set while a request is being written.
	writing atomic.Bool
	window  atomic.Int64
}

// begin notes that a request is going to be written.
func (c *reportingConn) begin() {
	// An error means that the kernel does not tell.
	t, _ := peeker.InspectTransfer(c.Conn)
	c.window.Store(int64(t.Window))
	c.writing.Store(true)
}

// Read implements net.Conn.
func (c *reportingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if endErr := EndError(c.Conn, c); endErr != nil {
		return n, endErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *reportingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Window implements RequestWrite.
func (c *reportingConn) Window() int { return int(c.window.Load()) }

// Ended implements RequestWrite.
func (c *reportingConn) Ended() bool { return !c.writing.Load() }

// Result implements RequestWrite.
func (c *reportingConn) Result() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

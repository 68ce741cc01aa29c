package dialer

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/bramleyhinge/bramleyhinge/internal/peeker"
)

// HiddenError returns the error that ended a connection whose last read returned io.EOF, or nil if the peer closed its side.
// Linux reports the error of a connection to one system call only: if that was a write, a read that waits beside it finds a
// regular end. The function write returns the result of the last write, and waits for one that is under way: on a
// closed connection it ends at once.
func HiddenError(c net.Conn, write func() error) error {
	if !peeker.IsClosed(c) {
		return nil
	}
	// After the peer has closed its side, the kernel reports a reset as EPIPE. All that the peer sent was read then.
	if err := write(); err != nil && !errors.Is(err, syscall.EPIPE) {
		return err
	}
	return nil
}

// ReportErrors returns a connection whose reads return the error that ended it also if a write took that error.
func ReportErrors(c net.Conn) net.Conn { return &reportingConn{Conn: c} }

type reportingConn struct {
	net.Conn
	// mu is held while a write is under way.
	mu       sync.Mutex
	writeErr error
}

// Read implements net.Conn.
func (c *reportingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	hidden := HiddenError(c.Conn, func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.writeErr
	})
	if hidden != nil {
		return n, hidden
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

package forwarder

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// dialTimeout is ten round trips between regions: a backend server that is dark is left soon.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay without acknowledgement by the peer's
	// kernel, which a busy process does not delay.
	unackedTimeout = 800 * time.Millisecond
	// probeIdle and probeEvery find a peer that went dark while its answer is awaited.
	probeIdle     = time.Second
	probeInterval = time.Second
	// defaultKeepAlive is how long an idle connection is used again if the peer does not say.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin goes off the time that the peer says, for the way of the next request.
	keepAliveMargin = 500 * time.Millisecond
	readBufferBytes = 8 << 10
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	r      *bufio.Reader
	reused bool
	// idleSince is when it fell idle, usableUntil when it may be used again.
	idleSince, usableUntil time.Time
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: 2},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			controlErr := rc.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBufferBytes)}, nil
}

// isUsable reports whether an idle connection may take another request. A fresh above zero asks
// for one that was in use that recently.
func (c *conn) isUsable(now time.Time, maxIdle time.Duration) bool {
	return now.Before(c.usableUntil) && (maxIdle == 0 || now.Sub(c.idleSince) < maxIdle)
}

// isOpenAndQuiet reports whether the peer has neither closed the connection nor sent bytes that no
// request asked for.
func (c *conn) isOpenAndQuiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// close drops the connection; errors of a connection that is given up tell nothing.
func (c *conn) close() { _ = c.Conn.Close() }

// connect returns a connection to the peer: one that idles unless a new one is asked for.
func (f *Forwarder) connect(ctx context.Context, p *peer, repeat model.Repeat, newConn bool, now time.Time) (*conn, error) {
	maxIdle := time.Duration(0)
	if repeat == model.RepeatNever {
		// A connection that the peer closes as the request arrives leaves open whether it ran.
		maxIdle = nonIdempotentMaxIdle
	}
	if !newConn {
		if c := p.takeIdleConn(now, maxIdle); c != nil {
			c.reused = true
			return c, nil
		}
	}
	f.cfg.Meter.Count("connections/opened", 1)
	return dial(ctx, p.server.Address)
}

// nonIdempotentMaxIdle is how recently a connection must have been in use for a request that must not
// run twice; backend servers may drop idle ones without notice.
const nonIdempotentMaxIdle = 250 * time.Millisecond

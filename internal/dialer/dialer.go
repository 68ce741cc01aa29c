// Package dialer opens TCP connections on which silence is an error: a path that went dead resets nothing, and by
// default the kernel sends bytes again for a quarter of an hour.
package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleyhinge/bramleyhinge/internal/validator"
)

const (
	// Unacked is how long sent bytes may remain unacknowledged. The peer's kernel acknowledges them, so a busy or slow
	// process causes no delay, unless more is sent than its receive window holds (SetUnacked).
	Unacked = 800 * time.Millisecond
	// probeInterval is the time without bytes after which a probe is sent, and the interval of probes; the kernel counts
	// in seconds. An unanswered probe ends the connection Unacked after the last bytes, when the next one is due.
	probeInterval = time.Second
	// Silence is how long a connection on which nothing is sent may be silent: a probe and the interval after it.
	Silence = 2 * probeInterval
	// maxHeadBytes is the longest head of an answer.
	maxHeadBytes = 64 << 10
	// idleTimeout keeps a connection open between the calls of a watch.
	idleTimeout = 30 * time.Second
)

// New returns a dialer that gives up after a timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 2},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			controlErr := rc.Control(func(fd uintptr) { err = setUnacked(fd, Unacked) })
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// SetUnacked changes how long bytes that are sent on a connection may remain unacknowledged; 0 sets no bound. A peer that
// reads a long message slowly closes its receive window, and the kernel counts that like a path that went dead.
func SetUnacked(c net.Conn, d time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := rc.Control(func(fd uintptr) { err = setUnacked(fd, d) })
	return errors.Join(controlErr, err)
}

func setUnacked(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// NewTransport returns an HTTP transport with up to maxIdle idle connections to a host, which checks the answers. When a
// connection falls silent, it closes the idle ones, which may have done so with it: a repeated call would find out one after
// the other.
func NewTransport(timeout time.Duration, maxIdle int) validator.Transport {
	d := New(timeout)
	t := &http.Transport{MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadBytes}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: c, onSilence: t.CloseIdleConnections}, nil
	}
	return validator.Transport{Base: t}
}

// watchedConn is a connection that calls onSilence when the peer fell silent.
type watchedConn struct {
	net.Conn
	onSilence func()
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.onSilence()
	}
	return n, err
}

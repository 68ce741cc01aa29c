package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleyhinge/bramleyhinge/internal/dialer"
	"github.com/bramleyhinge/bramleyhinge/internal/peeker"
	"github.com/bramleyhinge/bramleyhinge/internal/validator"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// dialTimeout is ten round trips between regions, so that unreachable backend servers are given up early.
	dialTimeout = 300 * time.Millisecond
	// defaultKeepAlive is how long an idle connection may be reused if the peer sends no timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the peer's timeout to allow for the transit time of the next request.
	keepAliveMargin = 500 * time.Millisecond
	readBufferBytes = 8 << 10
)

// maxHeadBytes is the largest head of an answer. A backend server in trouble may send bytes without end.
const maxHeadBytes = 64 << 10

var errHeadTooLong = errors.New("the head of the answer does not end")

// headLimit reads from a connection and fails once more than left bytes were read, unless unlimited is set. Until then, it
// calls hold with the number of bytes that were read.
type headLimit struct {
	r         io.Reader
	left      int
	unlimited bool
	hold      func(n int) error
}

// Read implements io.Reader.
func (l *headLimit) Read(b []byte) (int, error) {
	if l.unlimited {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	if holdErr := l.hold(maxHeadBytes - l.left); holdErr != nil {
		return 0, holdErr
	}
	return n, err
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	r      *bufio.Reader
	limit  *headLimit
	reused bool
	// extend is called when a read deadline passes. It reports whether it has set a later one, for which the read waits.
	extend func() bool
	// sending is the write of the current request.
	sending *sending
	// endsAnswer is set while an answer is read that ends with the connection.
	endsAnswer bool
	// late is set once an answer to another request came: more may follow, and they need not name their request.
	late bool
	// idleSince is when the connection became idle, usableUntil is when reuse ends.
	idleSince, usableUntil time.Time
}

func dial(ctx context.Context, address string) (*conn, error) {
	c, err := dialer.New(dialTimeout).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c}
	out.limit = &headLimit{r: out}
	out.r = bufio.NewReaderSize(out.limit, readBufferBytes)
	return out, nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if errors.Is(err, io.EOF) && c.endsAnswer {
			if cause := dialer.EndError(c.Conn, c.sending); cause != nil {
				return n, fmt.Errorf("the connection did not end in order: %w", cause)
			}
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.extend == nil || !c.extend() {
			return n, err
		}
	}
}

// readResponse reads the head of an answer to a request with the method, which part counts meanwhile.
func (c *conn) readResponse(method string, part *heldPart) (*http.Response, error) {
	c.limit.left, c.limit.unlimited, c.endsAnswer = maxHeadBytes, false, false
	c.limit.hold = func(n int) error { return part.resize(headCost*n, time.Now()) }
	resp, err := validator.ReadResponse(c.r, &http.Request{Method: method})
	c.limit.unlimited, c.limit.hold = true, nil
	c.endsAnswer = err == nil && isUnframed(resp)
	if cut := part.resize(0, time.Now()); cut != nil {
		return nil, cut
	}
	return resp, err
}

// answered reports whether any byte came since the last call of readResponse.
func (c *conn) answered() bool { return c.limit.left < maxHeadBytes }

// isUsable reports whether an idle connection may carry another request. If maxIdle is above zero, the
// connection must have been idle for less than that.
func (c *conn) isUsable(now time.Time, maxIdle time.Duration) bool {
	return now.Before(c.usableUntil) && (maxIdle == 0 || now.Sub(c.idleSince) < maxIdle)
}

// isOpenAndQuiet reports whether the peer has neither closed the connection nor sent unsolicited bytes.
func (c *conn) isOpenAndQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	_, err := peeker.Peek(c.Conn)
	return errors.Is(err, unix.EAGAIN)
}

// close closes the connection and ignores the error, because the connection is discarded.
func (c *conn) close() { _ = c.Conn.Close() }

// connect returns an idle connection to the peer, or a new one if there is none or newConn is set.
func (f *Forwarder) connect(ctx context.Context, p *peer, retry model.RetryPolicy, newConn bool, now time.Time) (*conn, error) {
	maxIdle := time.Duration(0)
	if retry == model.RetryNever {
		// If the peer closes the connection while the request arrives, it is unknown whether the request ran.
		maxIdle = nonIdempotentMaxIdle
	}
	if !newConn {
		if c := p.takeIdleConn(now, maxIdle); c != nil {
			c.reused = true
			return c, nil
		}
	}
	f.cfg.Meter.Count("connections/opened", 1)
	start := time.Now()
	c, err := dial(ctx, p.server.Address)
	if err == nil {
		f.distances.observe(p.server.Place, time.Since(start), start)
	}
	return c, err
}

// nonIdempotentMaxIdle is the longest idle time of a connection that may carry a request which must not
// run twice; backend servers may drop idle connections without notice.
const nonIdempotentMaxIdle = 250 * time.Millisecond

package messenger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// pingAfter is how long a connection between processes may be quiet before the peer is asked for an answer, a control
	// connection only while it owes one. Polls are held for less than that and cost no pings.
	pingAfter = time.Second
	// pongTimeout is how long the peer may take to answer a ping: many round trips, and the pauses of a busy process.
	pongTimeout = 600 * time.Millisecond
)

// liveness tells whether the process at the other end of a connection has to prove that it serves it. An acknowledgement
// proves nothing, and a call may wait for long.
type liveness struct {
	// pending is the number of calls that wait for an answer; owed is set while there was none since a call began.
	pending int
	owed    bool
	// quiet is when the last answer came, or the first call began that it owes one to.
	quiet time.Time
}

func (l *liveness) begin(now time.Time) {
	if !l.owed && l.pending == 0 {
		l.quiet = now
	}
	l.pending++
	l.owed = true
}

func (l *liveness) end(answered bool, now time.Time) {
	l.pending--
	if answered {
		l.answer(now)
	}
}

// answer records a proof of life.
func (l *liveness) answer(now time.Time) { l.quiet, l.owed = now, l.pending > 0 }

// pingIn returns after how long the peer must be pinged, and false if it owes no answer.
func (l *liveness) pingIn(now time.Time) (time.Duration, bool) {
	return max(l.quiet.Add(pingAfter).Sub(now), 0), l.owed
}

// heartbeat pings the peer of a connection while it owes an answer, and closes the connection if none comes although the
// peer answers on a new one. A process that is suspended answers on neither, and goes on with its calls later.
type heartbeat struct {
	conn *jsonrpc2.Conn
	// answersAnew reports whether the peer answers on a new connection.
	answersAnew func() bool
	// onSilence is called before the connection is closed.
	onSilence func()

	mu      sync.Mutex
	live    liveness
	running bool
}

func (h *heartbeat) begin(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live.begin(now)
	if !h.running {
		h.running = true
		go h.run()
	}
}

func (h *heartbeat) end(err error, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live.end(isAnswer(err), now)
}

// isAnswer reports whether a call's outcome is one that the peer sent.
func isAnswer(err error) bool {
	var reply *jsonrpc2.Error
	return err == nil || errors.As(err, &reply)
}

// run pings the peer until it owes no answer or the connection ends.
func (h *heartbeat) run() {
	for {
		h.mu.Lock()
		in, owed := h.live.pingIn(time.Now())
		h.running = owed
		h.mu.Unlock()
		switch {
		case !owed:
			return
		case in > 0:
			select {
			case <-time.After(in):
			case <-h.conn.DisconnectNotify():
				return
			}
		case h.ping(time.Now()):
		case !h.answersAnew():
			h.postpone(time.Now())
		default:
			h.onSilence()
			// It is closed already if the connection ended meanwhile.
			_ = h.conn.Close()
			return
		}
	}
}

// postpone has the peer pinged again later.
func (h *heartbeat) postpone(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live.quiet = now
}

// ping asks the peer for an answer and reports whether one came, to this or to another call.
func (h *heartbeat) ping(sent time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pongTimeout)
	defer cancel()
	answered := make(chan bool, 1)
	go func() { answered <- isAnswer(h.conn.Call(ctx, string(MethodPing), Empty{}, nil)) }()
	ok := false
	select {
	case ok = <-answered:
	case <-ctx.Done():
		// Sending may block as well if the peer does not read.
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.live.answer(time.Now())
	}
	return ok || h.live.quiet.After(sent)
}

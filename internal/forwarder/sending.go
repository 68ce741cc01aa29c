package forwarder

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/dialer"
	"github.com/bramleyhinge/bramleyhinge/internal/peeker"
)

// longBodyBytes is the size of a request's body that may not fit into the receive window of a backend server that does
// not read.
const longBodyBytes = 64 << 10

// sending tracks how a request is sent to a backend server. One that reads a long body slowly is not silent.
type sending struct {
	// long is set if the body may not fit into the receive window of the backend server.
	long bool
	// window is what the backend server's host takes while nothing waits to be read.
	window int
	// patience is how long the head of the answer may take after the last byte was read.
	patience time.Duration
	// endedAt is when all was written, in nanoseconds of the Unix time; 0 until then.
	endedAt atomic.Int64
	// done is closed once the write has ended, with err.
	done chan struct{}
	err  error
	// acked is how much the backend server's host had acknowledged at the last check, and unread is set if more was to
	// come. progressAt is when a check last found that it had taken more.
	acked      uint64
	unread     bool
	progressAt time.Time
}

// sendState is how much the backend server's host has acknowledged, and whether more is to come.
type sendState struct {
	acked  uint64
	unread bool
}

// Window implements dialer.RequestWrite.
func (s *sending) Window() int { return s.window }

// Ended implements dialer.RequestWrite.
func (s *sending) Ended() bool { return s.endedAt.Load() != 0 }

func newSending(c net.Conn, body []byte, patience time.Duration) *sending {
	// An error means that the kernel does not tell the window.
	t, _ := peeker.InspectTransfer(c)
	return &sending{window: t.Window, long: len(body) > longBodyBytes, patience: patience, done: make(chan struct{})}
}

// send writes a request, which it does not copy.
func (s *sending) send(c net.Conn, head, body []byte) {
	defer close(s.done)
	if s.long {
		// An error means that the connection is closed, which the write reports.
		_ = dialer.SetUnacked(c, 0)
	}
	parts := net.Buffers{head, body}
	_, s.err = parts.WriteTo(c)
	s.endedAt.Store(time.Now().UnixNano())
}

// Result implements dialer.RequestWrite.
func (s *sending) Result() error {
	<-s.done
	return s.err
}

func (s *sending) state(c net.Conn) sendState {
	return sendState{acked: peeker.Acknowledged(c), unread: !s.Ended() || peeker.Unacknowledged(c) > 0}
}

// waitUntil returns until when the head of the answer may be waited for because of the time that the backend server took
// to read the request: patience after it last took more of a long body.
func (s *sending) waitUntil(state sendState, now time.Time) time.Time {
	if !s.long {
		return time.Time{}
	}
	if at := s.endedAt.Load(); at != 0 {
		s.progressAt = maxTime(s.progressAt, time.Unix(0, at))
	}
	if state.acked > s.acked && (state.unread || s.unread) {
		s.progressAt = now
	}
	s.acked, s.unread = state.acked, state.unread
	if s.progressAt.IsZero() {
		return time.Time{}
	}
	return s.progressAt.Add(s.patience)
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

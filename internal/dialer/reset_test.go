package dialer

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/peeker"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestEndBesideRequest guards against an end beside an unfinished request that counts as one in order although a reset may
// follow, and against a wait for a reset that cannot come.
func TestEndBesideRequest(t *testing.T) {
	type endCase struct {
		Name string
		// Ended is set if all of the request was written.
		Ended                                       bool
		Confirmed, Inflight, Unsent, Window, Before int
		Orderly                                     bool
	}
	for _, c := range tester.Load[endCase](t, "ends.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			first := peeker.Transfer{Acked: 100, InFlight: c.Inflight + c.Confirmed, Unsent: c.Unsent, Window: c.Before}
			now := peeker.Transfer{Acked: first.Acked + uint64(c.Confirmed), InFlight: c.Inflight, Unsent: c.Unsent, Window: c.Window}
			if got := isClosedInOrder(first, now, c.Before, c.Ended); got != c.Orderly {
				t.Errorf("closed in order: %t, want %t", got, c.Orderly)
			}
		})
	}
}

// TestResetBeforeWriteEnds guards against a state of the connection that is older than the end of the write: the last part of the
// request, which the peer's host answers with a reset, is missing in it.
func TestResetBeforeWriteEnds(t *testing.T) {
	address := tester.ServeConns(t, func(net.Conn) {})
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("read: %v, want the end", err)
	}
	if err := EndError(c, &lastWrite{conn: c}); !errors.Is(err, ErrResetDuringRequest) {
		t.Errorf("the end of the connection: %v, want a reset during the request", err)
	}
}

// lastWrite is a RequestWrite that writes the last part when it is asked whether it has ended.
type lastWrite struct {
	conn net.Conn
	err  error
}

func (w *lastWrite) Window() int { return 0 }

func (w *lastWrite) Ended() bool {
	_, w.err = w.conn.Write([]byte("x"))
	for {
		if t, err := peeker.InspectTransfer(w.conn); err != nil || t.Closed {
			return true
		}
		time.Sleep(time.Millisecond)
	}
}

func (w *lastWrite) Result() error { return w.err }

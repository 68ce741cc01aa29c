package tester

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Endless is a server that sends bytes without end.
type Endless struct {
	// Address is the server's host and port.
	Address string
	sent    atomic.Int64
}

// endlessPause is the pause between two pieces. Without it, a client that keeps all would use up the memory of the machine
// before its own timeout.
const endlessPause = time.Millisecond

// ServeEndless starts a server that answers the first bytes on each connection with first and then with more, again and
// again until the client closes.
func ServeEndless(t *testing.T, first, more string) *Endless {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &Endless{Address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c, first, more)
		}
	}()
	return e
}

func (e *Endless) serve(c net.Conn, first, more string) {
	defer c.Close()
	if _, err := c.Read(make([]byte, 64<<10)); err != nil {
		return
	}
	n, err := io.WriteString(c, first)
	for e.sent.Add(int64(n)); err == nil; e.sent.Add(int64(n)) {
		time.Sleep(endlessPause)
		n, err = io.WriteString(c, more)
	}
}

// Sent returns how many bytes clients have taken in all, or have in their sockets' buffers.
func (e *Endless) Sent() int { return int(e.sent.Load()) }

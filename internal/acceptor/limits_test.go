package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
)

// TestRaisedLimitRefusesOpenConnections guards against requests that are refused for their headers, although the limit was raised,
// since their connection was open then: one that was idle, and one on which a request ran.
func TestRaisedLimitRefusesOpenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var limit atomic.Int64
	limit.Store(8 << 10)
	release := make(chan struct{})
	a := New(Config{Meter: meter.New(), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-release
		}
	}), Limits: func() Limits { return Limits{HeaderBytes: int(limit.Load())} }})
	go a.Serve(l)
	t.Cleanup(func() { l.Close() })
	type caller struct {
		net.Conn
		r *bufio.Reader
	}
	dial := func() *caller {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return &caller{c, bufio.NewReader(c)}
	}
	send := func(c *caller, path string, filler int) {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\nFiller: %s\r\n\r\n", path, strings.Repeat("x", filler))
	}
	answer := func(c *caller) *http.Response {
		t.Helper()
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp
	}
	idle, busy := dial(), dial()
	send(idle, "/", 0)
	answer(idle)
	send(busy, "/long", 0)
	limit.Store(64 << 10)
	// A connection that its entry has closed is opened again, as callers do.
	_ = idle.SetReadDeadline(time.Now().Add(4 * limitCheckInterval))
	if _, err := idle.r.Peek(1); err == io.EOF {
		idle = dial()
	}
	send(idle, "/", 32<<10)
	if status := answer(idle).StatusCode; status != http.StatusOK {
		t.Errorf("on a connection that was idle: status %d, want 200", status)
	}
	close(release)
	if resp := answer(busy); resp.Close {
		busy = dial()
	}
	send(busy, "/", 32<<10)
	if status := answer(busy).StatusCode; status != http.StatusOK {
		t.Errorf("on a connection on which a request ran: status %d, want 200", status)
	}
	// One that began after the change, or before a lower limit, stays open.
	late := dial()
	for _, bytes := range []int64{64 << 10, 4 << 10} {
		limit.Store(bytes)
		send(late, "/", 0)
		if resp := answer(late); resp.Close {
			t.Error("a connection with the present limit, or a higher one, is closed")
		}
		time.Sleep(2 * limitCheckInterval)
	}
}

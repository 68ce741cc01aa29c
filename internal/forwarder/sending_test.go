package forwarder

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

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestServerReadsSlowly guards against a backend server that is taken for dead while it reads a long body, and against
// one that is waited for although it has stopped reading.
func TestServerReadsSlowly(t *testing.T) {
	const bodyBytes = 1 << 20
	quick := func(c net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprint(c, answer(req, "", "quick"))
	}
	slow := func(c net.Conn, req *http.Request) {
		b := make([]byte, 16<<10)
		for err := error(nil); err == nil; time.Sleep(40 * time.Millisecond) {
			_, err = io.ReadFull(req.Body, b)
		}
		fmt.Fprint(c, answer(req, "", "slow"))
	}
	pausing := func(c net.Conn, req *http.Request) {
		_, _ = io.ReadFull(req.Body, make([]byte, 64<<10))
		time.Sleep(2500 * time.Millisecond)
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprint(c, answer(req, "", "slow"))
	}
	stuck := func(c net.Conn, req *http.Request) { time.Sleep(10 * time.Second) }
	type Result struct {
		Status, Arrivals int
		Body             string
		Failed           bool
	}
	for _, tc := range []struct {
		name, path string
		first      func(net.Conn, *http.Request)
		timeout    time.Duration
		want       Result
	}{
		{"reads slowly", "/safe/a", slow, 20 * time.Second, Result{200, 1, "slow", false}},
		{"reads slowly, must run once", "/never/a", slow, 20 * time.Second, Result{200, 1, "slow", false}},
		// The kernel ends a connection whose bytes remain unacknowledged for dialer.Unacked.
		{"pauses, must run once", "/never/a", pausing, 10 * time.Second, Result{200, 1, "slow", false}},
		{"stops reading", "/safe/a", stuck, 10 * time.Second, Result{200, 2, "quick", true}},
		{"stops reading, must run once", "/never/a", stuck, 3 * time.Second, Result{504, 1, "unknown", false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			plan := slowPlan(tc.timeout)
			plan.Limits.Body = bodyBytes
			var arrivals atomic.Int64
			handle := func(c net.Conn, req *http.Request) {
				if arrivals.Add(1) == 1 {
					tc.first(c, req)
				} else {
					quick(c, req)
				}
			}
			e := startEntry(t, &fakeState{plan: plan, servers: []model.BackendServer{startServer(t, "b0", handle), startServer(t, "b1", handle)}})
			began := time.Now()
			resp := e.post(t, tc.path, strings.Repeat("x", bodyBytes))
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Error(err)
			}
			got := Result{resp.StatusCode, int(arrivals.Load()), string(body), len(e.metrics(t, "attempts_failed")) > 0}
			if strings.Contains(got.Body, `"run":"unknown"`) {
				// Whether the attempt, or the request's deadline before it, ended is up to the order of two timers.
				got.Body, got.Failed = "unknown", false
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if took := time.Since(began); took > tc.timeout+500*time.Millisecond {
				t.Errorf("took %v, half a second more than the deadline of %v", took, tc.timeout)
			}
			if !e.endsWithin(500 * time.Millisecond) {
				t.Error("the memory of the body was not released")
			}
		})
	}
}

// TestWaitUntil checks for how long a backend server that reads a long body may take until its answer begins: patience
// after it last took more. One that has stopped reading guards against a wait without end.
func TestWaitUntil(t *testing.T) {
	type check struct {
		At     time.Duration
		State  sendState
		Ended  bool
		Expect time.Duration
	}
	const none, second = -1, time.Second
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name   string
		long   bool
		checks []check
	}{
		{"a short body is no reason to wait", false, []check{{second, sendState{100, false}, true, none}}},
		{"takes more at each check", true, []check{
			{second, sendState{100, true}, false, 2 * second}, {2 * second, sendState{200, true}, false, 3 * second}, {3 * second, sendState{300, false}, true, 4 * second},
		}},
		{"has stopped reading", true, []check{{second, sendState{100, true}, false, 2 * second}, {2 * second, sendState{100, true}, false, 2 * second}}},
		{"has taken all and is silent", true, []check{{second, sendState{100, true}, false, 2 * second}, {2 * second, sendState{200, false}, true, 3 * second}, {3 * second, sendState{200, false}, true, 3 * second}}},
		{"has taken all at once", true, []check{{second, sendState{200, false}, true, 2 * second}, {2 * second, sendState{200, false}, true, 2 * second}}},
	} {
		s := &sending{long: tc.long, patience: second}
		for i, c := range tc.checks {
			if c.Ended && !s.Ended() {
				s.endedAt.Store(start.Add(c.At).UnixNano())
			}
			got := time.Duration(none)
			if until := s.waitUntil(c.State, start.Add(c.At)); !until.IsZero() {
				got = until.Sub(start)
			}
			if diff := cmp.Diff(c.Expect, got); diff != "" {
				t.Errorf("%s, check %d (-want +got):\n%s", tc.name, i, diff)
			}
		}
	}
}

// TestStalledBodyHoldsMemory guards against a caller that sends half a body and stops: the request went on without an
// end, and the memory for bodies that it had reserved was missing to others. It is told that the request did not run, as a
// sound one whose entry was suspended meanwhile must be, and not that the request is bad.
func TestStalledBodyHoldsMemory(t *testing.T) {
	t.Parallel()
	const timeout = 700 * time.Millisecond
	b := &backends{t: t, replies: []string{"ok"}}
	e := startEntry(t, &fakeState{plan: slowPlan(timeout), servers: b.start(1)})
	c, err := net.Dial("tcp", e.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /safe/a HTTP/1.1\r\nHost: a.example\r\nId: request-1\r\nAuthorization: Key good\r\nContent-Length: 1000\r\n\r\nbody")
	time.Sleep(timeout / 2)
	if !e.endsWithin(timeout/2 + 500*time.Millisecond) {
		t.Error("the request goes on half a second after its deadline")
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if diff := cmp.Diff([]int{http.StatusServiceUnavailable, 0}, []int{resp.StatusCode, len(b.seen())}); diff != "" {
		t.Errorf("status and arrivals (-want +got):\n%s", diff)
	}
}

package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestRequestsWhileStopping checks that a stopping entry serves what it can finish, refuses what it cannot
// finish before it runs, and does not escalate to a model whose answer would be cut.
func TestRequestsWhileStopping(t *testing.T) {
	type Result struct {
		Status   int
		Retry    bool
		Body     string
		Arrivals int
	}
	type stoppingCase struct {
		Name string
		// Length is the caller's estimate of the answer's length in tokens.
		Length int
		// Limit is the caller's time limit in milliseconds, 0 for none.
		Limit int
		// Late means that the request comes on a connection that was opened before the listener closed, after that.
		Late    bool
		Replies []string
		Result  `yaml:",inline"`
	}
	for _, c := range tester.Load[stoppingCase](t, "stopping.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			plan := testPlan()
			for i := range plan.Routes {
				plan.Routes[i].Timeout = 10 * time.Second
			}
			e := startEntry(t, &fakeState{plan: plan, servers: b.start(4)})
			e.speeds.observeEventInterval("small", 10*time.Millisecond)
			e.speeds.observeEventInterval("large", 100*time.Millisecond)
			e.stop()
			for !e.isStopping() {
				time.Sleep(time.Millisecond)
			}
			r, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/sized/a", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "a.example"
			r.Header.Set("Id", "request-1")
			r.Header.Set("Authorization", "Key good")
			r.Header.Set("Length", fmt.Sprint(c.Length))
			if c.Limit > 0 {
				r.Header.Set("Time-Left", fmt.Sprint(c.Limit))
			}
			conn, err := net.Dial("tcp", e.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if c.Late {
				time.Sleep(time.Until(e.Forwarder.stop.Load().closeAt.Add(-500 * time.Millisecond)))
				conn.Close()
				if conn, err = net.Dial("tcp", e.callers); err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				time.Sleep(time.Until(e.Forwarder.stop.Load().closeAt.Add(10 * time.Millisecond)))
			}
			dial := func(context.Context, string, string) (net.Conn, error) { return conn, nil }
			resp, err := (&http.Transport{DisableKeepAlives: true, DialContext: dial}).RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Error(err)
			}
			var events []string
			for _, m := range eventData.FindAllStringSubmatch(string(body), -1) {
				events = append(events, m[1])
			}
			got := Result{Status: resp.StatusCode, Retry: resp.Header.Get("Retry-After") != "", Body: strings.Join(events, " "), Arrivals: len(b.seen())}
			if diff := cmp.Diff(c.Result, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStopCutsRequestWithoutAnswer: a request that still runs at the end of the grace period, and of whose answer
// nothing was forwarded, gets a refusal that does not promise that it did not run.
func TestStopCutsRequestWithoutAnswer(t *testing.T) {
	t.Parallel()
	b := &backends{t: t, replies: []string{"silent"}}
	plan := testPlan()
	for i := range plan.Routes {
		plan.Routes[i].Timeout = 10 * time.Second
	}
	e := startEntry(t, &fakeState{plan: plan, servers: b.start(1)})
	c, err := net.Dial("tcp", e.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /never/a HTTP/1.1\r\nHost: a.example\r\nId: request-1\r\nAuthorization: Key good\r\nContent-Length: 4\r\n\r\nbody")
	for len(b.seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.stop()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the request got no answer: %v", err)
	}
	defer resp.Body.Close()
	if diff := cmp.Diff(http.StatusBadGateway, resp.StatusCode); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// TestPlanStop checks the times of stops from a table.
func TestPlanStop(t *testing.T) {
	type Times struct{ Unlisted, Close, Cut, Exit time.Duration }
	type planCase struct {
		Name  string
		Grace time.Duration
		Times `yaml:",inline"`
	}
	start := time.UnixMilli(0)
	for _, c := range tester.Load[planCase](t, "stops.yaml") {
		p := planStop(c.Grace, start)
		got := Times{p.unlistedAt.Sub(start), p.closeAt.Sub(start), p.cutAt.Sub(start), p.exitAt.Sub(start)}
		if diff := cmp.Diff(c.Times, got); diff != "" {
			t.Errorf("%s: times (-want +got):\n%s", c.Name, diff)
		}
	}
}

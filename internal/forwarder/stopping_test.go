package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
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
		// Length is the caller's estimate of the answer's length in tokens; Most is the most that it allows, 0 if it
		// does not say.
		Length, Most int
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
			if c.Most > 0 {
				r.Header.Set("Usage", fmt.Sprint("100,", c.Most))
			}
			if c.Limit > 0 {
				r.Header.Set("Time-Left", fmt.Sprint(c.Limit))
			}
			conn, err := net.Dial("tcp", e.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if c.Late {
				time.Sleep(time.Until(e.Forwarder.stop.Load().closeAt.Add(-firstRequestTime / 2)))
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

// TestShutdownServesAcceptedConnections checks that connections which were accepted right before a shutdown
// are served: each holds a request that its caller has sent already.
func TestShutdownServesAcceptedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	taken, pass := make(chan struct{}), make(chan struct{})
	var accepted atomic.Int64
	f := newFrontend(frontendConfig{Meter: meter.New(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }), Limits: func() model.PlanLimits {
		// The limits are read between the acceptance of a connection and its hand-over.
		if accepted.Add(1) == 2 {
			close(taken)
			<-pass
		}
		return model.PlanLimits{}
	}})
	ended := make(chan error, 1)
	go func() { ended <- f.serve(l) }()
	var c net.Conn
	for range 2 {
		if c, err = net.Dial("tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	}
	<-taken
	done := make(chan error, 1)
	go func() { done <- f.shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(pass)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the request on an accepted connection got no answer: %v", err)
	}
	resp.Body.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestShutdownUnderLoad checks that no request which began is cut by a shutdown that closes the kept
// connections of callers who go on sending.
func TestShutdownUnderLoad(t *testing.T) {
	for range 10 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var began, answered, cut atomic.Int64
		f := newFrontend(frontendConfig{Meter: meter.New(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			began.Add(1)
			time.Sleep(time.Millisecond)
			w.WriteHeader(http.StatusOK)
		}), Limits: func() model.PlanLimits { return model.PlanLimits{} }})
		ended := make(chan error, 1)
		go func() { ended <- f.serve(l) }()
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						cut.Add(1)
						return
					}
					resp.Body.Close()
					answered.Add(1)
				}
			})
		}
		time.Sleep(30 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		if err := f.shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		wg.Wait()
		<-ended
		if began.Load() != answered.Load() {
			t.Errorf("%d requests began, %d were answered, %d connections ended", began.Load(), answered.Load(), cut.Load())
		}
	}
}

package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestLateCopy checks that a copy of an answer which arrives while its connection is in use again does not
// reach the next caller.
func TestLateCopy(t *testing.T) {
	for _, route := range []string{"safe", "never"} {
		t.Run(route, func(t *testing.T) {
			b := &backends{t: t, replies: []string{"copy", "ok"}}
			e := startEntry(t, &fakeState{plan: testPlan(), servers: b.start(1)})
			for i := range 3 {
				r, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/"+route+"/a", nil)
				if err != nil {
					t.Fatal(err)
				}
				r.Host = "a.example"
				r.Header.Set("Id", fmt.Sprint("request-", i))
				r.Header.Set("Authorization", "Key good")
				resp, err := http.DefaultTransport.RoundTrip(r)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil {
					t.Fatal(err)
				}
				if strings.Contains(string(body), "copy") || resp.StatusCode == http.StatusOK && resp.Header.Get("Id") != r.Header.Get("Id") {
					t.Errorf("request %d got status %d with another request's answer %q", i, resp.StatusCode, body)
				}
			}
		})
	}
}

// TestStalledStreams checks that slow streams are forwarded whole, and that streams which send only bytes
// without data are resumed elsewhere soon after they stalled.
func TestStalledStreams(t *testing.T) {
	for _, c := range []struct {
		first    string
		arrivals int
	}{{"slowevents 1 3", 1}, {"comments 1 1", 2}, {"drip 1 1", 2}} {
		t.Run(c.first, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: []string{c.first, "events 2 3"}}
			plan := testPlan()
			for i := range plan.Routes {
				plan.Routes[i].Timeout = 10 * time.Second
			}
			e := startEntry(t, &fakeState{plan: plan, servers: b.start(2)})
			start := time.Now()
			body, err := io.ReadAll(e.post(t, "/stream/a", "body").Body)
			if err != nil {
				t.Error(err)
			}
			var events []string
			for _, m := range eventData.FindAllStringSubmatch(string(body), -1) {
				events = append(events, m[1])
			}
			if diff := cmp.Diff([]string{"1", "2", "3"}, events); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.arrivals, len(b.seen())); diff != "" {
				t.Errorf("arrivals (-want +got):\n%s", diff)
			}
			if took := time.Since(start); took > 2*minSilenceLimit {
				t.Errorf("the stream took %v, want at most %v", took, 2*minSilenceLimit)
			}
		})
	}
}

// TestSilenceEndsAnswerWithoutAlternative checks that a pause of a backend server ends its answer only where another
// attempt may give the caller the rest.
func TestSilenceEndsAnswerWithoutAlternative(t *testing.T) {
	type Result struct {
		Status   int
		Body     string
		Arrivals int
	}
	type silenceCase struct {
		Name, Path        string
		Attempts, Servers int
		Full              bool
		Told              int
		Replies           []string
		Result            `yaml:",inline"`
	}
	for _, c := range tester.Load[silenceCase](t, "silences.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			plan := testPlan()
			for i := range plan.Routes {
				plan.Routes[i].Timeout, plan.Routes[i].Attempts = 10*time.Second, c.Attempts
			}
			servers := b.start(c.Servers)
			e := startEntry(t, &fakeState{plan: plan, servers: servers})
			e.cfg.RemoteWork = func(model.BackendID, time.Time) gossiper.OpenWork { return gossiper.OpenWork{Unanswered: c.Told} }
			for _, s := range servers {
				if c.Full {
					// The report is as of a time shortly before the question comes up.
					e.peers.get(s, time.Now()).recordLoad(fmt.Sprint(s.Slots, ",0,", s.Slots), time.Now().Add(minSilenceLimit/2))
				}
			}
			resp := e.post(t, c.Path, "body")
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Error(err)
			}
			got := Result{Status: resp.StatusCode, Body: string(body), Arrivals: len(b.seen())}
			if events := eventData.FindAllStringSubmatch(string(body), -1); len(events) > 0 {
				var data []string
				for _, m := range events {
					data = append(data, m[1])
				}
				got.Body = strings.Join(data, " ")
			}
			if diff := cmp.Diff(c.Result, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCallerLeavesWhileSilenceIsOutwaited: the backend server must stop at once although the entry waits on for it.
func TestCallerLeavesWhileSilenceIsOutwaited(t *testing.T) {
	for _, path := range []string{"/never/a", "/safe/a", "/stream/a", "/once/a"} {
		t.Run(path, func(t *testing.T) {
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
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nId: request-1\r\nAuthorization: Key good\r\nContent-Length: 4\r\n\r\nbody", path)
			time.Sleep(minHeadTimeout + silenceCheckInterval/2)
			c.Close()
			select {
			case <-b.gone:
			case <-time.After(500 * time.Millisecond):
				t.Error("the backend server still works half a second after the caller left")
			}
		})
	}
}

// TestSlowCaller checks that a stream is not taken for silent while its caller does not read: the time of writing
// to the caller is no silence of the backend server.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	const events = 40
	b := &backends{t: t, replies: []string{fmt.Sprint("bigevents 1 ", events)}}
	plan := testPlan()
	for i := range plan.Routes {
		plan.Routes[i].Timeout = 20 * time.Second
	}
	e := startEntry(t, &fakeState{plan: plan, servers: b.start(2)})
	resp := e.post(t, "/stream/a", "body")
	time.Sleep(minSilenceLimit + 500*time.Millisecond)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]int{events, 1}, []int{strings.Count(string(body), "data: "), len(b.seen())}); diff != "" {
		t.Errorf("events and arrivals (-want +got):\n%s", diff)
	}
}

package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// announcementCase is a row of requests to backend servers that announce something of themselves.
type announcementCase struct {
	Name     string
	Servers  int
	Path     string
	Replies  []string
	Statuses []int
	Arrivals int
	// First is the number of requests at the backend server that got the first one, if it is above 0.
	First int
	Retry bool
	// Pause is the time before each of the first Pauses requests after the first, or before all if it is 0.
	Pause  time.Duration
	Pauses int
}

// TestNamedLimits checks that requests beyond the limit that a backend server names go to another one, or are
// refused at once as not run.
func TestNamedLimits(t *testing.T) { playAnnouncements(t, "limits.yaml") }

// TestLeavingServerGetsRequests checks that a backend server which says in an answer that it leaves gets no more
// requests, whatever else becomes of that answer.
func TestLeavingServerGetsRequests(t *testing.T) { playAnnouncements(t, "leaving.yaml") }

// TestRestingServerGetsRequests checks that a backend server which asks for rest gets none in that time, and one at
// first after it.
func TestRestingServerGetsRequests(t *testing.T) { playAnnouncements(t, "rests.yaml") }

func playAnnouncements(t *testing.T, file string) {
	for _, c := range tester.Load[announcementCase](t, file) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			e := startEntry(t, &fakeState{plan: testPlan(), servers: b.start(c.Servers)})
			path := c.Path
			if path == "" {
				path = "/never/a"
			}
			var statuses []int
			for i := range c.Statuses {
				if i > 0 && (c.Pauses == 0 || i <= c.Pauses) {
					time.Sleep(c.Pause)
				}
				start := time.Now()
				resp := e.post(t, path, "body")
				statuses = append(statuses, resp.StatusCode)
				if resp.StatusCode == 503 && (c.Retry != (resp.Header.Get("Retry-After") != "") || time.Since(start) > 200*time.Millisecond) {
					t.Errorf("request %d was refused after %v with Retry-After %q", i, time.Since(start), resp.Header.Get("Retry-After"))
				}
			}
			if diff := cmp.Diff(c.Statuses, statuses); diff != "" {
				t.Errorf("statuses (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Arrivals, len(b.seen())); diff != "" {
				t.Errorf("arrivals (-want +got):\n%s", diff)
			}
			if c.First == 0 {
				return
			}
			first := 0
			for _, r := range b.seen() {
				if r.Header.Get("Meant") == b.seen()[0].Header.Get("Meant") {
					first++
				}
			}
			if diff := cmp.Diff(c.First, first); diff != "" {
				t.Errorf("requests at the server that announced something (-want +got):\n%s", diff)
			}
		})
	}
}

package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestNamedLimits checks that requests beyond the limit that a backend server names go to another one, or are
// refused at once as not run.
func TestNamedLimits(t *testing.T) {
	type limitCase struct {
		Name     string
		Servers  int
		Replies  []string
		Statuses []int
		Arrivals int
		Retry    bool
		// Pause is the time before each of the first Pauses requests after the first, or before all if it is 0.
		Pause  time.Duration
		Pauses int
	}
	for _, c := range tester.Load[limitCase](t, "limits.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			e := startEntry(t, &fakeState{plan: testPlan(), servers: b.start(c.Servers)})
			var statuses []int
			for i := range c.Statuses {
				if i > 0 && (c.Pauses == 0 || i <= c.Pauses) {
					time.Sleep(c.Pause)
				}
				start := time.Now()
				resp := e.post(t, "/never/a", "body")
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
		})
	}
}

package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDoubtRunsRequestTwice guards against a request that must run once and runs again since a model is not sure of its
// answer. A request that must run once begins at the largest model.
func TestDoubtRunsRequestTwice(t *testing.T) {
	plan := patientPlan()
	plain := plan.Routes[1]
	plain.Route, plain.Prefix, plain.Stream = "plainonce", "/plainonce/", false
	plan.Routes = append(plan.Routes, plain)
	for _, c := range []struct {
		path, reply string
		models      []string
	}{
		{"/sized/a", "doubtevents", []string{"small", "large"}},
		{"/sizedonce/a", "doubtevents", []string{"large"}},
		{"/plainonce/a", "doubt", []string{"large"}},
	} {
		t.Run(c.path, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: []string{c.reply, c.reply}}
			e := startEntry(t, &fakeState{plan: plan, servers: b.start(3)})
			// Without earlier requests, the retry budget would allow no second answer.
			for range 10 {
				e.retryBudget.CountRequest("engines", time.Now())
			}
			if status := postPrompt(t, e, c.path, "request-1", "own:20"); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			var models []string
			for _, r := range b.seen() {
				models = append(models, r.Header.Get(testNames.Model))
			}
			if diff := cmp.Diff(c.models, models); diff != "" {
				t.Errorf("models that ran the request (-want +got):\n%s", diff)
			}
		})
	}
}

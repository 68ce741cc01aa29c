package forwarder

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestLateRequestIsRefused guards against requests that wait in a full queue until their deadline, and against refusals
// while a place is free, on old knowledge, or of a stream that the caller has a part of.
func TestLateRequestIsRefused(t *testing.T) {
	type lateCase struct {
		Name, Load string
		Servers    int
		Resumed    bool
		Pause      time.Duration
		Status     int
	}
	for _, c := range tester.Load[lateCase](t, "admissions.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			b := &backends{t: t, replies: []string{"raw 200 OK|Seal: s|Connection: close|Load: " + c.Load + "|Content-Length: 2||ok"}}
			e := startEntry(t, &fakeState{plan: patientPlan(), servers: b.start(max(c.Servers, 1))})
			e.post(t, "/never/a", "body")
			e.pace.mu.Lock()
			e.pace.holds["svc"] = holdTime{mean: 400 * time.Millisecond, at: time.Now()}
			e.pace.mu.Unlock()
			time.Sleep(c.Pause)
			r, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/never/a", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "a.example"
			r.Header = http.Header{"Id": {"request-2"}, "Authorization": {"Key good"}, "Time-Left": {"1500"}}
			if c.Resumed {
				r.Header.Set("Last-Event", "3")
			}
			resp, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			arrivals := 1
			if c.Status == 200 {
				arrivals = 2
			}
			if diff := cmp.Diff([]int{c.Status, arrivals}, []int{resp.StatusCode, len(b.seen())}); diff != "" {
				t.Errorf("status and arrivals (-want +got):\n%s", diff)
			}
			if c.Status == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After")
			}
		})
	}
}

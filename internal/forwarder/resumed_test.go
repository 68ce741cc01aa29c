package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestBrokenStreamContainsOtherBytes checks what a caller receives of a stream that breaks off while the next
// backend servers are in trouble: its events and nothing else, and an end only if the stream is complete.
func TestBrokenStreamContainsOtherBytes(t *testing.T) {
	type Result struct {
		Status   int
		Broken   bool
		Body     string
		Arrivals int
	}
	type streamCase struct {
		Name    string
		Route   string
		Replies []string
		// Status is what the caller receives, 200 if it is 0. Events is the number of numbered events, After is what
		// follows them.
		Status   int
		Events   int
		After    string
		Broken   bool
		Arrivals int
	}
	for _, c := range tester.Load[streamCase](t, "resumed.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			e := startEntry(t, &fakeState{plan: testPlan(), servers: b.start(4)})
			want := Result{Status: orDefault(c.Status, http.StatusOK), Broken: c.Broken, Arrivals: c.Arrivals}
			for n := range c.Events {
				want.Body += fmt.Sprintf("id: %d\ndata: %d\n\n", n+1, n+1)
			}
			want.Body += c.After
			resp := e.post(t, "/"+c.Route+"/a", "body")
			body, err := io.ReadAll(resp.Body)
			// Long answers are filled with x.
			got := Result{Status: resp.StatusCode, Broken: err != nil, Body: strings.TrimLeft(string(body), "x"), Arrivals: len(b.seen())}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if after := resp.Header.Get("Retry-After"); after != "" {
				t.Errorf("the head of the first backend server's answer has Retry-After: %s", after)
			}
		})
	}
}

package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestStreamContainsOtherText checks that text which is no event is not passed on as a part of a stream.
func TestStreamContainsOtherText(t *testing.T) {
	type Result struct {
		Parts  []string
		Broken bool
	}
	type eventsCase struct {
		Name   string
		Body   string
		Result `yaml:",inline"`
	}
	for _, c := range tester.Load[eventsCase](t, "events.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				if _, err := io.WriteString(w, c.Body); err != nil {
					t.Error(err)
				}
			}))
			defer engine.Close()
			r := newRun(t.Context(), messenger.Work{Request: "a", Budget: time.Minute, Method: http.MethodPost, Path: "/"}, time.Now())
			defer r.cancel()
			_, _, refusal := newBackend(backendConfig{URL: engine.URL, Kind: model.KindModel}).call(r)
			got := Result{Broken: refusal != nil}
			for _, f := range r.frames {
				if f.Kind == messenger.FramePart {
					got.Parts = append(got.Parts, string(f.Data))
				}
			}
			if diff := cmp.Diff(c.Result, got); diff != "" {
				t.Errorf("frames (-want +got):\n%s", diff)
			}
		})
	}
}

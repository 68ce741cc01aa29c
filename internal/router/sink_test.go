package router

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestAnswerContainsPartsOfAnother checks that a caller receives the parts of one answer only, and an error event
// only in a stream.
func TestAnswerContainsPartsOfAnother(t *testing.T) {
	type attempt struct {
		Type  string
		Parts []string
	}
	type sinkCase struct {
		Name     string
		Attempts []attempt
		Broken   bool
		Body     string
	}
	for _, c := range tester.Load[sinkCase](t, "sinks.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			w := httptest.NewRecorder()
			s := newStreamSink(w, func(http.Header) {}, func() {})
			for _, a := range c.Attempts {
				s.setHead(http.StatusOK, a.Type)
				for _, part := range a.Parts {
					if err := s.addPart([]byte(part)); err != nil {
						t.Fatal(err)
					}
				}
			}
			end(t, s, c.Broken)
			if diff := cmp.Diff(c.Body, w.Body.String()); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
		})
	}
}

// end finishes or aborts an answer.
func end(t *testing.T, s *streamSink, broken bool) {
	t.Helper()
	if !broken {
		if err := s.finish(); err != nil {
			t.Fatal(err)
		}
		return
	}
	defer func() {
		if err, ok := recover().(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			t.Errorf("the broken answer ended with %v, want %v", err, http.ErrAbortHandler)
		}
	}()
	s.abort(model.Refuse(model.KindBrokenAnswer, "it broke"))
}

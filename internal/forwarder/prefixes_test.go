package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestPromptSegments guards against a header of a caller that makes an own segment count as shared, or that makes an
// engine seem to hold tokens that no prompt has.
func TestPromptSegments(t *testing.T) {
	type segmentsCase struct {
		Name   string
		Header string
		Tokens []model.Tokens
		Shared int
		Parts  []string
	}
	for _, c := range tester.Load[segmentsCase](t, "segments.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			got := segmentsCase{Name: c.Name, Header: c.Header}
			call := &call{prompt: parsePrompt(c.Header, "")}
			chain := call.chain("m")
			for _, s := range chain.Segments {
				got.Tokens = append(got.Tokens, s.Tokens)
			}
			got.Shared, got.Parts = chain.Shared, call.prompt.parts
			if diff := cmp.Diff(c, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("segments (-want +got):\n%s", diff)
			}
		})
	}
}

package agent

import (
	"strings"
	"testing"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestFailureLooksHealthy guards against an engine that answers probes with failures, or with what is no answer, and that gets
// requests all the same.
func TestFailureLooksHealthy(t *testing.T) {
	type probeCase struct {
		Name, Answer string
		Healthy      bool
	}
	for _, c := range tester.Load[probeCase](t, "probes.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			address := tester.ServeAnswer(t, strings.NewReplacer("|", "\r\n", "'", `"`).Replace(c.Answer))
			versions, err := newBackend(backendConfig{URL: "http://" + address, Kind: model.KindModel}).probe(t.Context())
			if healthy := err == nil; healthy != c.Healthy {
				t.Errorf("healthy %t with versions %v, error %v, want %t", healthy, versions, err, c.Healthy)
			}
		})
	}
}

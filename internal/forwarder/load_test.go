package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestOddLoadHidesLoad checks that a load report with numbers that no backend server has is ignored.
func TestOddLoadHidesLoad(t *testing.T) {
	for _, c := range tester.Load[struct {
		Name, Value string
		Want        int
	}](t, "loads.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := &peer{}
			p.recordLoad(c.Value, now)
			b, _ := p.asBackend(model.BackendServer{}, gossiper.OpenWork{}, now)
			if diff := cmp.Diff(c.Want, b.Running+b.Waiting); diff != "" {
				t.Errorf("requests (-want +got):\n%s", diff)
			}
		})
	}
}

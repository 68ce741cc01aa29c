package admitter

import (
	"testing"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestFinishesBeforeStop checks from a table which requests an entry still accepts while it stops.
func TestFinishesBeforeStop(t *testing.T) {
	type stoppingCase struct {
		Name      string
		StopInput `yaml:",inline"`
		Want      bool
	}
	for _, c := range tester.Load[stoppingCase](t, "stopping.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			if diff := gocmp.Diff(c.Want, FinishesBeforeStop(c.StopInput)); diff != "" {
				t.Errorf("accepted (-want +got):\n%s", diff)
			}
		})
	}
}

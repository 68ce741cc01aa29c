package picker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestFull guards against servers that count as full while a request could run at once, or while nothing is known.
func TestFull(t *testing.T) {
	type fullCase struct {
		Name string
		// Busy holds the requests at each server of Slots slots.
		Busy             map[model.BackendID]int
		Slots            int
		Excluded, Barred model.BackendID
		Want             bool
	}
	for _, c := range tester.Load[fullCase](t, "full.yaml") {
		in := DirectInput{Excluded: map[model.BackendID]bool{c.Excluded: true}, Barred: map[model.BackendID]bool{c.Barred: true}}
		engines := EngineInput{Excluded: in.Excluded, Barred: in.Barred}
		for id, busy := range c.Busy {
			s := model.BackendServer{Backend: id, Slots: c.Slots, State: model.BackendReady}
			in.Backends = append(in.Backends, Backend{Server: s, Running: busy})
			engines.Engines = append(engines.Engines, Engine{Server: s, Busy: busy})
		}
		if diff := cmp.Diff([2]bool{c.Want, c.Want}, [2]bool{in.Full(), engines.Full()}); diff != "" {
			t.Errorf("%s: plain servers and engines full (-want +got):\n%s", c.Name, diff)
		}
	}
}

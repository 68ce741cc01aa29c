package picker

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestManyEntriesMeet guards against entries that send the requests of a gossip interval to the engine that looked best
// to all of them.
func TestManyEntriesMeet(t *testing.T) {
	for _, l := range tester.Load[replayLoad](t, "many_entries.yaml") {
		t.Run(l.Name, func(t *testing.T) {
			r := replay(l, false)
			if r.quantile(0.95) > l.MaxWait {
				t.Errorf("95%% of prompts wait up to %v, want %v", r.quantile(0.95), l.MaxWait)
			}
			if r.busiest > l.MaxBusiest {
				t.Errorf("the busiest engine got %.2f times the mean work, want at most %.2f", r.busiest, l.MaxBusiest)
			}
			t.Logf("95%% of prompts wait up to %v, the busiest engine got %.2f times the mean work", r.quantile(0.95), r.busiest)
		})
	}
}

// TestDrawsKeepEnginesInReach checks that a draw among engines of which most are far away, or are kept for other models,
// still finds the others, and that it leaves out no engine that may get the request if the rest may not.
func TestDrawsKeepEnginesInReach(t *testing.T) {
	type drawCase struct {
		Name               string
		Near, Far, Barred  int
		LargerModel, Small bool
		WantNear           bool
	}
	for _, c := range tester.Load[drawCase](t, "draws.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			in := EngineInput{Entries: 28, Self: model.Place{Region: "near"}, LargerModel: c.LargerModel, SmallestModel: c.Small, Barred: map[model.BackendID]bool{}}
			for i := range c.Near + c.Far {
				s := model.BackendServer{Backend: model.BackendID(fmt.Sprint("e", i)), Slots: 8, State: model.BackendReady, Place: model.Place{Region: "near"}}
				if i >= c.Near {
					s.Place.Region = "far"
				}
				in.Barred[s.Backend] = i < c.Barred
				in.Engines = append(in.Engines, Engine{Server: s})
			}
			for draw := range uint64(200) {
				in.Draw = draw
				got := EarliestFirstToken{}.Decide(in)
				if !got.Found || in.Barred[got.Server.Backend] {
					t.Fatalf("draw %d found engine %q", draw, got.Server.Backend)
				}
				if diff := cmp.Diff(c.WantNear, got.Server.Place.Region == "near"); diff != "" {
					t.Fatalf("draw %d chose an engine of the own region (-want +got):\n%s", draw, diff)
				}
			}
		})
	}
}

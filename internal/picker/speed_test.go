package picker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestSpeedEstimate guards against figures that count after the slow period that they are of, and against requests that
// all follow the server with the best figure.
func TestSpeedEstimate(t *testing.T) {
	type speedCase struct {
		Name    string
		Reports []struct {
			At      time.Duration
			Percent int
		}
		Observed []struct {
			At    time.Duration
			Ratio float64
		}
		At, Work, Want time.Duration
	}
	for _, c := range tester.Load[speedCase](t, "speeds.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var e SpeedEstimate
			for _, r := range c.Reports {
				e.Report(r.Percent, start.Add(r.At))
			}
			for _, o := range c.Observed {
				e.Observe(o.Ratio, start.Add(o.At))
			}
			got := e.At(start.Add(c.At)).Stretch(c.Work).Round(time.Millisecond)
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("expected time (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSlowedServers checks that plain servers which are slowed are avoided, that the others share the requests by their
// loads whatever figures below the usual one they report, and that a slowed server still takes what the others cannot.
func TestSlowedServers(t *testing.T) {
	type slowedCase struct {
		Name    string
		Servers map[model.BackendID]struct{ Busy, Percent int }
		Draw    float64
		Want    model.BackendID
	}
	for _, c := range tester.Load[slowedCase](t, "slowed.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			in := DirectInput{Draw: c.Draw}
			for id, s := range c.Servers {
				var e SpeedEstimate
				e.Report(s.Percent, now)
				in.Backends = append(in.Backends, Backend{
					Server: model.BackendServer{Backend: id, Slots: 6, State: model.BackendReady}, Running: s.Busy, Slowdown: e.At(now),
				})
			}
			if diff := cmp.Diff(c.Want, LeastLoaded{}.Decide(in).Server.Backend); diff != "" {
				t.Errorf("server (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSlowedEngines replays engines that are slowed for 0.6 s at a time. Prompts must wait less with the figures than
// without them, and no engine may get twice the mean work, as it would if prompts followed the best figure.
func TestSlowedEngines(t *testing.T) {
	for _, l := range tester.Load[replayLoad](t, "slowed_engines.yaml") {
		t.Run(l.Name, func(t *testing.T) {
			without, with := replay(l, false), replay(l, true)
			if with.quantile(0.95) >= without.quantile(0.95) {
				t.Errorf("95%% of prompts wait up to %v with figures, %v without", with.quantile(0.95), without.quantile(0.95))
			}
			if with.busiest > l.MaxBusiest {
				t.Errorf("the busiest engine got %.2f times the mean work, want at most %.2f", with.busiest, l.MaxBusiest)
			}
			t.Logf("95%% wait up to %v with figures, %v without; the busiest engine got %.2f times the mean", with.quantile(0.95), without.quantile(0.95), with.busiest)
		})
	}
}

package forwarder

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestOddLoadHidesLoad checks that figures which no backend server has are ignored, that they hide none that were good,
// and that they are told apart, so that they can be logged.
func TestOddLoadHidesLoad(t *testing.T) {
	for _, c := range tester.Load[struct {
		Name, Before, Value string
		Want, Slots         int
		Slowed, Odd         bool
	}](t, "loads.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := &peer{}
			p.recordLoad(c.Before, now)
			if diff := cmp.Diff(c.Odd, !p.recordLoad(c.Value, now)); diff != "" {
				t.Errorf("report is odd (-want +got):\n%s", diff)
			}
			b, _ := p.asBackend(model.BackendServer{}, gossiper.OpenWork{}, now)
			if diff := cmp.Diff(c.Want, b.Running+b.Waiting); diff != "" {
				t.Errorf("requests (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Slots, b.Server.Slots); diff != "" {
				t.Errorf("slots (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Slowed, b.Slowdown.Stretch(time.Second) > time.Second); diff != "" {
				t.Errorf("server is slowed (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnswersShowSlowServer checks that a server whose answers take longer than those of others counts as slow, and only
// if it reports its speed: other servers are served as if nothing were observed.
func TestAnswersShowSlowServer(t *testing.T) {
	for _, report := range []string{"0,0,8,100", "0,0,8"} {
		f, now := &Forwarder{}, time.Unix(1000, 0)
		servers := make([]*peer, 10)
		for i := range servers {
			servers[i] = &peer{server: model.BackendServer{Slots: 8}}
		}
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for i, p := range servers {
				took := 50 * time.Millisecond
				if i == 0 {
					took = 400 * time.Millisecond
				}
				p.recordLoad(report, now)
				f.observeSpeed(Outcome{Service: "svc", Route: "safe", TimeToHead: took}, p, now)
			}
		}
		reportsSpeed := report == "0,0,8,100"
		for i, p := range servers {
			if diff := cmp.Diff(i == 0 && reportsSpeed, p.speed.At(now).Stretch(time.Second) > time.Second); diff != "" {
				t.Errorf("with report %q, server %d counts as slow (-want +got):\n%s", report, i, diff)
			}
		}
	}
}

// TestKindsOfWorkAreBounded checks that routes and models that come and go do not fill the memory.
func TestKindsOfWorkAreBounded(t *testing.T) {
	var w workMeans
	for i := range 2 * maxWorkKinds {
		w.compare(workKind{route: model.RouteID(strconv.Itoa(i))}, time.Second, time.Unix(int64(i), 0))
	}
	_, kept := w.kinds[workKind{route: model.RouteID(strconv.Itoa(2*maxWorkKinds - 1))}]
	if len(w.kinds) != maxWorkKinds || !kept {
		t.Errorf("%d kinds are held, want %d and the last one among them (%v)", len(w.kinds), maxWorkKinds, kept)
	}
}

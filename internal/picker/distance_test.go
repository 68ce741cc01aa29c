package picker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestDistance guards against requests that go to other failure domains for gains which a longer link uses up, and
// against other choices than before where links are short.
func TestDistance(t *testing.T) {
	type distanceCase struct {
		Name            string
		To              model.Place
		RoundTrip, Want time.Duration
		WantLoad        float64
	}
	self := model.Place{Region: "near", Domain: "near-a"}
	for _, c := range tester.Load[distanceCase](t, "distances.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			if diff := cmp.Diff(c.Want, distanceWait(c.To, self, c.RoundTrip)); diff != "" {
				t.Errorf("wait (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.WantLoad, distanceLoad(c.To, self, c.RoundTrip)); diff != "" {
				t.Errorf("load (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDistantServers checks which of an engine, or a plain server, in the own and in another failure domain gets a
// request, by the backlog or the load at the own one.
func TestDistantServers(t *testing.T) {
	type placesCase struct {
		Name      string
		RoundTrip time.Duration
		// Backlog and Busy are those of the server in the own failure domain; the other one is idle.
		Backlog                time.Duration
		Busy                   int
		WantEngine, WantServer model.BackendID
	}
	self := model.Place{Region: "near", Domain: "near-a"}
	own := model.BackendServer{Backend: "own", Slots: 40, State: model.BackendReady, Place: self}
	other := model.BackendServer{Backend: "other", Slots: 40, State: model.BackendReady, Place: model.Place{Region: "near", Domain: "near-b"}}
	for _, c := range tester.Load[placesCase](t, "places.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			engines := EngineInput{Self: self, Engines: []Engine{{Server: own, Backlog: c.Backlog}, {Server: other, RoundTrip: c.RoundTrip}}}
			if diff := cmp.Diff(c.WantEngine, (EarliestFirstToken{}).Decide(engines).Server.Backend); diff != "" {
				t.Errorf("engine (-want +got):\n%s", diff)
			}
			servers := DirectInput{Self: self, Backends: []Backend{{Server: own, Running: c.Busy}, {Server: other, RoundTrip: c.RoundTrip}}}
			if diff := cmp.Diff(c.WantServer, (LeastLoaded{}).Decide(servers).Server.Backend); diff != "" {
				t.Errorf("plain server (-want +got):\n%s", diff)
			}
		})
	}
}

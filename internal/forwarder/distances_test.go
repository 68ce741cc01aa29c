package forwarder

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestDistances guards against distances that follow congestion or a few slow connects instead of the link.
func TestDistances(t *testing.T) {
	type connects struct {
		// From is the time of the first of N connects, which are Every apart and take the times in turn.
		From, Every time.Duration
		N           int
		Take        []time.Duration
	}
	type distancesCase struct {
		Name     string
		Connects []connects
		At, Want time.Duration
	}
	for _, c := range tester.Load[distancesCase](t, "distances.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			place := model.Place{Region: "near", Domain: "near-b"}
			var d distances
			for _, cs := range c.Connects {
				for i := range cs.N {
					d.observe(place, cs.Take[i%len(cs.Take)], start.Add(cs.From+time.Duration(i)*cs.Every))
				}
			}
			if diff := cmp.Diff(c.Want, d.roundTrip(place, start.Add(c.At))); diff != "" {
				t.Errorf("round trip (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDistancesAreBounded checks that failure domains that come and go do not fill the memory.
func TestDistancesAreBounded(t *testing.T) {
	var d distances
	for i := range 2 * maxPlaces {
		d.observe(model.Place{Domain: model.DomainID(strconv.Itoa(i))}, time.Millisecond, time.Unix(int64(i), 0))
	}
	if _, ok := d.places[model.Place{Domain: model.DomainID(strconv.Itoa(2*maxPlaces - 1))}]; !ok || len(d.places) != maxPlaces {
		t.Errorf("%d places are held, want %d and the last one among them (%v)", len(d.places), maxPlaces, ok)
	}
}

// TestConnectsAreMeasured checks that the connects of requests, and not their answers, give the distance of a failure
// domain.
func TestConnectsAreMeasured(t *testing.T) {
	b := &backends{t: t, replies: strings.Split(strings.Repeat("ok ", minConnects-1)+"ok", " ")}
	servers := b.start(1)
	servers[0].Place = model.Place{Region: "near", Domain: "near-b"}
	e := startEntry(t, &fakeState{plan: testPlan(), servers: servers})
	for range minConnects {
		e.post(t, "/safe/x", "x").Body.Close()
		e.peers.get(servers[0], time.Now()).closeIdleSince(time.Now().Add(time.Hour))
	}
	if got := e.distances.roundTrip(servers[0].Place, time.Now()); got <= 0 || got > dialTimeout {
		t.Errorf("the connect time is %v after %d requests", got, minConnects)
	}
}

package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestLearnedCascade checks which models are asked after some answers. It guards against decisions on what was learned that
// do not reach the backend servers, and against such decisions where too little is known.
func TestLearnedCascade(t *testing.T) {
	type cascadeCase struct {
		Name                string
		Answers, Confidence int
		// Last is the last event that the caller has.
		Last    string
		Replies []string
		Models  []string
		Body    string
	}
	for _, c := range tester.Load[cascadeCase](t, "cascade.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			e := startEntry(t, &fakeState{plan: testPlan(), servers: b.start(4)})
			keys := chooser.NewCascadeKeys(chooser.CascadeRequest{Route: "sized", Organisation: "mill", Models: []model.ModelID{"small", "large"}})
			// Without earlier requests, the retry budget would allow no second answer.
			e.retryBudget.CountRequest("engines", time.Now())
			for range c.Answers {
				e.cascade.Observe(keys, 0, c.Confidence, 0, false, time.Now())
			}
			r, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/sized/a", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "a.example"
			r.Header.Set("Id", "request-1")
			r.Header.Set("Authorization", "Key good")
			if c.Last != "" {
				r.Header.Set("Last-Event", c.Last)
			}
			resp, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Error(err)
			}
			var events, models []string
			for _, m := range eventData.FindAllStringSubmatch(string(body), -1) {
				events = append(events, m[1])
			}
			for _, seen := range b.seen() {
				models = append(models, seen.Header.Get("Model"))
			}
			if diff := cmp.Diff(c.Models, models); diff != "" {
				t.Errorf("models (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Body, strings.Join(events, " ")); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkFirstModel compares the choice of the first model, on a route where something is learned and on one where
// nothing is, with the choice of an engine among 52, which each attempt makes.
func BenchmarkFirstModel(b *testing.B) {
	var servers []model.BackendServer
	for i := range 52 {
		servers = append(servers, model.BackendServer{Backend: model.BackendID(fmt.Sprint("b", i)), Service: "engines", Slots: 8, State: model.BackendReady})
	}
	plan := testPlan()
	f := New(Config{
		Settings: model.DirectSettings{Memory: 64 << 20, RetryBudget: model.RetryBudgetSettings{Ratio: 10, Window: 10 * time.Second}},
		Cascade:  chooser.CascadeConfig{Floors: []int{70}}, Names: testNames, PlatformState: &fakeState{plan: plan, servers: servers}, Versions: allVersions{},
		Announcements: limiter.Announcements{
			Limits: limiter.NewServerLimits(limiter.ServerLimitsConfig{
				Self: model.Instance{Instance: "e0"}, Members: func() []model.Instance { return nil }, Meter: meter.New(), Log: zerolog.Nop(),
			}),
			Leaving: limiter.NewLeavingServers(limiter.LeavingServersConfig{Meter: meter.New(), Log: zerolog.Nop()}),
			Resting: limiter.NewRestingServers(limiter.RestingServersConfig{Self: "e0", Meter: meter.New(), Log: zerolog.Nop()}),
		},
		Meter: meter.New(), Log: zerolog.Nop(),
	})
	newCall := func() *call {
		now := time.Now()
		return &call{id: "request-1", route: &plan.Routes[0], service: plan.Services["engines"], org: "mill", session: "s", start: now, deadline: now.Add(time.Second)}
	}
	b.Run("engine", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c := newCall()
			f.chooseEngine(c, "small", f.candidates(c, c.start), c.start)
		}
	})
	for _, name := range []string{"unlearned", "learned"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c := newCall()
				f.chooseFirst(c, c.start)
			}
		})
		c := newCall()
		f.chooseFirst(c, c.start)
		for range 200 {
			f.cascade.Observe(c.cascade.keys, 0, 5, 0, false, c.start)
		}
	}
}

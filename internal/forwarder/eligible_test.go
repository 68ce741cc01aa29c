package forwarder

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

func coldServersOfOne() *limiter.ColdServers {
	return limiter.NewColdServers(limiter.ColdServersConfig{
		Self: model.Instance{Instance: "e0"}, Members: func() []model.Instance { return nil }, Meter: meter.New(), Log: zerolog.Nop(),
	}, model.ColdSettings{Over: 1.5, Slack: 5, ReportWithin: 2 * time.Second})
}

// TestEligible guards against requests that reach a server in an evacuated domain or in a region that is not allowed,
// and against servers that may be cold and are not limited.
func TestEligible(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := []model.BackendServer{
		{Backend: "a1", Place: model.Place{Region: "r", Domain: "a"}, State: model.BackendReady},
		{Backend: "b1", Place: model.Place{Region: "r", Domain: "b"}, State: model.BackendReady},
		{Backend: "c1", Place: model.Place{Region: "s", Domain: "c"}, State: model.BackendReady},
	}
	for _, c := range tester.Load[struct {
		Name                  string
		Evacuated             []model.DomainID
		Withdrawn             map[model.DomainID]time.Duration
		Route, Org, Late      model.Regions
		ColdServers, Suspects []model.BackendID
		Unlimited             bool
		Want, Cold            []model.BackendID
		Refusal               string
	}](t, "eligible.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			plan := &model.Plan{
				Routes:   []model.PlanRoute{{Route: "r", Host: "h", Prefix: "/", Regions: c.Route}},
				Services: map[model.ServiceID]model.PlanService{"svc": {Service: "svc", ColdRate: 12, ColdStart: 3 * time.Second}},
				Regions:  map[model.OrganisationID]model.Regions{"org": c.Org},
			}
			if c.Unlimited {
				plan.Services["svc"] = model.PlanService{Service: "svc"}
			}
			state := &fakeState{plan: plan}
			evacuations := &model.Evacuations{InForce: map[model.DomainID]model.Evacuation{}, Withdrawn: map[model.DomainID]time.Time{}}
			state.evacuations.Store(evacuations)
			for _, d := range c.Evacuated {
				evacuations.InForce[d] = model.Evacuation{Since: now}
			}
			for d, ago := range c.Withdrawn {
				evacuations.Withdrawn[d] = now.Add(-ago)
			}
			f := New(testConfig(state, fakeQuarantine{}, allVersions{}))
			f.cfg.Announcements.Cold = coldServersOfOne()
			for _, s := range servers {
				if slices.Contains(c.ColdServers, s.Backend) {
					s.ColdRemaining = time.Second
				}
				if slices.Contains(c.Suspects, s.Backend) {
					f.cfg.Announcements.Cold.Suspect(s.Lifetime(), time.Second, now)
				}
				state.servers = append(state.servers, s)
			}
			request := &call{plan: plan, route: &plan.Routes[0], service: plan.Services["svc"], org: "org", hostName: "h", path: "/x"}
			if c.Late != nil {
				newer := *plan
				newer.Routes = []model.PlanRoute{{Route: "r", Host: "h", Prefix: "/", Regions: c.Late}}
				state.plan = &newer
			}
			var got, cold []model.BackendID
			for _, s := range f.eligible(request, now) {
				got = append(got, s.Backend)
				if s.ColdRate > 0 {
					cold = append(cold, s.Backend)
				}
			}
			if diff := cmp.Diff(c.Want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("eligible (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Cold, cold, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("limited (-want +got):\n%s", diff)
			}
			refusal := f.refuseBarred(request, now)
			switch {
			case c.Refusal == "" && refusal != nil && len(c.Cold) < len(c.Want):
				t.Errorf("refused: %v", refusal)
			case c.Refusal != "" && (refusal == nil || refusal.Run != model.RunNo || refusal.Retry <= 0 || !strings.Contains(refusal.Message, c.Refusal)):
				t.Errorf("refusal %+v, want one that did not run and tells of %q", refusal, c.Refusal)
			}
		})
	}
}

// TestRetryReachesEvacuatedDomain guards against a second attempt at a server whose domain was evacuated while the first
// one ran, and against a refusal of a request that another domain can still serve.
func TestRetryReachesEvacuatedDomain(t *testing.T) {
	first := &backends{t: t, replies: []string{"failed"}}
	second := &backends{t: t, replies: []string{"ok"}}
	state := &fakeState{plan: testPlan()}
	for _, s := range first.start(2) {
		s.Place.Domain = "a"
		state.servers = append(state.servers, s)
	}
	away := second.start(1)[0]
	away.Backend, away.Place = "away", model.Place{Region: "far", Domain: "b"}
	state.servers = append(state.servers, away)
	first.onArrival = func(*http.Request) {
		state.evacuations.Store(&model.Evacuations{InForce: map[model.DomainID]model.Evacuation{"a": {}}})
	}
	e := startEntry(t, state)
	resp := e.post(t, "/safe/1", "")
	resp.Body.Close()
	if diff := cmp.Diff([]int{200, 1, 1}, []int{resp.StatusCode, len(first.seen()), len(second.seen())}); diff != "" {
		t.Errorf("status, requests to the evacuated and to the other domain (-want +got):\n%s", diff)
	}
}

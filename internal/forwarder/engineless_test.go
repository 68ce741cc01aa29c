package forwarder

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// awaitNoOpenWork fails the test if an entry goes on to count open work at its backend servers.
func awaitNoOpenWork(t *testing.T, e *entry) {
	t.Helper()
	var open map[model.BackendID]gossiper.OpenWork
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		open = e.OpenWork()
		busy := false
		for _, w := range open {
			busy = busy || w != gossiper.OpenWork{}
		}
		if !busy {
			return
		}
	}
	t.Errorf("open work after all requests ended: %+v", open)
}

// TestSplitToServiceWithoutEngineCutsCallers guards against requests of a route with models that run at a service without
// an engine and whose callers' connections are closed without an answer, however sure of its answer the server is, and against
// estimates for engines that come from such a service.
func TestSplitToServiceWithoutEngineCutsCallers(t *testing.T) {
	for _, reply := range []string{"doubt", "doubtevents", "ok", "events 1 12", "failed", "notrun", "half"} {
		t.Run(reply, func(t *testing.T) {
			t.Parallel()
			plan := patientPlan()
			for i := range plan.Routes {
				plan.Routes[i].Split = []model.PlanShare{{Service: "svc", Weight: 1}}
			}
			b := &backends{t: t, replies: []string{reply, "events 1 3"}}
			e := startEntry(t, &fakeState{plan: plan, servers: b.start(2)})
			for i := range 2 {
				if status := postPrompt(t, e, "/sized/a", fmt.Sprint("request-", i), "base:3000,own:20"); status != http.StatusOK {
					t.Errorf("request %d: status %d, want 200", i, status)
				}
			}
			awaitNoOpenWork(t, e)
			e.speeds.mu.Lock()
			defer e.speeds.mu.Unlock()
			if n := len(e.speeds.eventIntervals) + len(e.speeds.prefillTimes); n > 0 {
				t.Errorf("%d speeds of models were learned from a service without engines", n)
			}
		})
	}
}

// TestServiceLosesEngineMidway guards against requests that are under way, or resumed, when a version of the plan takes a
// service's engine away or gives it one, or moves the route's split.
func TestServiceLosesEngineMidway(t *testing.T) {
	engineless := patientPlan()
	for i := range engineless.Routes {
		engineless.Routes[i].Split = []model.PlanShare{{Service: "svc", Weight: 1}, {Service: "engines", Weight: 1}}
	}
	engineless.Services["engines"] = model.PlanService{Service: "engines"}
	engineless.Services["svc"] = model.PlanService{Service: "svc", Engine: patientPlan().Services["engines"].Engine}
	for _, plans := range [][2]*model.Plan{{patientPlan(), engineless}, {engineless, patientPlan()}} {
		b := &backends{t: t, replies: []string{"cut 1 3", "cut 4 6", "events 1 9"}}
		state := &changingPlan{fakeState: &fakeState{servers: b.start(4)}}
		state.plan.Store(plans[0])
		b.onArrival = func(*http.Request) { state.plan.Store(plans[1]) }
		e := startEntry(t, state)
		for i := range 4 {
			if status := postPrompt(t, e, "/sized/a", fmt.Sprint("request-", i), "own:20"); status != http.StatusOK {
				t.Errorf("request %d: status %d, want 200", i, status)
			}
		}
		awaitNoOpenWork(t, e)
	}
}

// changingPlan is a state of the platform whose plan changes.
type changingPlan struct {
	*fakeState
	plan atomic.Pointer[model.Plan]
}

func (s *changingPlan) Plan() *model.Plan { return s.plan.Load() }

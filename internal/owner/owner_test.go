package owner

import (
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

func readCases[T any](t *testing.T, file string) []T {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var cases []T
	if err := yaml.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

type rolloutCase struct {
	Name    string
	Step    int
	Verdict model.Verdict
	Level   float64
	Bad     bool
	Seen    int
	Held    time.Duration
	Attempt int
	Want    string
}

// TestNextRolloutState checks the state that follows a roll-out's state and the guard's findings.
func TestNextRolloutState(t *testing.T) {
	rollout := &model.Rollout{Version: "v@2", Baseline: "v@1", Steps: []model.Share{0.01, 0.1, 1}, Hold: 10 * time.Minute, Attempt: 1}
	for _, c := range readCases[rolloutCase](t, "testdata/advance.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			state := model.RolloutState{Version: "v@2", Baseline: "v@1", Attempt: c.Attempt, Step: c.Step, Share: rollout.Steps[c.Step], Verdict: c.Verdict}
			next := nextRolloutState(rolloutInput{
				Rollout: rollout, State: state, Verdict: guard.Verdict{Bad: c.Bad, Level: c.Level, Reason: "it fails"},
				Seen: c.Seen, Held: c.Held, Now: time.Unix(0, 0),
			})
			got := strings.Join([]string{string(next.Verdict), next.Share.String()}, " ")
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("next state differs (-want +got):\n%s", diff)
			}
		})
	}
}

type planCase struct {
	Name     string
	Replicas map[model.VersionID]int
	States   map[model.VersionID]model.State
	Servers  map[model.InstanceID][]model.VersionID
	Want     map[model.InstanceID][]model.VersionID
	Why      string
}

// TestPlanLoads checks the plan and its reason for given loaded versions.
func TestPlanLoads(t *testing.T) {
	for _, c := range readCases[planCase](t, "testdata/plan.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			doc := &model.Document{}
			for _, id := range slices.Sorted(maps.Keys(c.Replicas)) {
				state := c.States[id]
				if state == "" {
					state = model.StateServing
				}
				doc.Versions = append(doc.Versions, model.Version{Version: id, State: state, Replicas: c.Replicas[id]})
			}
			var servers []Server
			for _, id := range slices.Sorted(maps.Keys(c.Servers)) {
				domain, _, _ := strings.Cut(string(id), "-")
				servers = append(servers, Server{Instance: id, Domain: model.DomainID(domain), Loaded: c.Servers[id]})
			}
			got, why := PlanLoads(doc, servers, 2)
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("orders differ (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Why, why); diff != "" {
				t.Errorf("reason differs (-want +got):\n%s", diff)
			}
		})
	}
}

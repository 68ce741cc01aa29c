package shifter

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

type restoreStep struct {
	After time.Duration
	Order struct {
		Version model.VersionID
		Created string
		State   model.RolloutStatus
	}
	Stage *struct {
		Order, Revision string
		Version         model.VersionID
		Stage           stage
		Elapsed         time.Duration
	}
	Observed int
	Want     string
	Due      action
}

// TestRolloutStartsAgainAfterRestore checks that a roll-out keeps its stage, its verdict and its result when the store
// comes back from a copy.
func TestRolloutStartsAgainAfterRestore(t *testing.T) {
	for _, c := range tester.Load[struct {
		Name  string
		Steps []restoreStep
	}](t, "restores.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			state := &restoredState{}
			s := New(Config{Self: "entry-1", PlatformState: state, SharedKind: "marks", Exposure: 0.15, Log: zerolog.Nop()})
			now := time.Unix(1000, 0)
			for i, step := range c.Steps {
				now = now.Add(step.After)
				state.read(t, step)
				got := s.shareOfSessions(step.Order.Version, now)
				for n := range step.Observed {
					s.Observe(forwarder.Outcome{Service: "drafts", Version: step.Order.Version, Backend: model.BackendID(fmt.Sprint("b", n%6)), Failed: true}, now)
				}
				if diff := cmp.Diff(step.Want, got); diff != "" {
					t.Errorf("sessions on the new version at step %d (-want +got):\n%s", i, diff)
				}
				if diff := cmp.Diff(step.Due, dueAction(s.rollouts["drafts"], "entry-1", now)); diff != "" {
					t.Errorf("action at step %d (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

// shareOfSessions returns whether all, some or none of the sessions go to a version.
func (s *Shifter) shareOfSessions(v model.VersionID, now time.Time) string {
	const sessions = 1000
	n := 0
	for i := range sessions {
		if s.Choose(forwarder.VersionRequest{Service: "drafts", Session: fmt.Sprint(i)}, now).Allows(v) {
			n++
		}
	}
	switch n {
	case 0:
		return "none"
	case sessions:
		return "all"
	}
	return "some"
}

// restoredState is a PlatformState with one order and one stored stage.
type restoredState struct {
	fixedState
	stage *storer.Object
}

func (s *restoredState) SharedObject(string) (storer.Object, bool) {
	if s.stage == nil {
		return storer.Object{}, false
	}
	return *s.stage, true
}

func (s *restoredState) read(t *testing.T, step restoreStep) {
	created := parseRevision(t, step.Order.Created)
	s.order = model.RolloutOrder{
		Service: "drafts", Version: step.Order.Version, Duration: 24 * time.Second, Revision: created, Created: created, State: step.Order.State,
	}
	if step.Order.State != "" {
		s.order.Reported = step.Order.Version
	}
	if s.stage = nil; step.Stage == nil {
		return
	}
	m := storedStage{Order: parseRevision(t, step.Stage.Order), Version: step.Stage.Version, Stage: step.Stage.Stage, Elapsed: step.Stage.Elapsed}
	if m.Version == "" {
		m.Version = step.Order.Version
	}
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	s.stage = &storer.Object{Key: "marks/shift.drafts", Revision: parseRevision(t, step.Stage.Revision), Value: b}
}

func parseRevision(t *testing.T, s string) model.Revision {
	t.Helper()
	var e model.Era
	var n int64
	if _, err := fmt.Sscanf(strings.Replace(s, "/", " ", 1), "%d %d", &e, &n); err != nil {
		t.Fatalf("revision %q: %v", s, err)
	}
	return model.NewRevision(e, n)
}

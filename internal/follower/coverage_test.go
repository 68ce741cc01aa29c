package follower

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestCoverage checks which watches count as missing a change that answers to other calls show.
func TestCoverage(t *testing.T) {
	type step struct {
		At time.Duration
		// Call, End and Answer name a kind; an answer is up to Revision and holds Changes.
		Call, End, Answer string
		Revision          int64
		Era               uint32
		Changes           []int64
		// Silent is set if the connection of a call was just found silent.
		Check, Silent bool
		// Want are the kinds that are overdue, and Again says whether to ask again.
		Want  []string
		Again bool
	}
	type coverageCase struct {
		Name  string
		Steps []step
	}
	start := time.Unix(1000, 0)
	for _, c := range tester.Load[coverageCase](t, "coverage.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			cov := newCoverage()
			for i, s := range c.Steps {
				now := start.Add(s.At)
				at := func(change int64) model.Revision { return model.NewRevision(model.Era(s.Era), change) }
				switch {
				case s.Call != "":
					cov.noteCall(s.Call, now)
				case s.End != "":
					cov.noteEnd(s.End, now)
				case s.Answer != "":
					l := storer.Listing{Revision: at(s.Revision)}
					for _, n := range s.Changes {
						l.Objects = append(l.Objects, storer.Object{Revision: at(n)})
					}
					cov.noteEnd(s.Answer, now)
					cov.noteAnswer(s.Answer, l)
				}
				if !s.Check {
					continue
				}
				got, next := cov.overdue(now, s.Silent)
				if diff := cmp.Diff(s.Want, got, cmpopts.EquateEmpty()); diff != "" || next > 0 != s.Again {
					t.Errorf("step %d at %v: asked again after %v, want so %v; kinds that are overdue differ (-want +got):\n%s", i, s.At, next, s.Again, diff)
				}
			}
		})
	}
}

// TestForgottenChangesAreReadAgain checks that the table of changes is bounded, and that a watch which cannot be shown to
// know all of too many changes counts as missing some.
func TestForgottenChangesAreReadAgain(t *testing.T) {
	cov, now := newCoverage(), time.Unix(1000, 0)
	for _, kind := range []string{"plans", "servers"} {
		cov.noteCall(kind, now)
		cov.noteAnswer(kind, storer.Listing{Revision: 1})
	}
	for n := model.Revision(2); n < 2*maxKnownChanges; n++ {
		cov.noteAnswer("servers", storer.Listing{Revision: n, Objects: []storer.Object{{Revision: n}}})
	}
	if len(cov.known) > maxKnownChanges {
		t.Errorf("%d changes are remembered, want at most %d", len(cov.known), maxKnownChanges)
	}
	cov.overdue(now, false)
	if got, _ := cov.overdue(now.Add(time.Second), false); !cmp.Equal([]string{"plans"}, got) {
		t.Errorf("overdue kinds are %v, want plans", got)
	}
}

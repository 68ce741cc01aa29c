package guard

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// phase is a number of reports during which each version behaves in a given way.
type phase struct {
	Reports int
	Old     behaviour
	New     behaviour
}

// behaviour is one version's part of a report: the requests, the failures among them, the time to the
// first token with its spread, and the rating.
type behaviour struct {
	Requests int
	Failures int
	First    time.Duration
	Spread   float64
	Rating   float64
}

type rolloutCase struct {
	Name   string
	Phases []phase
	Bad    bool
}

// TestGuard replays roll-outs from a table and checks whether the guard finds the new version bad.
func TestGuard(t *testing.T) {
	b, err := os.ReadFile("testdata/rollouts.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []rolloutCase
	if err := yaml.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := New()
			r := rand.New(rand.NewPCG(1, 1))
			for _, p := range c.Phases {
				for range p.Reports {
					g.ObserveControl(p.Old.stats(r))
					g.Observe(p.New.stats(r))
				}
			}
			if diff := cmp.Diff(c.Bad, g.Verdict().Bad); diff != "" {
				t.Errorf("verdict differs (-want +got):\n%s%s at level %.2f", diff, g.Verdict().Reason, g.Verdict().Level)
			}
		})
	}
}

func (b behaviour) stats(r *rand.Rand) model.VersionStats {
	t := model.VersionStats{Requests: b.Requests, Failures: b.Failures}
	for range b.Requests - b.Failures {
		t.AddFirstTokenTime(time.Duration(float64(b.First) * (1 + b.Spread*r.Float64())))
		if b.Rating > 0 {
			t.AddRating(model.Quality(b.Rating + 0.1*(r.Float64()-0.5)))
		}
	}
	return t
}

package picker

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// choiceCase is a fleet as known to one entry and the servers of which one must be chosen.
type choiceCase struct {
	Name         string
	Servers      map[model.InstanceID]server
	LastInstance model.InstanceID
	Affinity     string
	OtherRegion  bool
	ShortestWait bool
	Excluded     map[model.InstanceID]string
	Draws        [3]float64
	Want         []model.InstanceID
}

type server struct {
	Region       model.RegionID
	Busy         int
	Limit        int
	Unanswered   int
	Leaving      bool
	Unreachable  bool
	LacksVersion bool
}

// TestDecide checks the choices in a table. Want lists all servers that are correct choices.
func TestDecide(t *testing.T) {
	b, err := os.ReadFile("testdata/choices.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []choiceCase
	if err := yaml.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			got := Nearest{}.Decide(input(c))
			right := false
			for _, w := range c.Want {
				right = right || got.Found && got.Instance.Instance == w
			}
			if len(c.Want) == 0 {
				right = !got.Found
			}
			if diff := cmp.Diff(true, right); diff != "" {
				t.Errorf("chose %q (%s), want one of %v", got.Instance.Instance, got.Reason, c.Want)
			}
		})
	}
}

func input(c choiceCase) Input {
	in := Input{
		Version: "v@1", Self: model.Place{Region: "near"}, LastInstance: c.LastInstance, Affinity: c.Affinity,
		OtherRegion: c.OtherRegion, ShortestWait: c.ShortestWait, Excluded: c.Excluded, Draws: c.Draws,
	}
	for _, id := range []model.InstanceID{"a", "b", "c", "d"} {
		s, ok := c.Servers[id]
		if !ok {
			continue
		}
		load := model.Load{Running: s.Busy, Limit: s.Limit, Versions: []model.VersionID{"v@1"}}
		if s.LacksVersion {
			load.Versions = nil
		}
		place := model.Place{Region: s.Region}
		in.Candidates = append(in.Candidates, Candidate{
			Instance: model.Instance{Instance: id, Place: place, Draining: s.Leaving}, Load: load, Reachable: !s.Unreachable, Unanswered: s.Unanswered,
		})
	}
	return in
}

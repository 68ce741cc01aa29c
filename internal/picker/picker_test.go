package picker

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// choiceCase is a fleet as one entry sees it and the server that must be chosen. A server is
// written as its region, running and queued requests, limit and a flag.
type choiceCase struct {
	Name     string
	Servers  map[model.InstanceID]server
	Hint     model.InstanceID
	Affinity string
	Far      bool
	Wait     bool
	Excluded map[model.InstanceID]string
	Dice     [3]float64
	Want     []model.InstanceID
}

type server struct {
	Region  model.RegionID
	Busy    int
	Limit   int
	Open    int
	Leaving bool
	Silent  bool
	Without bool
}

// TestDecide reads choices from a table. Want lists all servers that are right.
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
				t.Errorf("chose %q (%s), want one of %v", got.Instance.Instance, got.Why, c.Want)
			}
		})
	}
}

func input(c choiceCase) Input {
	in := Input{
		Version: "v@1", Self: model.Place{Region: "near"}, LastInstance: c.Hint, Affinity: c.Affinity,
		OtherRegion: c.Far, ShortestWait: c.Wait, Excluded: c.Excluded, Draws: c.Dice,
	}
	for _, id := range []model.InstanceID{"a", "b", "c", "d"} {
		s, ok := c.Servers[id]
		if !ok {
			continue
		}
		load := model.Load{Running: s.Busy, Limit: s.Limit, Versions: []model.VersionID{"v@1"}}
		if s.Without {
			load.Versions = nil
		}
		place := model.Place{Region: s.Region}
		in.Candidates = append(in.Candidates, Candidate{
			Instance: model.Instance{Instance: id, Place: place, Leaving: s.Leaving}, Load: load, Reachable: !s.Silent, Unanswered: s.Open,
		})
	}
	return in
}

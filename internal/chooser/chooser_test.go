package chooser

import (
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/pkg/parser"
)

// decisionCase is the input of a decision and the expected outcome: "version", "first then second" or
// "refused kind".
type decisionCase struct {
	Name     string
	Model    string
	Pinned   model.VersionID
	Stream   bool
	Target   model.Quality
	Mix      float64
	Explore  float64
	Share    float64
	Rollout  model.Share
	Versions map[model.VersionID][]float64 // mean, lower, cost in dollars, ratings
	Excluded map[model.VersionID]string
	Edit     map[string]string
	Want     string
}

// TestDecide checks decisions from a table. Each case edits the same document.
func TestDecide(t *testing.T) {
	base, err := os.ReadFile("testdata/document.yaml")
	if err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile("testdata/decisions.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []decisionCase
	if err := yaml.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			text := string(base)
			for old, edited := range c.Edit {
				text = strings.Replace(text, old, edited, 1)
			}
			d, err := parser.ParseDocument("document.yaml", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.Want, outcome(Cheapest{}.Decide(input(c, d)))); diff != "" {
				t.Errorf("decision differs (-want +got):\n%s", diff)
			}
		})
	}
}

func input(c decisionCase, d *model.Document) Input {
	in := Input{
		Document: d, Organisation: d.Organisations[0], Model: c.Model, Pinned: c.Pinned, Stream: c.Stream,
		Target: c.Target, Mix: c.Mix, Explore: c.Explore, Share: c.Share, Excluded: c.Excluded,
		Estimates: map[model.VersionID]Estimate{},
	}
	if in.Model == "" {
		in.Model = string(d.Service)
	}
	if d.Rollout != nil {
		in.Rollout = &model.RolloutState{Version: d.Rollout.Version, Baseline: d.Rollout.Baseline, Attempt: d.Rollout.Attempt, Share: c.Rollout}
	}
	for v, e := range c.Versions {
		in.Estimates[v] = Estimate{Mean: e[0], Lower: e[1], Cost: model.Money(e[2] * float64(model.Dollar)), Rated: e[3]}
	}
	if e, ok := in.Estimates["small@1"]; ok {
		e.Thresholds = map[model.VersionID][]Threshold{"large@1": {{Rating: 0.5, ShareBelow: 0.3, Quality: e.Mean + 0.08}}}
		in.Estimates["small@1"] = e
	}
	return in
}

func outcome(d Decision) string {
	switch {
	case d.Refusal != nil:
		return "refused " + string(d.Refusal.Kind)
	case d.Second != "":
		return string(d.Version) + " then " + string(d.Second)
	}
	return string(d.Version)
}

package chooser

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestStep reads steps to a larger model from a table.
func TestStep(t *testing.T) {
	type stepCase struct {
		Name       string
		Ran        model.ModelID
		Confidence int
		Rank       int
		Attempts   *int
		Spent      bool
		Fill       float64
		Late       bool
		Whole      time.Duration
		Want       model.ModelID
	}
	l := NewCascade(CascadeConfig{Floors: []int{65, 55, 45}})
	for _, c := range tester.Load[stepCase](t, "steps.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			in := EscalationInput{
				Models: []model.ModelID{"small", "middle", "large"}, Ran: "small", Confidence: c.Confidence, Rank: c.Rank,
				Attempts: 2, RetryAllowed: !c.Spent, Utilisation: c.Fill, Late: c.Late, AnswerDuration: c.Whole, TimeLeft: 5 * time.Second,
			}
			if c.Ran != "" {
				in.Ran = c.Ran
			}
			if c.Attempts != nil {
				in.Attempts = *c.Attempts
			}
			got, why := l.Escalate(in)
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("next model (%s, -want +got):\n%s", why, diff)
			}
		})
	}
}

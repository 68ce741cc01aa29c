package chooser

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestEscalate checks from a table which answers are dropped for one of a larger model.
func TestEscalate(t *testing.T) {
	type escalationCase struct {
		Name           string
		Ran            model.ModelID
		Confidence     int
		Rank           int
		Attempts       *int
		Spent          bool
		Utilisation    float64
		Late           bool
		AnswerDuration time.Duration
		Want           model.ModelID
	}
	cascade := NewCascade(CascadeConfig{Floors: []int{65, 55, 45}})
	for _, c := range tester.Load[escalationCase](t, "escalations.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			in := EscalationInput{
				Models: []model.ModelID{"small", "middle", "large"}, Ran: "small", Confidence: c.Confidence, Rank: c.Rank,
				Attempts: 2, RetryAllowed: !c.Spent, Utilisation: c.Utilisation, Late: c.Late, AnswerDuration: c.AnswerDuration, TimeLeft: 5 * time.Second,
			}
			if c.Ran != "" {
				in.Ran = c.Ran
			}
			if c.Attempts != nil {
				in.Attempts = *c.Attempts
			}
			got, why := cascade.Escalate(in)
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("next model (%s, -want +got):\n%s", why, diff)
			}
		})
	}
}

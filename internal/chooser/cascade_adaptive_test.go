package chooser

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// learnedCascade returns a cascade that has seen answers to a request.
func learnedCascade(keys CascadeKeys, small, middle float64, now time.Time) *AdaptiveCascade {
	a := NewAdaptiveCascade(CascadeConfig{Floors: []int{65, 55}})
	observe := func(n, position int, share float64, followed bool) {
		for i := range n {
			confidence := 0
			if int(float64(i+1)*share) > int(float64(i)*share) {
				confidence = maxConfidence
			}
			a.Observe(keys, position, confidence, 0, followed, now)
		}
	}
	observe(200, 0, small, false)
	if middle >= 0 {
		observe(100, 1, middle, true)
	}
	return a
}

// TestCascadeChoices checks from a table which model starts and which one follows. It guards against second answers
// that come too late or load engines that are full, and against a start at a large model that seldom saves a run.
func TestCascadeChoices(t *testing.T) {
	type choiceCase struct {
		Name              string
		Small, Middle     float64
		Ran               model.ModelID
		Confidence, Rank  *int
		Attempts          int
		Utilisation, Draw float64
		Spent, Trial      bool
		// Free means that the models have no costs.
		Free        bool
		TimeLeft    time.Duration
		Start, Next model.ModelID
	}
	now := time.Unix(1_800_000_000, 0)
	for _, c := range tester.Load[choiceCase](t, "cascade_choices.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			request := CascadeRequest{Route: "chat", Organisation: "mill", PromptTokens: 1000, Models: []model.ModelID{"small", "middle", "large"}}
			in := CascadeInput{
				Keys: NewCascadeKeys(request), Options: replayOptions, Attempts: max(c.Attempts, 0), RetryAllowed: !c.Spent,
				Utilisation: c.Utilisation, TimeLeft: 10 * time.Second, LatencyTarget: 800 * time.Millisecond, Draw: 0.5, Trial: c.Trial,
			}
			e := EscalationInput{Models: request.Models, Ran: "small", Confidence: 20, RetryAllowed: !c.Spent, Utilisation: c.Utilisation, AnswerDuration: 2 * time.Second}
			if c.Attempts == 0 {
				in.Attempts = 3
			}
			if c.TimeLeft > 0 {
				in.TimeLeft = c.TimeLeft
			}
			if c.Draw > 0 {
				in.Draw = c.Draw
			}
			if c.Confidence != nil {
				e.Confidence = *c.Confidence
			}
			if c.Rank != nil {
				in.Rank, e.Rank = *c.Rank, *c.Rank
			}
			if c.Ran != "" {
				e.Ran = c.Ran
			}
			if c.Free {
				in.Options = []ModelOption{{Model: "small"}, {Model: "middle"}, {Model: "large"}}
			}
			a := learnedCascade(in.Keys, c.Small, c.Middle, now)
			start := a.Start(in, now)
			in.Attempts--
			in.Elapsed, e.Attempts, e.TimeLeft = 60*time.Millisecond, in.Attempts, in.TimeLeft
			next := a.Next(e, in, now.Add(time.Minute))
			if diff := cmp.Diff([]model.ModelID{c.Start, c.Next}, []model.ModelID{start.Model, next.Next}); diff != "" {
				t.Errorf("first and next model (%s, %+v, -want +got):\n%s", next.Reason, start, diff)
			}
		})
	}
}

// TestCascadeMemoryIsBounded checks that sessions that send one request each do not fill the memory, and that they do not
// push out what is known of the route.
func TestCascadeMemoryIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := NewAdaptiveCascade(CascadeConfig{Floors: []int{65}})
	request := CascadeRequest{Route: "chat", Models: []model.ModelID{"small", "large"}}
	for i := range 3 * maxCascadeRecords {
		request.Session = strconv.Itoa(i)
		now = now.Add(10 * time.Millisecond)
		a.Observe(NewCascadeKeys(request), 0, 10, 0, false, now)
	}
	if n := len(a.knowledge.records); n > maxCascadeRecords {
		t.Errorf("%d records, at most %d are allowed", n, maxCascadeRecords)
	}
	if n := len(a.knowledge.index); n > maxCascadeRecords {
		t.Errorf("%d records in the index, at most %d are allowed", n, maxCascadeRecords)
	}
	if !a.Learned(NewCascadeKeys(request), 2, now) {
		t.Error("what was learned of the route was evicted")
	}
}

// BenchmarkCascade measures what the learned rule adds to a request: the keys, the choice of the first model and the
// decision on its answer, with a full memory.
func BenchmarkCascade(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	request := CascadeRequest{Route: "chat", Organisation: "mill", Session: "s", PromptTokens: 1000, Models: []model.ModelID{"small", "middle", "large"}}
	a := learnedCascade(NewCascadeKeys(request), 0.6, 0.3, now)
	for i := range maxCascadeRecords {
		r := request
		r.Session = strconv.Itoa(i)
		a.Observe(NewCascadeKeys(r), 0, 80, 0, false, now)
	}
	in := CascadeInput{Options: replayOptions, Attempts: 3, RetryAllowed: true, TimeLeft: 10 * time.Second, LatencyTarget: 800 * time.Millisecond, Draw: 0.5}
	e := EscalationInput{Models: request.Models, Ran: "small", Confidence: 80, Attempts: 2, RetryAllowed: true, TimeLeft: 10 * time.Second}
	b.Run("unlearned", func(b *testing.B) {
		b.ReportAllocs()
		other := request
		other.Route = "other"
		for b.Loop() {
			a.Learned(NewCascadeKeys(other), 3, now)
		}
	})
	b.Run("start", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if in.Keys = NewCascadeKeys(request); a.Learned(in.Keys, 3, now) {
				a.Start(in, now)
			}
		}
	})
	b.Run("answer", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a.Observe(in.Keys, 0, 80, 0, false, now)
			a.Next(e, in, now)
		}
	})
}

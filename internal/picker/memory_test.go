package picker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestEngineMemory guards against requests at engines whose memory they overfill while others have room, and against
// refusing requests because none has.
func TestEngineMemory(t *testing.T) {
	type memoryCase struct {
		Name             string
		Held             map[model.BackendID]model.Tokens
		Busy             map[model.BackendID]int
		Request          model.Tokens
		Capacity         model.Tokens
		Excluded, Barred model.BackendID
		Want             model.BackendID
	}
	for _, c := range tester.Load[memoryCase](t, "memory.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			in := EngineInput{
				Tokens: c.Request, KVCapacity: c.Capacity,
				Excluded: map[model.BackendID]bool{c.Excluded: true}, Barred: map[model.BackendID]bool{c.Barred: true},
			}
			for id, held := range c.Held {
				in.Engines = append(in.Engines, Engine{
					Server: model.BackendServer{Backend: id, Slots: 8, State: model.BackendReady}, Tokens: held, Busy: c.Busy[id],
				})
			}
			if diff := cmp.Diff(c.Want, (EarliestFirstToken{}).Decide(in).Server.Backend); diff != "" {
				t.Errorf("engine (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMemoryUnderLongAnswers replays answers of very different lengths, which fill the memory of some engines first.
// The fullest engine must hold no more than MaxFull of its capacity, and less than without known capacities.
func TestMemoryUnderLongAnswers(t *testing.T) {
	for _, l := range tester.Load[replayLoad](t, "long_answers.yaml") {
		t.Run(l.Name, func(t *testing.T) {
			known := replay(l, false)
			capacity := l.KVCapacity
			l.KVCapacity = 0
			unknown := replay(l, false)
			unknown.fullest /= float64(capacity)
			if known.fullest > l.MaxFull || known.fullest >= unknown.fullest {
				t.Errorf("the fullest engine holds %.2f of its capacity, want at most %.2f and less than %.2f, which it holds if no capacity is known",
					known.fullest, l.MaxFull, unknown.fullest)
			}
			t.Logf("fullest %.2f with capacities, %.2f without; 95%% wait up to %v and %v", known.fullest, unknown.fullest, known.quantile(0.95), unknown.quantile(0.95))
		})
	}
}

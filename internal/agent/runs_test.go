package agent

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestNotRunIsTrue interleaves arrivals, repeats, cancels, hand-overs and ends of a few
// requests: no id runs twice, and an id that was said not to run never runs.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newRunTable(runTableConfig{Keep: 1 << 20})
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		ids := []model.RequestID{"a", "b", "c"}
		handed := map[model.RequestID]int{}
		denied := map[model.RequestID]bool{}
		runs := map[model.RequestID]*run{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			now = now.Add(time.Second)
			switch rapid.SampledFrom([]string{"arrive", "cancel", "hand", "finish", "refuse", "acknowledge", "sweep"}).Draw(t, "step") {
			case "arrive":
				w := messenger.Work{Request: id, Budget: time.Hour, Idempotent: rapid.Bool().Draw(t, "idempotent")}
				if r, fresh := table.begin(context.Background(), w, now); fresh {
					runs[id] = r
				}
			case "cancel":
				run := table.cancel(id, now)
				if run == model.RunNo {
					denied[id] = true
				}
				if run == model.RunNo && handed[id] > 0 {
					t.Fatalf("%s was said not to run after it was handed over", id)
				}
			case "hand":
				if r := runs[id]; r != nil && r.hand() {
					handed[id]++
				}
			case "finish":
				if r := runs[id]; r != nil && r.stage == stageHanded {
					r.usage = &model.Usage{}
					r.finish(messenger.Frame{Kind: messenger.FrameEnd, End: &messenger.End{}}, now)
				}
			case "refuse":
				if r := runs[id]; r != nil && r.stage == stageQueued {
					r.finish(refusalFrame(model.Refuse(model.KindOverload, "busy")), now)
				}
			case "acknowledge":
				table.acknowledge(id)
			case "sweep":
				table.sweep(now)
			}
			if handed[id] > 1 {
				t.Fatalf("%s ran %d times", id, handed[id])
			}
			if denied[id] && handed[id] > 0 {
				t.Fatalf("%s ran although it was said not to run", id)
			}
		}
	})
}

// TestCancelRacesWithHandOver lets a cancel and a hand-over meet: one of them wins.
func TestCancelRacesWithHandOver(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 20_000 {
		r := newRun(t.Context(), messenger.Work{Request: "a", Budget: time.Hour}, now)
		handed := make(chan bool)
		go func() { handed <- r.hand() }()
		said := r.cancelled(now)
		if ran := <-handed; ran && said == model.RunNo {
			t.Fatal("the request was said not to run and was handed over")
		}
		r.cancel()
	}
}

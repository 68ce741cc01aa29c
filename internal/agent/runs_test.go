package agent

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestNotRunReplyIsReliable interleaves arrivals, repeats, cancels, hand-overs and ends of a few
// requests. It checks that no id runs twice, and that an id never runs after a cancel replied
// that it did not run.
func TestNotRunReplyIsReliable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newRunTable(runTableConfig{AnswerMemory: 1 << 20})
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		ids := []model.RequestID{"a", "b", "c"}
		handOvers := map[model.RequestID]int{}
		reportedNotRun := map[model.RequestID]bool{}
		runs := map[model.RequestID]*run{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			now = now.Add(time.Second)
			switch rapid.SampledFrom([]string{"arrive", "cancel", "hand", "finish", "refuse", "acknowledge", "sweep"}).Draw(t, "step") {
			case "arrive":
				w := messenger.Work{Request: id, Budget: time.Hour, Idempotent: rapid.Bool().Draw(t, "idempotent")}
				if r, fresh := table.findOrCreate(context.Background(), w, now); fresh {
					runs[id] = r
				}
			case "cancel":
				run := table.cancel(id, now)
				if run == model.RunNo {
					reportedNotRun[id] = true
				}
				if run == model.RunNo && handOvers[id] > 0 {
					t.Fatalf("%s was reported as not run after it was handed over", id)
				}
			case "hand":
				if r := runs[id]; r != nil && r.handOver() {
					handOvers[id]++
				}
			case "finish":
				if r := runs[id]; r != nil && r.stage == stageHandedOver {
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
			if handOvers[id] > 1 {
				t.Fatalf("%s ran %d times", id, handOvers[id])
			}
			if reportedNotRun[id] && handOvers[id] > 0 {
				t.Fatalf("%s ran although it was reported as not run", id)
			}
		}
	})
}

// TestCancelRacesWithHandOver runs a cancel and a hand-over concurrently. It checks that a request
// that was handed over is not reported as not run.
func TestCancelRacesWithHandOver(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 20_000 {
		r := newRun(t.Context(), messenger.Work{Request: "a", Budget: time.Hour}, now)
		handed := make(chan bool)
		go func() { handed <- r.handOver() }()
		reported := r.tryCancel(now)
		if ran := <-handed; ran && reported == model.RunNo {
			t.Fatal("the request was reported as not run and was handed over")
		}
		r.cancel()
	}
}

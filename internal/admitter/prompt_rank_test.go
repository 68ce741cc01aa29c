package admitter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

func TestPromptRank(t *testing.T) {
	type promptRankCase struct {
		Name         string
		LargestModel bool
		PromptTokens int
		Want         int
	}
	for _, c := range tester.Load[promptRankCase](t, "prompt_ranks.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			if diff := gocmp.Diff(c.Want, PromptRank(PromptRankInput{LargestModel: c.LargestModel, PromptTokens: c.PromptTokens})); diff != "" {
				t.Errorf("rank (-want +got):\n%s", diff)
			}
		})
	}
}

// TestShortPromptsFirst simulates prompts of two models at one engine, which processes them one
// at a time at 80% load. It checks that serving by rank leaves at most half as many prompts with
// a late first token as serving in order of arrival.
func TestShortPromptsFirst(t *testing.T) {
	type job struct {
		at, prefill time.Duration
		rank        int
	}
	const target = 1500 * time.Millisecond
	r := rand.New(rand.NewPCG(3, 3))
	var jobs []job
	var work, now time.Duration
	for range 5000 {
		tokens, large := 300+r.IntN(1500), r.IntN(3) == 0
		if r.IntN(4) == 0 {
			tokens = 4000 + r.IntN(20_000)
		}
		perToken := 5 * time.Microsecond
		if large {
			perToken = 50 * time.Microsecond
		}
		j := job{at: now, prefill: perToken * time.Duration(tokens), rank: PromptRank(PromptRankInput{LargestModel: large, PromptTokens: tokens})}
		jobs = append(jobs, j)
		work += j.prefill
		now += time.Duration(r.ExpFloat64() * float64(110*time.Millisecond/80*100))
	}
	if load := float64(work) / float64(now); load < 0.5 || load > 0.95 {
		t.Fatalf("the engine is loaded to %.2f", load)
	}
	countLate := func(byRank bool) int {
		var waiting []job
		var free time.Duration
		next, n := 0, 0
		for next < len(jobs) || len(waiting) > 0 {
			if len(waiting) == 0 && free < jobs[next].at {
				free = jobs[next].at
			}
			for next < len(jobs) && jobs[next].at <= free {
				waiting = append(waiting, jobs[next])
				next++
			}
			k := 0
			if byRank {
				first := slices.MinFunc(waiting, func(a, b job) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.at, b.at)) })
				k = slices.Index(waiting, first)
			}
			j := waiting[k]
			waiting = slices.Delete(waiting, k, k+1)
			free += j.prefill
			if free-j.at > target {
				n++
			}
		}
		return n
	}
	byArrival, byRank := countLate(false), countLate(true)
	if byRank*2 > byArrival {
		t.Errorf("%d prompts are late by rank, want at most half of %d in order of arrival", byRank, byArrival)
	}
}

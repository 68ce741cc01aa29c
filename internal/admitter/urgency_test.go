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

// TestUrgency reads ranks from a table.
func TestUrgency(t *testing.T) {
	type urgencyCase struct {
		Name   string
		Large  bool
		Tokens int
		Want   int
	}
	for _, c := range tester.Load[urgencyCase](t, "urgencies.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			if diff := gocmp.Diff(c.Want, PromptRank(PromptRankInput{LargestModel: c.Large, PromptTokens: c.Tokens})); diff != "" {
				t.Errorf("urgency (-want +got):\n%s", diff)
			}
		})
	}
}

// TestShortWorkFirst replays prompts of two models at one engine that reads them one after the
// other at 80% of its speed, in order of arrival and by urgency, and checks that far fewer have
// their first token late.
func TestShortWorkFirst(t *testing.T) {
	type job struct {
		at, read time.Duration
		rank     int
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
		j := job{at: now, read: perToken * time.Duration(tokens), rank: PromptRank(PromptRankInput{LargestModel: large, PromptTokens: tokens})}
		jobs = append(jobs, j)
		work += j.read
		now += time.Duration(r.ExpFloat64() * float64(110*time.Millisecond/80*100))
	}
	if load := float64(work) / float64(now); load < 0.5 || load > 0.95 {
		t.Fatalf("the engine is loaded to %.2f", load)
	}
	late := func(byRank bool) int {
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
			free += j.read
			if free-j.at > target {
				n++
			}
		}
		return n
	}
	inOrder, byRank := late(false), late(true)
	if byRank*2 > inOrder {
		t.Errorf("%d prompts are late by urgency, want at most half of %d in order of arrival", byRank, inOrder)
	}
}

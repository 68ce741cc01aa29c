package admitter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestPromptRank checks the order of prompts from a table. It guards against requests of a lower rank that are served
// before the most valuable ones because these are longer.
func TestPromptRank(t *testing.T) {
	type promptRankCase struct {
		Name            string
		PromptRankInput `yaml:",inline"`
		Want            int
	}
	for _, c := range tester.Load[promptRankCase](t, "prompt_ranks.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			if c.Pause == 0 {
				c.Pause = 800 * time.Millisecond
			}
			if diff := gocmp.Diff(c.Want, PromptRank(c.PromptRankInput)); diff != "" {
				t.Errorf("rank (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPromptRankOrder guards, for all ranks and sizes, against a longer prompt of the same rank that goes first, and
// against one of a lower rank that goes first although it does not take much less time.
func TestPromptRankOrder(t *testing.T) {
	const pause = 800 * time.Millisecond
	place := func(rank int, prefill time.Duration) int {
		return PromptRank(PromptRankInput{Rank: rank, Prefill: prefill, Pause: pause})
	}
	for rank := range rankCount {
		for prefill := time.Duration(0); prefill < 4*pause; prefill += 10 * time.Millisecond {
			got := place(rank, prefill)
			if longer := place(rank, prefill+time.Millisecond); longer < got || got > maxRank {
				t.Fatalf("a prompt of rank %d and %v has place %d, a longer one %d", rank, prefill, got, longer)
			}
			for lower := rank + 1; lower < rankCount; lower++ {
				for other := 10 * time.Millisecond; other < 4*pause; other += 10 * time.Millisecond {
					muchShorter := float64(other)*math.Pow(sizeGrowth, float64(rankPlaces*(lower-rank))) < float64(prefill)
					if first := place(lower, other) < got; first && !muchShorter {
						t.Fatalf("a prompt of rank %d and %v has place %d, one of rank %d and %v goes first", rank, prefill, got, lower, other)
					}
				}
			}
		}
	}
}

// job is a prompt at an engine that reads one prompt at a time.
type job struct {
	at, prefill time.Duration
	kind, rank  int
}

// lateJobs returns how many jobs of each kind have their first token after target, if they are served by rank or in
// order of arrival.
func lateJobs(jobs []job, target time.Duration, byRank bool) map[int]int {
	var waiting []job
	var free time.Duration
	next, late := 0, map[int]int{}
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
			late[j.kind]++
		}
	}
	return late
}

// TestShortPromptsFirst simulates prompts of two models at one engine, which processes them one
// at a time at 80% load. It checks that serving by rank leaves at most half as many prompts with
// a late first token as serving in order of arrival.
func TestShortPromptsFirst(t *testing.T) {
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
		j := job{at: now, prefill: perToken * time.Duration(tokens)}
		j.rank = PromptRank(PromptRankInput{Prefill: j.prefill})
		jobs = append(jobs, j)
		work += j.prefill
		now += time.Duration(r.ExpFloat64() * float64(110*time.Millisecond/80*100))
	}
	if load := float64(work) / float64(now); load < 0.5 || load > 0.95 {
		t.Fatalf("the engine is loaded to %.2f", load)
	}
	byArrival, byRank := lateJobs(jobs, 1500*time.Millisecond, false)[0], lateJobs(jobs, 1500*time.Millisecond, true)[0]
	if byRank*2 > byArrival {
		t.Errorf("%d prompts are late by rank, want at most half of %d in order of arrival", byRank, byArrival)
	}
}

// TestLongUrgentPrompts replays bursts of load with kinds of different ranks and sizes. It guards against an order in
// which the most valuable kind is served worst because its prompts are long, and against one in which it takes so much
// that another kind is served less than a quarter as often as all prompts together.
func TestLongUrgentPrompts(t *testing.T) {
	type burstCase struct {
		Name   string
		Target time.Duration
		// Period is the time from one burst to the next, of which Burst has the load BurstLoad and the rest Load.
		Period, Burst   time.Duration
		Load, BurstLoad float64
		Kinds           []struct {
			Rank    int
			Prefill time.Duration
			// Share is the kind's part of the prompts.
			Share float64
		}
	}
	for _, c := range tester.Load[burstCase](t, "bursts.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(4, 4))
			var jobs []job
			mean := 0.0
			for _, k := range c.Kinds {
				mean += k.Share * float64(k.Prefill)
			}
			arrived := make([]int, len(c.Kinds))
			for now := time.Duration(0); now < 20*time.Minute; {
				load := c.Load
				if now%c.Period < c.Burst {
					load = c.BurstLoad
				}
				now += time.Duration(r.ExpFloat64() * mean / load)
				kind, draw := 0, r.Float64()
				for draw -= c.Kinds[0].Share; draw > 0 && kind < len(c.Kinds)-1; draw -= c.Kinds[kind].Share {
					kind++
				}
				k := c.Kinds[kind]
				arrived[kind]++
				jobs = append(jobs, job{at: now, prefill: k.Prefill, kind: kind, rank: PromptRank(PromptRankInput{Rank: k.Rank, Prefill: k.Prefill, Pause: 800 * time.Millisecond})})
			}
			late, all := lateJobs(jobs, c.Target, true), 0
			for _, n := range late {
				all += n
			}
			served := func(kind int) float64 { return 1 - float64(late[kind])/float64(arrived[kind]) }
			whole := 1 - float64(all)/float64(len(jobs))
			for kind := range c.Kinds {
				t.Logf("kind %d: %.3f of %d in time, all: %.3f", kind, served(kind), arrived[kind], whole)
				if served(kind) < whole/4 {
					t.Errorf("kind %d is served %.3f, want at least a quarter of %.3f", kind, served(kind), whole)
				}
			}
			if last := len(c.Kinds) - 1; served(0) < served(last) {
				t.Errorf("the most urgent kind is served %.3f, the least urgent %.3f", served(0), served(last))
			}
		})
	}
}

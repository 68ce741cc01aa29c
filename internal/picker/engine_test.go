package picker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/cacher"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

func TestEarliestFirstToken(t *testing.T) {
	type engine struct {
		Backlog      time.Duration
		Busy         int
		CachedTokens model.Tokens
		Draining     bool
		Cold         bool
	}
	type engineCase struct {
		Name      string
		Engines   map[model.BackendID]engine
		Prefix    cacher.Key
		Excluded  model.BackendID
		Want      model.BackendID
		WantOneOf []model.BackendID
	}
	for _, c := range tester.Load[engineCase](t, "engines.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			in := EngineInput{
				Self: model.Place{Region: "near", Domain: "near-a"}, PrefillTime: 100 * time.Millisecond, PromptTokens: 1000,
				Excluded: map[model.BackendID]bool{c.Excluded: true},
			}
			if c.Prefix != 0 {
				in.Prefixes = []Prefix{{Key: c.Prefix, Tokens: 600}}
			}
			for id, e := range c.Engines {
				s := model.BackendServer{Backend: id, Slots: 48, State: model.BackendReady, Place: model.Place{Region: "near", Domain: "near-a"}}
				if id == "x" {
					s.Place = model.Place{Region: "far", Domain: "far-a"}
				}
				if e.Draining {
					s.State = model.BackendDraining
				}
				if e.Cold {
					s.ColdRemaining = time.Second
				}
				in.Engines = append(in.Engines, Engine{Server: s, Backlog: e.Backlog, Busy: e.Busy, CachedTokens: e.CachedTokens})
			}
			got := EarliestFirstToken{}.Decide(in).Server.Backend
			if len(c.WantOneOf) > 0 {
				if !slices.Contains(c.WantOneOf, got) {
					t.Errorf("chose %q, want one of %v", got, c.WantOneOf)
				}
				return
			}
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("engine (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEnginesReservedForSmallestModel checks that the smallest and larger models use separate
// engines, so that the smallest model does not wait behind the largest, and that every entry
// reserves the same engines.
func TestEnginesReservedForSmallestModel(t *testing.T) {
	var engines []Engine
	for i := range 12 {
		engines = append(engines, Engine{Server: model.BackendServer{
			Backend: model.BackendID(fmt.Sprint("e", i)), Slots: 48, State: model.BackendReady, Place: model.Place{Region: "near"},
		}})
	}
	used := map[bool]map[model.BackendID]bool{true: {}, false: {}}
	for i := range 200 {
		rand.Shuffle(len(engines), func(a, b int) { engines[a], engines[b] = engines[b], engines[a] })
		small := i%2 == 0
		c := EarliestFirstToken{}.Decide(EngineInput{Engines: engines, Self: model.Place{Region: "near"}, Prefixes: []Prefix{{Key: cacher.Key(i), Tokens: 1}}, SmallestModel: small, LargerModel: !small})
		used[small][c.Server.Backend] = true
	}
	for id := range used[true] {
		if used[false][id] {
			t.Errorf("engine %s serves both the smallest and a larger model", id)
		}
	}
	if diff := cmp.Diff(3, len(used[true])); diff != "" {
		t.Errorf("engines of the smallest model (-want +got):\n%s", diff)
	}
}

// TestLongPromptsDelayFew simulates prompts of which one in twenty takes 3 s to prefill, at 85%
// load. The 95th percentile of the wait must be within 1.15 times that of a choice with perfect
// knowledge, and below that of a choice by the number of unanswered requests.
func TestLongPromptsDelayFew(t *testing.T) {
	const engines, prompts = 8, 4000
	run := func(choose func(backlog []time.Duration, open []int) int) time.Duration {
		r := rand.New(rand.NewPCG(7, 7))
		free := make([]time.Duration, engines)
		ends := make([][]time.Duration, engines)
		var waits []time.Duration
		now := time.Duration(0)
		for range prompts {
			prefill := 50 * time.Millisecond
			if r.IntN(20) == 0 {
				prefill = 3 * time.Second
			}
			now += time.Duration(r.ExpFloat64() * float64(197*time.Millisecond) / engines / 0.85)
			backlog, open := make([]time.Duration, engines), make([]int, engines)
			for k := range engines {
				backlog[k] = max(free[k]-now, 0)
				ends[k] = slices.DeleteFunc(ends[k], func(end time.Duration) bool { return end <= now })
				open[k] = len(ends[k])
			}
			k := choose(backlog, open)
			waits = append(waits, backlog[k])
			free[k] = max(free[k], now) + prefill
			ends[k] = append(ends[k], free[k])
		}
		slices.Sort(waits)
		return waits[len(waits)*95/100]
	}
	byCountWait := run(func(_ []time.Duration, open []int) int { return slices.Index(open, slices.Min(open)) })
	byTimeWait := run(func(backlog []time.Duration, _ []int) int {
		in := EngineInput{PrefillTime: 50 * time.Millisecond}
		for k := range engines {
			in.Engines = append(in.Engines, Engine{Backlog: backlog[k], Server: model.BackendServer{
				Backend: model.BackendID(fmt.Sprint(k)), State: model.BackendReady, Slots: 48,
			}})
		}
		id := EarliestFirstToken{}.Decide(in).Server.Backend
		return int(id[0] - '0')
	})
	perfectWait := run(func(backlog []time.Duration, _ []int) int { return slices.Index(backlog, slices.Min(backlog)) })
	if float64(byTimeWait) > 1.15*float64(perfectWait) || byTimeWait >= byCountWait {
		t.Errorf("95%% of prompts wait less than %v; perfect knowledge gives %v, the number of requests %v", byTimeWait, perfectWait, byCountWait)
	}
}

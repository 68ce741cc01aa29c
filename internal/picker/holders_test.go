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

// TestHolders guards against popular prefixes that overload one engine, rare ones that are read by many, and an engine that
// gets all its prefixes at once when it starts. Entries that list the engines in another order must agree.
func TestHolders(t *testing.T) {
	type holdersCase struct {
		Name             string
		Engines, Busy    int
		Share, LongShare float64
		Cold             bool
		Age              time.Duration
		// Holders is the number of holders of a longest prefix. First is the number of engines that hold any prefix, and
		// is not checked if it is 0.
		Holders, First int
		// YoungLow and YoungHigh bound the number of longest prefixes at e0 if that is cold or has an age.
		YoungLow, YoungHigh int
	}
	const prefixes = 400
	now := time.Unix(1_000_000, 0)
	for _, c := range tester.Load[holdersCase](t, "holders.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			in := EngineInput{Now: now}
			for i := range c.Engines {
				in.Engines = append(in.Engines, Engine{Busy: c.Busy, Server: model.BackendServer{Backend: model.BackendID(fmt.Sprint("e", i)), Slots: 48, State: model.BackendReady}})
			}
			if c.Cold {
				in.Engines[0].Server.ColdRemaining = time.Second
			}
			if c.Age > 0 {
				in.Engines[0].Server.StartUnixMilli = now.Add(-c.Age).UnixMilli()
			}
			holding, young := map[model.BackendID]bool{}, 0
			for n := range prefixes {
				in.LastKey = cacher.Key(mix(uint64(n)))
				in.Prefixes = []Prefix{{Key: 1, Tokens: 100, Share: c.Share}, {Key: in.LastKey, Tokens: 300, Share: c.LongShare}}
				holders := holdersOf(in)
				if len(holders) != c.Holders {
					t.Fatalf("prefix %d has holders %v, want %d", n, holders, c.Holders)
				}
				for _, id := range holders {
					holding[id] = true
				}
				if slices.Contains(holders, "e0") {
					young++
				}
				other := in
				other.Engines = slices.Clone(in.Engines)
				rand.Shuffle(len(other.Engines), func(a, b int) { other.Engines[a], other.Engines[b] = other.Engines[b], other.Engines[a] })
				if diff := cmp.Diff(holders, holdersOf(other)); diff != "" {
					t.Fatalf("holders at another entry (-one +other):\n%s", diff)
				}
			}
			if c.First > 0 && len(holding) != c.First {
				t.Errorf("%d engines hold prefixes, want %d", len(holding), c.First)
			}
			if (c.Cold || c.Age > 0) && (young < c.YoungLow || young > c.YoungHigh) {
				t.Errorf("e0 holds %d of %d prefixes, want %d to %d", young, prefixes, c.YoungLow, c.YoungHigh)
			}
		})
	}
}

// holdersOf returns the holders of the longest prefix in the order in which they are preferred.
func holdersOf(in EngineInput) []model.BackendID {
	var out []model.BackendID
	for _, r := range rankEngines(in, nil) {
		if r.holder {
			out = append(out, in.Engines[r.index].Server.Backend)
		}
	}
	return out
}

// TestSavedTimeAgainstQueue guards against a holder that keeps getting prompts whatever its queue: the saved time counts
// for others too, but is bounded.
func TestSavedTimeAgainstQueue(t *testing.T) {
	in := EngineInput{PrefillTime: 200 * time.Millisecond, PromptTokens: 1000, Prefixes: []Prefix{{Key: 1, Tokens: 500}}, LastKey: 2}
	for i := range 4 {
		in.Engines = append(in.Engines, Engine{Server: model.BackendServer{Backend: model.BackendID(fmt.Sprint("e", i)), Slots: 48, State: model.BackendReady}})
	}
	holder := holdersOf(in)[0]
	at := slices.IndexFunc(in.Engines, func(e Engine) bool { return e.Server.Backend == holder })
	var got []bool
	for _, backlog := range []time.Duration{0, 120 * time.Millisecond, 200 * time.Millisecond} {
		in.Engines[at].Backlog = backlog
		choice := EarliestFirstToken{}.Decide(in)
		got = append(got, choice.Server.Backend == holder)
		if choice.Server.Backend == holder && choice.Wait != backlog+100*time.Millisecond {
			t.Errorf("the wait at the holder is %v after a backlog of %v", choice.Wait, backlog)
		}
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("the holder is chosen with a growing backlog (-want +got):\n%s", diff)
	}
}

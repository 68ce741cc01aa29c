package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/cacher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// benchmarkEngines is the number of engines of the largest deployment today.
const benchmarkEngines = 52

func benchmarkInput() EngineInput {
	in := EngineInput{
		Self: model.Place{Region: "r0", Domain: "r0-a"}, PrefillTime: 100 * time.Millisecond, SmallestModel: true,
		Excluded: map[model.BackendID]bool{}, Barred: map[model.BackendID]bool{},
	}
	for i := range benchmarkEngines {
		region := model.RegionID(fmt.Sprint("r", i%2))
		in.Engines = append(in.Engines, Engine{
			Server: model.BackendServer{
				Backend: model.BackendID(fmt.Sprintf("models-%d-%08x", i, i*7919)), Slots: 48, State: model.BackendReady,
				Place: model.Place{Region: region, Domain: model.DomainID(fmt.Sprint(region, "-", i%3))},
			},
			Backlog: time.Duration(i*37%90) * time.Millisecond, Busy: i % 48,
		})
	}
	return in
}

// BenchmarkEngine reports the cost of choosing among 52 engines.
func BenchmarkEngine(b *testing.B) {
	b.Run("shared", func(b *testing.B) {
		in := benchmarkInput()
		in.PromptTokens, in.LastKey = 2000, 11
		in.Prefixes = []Prefix{{Key: 7, Tokens: 400, Share: 0.3}, {Key: 9, Tokens: 1200, Share: 0.01}}
		b.ReportAllocs()
		for b.Loop() {
			EarliestFirstToken{}.Decide(in)
		}
	})
	b.Run("unshared", func(b *testing.B) {
		in := benchmarkInput()
		b.ReportAllocs()
		for b.Loop() {
			EarliestFirstToken{}.Decide(in)
		}
	})
}

// BenchmarkEngineKnowledge reports the cost of the choice with the look-ups of what each engine holds.
func BenchmarkEngineKnowledge(b *testing.B) {
	in, known, chain := benchmarkInput(), cacher.New(), cacher.NewChain("m")
	in.Now, in.PromptTokens = time.Unix(1, 0), 2000
	for i, e := range in.Engines {
		for n := range 200 {
			c := cacher.NewChain("m")
			c.Add("head", 400, true)
			c.Add(fmt.Sprint("document-", i%4, n), 800, true)
			c.Add(fmt.Sprint("session-", i, n), 800, false)
			known.Send(cacher.Engine{Lifetime: e.Server.Lifetime(), Capacity: 570_401}, c, in.Now)
			chain = c
		}
	}
	engines := in.Engines
	b.ReportAllocs()
	for b.Loop() {
		in.Prefixes, in.Engines = nil, engines
		DescribePrefixes(&in, known, chain)
		EarliestFirstToken{}.Decide(in)
	}
}

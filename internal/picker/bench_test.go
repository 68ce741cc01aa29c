package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// BenchmarkEarliestFirstToken measures a choice among 52 engines in two regions, for a prompt with shared parts and two
// models, which is the costliest case.
func BenchmarkEarliestFirstToken(b *testing.B) {
	in := EngineInput{
		Self: model.Place{Region: "r0", Domain: "d0"}, LargerModel: true,
		PrefillTime: 100 * time.Millisecond, PromptTokens: 2000, Prefixes: []Prefix{{Key: 7, Tokens: 1200, Share: 0.01}}, Tokens: 12_000, KVCapacity: 570_000,
		Excluded: map[model.BackendID]bool{}, Barred: map[model.BackendID]bool{},
	}
	for i := range 52 {
		s := model.BackendServer{
			Backend: model.BackendID(fmt.Sprint("engine-", i)), Slots: 48, State: model.BackendReady,
			Place: model.Place{Region: model.RegionID(fmt.Sprint("r", i%2)), Domain: model.DomainID(fmt.Sprint("d", i%4))},
		}
		in.Excluded[s.Backend] = false
		in.Engines = append(in.Engines, Engine{Server: s, Backlog: time.Duration(i*37%50) * time.Millisecond, Busy: i * 7 % 20, Tokens: model.Tokens(i) * 1000})
	}
	b.ReportAllocs()
	for b.Loop() {
		EarliestFirstToken{}.Decide(in)
	}
}

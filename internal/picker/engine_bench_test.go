package picker

import (
	"fmt"
	"testing"
	"time"

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
		in.PrefixKey, in.SharedPrefillTime = "document-8f3a\x00large", 60*time.Millisecond
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

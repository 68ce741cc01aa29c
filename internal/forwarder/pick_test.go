package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// BenchmarkPickEngine chooses among 52 engines. With full engines, shares and admission decide as well.
func BenchmarkPickEngine(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprint("full=", full), func(b *testing.B) {
			f, c := benchForwarder(full)
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				f.pickBackend(c, now)
			}
		})
	}
}

func benchForwarder(full bool) (*Forwarder, *call) {
	var servers []model.BackendServer
	for i := range 52 {
		servers = append(servers, model.BackendServer{Backend: model.BackendID(fmt.Sprint("e", i)), Service: "engines", Slots: 48, State: model.BackendReady})
	}
	f := New(testConfig(&fakeState{plan: testPlan(), servers: servers}, fakeQuarantine{}, allVersions{}))
	for _, s := range servers {
		load := "12,0,48"
		if full {
			load = "48,4,48"
		}
		f.peers.get(s, time.Now()).recordLoad(load, time.Now())
	}
	plan := testPlan()
	return f, &call{
		id: "request-1", start: time.Now(), deadline: time.Now().Add(time.Hour), route: &plan.Routes[0], service: plan.Services["engines"], org: "mill",
		model: "small", prompt: prompt{tokens: 900, outputTokens: 40, sharedTokens: 400}, tried: map[model.BackendID]bool{},
	}
}

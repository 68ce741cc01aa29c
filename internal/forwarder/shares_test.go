package forwarder

import (
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestFloodIsRefusedFirst guards against full plain servers that turn away everyone's requests because of one
// organisation, and against refusals for shares while a place is free.
func TestFloodIsRefusedFirst(t *testing.T) {
	t.Parallel()
	for _, full := range []bool{true, false} {
		load := "Load: 3,0,8"
		if full {
			load = "Load: 8,20,8"
		}
		b := &backends{t: t, replies: []string{"raw 200 OK|Seal: s|Connection: close|" + load + "|Content-Length: 2||ok"}}
		e := startEntry(t, &fakeState{plan: patientPlan(), servers: b.start(1)})
		// The flood asked for five times what was taken of it, and what was taken of the others is far more than they ask for.
		for _, org := range []model.OrganisationID{"mill", ""} {
			e.cfg.Shares.Taken(admitter.Ask{Service: "svc", Organisation: org, Work: 1000 * time.Second}, time.Now())
		}
		e.cfg.Shares.Ask(admitter.Ask{Service: "svc", Organisation: "mill", Work: 5000 * time.Second}, 0, time.Now())
		statuses := map[string]map[int]int{"/never/a": {}, "/public/a": {}}
		for range 30 {
			for path, n := range statuses {
				resp := e.post(t, path, "body")
				n[resp.StatusCode]++
				if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
					t.Error("a refusal has no Retry-After")
				}
			}
		}
		if refused := statuses["/never/a"][503]; full != (refused > 0) || statuses["/public/a"][200] != 30 {
			t.Errorf("servers full %t: statuses are %v, want refusals of the flood only, and only if they are full", full, statuses)
		}
		if sent := 60 - statuses["/never/a"][503]; len(b.seen()) != sent {
			t.Errorf("%d requests arrived, want %d", len(b.seen()), sent)
		}
	}
}

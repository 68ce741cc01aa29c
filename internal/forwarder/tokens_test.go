package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestHeldTokens checks what a request counts in the memory of an engine, that entries are told of it until the answer
// has ended, and that nothing is counted or told where the capacity of engines is not known.
func TestHeldTokens(t *testing.T) {
	type tokensCase struct {
		Name, Usage string
		Capacity    model.Tokens
		Plain       bool
		Want        model.Tokens
	}
	for _, c := range tester.Load[tokensCase](t, "tokens.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			req := &call{prompt: parsePrompt("", c.Usage)}
			if !c.Plain {
				req.service.Engine = &model.PlanEngine{KVCapacity: c.Capacity}
			}
			now := time.Unix(1000, 0)
			f := &Forwarder{peers: newPeerTable()}
			s := model.BackendServer{Backend: "b"}
			p := f.peers.get(s, now)
			p.startRequest(time.Second, req.heldTokens(), now)
			p.startRequest(time.Second, 0, now)
			p.removeBacklog(time.Second)
			if diff := cmp.Diff(c.Want, f.OpenWork()["b"].Tokens); diff != "" {
				t.Errorf("tokens that other entries are told of (-want +got):\n%s", diff)
			}
			e, _ := p.asEngine(s, gossiper.OpenWork{Tokens: 5}, now)
			if diff := cmp.Diff(c.Want+5, e.Tokens); diff != "" {
				t.Errorf("tokens at the engine (-want +got):\n%s", diff)
			}
			p.finishAttempt(p.startAttempt(req), now)
			if diff := cmp.Diff(model.Tokens(0), f.OpenWork()["b"].Tokens); diff != "" {
				t.Errorf("tokens after the answer (-want +got):\n%s", diff)
			}
		})
	}
}

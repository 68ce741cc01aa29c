package forwarder

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/cacher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// segment is one segment of a prompt as named by the request.
type segment struct {
	id     string
	tokens model.Tokens
}

// chain returns the segments of the call's prompt as model m sees them.
func (c *call) chain(m model.ModelID) cacher.Chain {
	chain := cacher.NewChain(m)
	for i, s := range c.prompt.segments {
		chain.Add(s.id, s.tokens, i < len(c.prompt.parts))
	}
	return chain
}

// sendPrompt records that the call's prompt is sent to an engine. The function that it returns records whether the
// engine answered that it ran the prompt.
func (f *Forwarder) sendPrompt(c *call, p *peer, now time.Time) func(ran bool, now time.Time) {
	chain := c.chain(c.model)
	if c.service.Engine == nil || len(chain.Segments) == 0 {
		return func(bool, time.Time) {}
	}
	own := model.Tokens(max(c.prompt.tokens-c.prompt.sharedTokens, 0) + c.prompt.outputTokens)
	f.cacher.Observe(chain, own, now)
	e := cacher.Engine{Lifetime: p.server.Lifetime(), Capacity: c.service.Engine.KVCapacity, Busy: c.inFlight}
	f.cacher.Send(e, chain, now)
	return func(ran bool, now time.Time) {
		if !ran {
			f.cacher.Failed(e, chain, now)
			return
		}
		f.cacher.Answered(e, chain, now)
	}
}

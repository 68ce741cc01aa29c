package forwarder

import "github.com/bramleyhinge/bramleyhinge/pkg/model"

// maxHeldTokens is more tokens than an engine can hold; a request may name any number.
const maxHeldTokens = 1 << 24

// heldTokens returns the tokens that the request holds at an engine when its answer ends: the prompt and the output. It
// is 0 if the capacity of the service's engines is not known, and does not change during the call. What the prompt
// shares with others is counted as if it were held for each, since whether the engine keeps it is not known.
func (c *call) heldTokens() model.Tokens {
	if c.service.Engine == nil || c.service.Engine.KVCapacity <= 0 {
		return 0
	}
	return model.Tokens(min(c.prompt.tokens, maxHeldTokens) + min(c.prompt.outputTokens, maxHeldTokens))
}

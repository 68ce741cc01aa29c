package cacher

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxTrees bounds the engines whose segments are tracked. It is above the number of engines of the largest deployment
// in design, 890, to allow for engines that started again.
const maxTrees = 1024

// Cacher holds an entry's knowledge of the segments that engines hold, by their start: an engine that started again
// holds nothing. It is safe for concurrent use.
type Cacher struct {
	mu         sync.Mutex
	trees      *recent[model.ServerLifetime, *Tree]
	popularity *Popularity
	// own is the mean memory that a running request occupies besides shared segments, in tokens.
	own float64
}

// New returns a Cacher without knowledge.
func New() *Cacher {
	return &Cacher{trees: newRecent[model.ServerLifetime, *Tree](), popularity: NewPopularity()}
}

// Cached returns how many tokens of a prompt each of some engines holds, or nil if none holds any.
func (c *Cacher) Cached(chain Chain, engines []model.ServerLifetime, now time.Time) []model.Tokens {
	if len(chain.Segments) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []model.Tokens
	for i, s := range engines {
		e := c.trees.entries[s]
		if e == nil {
			continue
		}
		if n := e.value.Cached(chain, now); n > 0 {
			if out == nil {
				out = make([]model.Tokens, len(engines))
			}
			out[i] = n
		}
	}
	return out
}

// Shares returns the share of the model's requests that has each shared prefix of a prompt. That of a prefix with a longer
// one is the highest that what is known allows: the holders of the longer one are chosen among its own, so that too few
// would overload them, and entries that know little would choose others than those that know more.
func (c *Cacher) Shares(chain Chain, now time.Time) []float64 {
	if chain.Shared == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]float64, chain.Shared)
	for i, s := range chain.Segments[:chain.Shared] {
		share, atMost := c.popularity.Share(chain.Root, s.Key, now)
		if out[i] = share; i < chain.Shared-1 {
			out[i] = atMost
		}
	}
	return out
}

// ownWeight smooths the mean memory of a running request.
const ownWeight = 0.05

// Observe counts a request for the shares. own is the memory that it occupies while it runs besides shared segments.
func (c *Cacher) Observe(chain Chain, own model.Tokens, now time.Time) {
	if len(chain.Segments) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.popularity.Observe(chain, now)
	if c.own == 0 {
		c.own = float64(own)
	}
	c.own += ownWeight * (float64(own) - c.own)
}

// Engine names an engine and the memory that it has for segments.
type Engine struct {
	Lifetime model.ServerLifetime
	// Capacity is the memory for segments and running requests together, 0 if unknown.
	Capacity model.Tokens
	// Busy is the number of requests that run there.
	Busy int
}

// Send records that a prompt is sent to an engine. Answered or Failed must follow.
func (c *Cacher) Send(e Engine, chain Chain, now time.Time) {
	c.update(e, chain, now, func(t *Tree) { t.Send(chain, c.occupied(e), now) })
}

// Answered records the head of the answer to a prompt.
func (c *Cacher) Answered(e Engine, chain Chain, now time.Time) {
	c.update(e, chain, now, func(t *Tree) { t.Answered(chain, c.occupied(e), now) })
}

// Failed records that a prompt got no answer.
func (c *Cacher) Failed(e Engine, chain Chain, now time.Time) {
	c.update(e, chain, now, func(t *Tree) { t.Failed(chain) })
}

// occupied estimates the memory that running requests occupy besides shared segments. Those of other entries are assumed
// to be like the own ones.
func (c *Cacher) occupied(e Engine) model.Tokens { return model.Tokens(c.own * float64(e.Busy)) }

func (c *Cacher) update(e Engine, chain Chain, now time.Time, fn func(*Tree)) {
	if len(chain.Segments) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tree, added := c.trees.use(e.Lifetime)
	if added || tree.value.capacity != e.Capacity {
		tree.value = NewTree(e.Capacity)
	}
	fn(tree.value)
	// Engines that were least recently used are forgotten one per request, once nothing is held there any more.
	if oldest := c.trees.oldest; len(c.trees.entries) > maxTrees || oldest != tree && oldest.value.isExpired(now) {
		c.trees.remove(oldest)
	}
}

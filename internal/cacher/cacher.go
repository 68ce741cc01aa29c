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
}

// New returns a Cacher without knowledge.
func New() *Cacher {
	return &Cacher{trees: newRecent[model.ServerLifetime, *Tree](), popularity: NewPopularity()}
}

// Cached returns how many tokens of a prompt each of some engines holds, or nil if none holds any.
func (c *Cacher) Cached(chain Chain, engines []model.BackendServer, now time.Time) []model.Tokens {
	if len(chain.Segments) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []model.Tokens
	for i, s := range engines {
		e := c.trees.entries[s.Lifetime()]
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

// Shares returns the share of the model's requests that has each shared prefix of a prompt.
func (c *Cacher) Shares(chain Chain, now time.Time) []float64 {
	if chain.Shared == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]float64, chain.Shared)
	for i, s := range chain.Segments[:chain.Shared] {
		out[i] = c.popularity.Share(chain.Root, s.Key, now)
	}
	return out
}

// Observe counts a request for the shares.
func (c *Cacher) Observe(chain Chain, now time.Time) {
	if len(chain.Segments) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.popularity.Observe(chain, now)
}

// Engine names an engine and the memory that it has for segments.
type Engine struct {
	Lifetime model.ServerLifetime
	// Capacity is the memory for segments and running requests together, 0 if unknown.
	Capacity model.Tokens
	// Running is the memory that running requests occupy besides segments.
	Running model.Tokens
}

// Send records that a prompt is sent to an engine. Answered or Failed must follow.
func (c *Cacher) Send(e Engine, chain Chain, now time.Time) {
	c.update(e, chain, func(t *Tree) { t.Send(chain, e.Running, now) })
}

// Answered records the head of the answer to a prompt.
func (c *Cacher) Answered(e Engine, chain Chain, now time.Time) {
	c.update(e, chain, func(t *Tree) { t.Answered(chain, e.Running, now) })
}

// Failed records that a prompt got no answer.
func (c *Cacher) Failed(e Engine, chain Chain) {
	c.update(e, chain, func(t *Tree) { t.Failed(chain) })
}

func (c *Cacher) update(e Engine, chain Chain, fn func(*Tree)) {
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
	if len(c.trees.entries) > maxTrees {
		c.trees.remove(c.trees.oldest)
	}
}

// Package cacher models which segments of prompts each engine holds in its prefix cache, and how many requests share them.
package cacher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxDepth is the number of segments of a prompt that are tracked. Prompts have two to three; callers set the header, so
// its length must not decide the memory and the time of a choice.
const maxDepth = 8

// maxSegmentTokens is more than a prompt can have. A larger number cannot be right and counts as 0.
const maxSegmentTokens = 1 << 24

// Key identifies a segment of a prompt together with all segments before it and the model: an engine reuses a segment
// only if it holds all before it.
type Key uint64

// Segment is a part of a prompt.
type Segment struct {
	Key    Key
	Tokens model.Tokens
}

// Chain holds the segments of a prompt in order.
type Chain struct {
	// Root identifies the model.
	Root     Key
	Segments []Segment
	// Shared is the number of segments that other requests may share. A segment after these belongs to the request or to
	// its session.
	Shared int
}

// NewChain returns an empty chain of a prompt for a model.
func NewChain(m model.ModelID) Chain { return Chain{Root: Key(xxhash.Sum64String(string(m)))} }

// Add adds the next segment.
func (c *Chain) Add(id string, tokens model.Tokens, shared bool) {
	if len(c.Segments) >= maxDepth {
		return
	}
	parent := c.Root
	if n := len(c.Segments); n > 0 {
		parent = c.Segments[n-1].Key
	}
	if tokens < 0 || tokens > maxSegmentTokens {
		tokens = 0
	}
	b := append(binary.BigEndian.AppendUint64(make([]byte, 0, 64), uint64(parent)), id...)
	c.Segments = append(c.Segments, Segment{Key: Key(xxhash.Sum64(b)), Tokens: tokens})
	if shared {
		c.Shared = len(c.Segments)
	}
}

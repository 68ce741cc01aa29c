package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// minDrawn is the least number of engines of each class that a request may choose from. In replays of 28 entries before
// 52 engines at 85% load, three leave the shortest waits: with two the best one is often worse, and with more of them
// the entries meet at the same engines.
const minDrawn = 3

// engineClass tells engines apart of which each has its own draw, so that a request that is drawn only engines of
// another region, or those kept for other models, still sees some of its own.
type engineClass struct{ ownRegion, mismatch bool }

// candidate is an engine that may get the request.
type candidate struct {
	*Engine
	class engineClass
	// preferred marks the engine to which all entries send prompts with the same shared parts.
	preferred bool
	hasRoom   bool
	draw      uint64
}

// listCandidates returns the engines that may get the request, in the order of the request's draw, and marks the
// preferred one.
func listCandidates(in *EngineInput) []candidate {
	reserved := reservedEngines(*in)
	memoryLimit, capacity := lowestMemoryRank(in), in.usableCapacity()
	out := make([]candidate, 0, len(in.Engines))
	preferred, highest := -1, uint64(0)
	for i := range in.Engines {
		e := &in.Engines[i]
		if !in.isEligible(e) {
			continue
		}
		c := candidate{Engine: e, draw: mix(xxhash.Sum64String(string(e.Server.Backend)) ^ in.Draw)}
		c.class.ownRegion = e.Server.Place.Region == in.Self.Region
		c.class.mismatch = in.SmallestModel && !reserved[e.Server.Backend] || in.LargerModel && reserved[e.Server.Backend]
		c.hasRoom = memoryRank(e.Tokens, in.Tokens, capacity) <= memoryLimit
		if in.PrefixKey != "" && !c.class.mismatch && !e.Limited && (in.LargerModel || c.class.ownRegion) {
			if score := xxhash.Sum64String(in.PrefixKey + "\x00" + string(e.Server.Backend)); preferred < 0 || score > highest {
				preferred, highest = len(out), score
			}
		}
		out = append(out, c)
	}
	if preferred >= 0 {
		out[preferred].preferred = true
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.draw, b.draw) })
	return out
}

// drawnOf returns from how many of n engines of a class a request may choose, if a number of entries share them. It is
// made for many entries that choose on the same knowledge, up to a gossip interval old: if all looked at all engines,
// the requests of one interval would meet at the engine that looked best. Together the entries look at each engine
// about once; an entry that is alone knows all open work and looks at all.
func drawnOf(n, entries int) int { return max(minDrawn, n/max(entries, 1)) }

// drawn returns the candidates that the request may choose from: the preferred one, those that hold its shared parts,
// and the first ones of each class.
func drawn(candidates []candidate, entries int) []candidate {
	sizes, seen := map[engineClass]int{}, map[engineClass]int{}
	for _, c := range candidates {
		if c.hasRoom {
			sizes[c.class]++
		}
	}
	out := candidates[:0]
	for _, c := range candidates {
		if !c.hasRoom {
			continue
		}
		if !c.preferred && !c.PrefixCached {
			if seen[c.class]++; seen[c.class] > drawnOf(sizes[c.class], entries) {
				continue
			}
		}
		out = append(out, c)
	}
	return out
}

// mix spreads the bits of a number (the finalizer of SplitMix64), so that each draw orders the engines differently.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// isEligible reports whether an engine may get the request.
func (in *EngineInput) isEligible(e *Engine) bool {
	return e.Server.State == model.BackendReady && !in.Excluded[e.Server.Backend] && !in.Barred[e.Server.Backend]
}

package picker

import "github.com/bramleyhinge/bramleyhinge/pkg/model"

// memorySteps is the number of steps in which overfilled engines are told apart. Engines in the same step count as
// equally full: many entries decide on the same sums of the last gossip and would all take the engine that is least full
// by a few tokens.
const memorySteps = 16

// memoryRank ranks engines by the tokens that they would hold with the request; lower is better. It is made for loads of
// long prompts and answers that fill the memory of some engines, which then preempt requests and read their prompts
// again, while others have room: 0 is an engine that has room or whose capacity is not known, and all others follow by
// how far they are overfilled. Engines queue, so an overfilled one still gets requests if none has room.
func memoryRank(held, request, capacity model.Tokens) int {
	if capacity <= 0 {
		return 0
	}
	over := held + request - capacity
	if over <= 0 {
		return 0
	}
	return 1 + int(over*memorySteps/capacity)
}

// lowestMemoryRank returns the lowest rank of the engines that may get the request.
func lowestMemoryRank(in EngineInput) int {
	if in.KVCapacity <= 0 {
		return 0
	}
	lowest, found := 0, false
	for i := range in.Engines {
		e := &in.Engines[i]
		if !in.isEligible(e) {
			continue
		}
		if rank := memoryRank(e.Tokens, in.Tokens, in.KVCapacity); !found || rank < lowest {
			lowest, found = rank, true
		}
	}
	return lowest
}

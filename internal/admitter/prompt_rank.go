package admitter

import "time"

// PromptRankInput describes a prompt to be ranked within an engine's batch.
type PromptRankInput struct {
	// Rank is the request's rank: its organisation's if that has one, otherwise its route's; 0 is the highest.
	Rank int
	// Prefill is how long the prompt's tokens that are not in the engine's cache are expected to keep the engine busy.
	// The largest model takes about ten times as long for a token as the smallest one.
	Prefill time.Duration
	// Pause is the longest pause between the events of a stream that the prompt's route allows; 0 selects defaultPause.
	Pause time.Duration
	// Resumed means that the request continues a stream of which the caller already has a part.
	Resumed bool
	// OverShare means that the request is over its organisation's share, Promoted that it is placed like those of the
	// highest rank.
	OverShare, Promoted bool
}

const (
	// rankCount is the number of ranks that are told apart; lower ones count as the last of them.
	rankCount = 3
	// maxRank is the last rank that engines accept.
	maxRank = 9
	// rankPlaces is the number of sizes that a rank of urgency is worth.
	rankPlaces = 2
	// shortPauses is how many short prompts an engine takes in between two events of a stream that keeps to its pause;
	// each further size takes sizeGrowth times as long.
	shortPauses, sizeGrowth = 8, 2.5
	// maxSize is the last size.
	maxSize = 5
	// overSharePlaces is how many places a request of an organisation over its share goes back: behind the last rank's
	// prompts of its size.
	overSharePlaces = rankPlaces*(rankCount-1) + 1
	// defaultPause applies to routes that allow streams no certain pause; it is the middle of the usual 0.8 to 1.2 s.
	defaultPause = time.Second
)

// PromptRank returns the rank of a prompt within an engine's batch; 0 is served first. Engines admit more urgent
// requests first and preempt the others when memory runs out, and read prompts in chunks between the tokens of running
// streams.
//
// It is made for an overload in which the most valuable requests have long prompts. Ranked by length alone, they are
// served worst and the least urgent requests best; ranked by urgency first, each holds up all shorter prompts of the lower
// ranks, most of which are late then. So urgency and size count together: a less urgent prompt goes first only if it takes
// a sixth of the time or less for each rank between them. A prompt that takes longer than the pause which streams may make
// could stall them, whoever sent it; it goes behind the short ones of the next rank. A resumed stream counts as short,
// because its caller already waits within the pause.
func PromptRank(in PromptRankInput) int {
	place := rankPlaces * min(max(in.Rank, 0), rankCount-1)
	if in.Promoted {
		place = 0
	}
	if in.OverShare {
		place += overSharePlaces
	}
	if !in.Resumed {
		place += promptSize(in.Prefill, in.Pause)
	}
	return min(place, maxRank)
}

// promptSize returns the size of a prompt by its prefill, 0 for short ones.
func promptSize(prefill, pause time.Duration) int {
	if pause <= 0 {
		pause = defaultPause
	}
	size := 0
	for limit := pause / shortPauses; prefill > limit && size < maxSize; limit = time.Duration(sizeGrowth * float64(limit)) {
		size++
	}
	return size
}

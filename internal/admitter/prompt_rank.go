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
	// sizeCount is the number of sizes within a rank. Three ranks of three sizes and a last place for prompts that are
	// longer than any of them fill the ten ranks that engines accept.
	sizeCount = 3
	// maxRank is the last rank that engines accept.
	maxRank = 9
	// shortPauses and mediumPauses are the longest prefill of the first two sizes as parts of the pause: a stream keeps
	// to its pause if the engine takes in eight short prompts, or two medium ones, between two of its events.
	shortPauses, mediumPauses = 8, 2
	// defaultPause applies to routes that allow streams no certain pause; it is the middle of the usual 0.8 to 1.2 s.
	defaultPause = time.Second
)

// PromptRank returns the rank of a prompt within an engine's batch; 0 is served first. Engines admit more urgent
// requests first and preempt the others when memory runs out, and read prompts in chunks between the tokens of running
// streams.
//
// It is made for an overload in which the most valuable requests have long prompts: ranked by length alone, they were
// served worst and the least urgent requests best. The request's rank therefore comes first, and within a rank the
// shorter prefill. A prompt whose prefill takes longer than the pause that streams may make could stall them, and delay
// all shorter prompts of the next rank, whoever sent it: it goes behind the short prompts of the next rank. A resumed
// stream counts as short, because its caller already waits within the pause.
func PromptRank(in PromptRankInput) int {
	rank := min(max(in.Rank, 0), rankCount-1)
	switch {
	case in.OverShare:
		// Behind all others of its rank.
		rank++
	case in.Promoted:
		rank = 0
	}
	pause := in.Pause
	if pause <= 0 {
		pause = defaultPause
	}
	size := 0
	switch {
	case in.Resumed || in.Prefill <= pause/shortPauses:
	case in.Prefill <= pause/mediumPauses:
		size = 1
	case in.Prefill <= pause:
		size = 2
	default:
		size = sizeCount + 1
	}
	return min(rank*sizeCount+size, maxRank)
}

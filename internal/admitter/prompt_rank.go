package admitter

// PromptRankInput describes a prompt to be ranked within an engine's batch.
type PromptRankInput struct {
	// LargestModel is true if the prompt goes to the largest of several models.
	LargestModel bool
	PromptTokens int
}

const (
	// largestModelOffset ranks prompts of the largest model behind those of smaller ones, whose
	// prefill takes a tenth of the time.
	largestModelOffset = 3
	// firstRankTokens is the prompt length up to which a prompt has the first rank of its model;
	// each further rank covers prompts rankGrowthFactor times as long.
	firstRankTokens  = 2000
	rankGrowthFactor = 3
	// maxRank is the last rank that engines accept.
	maxRank = 9
)

// PromptRank returns the rank of a prompt within an engine's batch; 0 is served first. Shorter
// prefill goes first (shortest job first), so that a long prompt does not delay many short ones
// at the same engine. The priority of the route is not considered, because the request kinds
// that are more urgent have the shorter prompts here.
func PromptRank(in PromptRankInput) int {
	rank := 0
	if in.LargestModel {
		rank = largestModelOffset
	}
	for size := firstRankTokens; size < in.PromptTokens && rank < maxRank; size *= rankGrowthFactor {
		rank++
	}
	return rank
}

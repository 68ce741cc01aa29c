package admitter

// PromptRankInput is what the urgency of a prompt within an engine's batch follows from.
type PromptRankInput struct {
	// LargestModel tells that the largest of several models is to read the prompt.
	LargestModel bool
	// PromptTokens is the number of prompt tokens.
	PromptTokens int
}

const (
	// largeUrgency sets prompts of the largest model behind those of smaller ones, which are read
	// in a tenth of the time.
	largeUrgency = 3
	// firstTokens is the size up to which a prompt is the most urgent of its model; each further
	// step is three times as long.
	firstTokens = 2000
	stepTokens  = 3
	// leastUrgent is the last rank that engines know.
	leastUrgent = 9
)

// PromptRank returns the rank of a prompt within an engine's batch; 0 is first. It answers prompts of
// very unlike length at one engine: the shortest work goes first, so that a long prompt does not
// hold up many short ones (shortest job first). Kinds of request that are more urgent have the
// shorter prompts here; the rank of a route is not weighed.
func PromptRank(in PromptRankInput) int {
	rank := 0
	if in.LargestModel {
		rank = largeUrgency
	}
	for size := firstTokens; size < in.PromptTokens && rank < leastUrgent; size *= stepTokens {
		rank++
	}
	return rank
}

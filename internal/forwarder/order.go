package forwarder

import "github.com/bramleyhinge/bramleyhinge/internal/admitter"

// promptRankInput describes the call's prompt to be ranked within the batch of the engine that was chosen for it.
func promptRankInput(c *call) admitter.PromptRankInput {
	return admitter.PromptRankInput{
		Rank: c.rank, Prefill: c.prefillTime, Pause: c.route.MaxEventGap, Resumed: c.lastEvent != "",
		OverShare: c.share.standing.OverShare, Promoted: c.share.standing.Promoted,
	}
}

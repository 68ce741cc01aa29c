package forwarder

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// admit returns the refusal of a call for which a backend server was chosen, or nil if it is to be sent there.
func (f *Forwarder) admit(c *call, now time.Time) *model.Refusal {
	if refusal := f.refuseOverShare(c, now); refusal != nil {
		return refusal
	}
	if !isUnsent(c) {
		return nil
	}
	return nil
}

// isUnsent reports whether nothing of the call was sent to a backend server, and the caller has no part of its answer.
func isUnsent(c *call) bool {
	return c.sent == 0 && c.failedDials == 0 && !c.mayHaveRun && !c.delivered && !c.escalated && c.lastEvent == ""
}

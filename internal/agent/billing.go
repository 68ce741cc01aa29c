package agent

import (
	"context"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	sweepEvery = time.Second
	// unacknowledgedAfter is when the agent reports a usage line itself: its entry is gone.
	unacknowledgedAfter = 5 * time.Second
)

// sweep forgets old runs and reports usage lines that no entry acknowledged.
func (a *Agent) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		a.reportUnacknowledged(now)
		a.runs.sweep(now)
		pauser.Pause(ctx, sweepEvery)
	}
}

// reportUnacknowledged bills finished answers whose entry did not. The ledger drops the
// line if the entry's own line was committed after all.
func (a *Agent) reportUnacknowledged(now time.Time) {
	a.runs.each(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.usage == nil || r.acked || r.billed || r.queuedBill || now.Sub(r.ended) < unacknowledgedAfter {
			return
		}
		record := model.Record{Kind: model.RecordUsage, Key: r.work.UsageKey, Usage: r.usage}
		r.queuedBill = a.cfg.Ledger.Enqueue(record, func() {
			r.mu.Lock()
			r.billed = true
			r.mu.Unlock()
		})
	})
}

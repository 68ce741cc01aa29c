package agent

import (
	"context"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	sweepInterval = time.Second
	// acknowledgementTimeout is how long after the end of a run the agent waits for the entry's
	// acknowledgement. It then assumes that the entry has gone and records the usage itself.
	acknowledgementTimeout = 5 * time.Second
)

// sweep periodically evicts old runs and records the usage of answers that no entry acknowledged.
func (a *Agent) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		a.reportUnacknowledged(now)
		a.runs.sweep(now)
		pauser.Pause(ctx, sweepInterval)
	}
}

// reportUnacknowledged queues the usage records of finished answers that their entry has not
// acknowledged. The ledger drops a record if it already has the one from the entry.
func (a *Agent) reportUnacknowledged(now time.Time) {
	a.runs.forEach(func(r *run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.usage == nil || r.acknowledged || r.usageRecorded || r.usageQueued || now.Sub(r.endedAt) < acknowledgementTimeout {
			return
		}
		record := model.Record{Kind: model.RecordUsage, Key: r.work.UsageKey, Usage: r.usage}
		r.usageQueued = a.cfg.Records.Enqueue(record, func() {
			r.mu.Lock()
			r.usageRecorded = true
			r.mu.Unlock()
		})
	})
}

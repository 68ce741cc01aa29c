package follower

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// coveredCalls keeps the coverage of all kinds and ends the watches that miss changes.
type coveredCalls struct {
	mu       sync.Mutex
	coverage coverage
	// end ends the watch of a kind that waits.
	end map[string]context.CancelCauseFunc
	// scheduled is set while a check is due.
	scheduled bool
}

// begin records a watch of a kind, which end can cancel.
func (c *coveredCalls) begin(kind string, end context.CancelCauseFunc, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coverage.noteCall(kind, now)
	c.end[kind] = end
}

func (c *coveredCalls) finish(kind string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coverage.noteEnd(kind, now)
	c.end[kind] = nil
}

func (c *coveredCalls) answer(kind string, l storer.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coverage.noteAnswer(kind, l)
}

// endOverdue ends the watches that miss changes and returns their kinds with the revisions up to which they know all.
// Check is called again while changes are missing.
func (c *coveredCalls) endOverdue(now time.Time, silent bool, check func()) map[string]model.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds, next := c.coverage.overdue(now, silent)
	if next > 0 && !c.scheduled {
		c.scheduled = true
		time.AfterFunc(next, func() {
			c.mu.Lock()
			c.scheduled = false
			c.mu.Unlock()
			check()
		})
	}
	missed := map[string]model.Revision{}
	for _, kind := range kinds {
		if end := c.end[kind]; end != nil {
			missed[kind] = c.coverage.kind(kind).upTo
			end(errMissed)
		}
	}
	return missed
}

// endMissing ends the watches that miss changes, so that they are read at once on new connections. With silent set,
// another call has just found its connection silent.
func (f *Follower) endMissing(now time.Time, silent bool) {
	missed := f.calls.endOverdue(now, silent, func() { f.endMissing(time.Now(), false) })
	if len(missed) == 0 {
		return
	}
	f.cfg.Store.Renew()
	for kind, upTo := range missed {
		f.cfg.Meter.Count("store_calls/"+kind+"_missed", 1)
		f.cfg.Log.Warn().Str("kind", kind).Int64("from", upTo.Change()).Uint32("era", uint32(upTo.Era())).
			Msg("follower: another call shows a change that this watch did not bring, reading on a new connection")
	}
}

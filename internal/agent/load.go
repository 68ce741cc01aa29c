package agent

import (
	"context"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// loadWait is the shortest time between two load reports to one entry.
	loadWait = 300 * time.Millisecond
	// reportsPerSecond bounds what an agent spends on load reports, however many entries ask.
	reportsPerSecond = 10
	// maxLoadWait bounds how old a report may get.
	maxLoadWait = 20 * time.Second
)

// publishLoad takes a new reading; a change that entries must know at once ends their waits.
func (a *Agent) publishLoad() {
	running, waiting, limit := a.queue.Load()
	next := model.Load{
		Instance: a.cfg.Settings.Instance,
		Boot:     a.boot,
		Running:  running,
		Queued:   waiting,
		Limit:    limit,
		Leaving:  a.leaving.Load(),
		Revision: a.revision(),
	}
	if a.backend.healthy.Load() {
		next.Versions = *a.backend.loaded.Load()
	} else {
		next.Limit = 0
	}
	a.loadMu.Lock()
	defer a.loadMu.Unlock()
	next.Seq = a.load.Seq
	if isUrgent(a.load, next) {
		next.Seq++
		close(a.changed)
		a.changed = make(chan struct{})
	}
	a.load = next
}

// isUrgent reports whether entries must learn of a change at once.
func isUrgent(old, next model.Load) bool {
	return old.Leaving != next.Leaving || (old.Limit == 0) != (next.Limit == 0) || !slices.Equal(old.Versions, next.Versions)
}

func (a *Agent) revision() model.Revision {
	if s := a.cfg.Watcher.Catalogue().Services[a.cfg.Settings.Service]; s != nil {
		return s.Revision
	}
	return 0
}

func (a *Agent) currentLoad() model.Load {
	a.loadMu.Lock()
	defer a.loadMu.Unlock()
	return a.load
}

// serveLoad answers at once when something urgent changed since Seq, and else after a wait
// that the agent sets, so that its cost does not grow with the number of entries.
func (a *Agent) serveLoad(ctx context.Context, _ messenger.Peer, in messenger.LoadRequest) (model.Load, error) {
	polls := a.polls.Add(1)
	defer a.polls.Add(-1)
	wait := min(max(loadWait, time.Duration(polls)*time.Second/reportsPerSecond), maxLoadWait, max(in.Wait, 0))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	a.loadMu.Lock()
	load, changed := a.load, a.changed
	a.loadMu.Unlock()
	if load.Seq != in.Seq {
		return load, nil
	}
	select {
	case <-ctx.Done():
		return model.Load{}, ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return a.currentLoad(), nil
}

func (a *Agent) serveMetrics(context.Context, messenger.Peer, messenger.Empty) (messenger.MetricsReply, error) {
	load := a.currentLoad()
	a.cfg.Meter.Gauge("running", load.Running)
	a.cfg.Meter.Gauge("queued", load.Queued)
	a.cfg.Meter.Gauge("limit", load.Limit)
	a.cfg.Meter.Gauge("usage_lines_waiting", a.cfg.Ledger.Waiting())
	text, err := a.cfg.Meter.Text()
	return messenger.MetricsReply{Text: text}, err
}

// Status is what an agent tells an operator.
type Status struct {
	Load     model.Load     `json:"load"`
	Standing string         `json:"standing"`
	Revision model.Revision `json:"revision"`
	Waiting  int            `json:"waiting"`
}

func (a *Agent) serveStatus(context.Context, messenger.Peer, messenger.Empty) (Status, error) {
	return Status{
		Load:     a.currentLoad(),
		Standing: string(a.cfg.Watcher.LeaseState(time.Now())),
		Revision: a.revision(),
		Waiting:  a.cfg.Ledger.Waiting(),
	}, nil
}

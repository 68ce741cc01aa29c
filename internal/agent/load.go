package agent

import (
	"context"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minLoadInterval is the shortest interval of routine load reports to one entry.
	minLoadInterval = 300 * time.Millisecond
	// maxLoadReportsPerSecond bounds the agent's cost of routine load reports, however many
	// entries poll.
	maxLoadReportsPerSecond = 10
	// maxLoadInterval bounds the age of the load that an entry has.
	maxLoadInterval = 20 * time.Second
)

// publishLoad updates the load that the agent reports. An urgent change answers the waiting polls
// of entries at once.
func (a *Agent) publishLoad() {
	running, queued, limit := a.queue.Load()
	next := model.Load{
		Instance: a.cfg.Settings.Instance,
		Boot:     a.boot,
		Running:  running,
		Queued:   queued,
		Limit:    limit,
		Draining: a.draining.Load(),
		Revision: a.revision(),
	}
	if a.backend.healthy.Load() {
		next.Versions = *a.backend.loadedVersions.Load()
	} else {
		next.Limit = 0
	}
	a.loadMu.Lock()
	defer a.loadMu.Unlock()
	next.Seq = a.load.Seq
	if isUrgent(a.load, next) {
		next.Seq++
		close(a.loadChanged)
		a.loadChanged = make(chan struct{})
	}
	a.load = next
}

// isUrgent reports whether a load change must reach the entries without delay.
func isUrgent(old, next model.Load) bool {
	return old.Draining != next.Draining || (old.Limit == 0) != (next.Limit == 0) || !slices.Equal(old.Versions, next.Versions)
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

// serveLoad answers a load poll at once if an urgent change happened after Seq. Otherwise it waits
// for such a change or for an interval that grows with the number of polls, so that the cost does
// not grow with the number of entries.
func (a *Agent) serveLoad(ctx context.Context, _ messenger.Peer, in messenger.LoadRequest) (model.Load, error) {
	loadPolls := a.loadPolls.Add(1)
	defer a.loadPolls.Add(-1)
	wait := min(max(minLoadInterval, time.Duration(loadPolls)*time.Second/maxLoadReportsPerSecond), maxLoadInterval, max(in.Wait, 0))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	a.loadMu.Lock()
	load, loadChanged := a.load, a.loadChanged
	a.loadMu.Unlock()
	if load.Seq != in.Seq {
		return load, nil
	}
	select {
	case <-ctx.Done():
		return model.Load{}, ctx.Err()
	case <-loadChanged:
	case <-timer.C:
	}
	return a.currentLoad(), nil
}

func (a *Agent) serveMetrics(context.Context, messenger.Peer, messenger.Empty) (messenger.MetricsReply, error) {
	load := a.currentLoad()
	a.cfg.Meter.SetGauge("running", load.Running)
	a.cfg.Meter.SetGauge("queued", load.Queued)
	a.cfg.Meter.SetGauge("limit", load.Limit)
	a.cfg.Meter.SetGauge("usage_lines_waiting", a.cfg.Records.QueueLength())
	text, err := a.cfg.Meter.Text()
	return messenger.MetricsReply{Text: text}, err
}

// Status is an agent's answer to an operator's status call.
type Status struct {
	Load          model.Load     `json:"load"`
	LeaseState    string         `json:"standing"`
	Revision      model.Revision `json:"revision"`
	QueuedRecords int            `json:"waiting"`
}

func (a *Agent) serveStatus(context.Context, messenger.Peer, messenger.Empty) (Status, error) {
	return Status{
		Load:          a.currentLoad(),
		LeaseState:    string(a.cfg.Watcher.LeaseState(time.Now())),
		Revision:      a.revision(),
		QueuedRecords: a.cfg.Records.QueueLength(),
	}, nil
}

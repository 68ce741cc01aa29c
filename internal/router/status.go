package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// suspectDuration is how long a request that was running when a backend server crashed stays
	// suspect and runs alone.
	suspectDuration = 10 * time.Minute
	// banDuration is how long a quarantined request is refused.
	banDuration = 24 * time.Hour
	// crashesToBan is the number of crashes after which a request is quarantined.
	crashesToBan = 2
	// maxQuarantineUpdates bounds the attempts at a conditional update that loses to concurrent
	// ones.
	maxQuarantineUpdates = 10
)

// Status is an entry's answer to the status control call.
type Status struct {
	Instance      model.InstanceID                   `json:"instance"`
	Ready         bool                               `json:"ready"`
	LeaseState    watcher.LeaseState                 `json:"standing"`
	Relay         bool                               `json:"relay"`
	QueuedRecords int                                `json:"waiting"`
	Revisions     map[model.ServiceID]model.Revision `json:"revisions"`
	Faults        map[model.ServiceID]string         `json:"faults,omitempty"`
}

func (e *Entry) serveStatus(context.Context, messenger.Peer, messenger.Empty) (Status, error) {
	now := time.Now()
	s := Status{
		Instance:      e.cfg.Self.Instance,
		Ready:         e.Ready(now),
		LeaseState:    e.cfg.Watcher.LeaseState(now),
		Relay:         e.cfg.Watcher.View().IsRelay(e.cfg.Self),
		QueuedRecords: e.cfg.Records.QueueLength(),
		Revisions:     map[model.ServiceID]model.Revision{},
		Faults:        map[model.ServiceID]string{},
	}
	for id, svc := range e.cfg.Watcher.Catalogue().Services {
		s.Revisions[id] = svc.Revision
		if svc.Fault != "" {
			s.Faults[id] = svc.Fault
		}
	}
	return s, nil
}

func (e *Entry) serveMetrics(context.Context, messenger.Peer, messenger.Empty) (messenger.MetricsReply, error) {
	e.updateGauges()
	text, err := e.cfg.Meter.Text()
	return messenger.MetricsReply{Text: text}, err
}

func (e *Entry) serveExplain(_ context.Context, _ messenger.Peer, in messenger.ExplainRequest) (*explainer.Record, error) {
	rec, ok := e.explanations.Find(in.Request)
	if !ok {
		return nil, model.Refuse(model.KindBadRequest, "this entry keeps no record of %s: ask the other entries, or ask sooner", in.Request)
	}
	return rec, nil
}

// serveSuspect records the requests that were running when a backend server crashed, and bans
// those that were running at crashesToBan crashes.
func (e *Entry) serveSuspect(ctx context.Context, _ messenger.Peer, in messenger.SuspectRequest) (messenger.Empty, error) {
	for range maxQuarantineUpdates {
		err := e.recordCrash(ctx, in, time.Now())
		if !storer.IsKind(err, storer.KindConflict) {
			return messenger.Empty{}, err
		}
	}
	return messenger.Empty{}, errors.New("the quarantine object changes too often: report the crash again")
}

func (e *Entry) recordCrash(ctx context.Context, in messenger.SuspectRequest, now time.Time) error {
	var q model.Quarantine
	o, err := e.cfg.Store.Get(ctx, watcher.QuarantineKey)
	if err != nil && !storer.IsKind(err, storer.KindNotFound) {
		return fmt.Errorf("read quarantine: %w", err)
	}
	if err == nil {
		if err := json.Unmarshal(o.Value, &q); err != nil {
			return fmt.Errorf("decode quarantine: %w", err)
		}
	}
	addCrash(&q, in, now)
	value, err := json.Marshal(q)
	if err != nil {
		return fmt.Errorf("encode quarantine: %w", err)
	}
	_, err = storer.PutWithReadback(ctx, e.cfg.Store, watcher.QuarantineKey, value, o.Revision)
	if err == nil {
		e.cfg.Log.Warn().Str("agent", string(in.Instance)).Int("suspects", len(in.Fingerprints)).Msg("quarantine: crash recorded")
	}
	return err
}

// addCrash adds one crash to the quarantine and removes expired bans and suspects.
func addCrash(q *model.Quarantine, in messenger.SuspectRequest, now time.Time) {
	if q.Suspects == nil {
		q.Suspects = map[model.Fingerprint][]model.Crash{}
	}
	if q.Banned == nil {
		q.Banned = map[model.Fingerprint]time.Time{}
	}
	maps.DeleteFunc(q.Banned, func(_ model.Fingerprint, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(q.Suspects, func(_ model.Fingerprint, cs []model.Crash) bool { return now.Sub(cs[len(cs)-1].At) > suspectDuration })
	for _, f := range in.Fingerprints {
		crashes := q.Suspects[f]
		if isCrashReported(crashes, in) {
			continue
		}
		crashes = append(crashes, model.Crash{Instance: in.Instance, Number: in.Crash, At: now})
		q.Suspects[f] = crashes
		if len(crashes) >= crashesToBan {
			q.Banned[f] = now.Add(banDuration)
		}
	}
}

// isCrashReported reports whether a crash is already recorded, as the same crash may be reported
// more than once.
func isCrashReported(crashes []model.Crash, in messenger.SuspectRequest) bool {
	for _, c := range crashes {
		if c.Instance == in.Instance && c.Number == in.Crash {
			return true
		}
	}
	return false
}

func (e *Entry) updateGauges() {
	e.cfg.Meter.SetGauge("usage_lines_waiting", e.cfg.Records.QueueLength())
	e.cfg.Meter.SetGauge("agents", e.fleet.countAvailable())
}

// countAvailable returns the number of agents that can take work.
func (f *fleet) countAvailable() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	n := 0
	for _, p := range f.peers {
		p.mu.Lock()
		if p.reachable && p.load.Limit > 0 && !p.load.Draining && !p.instance.Draining {
			n++
		}
		p.mu.Unlock()
	}
	return n
}

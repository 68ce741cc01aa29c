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
	// suspectFor is how long a request that ran at a crash runs alone.
	suspectFor = 10 * time.Minute
	// bannedFor is how long a request that crashed two backend servers is refused.
	bannedFor = 24 * time.Hour
	// crashesToBan is the number of crashes that put a request into quarantine.
	crashesToBan = 2
	// suspectTries bounds the repeats of a conditional update that others beat.
	suspectTries = 10
)

// Status is what an entry tells an operator.
type Status struct {
	Instance  model.InstanceID                   `json:"instance"`
	Ready     bool                               `json:"ready"`
	Standing  watcher.Standing                   `json:"standing"`
	Relay     bool                               `json:"relay"`
	Waiting   int                                `json:"waiting"`
	Revisions map[model.ServiceID]model.Revision `json:"revisions"`
	Faults    map[model.ServiceID]string         `json:"faults,omitempty"`
}

func (e *Entry) serveStatus(context.Context, messenger.Peer, messenger.Empty) (Status, error) {
	now := time.Now()
	s := Status{
		Instance:  e.cfg.Self.Instance,
		Ready:     e.Ready(now),
		Standing:  e.cfg.Watcher.Standing(now),
		Relay:     e.cfg.Watcher.View().IsRelay(e.cfg.Self),
		Waiting:   e.cfg.Records.Waiting(),
		Revisions: map[model.ServiceID]model.Revision{},
		Faults:    map[model.ServiceID]string{},
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
	e.gauges()
	text, err := e.cfg.Meter.Text()
	return messenger.MetricsReply{Text: text}, err
}

func (e *Entry) serveExplain(_ context.Context, _ messenger.Peer, in messenger.ExplainRequest) (*explainer.Record, error) {
	rec, ok := e.ring.Find(in.Request)
	if !ok {
		return nil, model.Refuse(model.KindBadRequest, "this entry keeps no record of %s: ask the other entries, or ask sooner", in.Request)
	}
	return rec, nil
}

// serveSuspect records the requests that ran when a backend server died, and bans those
// that were there twice.
func (e *Entry) serveSuspect(ctx context.Context, _ messenger.Peer, in messenger.SuspectRequest) (messenger.Empty, error) {
	for range suspectTries {
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

// addCrash adds one crash to the quarantine and drops what is old.
func addCrash(q *model.Quarantine, in messenger.SuspectRequest, now time.Time) {
	if q.Suspects == nil {
		q.Suspects = map[model.Fingerprint][]model.Crash{}
	}
	if q.Banned == nil {
		q.Banned = map[model.Fingerprint]time.Time{}
	}
	maps.DeleteFunc(q.Banned, func(_ model.Fingerprint, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(q.Suspects, func(_ model.Fingerprint, cs []model.Crash) bool { return now.Sub(cs[len(cs)-1].At) > suspectFor })
	for _, f := range in.Fingerprints {
		crashes := q.Suspects[f]
		if reported(crashes, in) {
			continue
		}
		crashes = append(crashes, model.Crash{Instance: in.Instance, Number: in.Crash, At: now})
		q.Suspects[f] = crashes
		if len(crashes) >= crashesToBan {
			q.Banned[f] = now.Add(bannedFor)
		}
	}
}

// reported tells a repeated report of one crash from a second crash.
func reported(crashes []model.Crash, in messenger.SuspectRequest) bool {
	for _, c := range crashes {
		if c.Instance == in.Instance && c.Number == in.Crash {
			return true
		}
	}
	return false
}

func (e *Entry) gauges() {
	e.cfg.Meter.Gauge("usage_lines_waiting", e.cfg.Records.Waiting())
	e.cfg.Meter.Gauge("agents", e.fleet.size())
}

// size counts the agents that can take work.
func (f *fleet) size() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	n := 0
	for _, p := range f.peers {
		p.mu.Lock()
		if p.known && p.load.Limit > 0 && !p.load.Leaving && !p.instance.Leaving {
			n++
		}
		p.mu.Unlock()
	}
	return n
}

package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxConsecutiveFailures is the number of failures in a row after which this entry excludes a
	// version for the time of versionExclusion, before the service's owner has judged it.
	maxConsecutiveFailures = 5
	versionExclusion       = 5 * time.Second
	// minReportInterval is the time between reports to a service's owner; it grows with the number
	// of entries.
	minReportInterval = 500 * time.Millisecond
	// maxOwnerReportsPerSecond bounds the reports that one owner gets from all entries.
	maxOwnerReportsPerSecond = 8
)

// outcomeCounter counts the outcomes of each version until they are reported.
type outcomeCounter struct {
	mu       sync.Mutex
	services map[model.ServiceID]map[model.VersionID]*versionCounts
}

type versionCounts struct {
	unreported          model.VersionStats
	consecutiveFailures int
	excludedUntil       time.Time
}

func newOutcomeCounter() *outcomeCounter {
	return &outcomeCounter{services: map[model.ServiceID]map[model.VersionID]*versionCounts{}}
}

func (b *outcomeCounter) countsOf(s model.ServiceID, v model.VersionID) *versionCounts {
	if b.services[s] == nil {
		b.services[s] = map[model.VersionID]*versionCounts{}
	}
	t := b.services[s][v]
	if t == nil {
		t = &versionCounts{unreported: model.VersionStats{Version: v}}
		b.services[s][v] = t
	}
	return t
}

func (b *outcomeCounter) addOutcome(s model.ServiceID, v model.VersionID, failed bool, first time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.countsOf(s, v)
	t.unreported.Requests++
	if !failed {
		t.consecutiveFailures = 0
		t.unreported.AddFirstTokenTime(first)
		return
	}
	t.unreported.Failures++
	t.consecutiveFailures++
	if t.consecutiveFailures >= maxConsecutiveFailures {
		t.excludedUntil = now.Add(versionExclusion)
	}
}

func (b *outcomeCounter) addRating(s model.ServiceID, v model.VersionID, q model.Quality) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsOf(s, v).unreported.AddRating(q)
}

// excluded returns the versions that failed several times in a row at this entry. If all
// versions did, the fault lies elsewhere and none is excluded.
func (b *outcomeCounter) excluded(s model.ServiceID, now time.Time) map[model.VersionID]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[model.VersionID]string{}
	for v, t := range b.services[s] {
		if now.Before(t.excludedUntil) {
			out[v] = "failed several times in a row here"
		}
	}
	if len(out) == len(b.services[s]) {
		return nil
	}
	return out
}

// collect returns the counts since the last call and resets them.
func (b *outcomeCounter) collect(s model.ServiceID) []model.VersionStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []model.VersionStats
	for v, t := range b.services[s] {
		if t.unreported.Requests > 0 || t.unreported.Rated > 0 {
			out = append(out, t.unreported)
		}
		t.unreported = model.VersionStats{Version: v}
	}
	return out
}

// restore adds back the counts of a report that did not reach the owner.
func (b *outcomeCounter) restore(s model.ServiceID, stats []model.VersionStats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range stats {
		v := b.countsOf(s, t.Version)
		v.unreported = v.unreported.Add(t)
	}
}

// recordOutcome counts the outcome of a step for the roll-out's guard. Attempts that did not run
// or were cancelled do not count. first is the time to the first part of a stream, or to the end
// of a buffered answer.
func (e *Entry) recordOutcome(c *call, v model.VersionID, refusal *model.Refusal, first time.Duration) {
	if v == "" || refusal != nil && refusal.Run == model.RunNo || refusal != nil && refusal.Kind == model.KindCancelled {
		return
	}
	e.outcomes.addOutcome(c.service, v, refusal != nil, first, time.Now())
}

// reportLoop reports the counted outcomes and the demand to each service's owner and applies the
// grants that it returns.
func (e *Entry) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		entries := len(e.cfg.Watcher.View().Entries())
		interval := max(minReportInterval, time.Duration(entries)*time.Second/maxOwnerReportsPerSecond)
		pauser.Pause(ctx, interval)
		for id, s := range e.cfg.Watcher.Catalogue().Services {
			if s.Document != nil {
				e.reportToOwner(ctx, id, interval)
			}
		}
	}
}

func (e *Entry) reportToOwner(ctx context.Context, id model.ServiceID, interval time.Duration) {
	now := time.Now()
	in := messenger.ReportRequest{Service: id, Entry: e.cfg.Self.Instance, Stats: e.outcomes.collect(id), Interval: interval}
	in.Demand, in.Running = e.limits.Demand(id, now)
	reply, err := e.askOwner(ctx, id, in, now)
	if err != nil {
		e.outcomes.restore(id, in.Stats)
		e.cfg.Log.Debug().Err(err).Str("service", string(id)).Msg("entry: report to the service's owner failed")
		return
	}
	for org, g := range reply.Grants {
		e.limits.SetGrant(limiter.Key{Service: id, Organisation: org}, g, now.Add(reply.ValidFor), now)
	}
}

var errNoOwner = errors.New("the service has no known owner")

func (e *Entry) askOwner(ctx context.Context, id model.ServiceID, in messenger.ReportRequest, now time.Time) (messenger.ReportReply, error) {
	holder, ok := e.cfg.Owner.Holder(id, now)
	if !ok {
		return messenger.ReportReply{}, errNoOwner
	}
	if holder == e.cfg.Self.Instance {
		return e.cfg.Owner.HandleReport(in, now)
	}
	row, ok := e.cfg.Watcher.View().Find(holder)
	if !ok {
		return messenger.ReportReply{}, errNoOwner
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return messenger.Call[messenger.ReportReply](callCtx, e.cfg.Pool, row.Control, messenger.MethodReport, in)
}

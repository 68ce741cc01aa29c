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
	// versionFailures is the run of failures after which this entry sends a version
	// nothing for a while, before the service's owner has judged it.
	versionFailures = 5
	versionCut      = 5 * time.Second
	// reportEvery is the time between reports to a service's owner in a small fleet.
	reportEvery = 500 * time.Millisecond
	// reportsPerOwner bounds the reports that an owner gets each second.
	reportsPerOwner = 8
)

// tallyBoard sums the outcomes of each version until they are reported.
type tallyBoard struct {
	mu       sync.Mutex
	services map[model.ServiceID]map[model.VersionID]*versionTally
}

type versionTally struct {
	tally    model.Tally
	failures int
	cutUntil time.Time
}

func newTallyBoard() *tallyBoard {
	return &tallyBoard{services: map[model.ServiceID]map[model.VersionID]*versionTally{}}
}

func (b *tallyBoard) version(s model.ServiceID, v model.VersionID) *versionTally {
	if b.services[s] == nil {
		b.services[s] = map[model.VersionID]*versionTally{}
	}
	t := b.services[s][v]
	if t == nil {
		t = &versionTally{tally: model.Tally{Version: v}}
		b.services[s][v] = t
	}
	return t
}

func (b *tallyBoard) ran(s model.ServiceID, v model.VersionID, failed bool, first time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.version(s, v)
	t.tally.Requests++
	if !failed {
		t.failures = 0
		t.tally.Time(first)
		return
	}
	t.tally.Failures++
	t.failures++
	if t.failures >= versionFailures {
		t.cutUntil = now.Add(versionCut)
	}
}

func (b *tallyBoard) rated(s model.ServiceID, v model.VersionID, q model.Quality) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version(s, v).tally.Rate(q)
}

// excluded lists the versions that failed several times in a row here. If all versions
// did, the fault is elsewhere and none is left out.
func (b *tallyBoard) excluded(s model.ServiceID, now time.Time) map[model.VersionID]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[model.VersionID]string{}
	for v, t := range b.services[s] {
		if now.Before(t.cutUntil) {
			out[v] = "failed several times in a row here"
		}
	}
	if len(out) == len(b.services[s]) {
		return nil
	}
	return out
}

// take returns the sums since the last call.
func (b *tallyBoard) take(s model.ServiceID) []model.Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []model.Tally
	for v, t := range b.services[s] {
		if t.tally.Requests > 0 || t.tally.Rated > 0 {
			out = append(out, t.tally)
		}
		t.tally = model.Tally{Version: v}
	}
	return out
}

// giveBack returns sums whose report was lost.
func (b *tallyBoard) giveBack(s model.ServiceID, tallies []model.Tally) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range tallies {
		v := b.version(s, t.Version)
		v.tally = v.tally.Add(t)
	}
}

// observe notes the outcome of a step for the roll-out's guard.
func (e *Entry) observe(c *call, v model.VersionID, refusal *model.Refusal, first time.Duration) {
	if v == "" || refusal != nil && refusal.Run == model.RunNo || refusal != nil && refusal.Kind == model.KindCancelled {
		return
	}
	e.tallies.ran(c.service, v, refusal != nil, first, time.Now())
}

// reportLoop tells each service's owner what this entry saw and takes its grants.
func (e *Entry) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		entries := len(e.cfg.Watcher.View().Entries())
		interval := max(reportEvery, time.Duration(entries)*time.Second/reportsPerOwner)
		pauser.Pause(ctx, interval)
		for id, s := range e.cfg.Watcher.Catalogue().Services {
			if s.Document != nil {
				e.report(ctx, id, interval)
			}
		}
	}
}

func (e *Entry) report(ctx context.Context, id model.ServiceID, interval time.Duration) {
	now := time.Now()
	in := messenger.ReportRequest{Service: id, Entry: e.cfg.Self.Instance, Tallies: e.tallies.take(id), Interval: interval}
	in.Demand, in.Running = e.limits.Demand(id, now)
	reply, err := e.askOwner(ctx, id, in, now)
	if err != nil {
		e.tallies.giveBack(id, in.Tallies)
		e.cfg.Log.Debug().Err(err).Str("service", string(id)).Msg("entry: owner did not answer")
		return
	}
	for org, g := range reply.Grants {
		e.limits.SetGrant(limiter.Key{Service: id, Organisation: org}, g, now.Add(reply.Valid), now)
	}
}

var errNoOwner = errors.New("the service has no known owner")

func (e *Entry) askOwner(ctx context.Context, id model.ServiceID, in messenger.ReportRequest, now time.Time) (messenger.ReportReply, error) {
	holder, ok := e.cfg.Owner.Holder(id, now)
	if !ok {
		return messenger.ReportReply{}, errNoOwner
	}
	if holder == e.cfg.Self.Instance {
		return e.cfg.Owner.Report(in, now)
	}
	row, ok := e.cfg.Watcher.View().Find(holder)
	if !ok {
		return messenger.ReportReply{}, errNoOwner
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return messenger.Call[messenger.ReportReply](callCtx, e.cfg.Pool, row.Control, messenger.MethodReport, in)
}

package router

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// ranStep is a step whose whole answer arrived.
type ranStep struct {
	version model.VersionID
	outcome *outcome
}

// settleUsage writes one usage line for all steps of a request and releases the agents'
// answers once the line is in the ledger.
func (e *Entry) settleUsage(c *call, steps []ranStep) {
	u := model.Usage{Organisation: c.org().Organisation, Service: c.service, Steps: len(steps)}
	for _, s := range steps {
		v, _ := c.doc().FindVersion(s.version)
		end := s.outcome.end
		u.Version = s.version
		u.Input += end.Input
		u.Output += end.Output
		u.Cost += v.Input.Cost(end.Input) + v.Output.Cost(end.Output)
		if s.outcome.peer != nil && s.outcome.peer.place().Region != e.cfg.Self.Place.Region {
			u.Cost += c.doc().Egress.Cost(len(c.body))
		}
	}
	e.limits.Charge(limiter.Key{Service: c.service, Organisation: u.Organisation}, u.Input+u.Output, u.Cost, time.Now())
	e.cfg.Meter.Cost(u.Organisation, c.class.Class, u.Cost)
	e.cfg.Records.Bill(model.Record{Kind: model.RecordUsage, Key: c.bill(), Usage: &u}, func() {
		for _, s := range steps {
			e.acks.add(s.outcome.addr, s.outcome.id)
		}
	})
}

func (p *peer) place() model.Place {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance.Place
}

// tokenClock observes the first part of a stream and the gaps between parts.
type tokenClock struct {
	meter *meter.Meter
	org   model.OrganisationID
	class model.ClassID
	last  time.Time
	first time.Duration
}

func (t *tokenClock) tick(now time.Time) {
	gap := now.Sub(t.last)
	t.last = now
	if t.first == 0 {
		t.first = gap
		t.meter.First(t.org, t.class, gap)
		return
	}
	t.meter.Between(t.org, t.class, gap)
}

const ackEvery = 200 * time.Millisecond

// ackQueue releases kept answers at the agents, in groups.
type ackQueue struct {
	work    *messenger.WorkClient
	log     zerolog.Logger
	mu      sync.Mutex
	waiting map[string][]model.RequestID
}

func newAckQueue(work *messenger.WorkClient, log zerolog.Logger) *ackQueue {
	return &ackQueue{work: work, log: log, waiting: map[string][]model.RequestID{}}
}

func (q *ackQueue) add(addr string, id model.RequestID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[addr] = append(q.waiting[addr], id)
}

func (q *ackQueue) run(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, ackEvery)
		q.flush(ctx)
	}
}

// flush sends all waiting acknowledgements once. One that is lost costs the agent a
// second report of the line, which the ledger drops.
func (q *ackQueue) flush(ctx context.Context) {
	q.mu.Lock()
	waiting := q.waiting
	q.waiting = map[string][]model.RequestID{}
	q.mu.Unlock()
	for addr, ids := range waiting {
		if err := q.work.Ack(ctx, addr, ids); err != nil {
			q.log.Debug().Err(err).Msg("entry: acknowledgement was lost")
		}
	}
}

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

// completedStep is a step whose answer arrived complete.
type completedStep struct {
	version    model.VersionID
	stepResult *stepResult
}

// recordUsage queues one usage record for all steps of a request. Once the record is in the
// ledger, it acknowledges the answers so that the agents drop them.
func (e *Entry) recordUsage(c *call, steps []completedStep) {
	u := model.Usage{Organisation: c.org().Organisation, Service: c.service, CascadeSteps: len(steps)}
	for _, s := range steps {
		v, _ := c.document().FindVersion(s.version)
		end := s.stepResult.end
		u.Version = s.version
		u.Input += end.Input
		u.Output += end.Output
		u.Cost += v.Input.Cost(end.Input) + v.Output.Cost(end.Output)
		if s.stepResult.peer != nil && s.stepResult.peer.place().Region != e.cfg.Self.Place.Region {
			u.Cost += c.document().EgressPrice.Cost(len(c.body))
		}
	}
	e.limits.Charge(limiter.Key{Service: c.service, Organisation: u.Organisation}, u.Input+u.Output, u.Cost, time.Now())
	e.cfg.Meter.ObserveRequestCost(u.Organisation, c.class.Class, u.Cost)
	e.cfg.Records.Enqueue(model.Record{Kind: model.RecordUsage, Key: c.usageKey(), Usage: &u}, func() {
		for _, s := range steps {
			e.acks.add(s.stepResult.addr, s.stepResult.id)
		}
	})
}

func (p *peer) place() model.Place {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance.Place
}

// streamTimer measures the time to the first part of a stream and the gaps between parts.
type streamTimer struct {
	meter *meter.Meter
	org   model.OrganisationID
	class model.ClassID
	last  time.Time
	first time.Duration
}

func (t *streamTimer) recordPart(now time.Time) {
	gap := now.Sub(t.last)
	t.last = now
	if t.first == 0 {
		t.first = gap
		t.meter.ObserveTimeToFirstEvent(t.org, t.class, gap)
		return
	}
	t.meter.ObserveEventInterval(t.org, t.class, gap)
}

const ackInterval = 200 * time.Millisecond

// ackQueue sends acknowledgements to the agents in groups; an agent then drops the answers that
// it kept.
type ackQueue struct {
	client  *messenger.WorkClient
	log     zerolog.Logger
	mu      sync.Mutex
	pending map[string][]model.RequestID
}

func newAckQueue(client *messenger.WorkClient, log zerolog.Logger) *ackQueue {
	return &ackQueue{client: client, log: log, pending: map[string][]model.RequestID{}}
}

func (q *ackQueue) add(addr string, id model.RequestID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending[addr] = append(q.pending[addr], id)
}

func (q *ackQueue) run(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, ackInterval)
		q.flush(ctx)
	}
}

// flush sends all pending acknowledgements once. If one is lost, the agent records the usage
// a second time and the ledger drops that record.
func (q *ackQueue) flush(ctx context.Context) {
	q.mu.Lock()
	pending := q.pending
	q.pending = map[string][]model.RequestID{}
	q.mu.Unlock()
	for addr, ids := range pending {
		if err := q.client.Ack(ctx, addr, ids); err != nil {
			q.log.Debug().Err(err).Msg("entry: acknowledgement to agent failed")
		}
	}
}

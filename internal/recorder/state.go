package recorder

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// usageWindow is how long a second report of the same usage line is recognised.
const usageWindow = time.Hour

// claimState is a claim and what became of it.
type claimState struct {
	record model.Record
	done   bool
}

// Total sums the usage of one organisation on one service and day.
type Total struct {
	Requests int         `json:"requests"`
	Input    int         `json:"input"`
	Output   int         `json:"output"`
	Cost     model.Money `json:"cost"`
}

// TotalKey names a total; Day is a UTC date such as 2026-01-31.
type TotalKey struct {
	Organisation model.OrganisationID `json:"organisation"`
	Service      model.ServiceID      `json:"service"`
	Day          string               `json:"day"`
}

// state is the ledger of one shard after a prefix of its log. Replaying the same log
// always gives the same state: expiry follows the log's own times.
type state struct {
	claims *aged[claimState]
	usage  *aged[struct{}]
	pins   *aged[model.Record]
	totals map[TotalKey]Total
}

func newState(window time.Duration) *state {
	return &state{
		claims: newAged[claimState](window),
		usage:  newAged[struct{}](usageWindow),
		pins:   newAged[model.Record](window),
		totals: map[TotalKey]Total{},
	}
}

// expire drops what the log's time has passed.
func (s *state) expire(now time.Time) {
	s.claims.expire(now)
	s.usage.expire(now)
	s.pins.expire(now)
}

// apply puts one record into effect, or returns what stands in its way. Changed tells
// whether the record must be kept.
func (s *state) apply(r model.Record) (outcome model.Outcome, changed bool) {
	switch r.Kind {
	case model.RecordClaim:
		return s.claim(r)
	case model.RecordDone:
		return s.finish(r)
	case model.RecordRelease:
		return s.release(r)
	case model.RecordUsage:
		return s.bill(r)
	case model.RecordPin:
		return s.pin(r)
	}
	return model.Outcome{}, false
}

// claim grants a key to the first request that asks; the same request may claim again
// to name another agent, as long as it has not finished.
func (s *state) claim(r model.Record) (model.Outcome, bool) {
	held, ok := s.claims.get(string(r.Key))
	if ok && (held.done || held.record.Request != r.Request) {
		return model.Outcome{Record: held.record, Done: held.done}, false
	}
	s.claims.put(string(r.Key), claimState{record: r}, r.Time)
	return model.Outcome{Granted: true, Record: r}, true
}

func (s *state) finish(r model.Record) (model.Outcome, bool) {
	held, ok := s.claims.get(string(r.Key))
	if !ok || held.record.Request != r.Request || held.done {
		return model.Outcome{Record: held.record, Done: held.done}, false
	}
	done := held.record
	done.Answer = r.Answer
	s.claims.put(string(r.Key), claimState{record: done, done: true}, r.Time)
	return model.Outcome{Granted: true, Record: done, Done: true}, true
}

func (s *state) release(r model.Record) (model.Outcome, bool) {
	held, ok := s.claims.get(string(r.Key))
	if !ok || held.record.Request != r.Request || held.done || !sameRun(held.record.Claim, r.Claim) {
		return model.Outcome{Record: held.record, Done: held.done}, false
	}
	s.claims.remove(string(r.Key))
	return model.Outcome{Granted: true, Record: r}, true
}

// sameRun reports whether a release speaks of the run that the claim now names: a claim
// that has moved to another agent is not released by the first agent's refusal.
func sameRun(held, released *model.Claim) bool {
	return held != nil && released != nil && held.Agent == released.Agent && held.Boot == released.Boot
}

func (s *state) bill(r model.Record) (model.Outcome, bool) {
	if _, ok := s.usage.get(string(r.Key)); ok || r.Usage == nil {
		return model.Outcome{Record: r}, false
	}
	s.usage.put(string(r.Key), struct{}{}, r.Time)
	key := TotalKey{r.Usage.Organisation, r.Usage.Service, r.Time.UTC().Format(time.DateOnly)}
	t := s.totals[key]
	t.Requests++
	t.Input += r.Usage.Input
	t.Output += r.Usage.Output
	t.Cost += r.Usage.Cost
	s.totals[key] = t
	return model.Outcome{Granted: true, Record: r}, true
}

func (s *state) pin(r model.Record) (model.Outcome, bool) {
	if held, ok := s.pins.get(string(r.Key)); ok {
		return model.Outcome{Record: held}, false
	}
	s.pins.put(string(r.Key), r, r.Time)
	return model.Outcome{Granted: true, Record: r}, true
}

// lookup returns the claim or pin of a key; Granted tells whether there is one.
func (s *state) lookup(key model.RecordKey) model.Outcome {
	if c, ok := s.claims.get(string(key)); ok {
		return model.Outcome{Granted: true, Record: c.record, Done: c.done}
	}
	if p, ok := s.pins.get(string(key)); ok {
		return model.Outcome{Granted: true, Record: p}
	}
	return model.Outcome{}
}

// totalsKept is how long the ledger itself keeps daily totals.
const totalsKept = 62 * 24 * time.Hour

// keptTotals lists the totals of recent days.
func (s *state) keptTotals(now time.Time) []totalEntry {
	oldest := now.Add(-totalsKept).UTC().Format(time.DateOnly)
	var out []totalEntry
	for k, t := range s.totals {
		if k.Day >= oldest {
			out = append(out, totalEntry{k, t})
		}
	}
	return out
}

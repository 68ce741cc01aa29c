package recorder

import (
	"time"
	"unique"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// usageWindow is how long a second report of the same usage line is recognised.
	usageWindow = time.Hour
	// answerWindow is how long a finished claim keeps its answer.
	answerWindow = time.Hour
)

// finished is what stays of a claim for the whole window once its request has ended.
type finished struct{ fingerprint model.Fingerprint }

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
	claims  *aged[keyHash, model.Record]
	done    *aged[keyHash, finished]
	answers *aged[keyHash, model.Record]
	usage   *aged[keyHash, struct{}]
	pins    *aged[keyHash, unique.Handle[model.VersionID]]
	totals  map[TotalKey]Total
}

func newState(window time.Duration) *state {
	return &state{
		claims:  newAged[keyHash, model.Record](window),
		done:    newAged[keyHash, finished](window),
		answers: newAged[keyHash, model.Record](min(window, answerWindow)),
		usage:   newAged[keyHash, struct{}](usageWindow),
		pins:    newAged[keyHash, unique.Handle[model.VersionID]](window),
		totals:  map[TotalKey]Total{},
	}
}

// expire drops what the log's time has passed.
func (s *state) expire(now time.Time) {
	s.claims.expire(now)
	s.done.expire(now)
	s.answers.expire(now)
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
	key := hashKey(r.Key)
	if o, ok := s.finishedClaim(key); ok {
		return o, false
	}
	if held, ok := s.claims.get(key); ok && held.Request != r.Request {
		return model.Outcome{Record: held}, false
	}
	s.claims.put(key, r, r.Time)
	return model.Outcome{Granted: true, Record: r}, true
}

// finishedClaim returns what is kept of a finished claim: the whole record while its answer
// is kept, and then only that the request ran.
func (s *state) finishedClaim(key keyHash) (model.Outcome, bool) {
	f, ok := s.done.get(key)
	if !ok {
		return model.Outcome{}, false
	}
	record, ok := s.answers.get(key)
	if !ok {
		record = model.Record{Kind: model.RecordClaim, Claim: &model.Claim{Fingerprint: f.fingerprint}}
	}
	return model.Outcome{Record: record, Done: true}, true
}

// held returns the open claim of a key if the request holds it.
func (s *state) held(r model.Record) (model.Record, model.Outcome, bool) {
	key := hashKey(r.Key)
	if o, ok := s.finishedClaim(key); ok {
		return model.Record{}, o, false
	}
	held, ok := s.claims.get(key)
	return held, model.Outcome{Record: held}, ok && held.Request == r.Request
}

func (s *state) finish(r model.Record) (model.Outcome, bool) {
	held, outcome, ok := s.held(r)
	if !ok {
		return outcome, false
	}
	key := hashKey(r.Key)
	ended := held
	ended.Answer = r.Answer
	s.claims.remove(key)
	s.done.put(key, finished{fingerprintOf(held)}, r.Time)
	s.answers.put(key, ended, r.Time)
	return model.Outcome{Granted: true, Record: ended, Done: true}, true
}

func fingerprintOf(r model.Record) model.Fingerprint {
	if r.Claim == nil {
		return 0
	}
	return r.Claim.Fingerprint
}

func (s *state) release(r model.Record) (model.Outcome, bool) {
	held, outcome, ok := s.held(r)
	if !ok || !sameRun(held.Claim, r.Claim) {
		return outcome, false
	}
	s.claims.remove(hashKey(r.Key))
	return model.Outcome{Granted: true, Record: r}, true
}

// sameRun reports whether a release speaks of the run that the claim now names: a claim
// that has moved to another agent is not released by the first agent's refusal.
func sameRun(held, released *model.Claim) bool {
	return held != nil && released != nil && held.Agent == released.Agent && held.Boot == released.Boot
}

func (s *state) bill(r model.Record) (model.Outcome, bool) {
	line := hashKey(r.Key)
	if _, ok := s.usage.get(line); ok || r.Usage == nil {
		return model.Outcome{Record: r}, false
	}
	s.usage.put(line, struct{}{}, r.Time)
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
	key := hashKey(r.Key)
	if v, ok := s.pins.get(key); ok {
		return model.Outcome{Record: pinRecord(r.Key, v)}, false
	}
	if r.Pin == nil {
		return model.Outcome{Record: r}, false
	}
	s.pins.put(key, unique.Make(r.Pin.Version), r.Time)
	return model.Outcome{Granted: true, Record: r}, true
}

func pinRecord(key model.RecordKey, v unique.Handle[model.VersionID]) model.Record {
	return model.Record{Kind: model.RecordPin, Key: key, Pin: &model.Pin{Version: v.Value()}}
}

// lookup returns the claim or pin of a key; Granted tells whether there is one.
func (s *state) lookup(key model.RecordKey) model.Outcome {
	h := hashKey(key)
	if o, ok := s.finishedClaim(h); ok {
		o.Granted = true
		return o
	}
	if r, ok := s.claims.get(h); ok {
		return model.Outcome{Granted: true, Record: r}
	}
	if v, ok := s.pins.get(h); ok {
		return model.Outcome{Granted: true, Record: pinRecord(key, v)}
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

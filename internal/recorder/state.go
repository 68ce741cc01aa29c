package recorder

import (
	"time"
	"unique"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// usageWindow is how long a repeated usage record is recognised as a duplicate.
	usageWindow = time.Hour
	// answerWindow is the longest time for which a finished claim keeps its answer.
	answerWindow = time.Hour
)

// finishedClaim is the part of a claim that is kept for the whole window after its request has ended.
type finishedClaim struct{ fingerprint model.Fingerprint }

// Total is the usage of one service by one organisation on one day.
type Total struct {
	Requests int         `json:"requests"`
	Input    int         `json:"input"`
	Output   int         `json:"output"`
	Cost     model.Money `json:"cost"`
}

// TotalKey identifies a Total; Day is a UTC date such as 2026-01-31.
type TotalKey struct {
	Organisation model.OrganisationID `json:"organisation"`
	Service      model.ServiceID      `json:"service"`
	Day          string               `json:"day"`
}

// state is the ledger of one shard after a prefix of its log. Replaying the same log always gives
// the same state, because entries expire by the times in the log and not by the clock.
type state struct {
	claims   *expiringMap[keyHash, model.Record]
	finished *expiringMap[keyHash, finishedClaim]
	answers  *expiringMap[keyHash, model.Record]
	usage    *expiringMap[keyHash, struct{}]
	pins     *expiringMap[keyHash, unique.Handle[model.VersionID]]
	totals   map[TotalKey]Total
}

func newState(window time.Duration) *state {
	return &state{
		claims:   newExpiringMap[keyHash, model.Record](window),
		finished: newExpiringMap[keyHash, finishedClaim](window),
		answers:  newExpiringMap[keyHash, model.Record](min(window, answerWindow)),
		usage:    newExpiringMap[keyHash, struct{}](usageWindow),
		pins:     newExpiringMap[keyHash, unique.Handle[model.VersionID]](window),
		totals:   map[TotalKey]Total{},
	}
}

// expire drops the entries whose window has passed at now.
func (s *state) expire(now time.Time) {
	s.claims.expire(now)
	s.finished.expire(now)
	s.answers.expire(now)
	s.usage.expire(now)
	s.pins.expire(now)
}

// apply applies one record, or returns the existing record that prevents it. Changed reports whether
// the state changed, so that the record must go into the log.
func (s *state) apply(r model.Record) (outcome model.Outcome, changed bool) {
	switch r.Kind {
	case model.RecordClaim:
		return s.applyClaim(r)
	case model.RecordDone:
		return s.applyDone(r)
	case model.RecordRelease:
		return s.applyRelease(r)
	case model.RecordUsage:
		return s.applyUsage(r)
	case model.RecordPin:
		return s.applyPin(r)
	}
	return model.Outcome{}, false
}

// applyClaim grants a key to the first request that claims it. The same request may claim again to
// name another agent until it has finished.
func (s *state) applyClaim(r model.Record) (model.Outcome, bool) {
	key := hashKey(r.Key)
	if o, ok := s.getFinished(key); ok {
		return o, false
	}
	if held, ok := s.claims.get(key); ok && held.Request != r.Request {
		return model.Outcome{Record: held}, false
	}
	s.claims.put(key, r, r.Time)
	return model.Outcome{Granted: true, Record: r}, true
}

// getFinished returns the record of a finished claim: the whole record while its answer is kept, and
// after that only the fingerprint of the request that ran.
func (s *state) getFinished(key keyHash) (model.Outcome, bool) {
	f, ok := s.finished.get(key)
	if !ok {
		return model.Outcome{}, false
	}
	record, ok := s.answers.get(key)
	if !ok {
		record = model.Record{Kind: model.RecordClaim, Claim: &model.Claim{Fingerprint: f.fingerprint}}
	}
	return model.Outcome{Record: record, Done: true}, true
}

// heldClaim returns the open claim of r's key and reports whether r's request holds it. The outcome is
// the one to return if it does not.
func (s *state) heldClaim(r model.Record) (model.Record, model.Outcome, bool) {
	key := hashKey(r.Key)
	if o, ok := s.getFinished(key); ok {
		return model.Record{}, o, false
	}
	heldClaim, ok := s.claims.get(key)
	return heldClaim, model.Outcome{Record: heldClaim}, ok && heldClaim.Request == r.Request
}

func (s *state) applyDone(r model.Record) (model.Outcome, bool) {
	heldClaim, outcome, ok := s.heldClaim(r)
	if !ok {
		return outcome, false
	}
	key := hashKey(r.Key)
	ended := heldClaim
	ended.Answer = r.Answer
	s.claims.remove(key)
	s.finished.put(key, finishedClaim{fingerprintOf(heldClaim)}, r.Time)
	s.answers.put(key, ended, r.Time)
	return model.Outcome{Granted: true, Record: ended, Done: true}, true
}

func fingerprintOf(r model.Record) model.Fingerprint {
	if r.Claim == nil {
		return 0
	}
	return r.Claim.Fingerprint
}

func (s *state) applyRelease(r model.Record) (model.Outcome, bool) {
	heldClaim, outcome, ok := s.heldClaim(r)
	if !ok || !sameRun(heldClaim.Claim, r.Claim) {
		return outcome, false
	}
	s.claims.remove(hashKey(r.Key))
	return model.Outcome{Granted: true, Record: r}, true
}

// sameRun reports whether a release names the agent process that the claim names now. After a claim
// has moved to another agent, a refusal by the first agent must not release it.
func sameRun(held, released *model.Claim) bool {
	return held != nil && released != nil && held.Agent == released.Agent && held.Boot == released.Boot
}

func (s *state) applyUsage(r model.Record) (model.Outcome, bool) {
	usageKey := hashKey(r.Key)
	if _, ok := s.usage.get(usageKey); ok || r.Usage == nil {
		return model.Outcome{Record: r}, false
	}
	s.usage.put(usageKey, struct{}{}, r.Time)
	key := TotalKey{r.Usage.Organisation, r.Usage.Service, r.Time.UTC().Format(time.DateOnly)}
	t := s.totals[key]
	t.Requests++
	t.Input += r.Usage.Input
	t.Output += r.Usage.Output
	t.Cost += r.Usage.Cost
	s.totals[key] = t
	return model.Outcome{Granted: true, Record: r}, true
}

func (s *state) applyPin(r model.Record) (model.Outcome, bool) {
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

// lookup returns the claim or pin of a key; Granted is false if there is none.
func (s *state) lookup(key model.RecordKey) model.Outcome {
	h := hashKey(key)
	if o, ok := s.getFinished(h); ok {
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

// totalsRetention is how long the ledger keeps daily totals.
const totalsRetention = 62 * 24 * time.Hour

// recentTotals returns the totals of the days within totalsRetention.
func (s *state) recentTotals(now time.Time) []totalEntry {
	oldest := now.Add(-totalsRetention).UTC().Format(time.DateOnly)
	var out []totalEntry
	for k, t := range s.totals {
		if k.Day >= oldest {
			out = append(out, totalEntry{k, t})
		}
	}
	return out
}

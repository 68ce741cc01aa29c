// Package explainer keeps the decisions that a process made for its most recent requests, so that an operator
// can ask how a request was handled and why.
package explainer

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Alternative is one option of a decision, and the reason why it was chosen or rejected.
type Alternative struct {
	Name    string        `json:"name"`
	Cost    model.Money   `json:"cost,omitempty"`
	Quality model.Quality `json:"quality,omitempty"`
	Score   float64       `json:"score,omitempty"`
	Chosen  bool          `json:"chosen,omitempty"`
	Reason  string        `json:"why"`
}

// Step is one decision in the handling of a request. At is the time since the start of the request.
type Step struct {
	At           time.Duration `json:"at"`
	Decision     string        `json:"what"`
	Reason       string        `json:"why,omitempty"`
	Alternatives []Alternative `json:"alternatives,omitempty"`
}

// Record lists the decisions for one request and its outcome.
type Record struct {
	Request      model.RequestID      `json:"request"`
	Instance     model.InstanceID     `json:"instance"`
	Organisation model.OrganisationID `json:"organisation"`
	Service      model.ServiceID      `json:"service"`
	Revision     model.Revision       `json:"revision"`
	Start        time.Time            `json:"start"`
	Steps        []Step               `json:"steps"`
	Outcome      string               `json:"outcome"`
	mu           sync.Mutex
}

// Add appends a step and sets its At; it is safe for concurrent use.
func (r *Record) Add(now time.Time, s Step) {
	s.At = now.Sub(r.Start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Steps = append(r.Steps, s)
}

// Finish sets the outcome of the request.
func (r *Record) Finish(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcome = outcome
}

func (r *Record) snapshot() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Record{
		Request:      r.Request,
		Instance:     r.Instance,
		Organisation: r.Organisation,
		Service:      r.Service,
		Revision:     r.Revision,
		Start:        r.Start,
		Steps:        append([]Step(nil), r.Steps...),
		Outcome:      r.Outcome,
	}
}

// Ring keeps the most recent records, up to a fixed number, and finds them by request.
type Ring struct {
	mu      sync.Mutex
	records []*Record
	byID    map[model.RequestID]*Record
	next    int
}

// NewRing returns a ring for n records.
func NewRing(n int) *Ring {
	return &Ring{records: make([]*Record, n), byID: make(map[model.RequestID]*Record, n)}
}

// Put adds a record; a full ring drops its oldest one.
func (r *Ring) Put(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.records[r.next]; old != nil {
		delete(r.byID, old.Request)
	}
	r.records[r.next] = rec
	r.byID[rec.Request] = rec
	r.next = (r.next + 1) % len(r.records)
}

// Find returns a copy of the record of a request.
func (r *Ring) Find(id model.RequestID) (*Record, bool) {
	r.mu.Lock()
	rec, ok := r.byID[id]
	r.mu.Unlock()
	if !ok {
		return nil, false
	}
	return rec.snapshot(), true
}

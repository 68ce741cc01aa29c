package watcher

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/pkg/parser"
)

// Service is the active configuration of one service. Declared is the stored document, and Document
// is the same after the roll-out's withdrawal. Fault says why a newer stored document is not
// active.
type Service struct {
	Document *model.Document
	Declared *model.Document
	Revision model.Revision
	Rollout  *model.RolloutState
	Orders   *model.LoadOrders
	Holder   *model.Holder
	Fault    string
}

// Catalogue is an immutable snapshot of the active configuration.
type Catalogue struct {
	Services   map[model.ServiceID]*Service
	Quarantine model.Quarantine
	byKey      map[model.KeyHash][]*Service
}

func newCatalogue() *Catalogue {
	return &Catalogue{Services: map[model.ServiceID]*Service{}, byKey: map[model.KeyHash][]*Service{}}
}

// Access is a service that an API key may call, and the organisation that the key belongs to.
type Access struct {
	Service      *Service
	Organisation model.Organisation
}

// Authenticate returns the services that the API key may call, ordered by name.
func (c *Catalogue) Authenticate(key string) []Access {
	hash := model.HashKey(key)
	var out []Access
	for _, s := range c.byKey[hash] {
		if o, ok := s.Document.Authenticate(hash); ok {
			out = append(out, Access{Service: s, Organisation: o})
		}
	}
	return out
}

// withObjects returns a copy of the catalogue with the changed objects applied.
func (c *Catalogue) withObjects(objects []storer.Object) *Catalogue {
	next := &Catalogue{Services: maps.Clone(c.Services), Quarantine: c.Quarantine}
	for _, o := range objects {
		next.apply(o)
	}
	next.buildKeyIndex()
	return next
}

func (c *Catalogue) apply(o storer.Object) {
	if o.Key == QuarantineKey {
		var q model.Quarantine
		if json.Unmarshal(o.Value, &q) == nil {
			c.Quarantine = q
		}
		return
	}
	slash := strings.LastIndexByte(o.Key, '/')
	prefix, id := o.Key[:slash+1], model.ServiceID(o.Key[slash+1:])
	s := Service{}
	if old := c.Services[id]; old != nil {
		s = *old
	}
	switch prefix {
	case documentPrefix:
		s.applyDocument(o)
	case rolloutPrefix:
		s.Rollout = decode[model.RolloutState](o)
	case orderPrefix:
		s.Orders = decode[model.LoadOrders](o)
	case ownerPrefix:
		s.Holder = decode[model.Holder](o)
	default:
		return
	}
	s.Document = applyWithdrawal(s.Declared, s.Rollout)
	c.Services[id] = &s
}

func decode[T any](o storer.Object) *T {
	if o.Deleted {
		return nil
	}
	var v T
	if json.Unmarshal(o.Value, &v) != nil {
		return nil
	}
	return &v
}

// applyDocument activates a document. If the document has a fault, the last good one stays active
// and Fault says why.
func (s *Service) applyDocument(o storer.Object) {
	stored := decode[model.StoredDocument](o)
	if stored == nil || stored.Deleted {
		s.Declared, s.Revision, s.Fault = nil, o.Revision, ""
		return
	}
	d, err := parser.ParseDocument(o.Key, []byte(stored.Text))
	if err == nil && DocumentKey(d.Service) != o.Key {
		err = fmt.Errorf("the document of %s names service %s: apply it under its own name", o.Key, d.Service)
	}
	if err != nil {
		s.Fault = fmt.Sprintf("revision %d is not in force: %v", o.Revision, err)
		return
	}
	s.Declared, s.Revision, s.Fault = d, o.Revision, ""
}

// applyWithdrawal returns the document with a version marked as withdrawn if the roll-out withdrew
// it.
func applyWithdrawal(d *model.Document, state *model.RolloutState) *model.Document {
	if d == nil || !state.Matches(d.Rollout) || state.Verdict != model.VerdictWithdrawn {
		return d
	}
	c := *d
	c.Versions = slices.Clone(d.Versions)
	for i := range c.Versions {
		if c.Versions[i].Version == state.Version {
			c.Versions[i].State = model.StateWithdrawn
		}
	}
	return &c
}

func (c *Catalogue) buildKeyIndex() {
	c.byKey = map[model.KeyHash][]*Service{}
	for _, id := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[id]
		if s.Document == nil {
			continue
		}
		for _, o := range s.Document.Organisations {
			for _, k := range o.Keys {
				c.byKey[k] = append(c.byKey[k], s)
			}
		}
	}
}

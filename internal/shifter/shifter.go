// Package shifter moves a service's requests from one version to another by a roll-out order.
package shifter

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Belief is what a Shifter must know of the platform.
type Belief interface {
	Order(s model.ServiceID) (model.RolloutOrder, bool)
}

// Config configures a Shifter.
type Config struct {
	Belief Belief
}

// Shifter decides which version of a service gets a request.
type Shifter struct{ cfg Config }

// New returns a shifter.
func New(cfg Config) *Shifter { return &Shifter{cfg: cfg} }

// Avoid returns the version that gets no request of the session, or none.
func (s *Shifter) Avoid(service model.ServiceID, _ string, _ time.Time) model.VersionID {
	o, ok := s.cfg.Belief.Order(service)
	if !ok || o.State == model.RolloutCompleted && o.Reported == o.Version {
		return ""
	}
	return o.Version
}

// Observe takes an outcome of a version.
func (s *Shifter) Observe(forwarder.Outcome, time.Time) {}

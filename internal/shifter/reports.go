package shifter

import (
	"encoding/json"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// report carries evidence on a roll-out's versions from one entry to the others. A single entry sees too little of a
// version that gets few requests, and of the one beside it.
type report struct {
	Service model.ServiceID `json:"service"`
	Version model.VersionID `json:"version"`
	Order   model.Revision  `json:"order"`
	evidence
}

// reportInterval is the interval between the reports of an entry for each other entry while the new version gets all
// requests, so that what an entry receives does not grow with their number. Until then nothing waits for good outcomes,
// and canaryReportInterval saves most of the traffic.
const (
	reportInterval       = 20 * time.Millisecond
	canaryReportInterval = 60 * time.Millisecond
)

// Broadcasts returns the encoded evidence that is due to be sent to the other entries, and clears it. A fault of the
// new version is told at once.
func (s *Shifter) Broadcasts(now time.Time) [][]byte {
	members := 0
	if s.cfg.Members != nil {
		members = s.cfg.Members()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]byte
	for service, r := range s.rollouts {
		interval := canaryReportInterval
		if r.stage == stageFull {
			interval = reportInterval
		}
		if r.report.isEmpty() || now.Sub(r.reported) < time.Duration(members)*interval && !r.report.showsFault() {
			continue
		}
		for _, part := range r.report.split() {
			b, err := json.Marshal(report{Service: service, Version: r.order.Version, Order: r.order.Created, evidence: part})
			if err != nil {
				s.cfg.Log.Error().Err(err).Str("service", string(service)).Msg("shifter: evidence cannot be encoded and is not sent")
				continue
			}
			out = append(out, b)
		}
		r.report, r.reported = evidence{}, now
	}
	return out
}

// OnBroadcast records the evidence in a message from another entry.
func (s *Shifter) OnBroadcast(b []byte, now time.Time) {
	var n report
	err := json.Unmarshal(b, &n)
	if err == nil {
		err = n.validate()
	}
	if err != nil {
		s.cfg.Log.Debug().Err(err).Msg("shifter: evidence of another entry cannot be read")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rollouts[n.Service]; r != nil && r.order.Version == n.Version && r.order.Created == n.Order {
		s.addEvidence(r, n.evidence, now)
	}
}

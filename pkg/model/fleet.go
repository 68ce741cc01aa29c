package model

import (
	"math"
	"time"
)

// Role is the role of an instance: an entry accepts requests of callers, an agent runs beside a backend server.
type Role string

// Roles of an instance.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Place is the region and failure domain in which an instance runs.
type Place struct {
	Region RegionID `json:"region"`
	Domain DomainID `json:"domain"`
}

// Instance is one row of the platform's instance list. Work is the address of an agent's
// HTTP/2 listener, Control that of the JSON-RPC listener; Draining is true while the instance drains.
type Instance struct {
	Instance InstanceID `json:"instance"`
	Role     Role       `json:"role"`
	Service  ServiceID  `json:"service,omitempty"`
	Work     string     `json:"work,omitempty"`
	Control  string     `json:"control"`
	Place    Place      `json:"place"`
	Draining bool       `json:"leaving,omitempty"`
}

// Load is an agent's report on its backend server: the loaded versions, the running and queued
// requests and the concurrency limit. Seq orders the reports of one boot.
type Load struct {
	Instance InstanceID  `json:"instance"`
	Boot     BootID      `json:"boot"`
	Versions []VersionID `json:"versions,omitempty"`
	Running  int         `json:"running"`
	Queued   int         `json:"queued"`
	Limit    int         `json:"limit"`
	Seq      uint64      `json:"seq"`
	Draining bool        `json:"leaving,omitempty"`
	Revision Revision    `json:"revision,omitempty"`
}

// RolloutState is the stored state of a service's roll-out, which only the service owner writes.
type RolloutState struct {
	Service  ServiceID `json:"service"`
	Version  VersionID `json:"version"`
	Baseline VersionID `json:"against"`
	Attempt  int       `json:"attempt"`
	Step     int       `json:"step"`
	Share    Share     `json:"share"`
	Verdict  Verdict   `json:"verdict"`
	Reason   string    `json:"reason"`
	Since    time.Time `json:"since"`
	Fence    Fence     `json:"fence"`
}

// Matches reports whether the state belongs to the document's roll-out.
func (s *RolloutState) Matches(r *Rollout) bool {
	return s != nil && r != nil && s.Version == r.Version && s.Baseline == r.Baseline && s.Attempt == r.Attempt
}

// Verdict is the state of a roll-out.
type Verdict string

// Verdicts of a roll-out.
const (
	VerdictRunning   Verdict = "running"
	VerdictHold      Verdict = "hold"
	VerdictDone      Verdict = "done"
	VerdictWithdrawn Verdict = "withdrawn"
)

// VersionStats counts the outcomes of one version since the last report. Quality and
// QualitySquareSum are sums over the Rated answers; the other two sums are over the Timed answers, of
// the logarithm of the first-token time in seconds.
type VersionStats struct {
	Version                VersionID `json:"version"`
	Requests               int       `json:"requests"`
	Failures               int       `json:"failures"`
	Rated                  int       `json:"rated"`
	Quality                float64   `json:"quality"`
	QualitySquareSum       float64   `json:"quality2"`
	Timed                  int       `json:"timed"`
	LogFirstTokenSum       float64   `json:"first"`
	LogFirstTokenSquareSum float64   `json:"first2"`
}

// AddRating adds the rating of one answer.
func (t *VersionStats) AddRating(q Quality) {
	t.Rated++
	t.Quality += float64(q)
	t.QualitySquareSum += float64(q) * float64(q)
}

// minFirstTokenTime is the lower bound of first-token times; it keeps their logarithm finite.
const minFirstTokenTime = time.Microsecond

// AddFirstTokenTime adds the first-token time of one answer.
func (t *VersionStats) AddFirstTokenTime(first time.Duration) {
	l := math.Log(max(first, minFirstTokenTime).Seconds())
	t.Timed++
	t.LogFirstTokenSum += l
	t.LogFirstTokenSquareSum += l * l
}

// Add returns the sum of the statistics of the same version.
func (t VersionStats) Add(o VersionStats) VersionStats {
	t.Requests += o.Requests
	t.Failures += o.Failures
	t.Rated += o.Rated
	t.Quality += o.Quality
	t.QualitySquareSum += o.QualitySquareSum
	t.Timed += o.Timed
	t.LogFirstTokenSum += o.LogFirstTokenSum
	t.LogFirstTokenSquareSum += o.LogFirstTokenSquareSum
	return t
}

// Holder records which entry owns a service, with the fencing number under which it writes.
type Holder struct {
	Service ServiceID  `json:"service"`
	Holder  InstanceID `json:"holder"`
	Fence   Fence      `json:"fence"`
}

// StoredDocument is the stored form of a service document; Text is its YAML source.
type StoredDocument struct {
	Text      string    `json:"text"`
	ChangedBy string    `json:"by"`
	ChangedAt time.Time `json:"at"`
	Deleted   bool      `json:"deleted,omitempty"`
}

// LoadOrders lists the versions that each agent's backend server must load.
// Only the service owner writes it, with its fencing number.
type LoadOrders struct {
	Service  ServiceID                  `json:"service"`
	Fence    Fence                      `json:"fence"`
	Versions map[InstanceID][]VersionID `json:"loads"`
	Reason   string                     `json:"reason"`
}

// Quarantine lists the requests during which backend servers crashed, and the end of each ban.
type Quarantine struct {
	Suspects map[Fingerprint][]Crash   `json:"suspects,omitempty"`
	Banned   map[Fingerprint]time.Time `json:"banned,omitempty"`
}

// Crash is one crash of a backend server while a request ran; Number is the instance's crash counter.
type Crash struct {
	Instance InstanceID `json:"instance"`
	Number   uint64     `json:"number"`
	At       time.Time  `json:"at"`
}

package model

import (
	"math"
	"time"
)

// Role tells what an instance does.
type Role string

// Roles of an instance.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Place is where an instance runs.
type Place struct {
	Region RegionID `json:"region"`
	Domain DomainID `json:"domain"`
}

// Instance is one row of the platform's instance list; Work is the address of an
// agent's HTTP/2 listener and Control that of the JSON-RPC listener.
type Instance struct {
	Instance InstanceID `json:"instance"`
	Role     Role       `json:"role"`
	Service  ServiceID  `json:"service,omitempty"`
	Work     string     `json:"work,omitempty"`
	Control  string     `json:"control"`
	Place    Place      `json:"place"`
	Leaving  bool       `json:"leaving,omitempty"`
}

// Load is what an agent reports about its backend server.
type Load struct {
	Instance InstanceID  `json:"instance"`
	Boot     BootID      `json:"boot"`
	Versions []VersionID `json:"versions,omitempty"`
	Running  int         `json:"running"`
	Queued   int         `json:"queued"`
	Limit    int         `json:"limit"`
	Seq      uint64      `json:"seq"`
	Leaving  bool        `json:"leaving,omitempty"`
	Revision Revision    `json:"revision,omitempty"`
}

// RolloutState is the kept state of a service's roll-out, written by the service owner.
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

// VersionStats sums the outcomes of one version since the last report: quality over Rated
// answers and the logarithm of the first-token seconds over Timed answers, each with its
// sum of squares.
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

// AddRating adds one rating.
func (t *VersionStats) AddRating(q Quality) {
	t.Rated++
	t.Quality += float64(q)
	t.QualitySquareSum += float64(q) * float64(q)
}

// minFirst keeps the logarithm of a first-token time finite.
const minFirst = time.Microsecond

// AddFirstTokenTime adds one first-token time.
func (t *VersionStats) AddFirstTokenTime(first time.Duration) {
	l := math.Log(max(first, minFirst).Seconds())
	t.Timed++
	t.LogFirstTokenSum += l
	t.LogFirstTokenSquareSum += l * l
}

// Add returns the sum of two tallies of the same version.
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

// Holder names the entry that owns a service, under its fencing number.
type Holder struct {
	Service ServiceID  `json:"service"`
	Holder  InstanceID `json:"holder"`
	Fence   Fence      `json:"fence"`
}

// StoredDocument is the stored form of a service document.
type StoredDocument struct {
	Text      string    `json:"text"`
	ChangedBy string    `json:"by"`
	ChangedAt time.Time `json:"at"`
	Deleted   bool      `json:"deleted,omitempty"`
}

// LoadOrders lists the versions that each agent's backend server must have loaded.
// Only the service's owner writes it, under its fencing number.
type LoadOrders struct {
	Service  ServiceID                  `json:"service"`
	Fence    Fence                      `json:"fence"`
	Versions map[InstanceID][]VersionID `json:"loads"`
	Reason   string                     `json:"reason"`
}

// Quarantine lists the requests that crashed backend servers, with the end of each ban.
type Quarantine struct {
	Suspects map[Fingerprint][]Crash   `json:"suspects,omitempty"`
	Banned   map[Fingerprint]time.Time `json:"banned,omitempty"`
}

// Crash is one loss of a backend server while a request ran.
type Crash struct {
	Instance InstanceID `json:"instance"`
	Number   uint64     `json:"number"`
	At       time.Time  `json:"at"`
}

package model

import "time"

// RecordKind is the kind of a ledger record.
type RecordKind string

// Kinds of ledger record.
const (
	RecordClaim   RecordKind = "claim"
	RecordDone    RecordKind = "done"
	RecordRelease RecordKind = "release"
	RecordUsage   RecordKind = "usage"
	RecordPin     RecordKind = "pin"
)

// RecordKey identifies the subject of a record within its kind.
type RecordKey string

// Record is one line of the ledger.
type Record struct {
	Kind    RecordKind `json:"kind"`
	Key     RecordKey  `json:"key"`
	Request RequestID  `json:"request,omitempty"`
	Time    time.Time  `json:"time,omitzero"`
	Claim   *Claim     `json:"claim,omitempty"`
	Usage   *Usage     `json:"usage,omitempty"`
	Pin     *Pin       `json:"pin,omitempty"`
	Answer  *Answer    `json:"answer,omitempty"`
}

// Claim reserves an idempotency key for a request that may run at most once. It names the agent,
// its work address and its boot, so that another entry can ask that agent about the request.
type Claim struct {
	Agent       InstanceID  `json:"agent"`
	Work        string      `json:"work"`
	Boot        BootID      `json:"boot"`
	Fingerprint Fingerprint `json:"fingerprint"`
}

// Usage is one usage record; Input and Output are numbers of tokens, CascadeSteps is the number of
// steps of a cascade that the record covers.
type Usage struct {
	Organisation OrganisationID `json:"organisation"`
	Service      ServiceID      `json:"service"`
	Version      VersionID      `json:"version,omitempty"`
	Input        int            `json:"input,omitempty"`
	Output       int            `json:"output,omitempty"`
	Cost         Money          `json:"cost"`
	CascadeSteps int            `json:"steps,omitempty"`
}

// Pin records the version to which a session is pinned.
type Pin struct {
	Version VersionID `json:"version"`
}

// Answer is the stored answer of a non-idempotent call; BodyKept is false and Body empty if the body
// was too large to store.
type Answer struct {
	Status   int    `json:"status"`
	Type     string `json:"type,omitempty"`
	Body     []byte `json:"body,omitempty"`
	BodyKept bool   `json:"kept"`
}

// Outcome is the ledger's reply to a record: whether the record took effect, and the record that is
// now in force under its key. Done is true if the claimed request has finished.
type Outcome struct {
	Granted bool   `json:"granted"`
	Record  Record `json:"record"`
	Done    bool   `json:"done,omitempty"`
}

// Grant is an entry's portion of an organisation's limits; Share applies to the limits on tokens and
// spending.
type Grant struct {
	Rate        Rate  `json:"rate"`
	Concurrency int   `json:"concurrency"`
	Share       Share `json:"share"`
}

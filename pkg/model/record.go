package model

import "time"

// RecordKind tells what a ledger record keeps.
type RecordKind string

// Kinds of ledger record.
const (
	RecordClaim   RecordKind = "claim"
	RecordDone    RecordKind = "done"
	RecordRelease RecordKind = "release"
	RecordUsage   RecordKind = "usage"
	RecordPin     RecordKind = "pin"
)

// RecordKey identifies what a record is about within its kind.
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

// Claim reserves an idempotency key for one request that may run at most once.
type Claim struct {
	Agent       InstanceID  `json:"agent"`
	Work        string      `json:"work"`
	Boot        BootID      `json:"boot"`
	Fingerprint Fingerprint `json:"fingerprint"`
}

// Usage is one billing line; Steps counts the cascade's steps that it covers.
type Usage struct {
	Organisation OrganisationID `json:"organisation"`
	Service      ServiceID      `json:"service"`
	Version      VersionID      `json:"version,omitempty"`
	Input        int            `json:"input,omitempty"`
	Output       int            `json:"output,omitempty"`
	Cost         Money          `json:"cost"`
	CascadeSteps int            `json:"steps,omitempty"`
}

// Pin keeps the version of a session.
type Pin struct {
	Version VersionID `json:"version"`
}

// Answer is a kept answer of a non-idempotent call; Body is empty if it was too large.
type Answer struct {
	Status   int    `json:"status"`
	Type     string `json:"type,omitempty"`
	Body     []byte `json:"body,omitempty"`
	BodyKept bool   `json:"kept"`
}

// Outcome is the ledger's word on one record: whether it took effect, and what stands.
type Outcome struct {
	Granted bool   `json:"granted"`
	Record  Record `json:"record"`
	Done    bool   `json:"done,omitempty"`
}

// Grant is an entry's part of an organisation's limits; Share is its part of the limits on
// tokens and spending.
type Grant struct {
	Rate        Rate  `json:"rate"`
	Concurrency int   `json:"concurrency"`
	Share       Share `json:"share"`
}

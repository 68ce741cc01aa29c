// Package messenger is the inner protocol: JSON-RPC for control and HTTP/2 for work.
package messenger

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Method names a control call.
type Method string

// Control calls between the system's processes.
const (
	MethodChallenge Method = "challenge"
	MethodHello     Method = "hello"
	MethodPoll      Method = "poll"
	MethodLoad      Method = "load"
	MethodRecord    Method = "record"
	MethodLookup    Method = "lookup"
	MethodReport    Method = "report"
	MethodSuspect   Method = "suspect"
	MethodExplain   Method = "explain"
	MethodStatus    Method = "status"
	MethodMetrics   Method = "metrics"
)

// ChallengeReply holds the nonce that the caller must sign.
type ChallengeReply struct {
	Nonce []byte `json:"nonce"`
}

// HelloRequest authenticates a connection.
type HelloRequest struct {
	Instance model.InstanceID `json:"instance"`
	Role     model.Role       `json:"role"`
	Nonce    []byte           `json:"nonce"`
	MAC      []byte           `json:"mac"`
}

// HelloReply proves that the server holds the same secret.
type HelloReply struct {
	Instance model.InstanceID `json:"instance"`
	MAC      []byte           `json:"mac"`
}

// PollRequest asks a relay for what it has learnt after Seq of its own feed; a relay with
// another feed answers with everything. Service limits the answer to one service's objects. Digest names the instance list already known, which
// was read at Listed.
type PollRequest struct {
	Feed       string          `json:"feed,omitempty"`
	Seq        uint64          `json:"seq"`
	Service    model.ServiceID `json:"service,omitempty"`
	Digest     uint64          `json:"digest"`
	ListReadAt time.Time       `json:"listed"`
	Wait       time.Duration   `json:"wait"`
}

// PollReply carries changed objects, the place to go on from, and the newest revision among
// all objects that concern the service. Age is how long before the answer the relay last
// knew that it was current; Held is how long the relay kept the request.
type PollReply struct {
	Objects   []storer.Object `json:"objects,omitempty"`
	Feed      string          `json:"feed"`
	Seq       uint64          `json:"seq"`
	Newest    model.Revision  `json:"newest"`
	Age       time.Duration   `json:"age"`
	Held      time.Duration   `json:"held"`
	Instances *InstanceDelta  `json:"instances,omitempty"`
}

// InstanceDelta changes an instance list with digest Base into one with digest Digest;
// Base 0 means that Rows is the whole list.
type InstanceDelta struct {
	Base    uint64             `json:"base"`
	Digest  uint64             `json:"digest"`
	At      time.Time          `json:"at"`
	Rows    []model.Instance   `json:"rows,omitempty"`
	Removed []model.InstanceID `json:"removed,omitempty"`
}

// LoadRequest waits for a change of an agent's load after Seq.
type LoadRequest struct {
	Seq  uint64        `json:"seq"`
	Wait time.Duration `json:"wait"`
}

// RecordRequest hands ledger records to the writer of their shard.
type RecordRequest struct {
	Shard   int            `json:"shard"`
	Records []model.Record `json:"records"`
}

// RecordReply holds one outcome for each record, in order.
type RecordReply struct {
	Outcomes []model.Outcome `json:"outcomes"`
}

// LookupRequest asks for the kept state of a ledger key.
type LookupRequest struct {
	Shard int             `json:"shard"`
	Key   model.RecordKey `json:"key"`
}

// ReportRequest tells a service owner what an entry saw since its last report.
type ReportRequest struct {
	Service  model.ServiceID                     `json:"service"`
	Entry    model.InstanceID                    `json:"entry"`
	Stats    []model.VersionStats                `json:"tallies,omitempty"`
	Demand   map[model.OrganisationID]model.Rate `json:"demand,omitempty"`
	Running  map[model.OrganisationID]int        `json:"running,omitempty"`
	Interval time.Duration                       `json:"interval"`
}

// ReportReply grants the entry its part of each organisation's limit for Valid.
type ReportReply struct {
	Grants   map[model.OrganisationID]model.Grant `json:"grants,omitempty"`
	ValidFor time.Duration                        `json:"valid"`
}

// SuspectRequest names the requests that ran when a backend server died.
type SuspectRequest struct {
	Instance     model.InstanceID    `json:"instance"`
	Service      model.ServiceID     `json:"service"`
	Fingerprints []model.Fingerprint `json:"fingerprints"`
	Crash        uint64              `json:"crash"`
}

// ExplainRequest asks for the decision record of a request.
type ExplainRequest struct {
	Request model.RequestID `json:"request"`
}

// MetricsReply holds an instance's metrics in the Prometheus text format.
type MetricsReply struct {
	Text string `json:"text"`
}

// Empty is the reply of calls that answer nothing.
type Empty struct{}

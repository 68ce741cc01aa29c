// Package messenger is the protocol between the system's processes: JSON-RPC for control and HTTP/2
// for work.
package messenger

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Method is the name of a control call.
type Method string

// Control calls between the system's processes.
const (
	MethodChallenge Method = "challenge"
	MethodHello     Method = "hello"
	MethodPing      Method = "ping"
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

// ChallengeReply holds the nonce that the caller must sign in its HelloRequest.
type ChallengeReply struct {
	Nonce []byte `json:"nonce"`
}

// HelloRequest authenticates the caller's connection. MAC signs the server's nonce; Nonce is for
// the server to sign.
type HelloRequest struct {
	Instance model.InstanceID `json:"instance"`
	Role     model.Role       `json:"role"`
	Nonce    []byte           `json:"nonce"`
	MAC      []byte           `json:"mac"`
}

// HelloReply proves that the server has the same secret.
type HelloReply struct {
	Instance model.InstanceID `json:"instance"`
	MAC      []byte           `json:"mac"`
}

// PollRequest asks a relay for the objects that it learnt after Seq of the feed named Feed. A relay
// with another feed returns all objects. Service limits the answer to one service's objects. Digest
// identifies the instance list that the caller has, which was read at ListReadAt.
type PollRequest struct {
	Feed       string          `json:"feed,omitempty"`
	Seq        uint64          `json:"seq"`
	Service    model.ServiceID `json:"service,omitempty"`
	Digest     uint64          `json:"digest"`
	ListReadAt time.Time       `json:"listed"`
	Wait       time.Duration   `json:"wait"`
}

// PollReply carries changed objects, the position in the feed to continue from, and the newest
// revision of all objects that are relevant to the service. Age is the time between the relay's
// last confirmation that its copy was current and the answer; a negative Age means that it has
// none. HeldFor is how long the relay held the request.
type PollReply struct {
	Objects   []storer.Object `json:"objects,omitempty"`
	Feed      string          `json:"feed"`
	Seq       uint64          `json:"seq"`
	Newest    model.Revision  `json:"newest"`
	Age       time.Duration   `json:"age"`
	HeldFor   time.Duration   `json:"held"`
	Instances *InstanceDelta  `json:"instances,omitempty"`
}

// InstanceDelta changes the instance list with digest Base into the one with digest Digest. If Base
// is 0, Rows is the whole list.
type InstanceDelta struct {
	Base    uint64             `json:"base"`
	Digest  uint64             `json:"digest"`
	ReadAt  time.Time          `json:"at"`
	Rows    []model.Instance   `json:"rows,omitempty"`
	Removed []model.InstanceID `json:"removed,omitempty"`
}

// LoadRequest waits for an agent's load to change after Seq.
type LoadRequest struct {
	Seq  uint64        `json:"seq"`
	Wait time.Duration `json:"wait"`
}

// RecordRequest sends ledger records to the writer of their shard.
type RecordRequest struct {
	Shard   int            `json:"shard"`
	Records []model.Record `json:"records"`
}

// RecordReply holds one outcome for each record, in the order of the request.
type RecordReply struct {
	Outcomes []model.Outcome `json:"outcomes"`
}

// LookupRequest asks for the stored state of a ledger key.
type LookupRequest struct {
	Shard int             `json:"shard"`
	Key   model.RecordKey `json:"key"`
}

// ReportRequest reports to a service's owner what an entry counted during Interval, the time since
// its last report.
type ReportRequest struct {
	Service  model.ServiceID                     `json:"service"`
	Entry    model.InstanceID                    `json:"entry"`
	Stats    []model.VersionStats                `json:"tallies,omitempty"`
	Demand   map[model.OrganisationID]model.Rate `json:"demand,omitempty"`
	Running  map[model.OrganisationID]int        `json:"running,omitempty"`
	Interval time.Duration                       `json:"interval"`
}

// ReportReply grants the entry its share of each organisation's limit; the grants hold for
// ValidFor.
type ReportReply struct {
	Grants   map[model.OrganisationID]model.Grant `json:"grants,omitempty"`
	ValidFor time.Duration                        `json:"valid"`
}

// SuspectRequest names the requests that were running when a backend server crashed.
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

// Empty is the reply of calls that return no data.
type Empty struct{}

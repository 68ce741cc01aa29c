package model

import "time"

// Settings configures one process; each role uses only some of the fields.
type Settings struct {
	Role     Role
	Instance InstanceID
	Place    Place
	Service  ServiceID
	Platform string
	Rater    string
	Peers    []string
	Secret   string
	Listen   Listen
	Backend  Backend
	TLS      TLSFiles
	Limits   Limits
	Ledger   LedgerSettings
	Lease    time.Duration
	Drain    DrainSettings
	Log      LogSettings
}

// Listen holds the addresses on which a process listens, each an IP address and port.
type Listen struct {
	Callers string
	Work    string
	Control string
}

// Backend describes the backend server beside an agent. The agent lowers its concurrency limit when
// answers miss FirstByteTarget, the time to the first byte, or TokenGapTarget, the time between tokens.
type Backend struct {
	URL             string
	Kind            Kind
	Concurrency     int
	FirstByteTarget time.Duration
	TokenGapTarget  time.Duration
}

// TLSFiles names the PEM files for connections between instances; empty means no TLS.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// Limits bounds the resources that callers can occupy in a process; AnswerMemory bounds the total size
// of the finished answers that an agent keeps.
type Limits struct {
	Body           Bytes
	Header         Bytes
	RequestTimeout time.Duration
	Connections    int
	AnswerMemory   Bytes
	// BodyMemory bounds the total size of the request bodies in memory, OrganisationConcurrency the
	// concurrent requests of an organisation for which the document sets no concurrency.
	BodyMemory              Bytes
	OrganisationConcurrency int
}

// LedgerSettings configures the ledger. ClaimShards is the number of shards for claims and pins, which
// callers wait for; UsageShards is the number of shards for usage records, which are batched for longer.
// Flush is the time between two group commits of a shard; the ledger keeps claims and pins for Window.
type LedgerSettings struct {
	ClaimShards int
	UsageShards int
	Flush       time.Duration
	Window      time.Duration
}

// DrainSettings configures a graceful stop: the process waits for Lag after it turned unready, so that
// load balancers notice, and then up to Grace for running requests.
type DrainSettings struct {
	Lag   time.Duration
	Grace time.Duration
}

// LogSettings configures the structured log.
type LogSettings struct {
	Level  string
	Format string
}

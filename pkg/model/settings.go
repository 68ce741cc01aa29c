package model

import "time"

// Settings configures one process; each role reads the parts that it needs.
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

// Listen holds the addresses of a process, each an IP number and port.
type Listen struct {
	Callers string
	Work    string
	Control string
}

// Backend describes the backend server beside an agent. First and Between are the targets
// for the time to the first byte and between tokens, which bound its concurrency.
type Backend struct {
	URL             string
	Kind            Kind
	Concurrency     int
	FirstByteTarget time.Duration
	TokenGapTarget  time.Duration
}

// TLSFiles names the PEM files for the inner protocol; empty means no TLS.
type TLSFiles struct {
	Cert string
	Key  string
	CA   string
}

// Limits bounds what one caller can make a process hold.
type Limits struct {
	Body           Bytes
	Header         Bytes
	RequestTimeout time.Duration
	Connections    int
	AnswerMemory   Bytes
	// BodyMemory bounds the request bodies held at once, Organisation the requests at once of
	// an organisation whose document sets no concurrency.
	BodyMemory   Bytes
	Organisation int
}

// LedgerSettings configures the kept log: Shards for claims and pins, which callers wait
// for, and Usage for billing lines, which are grouped for longer.
type LedgerSettings struct {
	Shards        int
	Usage         int
	FlushInterval time.Duration
	Window        time.Duration
}

// DrainSettings configures a planned stop.
type DrainSettings struct {
	Lag   time.Duration
	Grace time.Duration
}

// LogSettings configures the structured log.
type LogSettings struct {
	Level  string
	Format string
}

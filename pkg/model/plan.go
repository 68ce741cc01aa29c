package model

import (
	"slices"
	"strings"
	"time"
)

// BackendID names a backend server to which an entry forwards directly.
type BackendID string

// RouteID names a route of a plan.
type RouteID string

// RetryPolicy sets which requests of a route may be sent to a backend server again.
type RetryPolicy string

// Retry policies of a route.
const (
	// RetryIdempotent requests may run any number of times.
	RetryIdempotent RetryPolicy = "safe"
	// RetryNever requests run at most once for each request of a caller.
	RetryNever RetryPolicy = "never"
	// RetryResume streams may continue on another backend server after the last event that the entry received.
	RetryResume RetryPolicy = "resume"
)

// Plan is the configuration of an entry that forwards to backend servers directly.
type Plan struct {
	Version  int64
	Routes   []PlanRoute
	Services map[ServiceID]PlanService
	// Open is true if requests need no API keys. That there are no Keys means that nobody has one.
	Open bool
	Keys map[KeyHash]PlanKeyHolder
	// Regions holds the allowed regions of the organisations that may not be served everywhere.
	Regions map[OrganisationID]Regions
	Limits  PlanLimits
}

// PlanRoute sends the requests of a host under a path prefix to services.
type PlanRoute struct {
	Route       RouteID
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	Stream      bool
	// Timeout is the longest time until a request has its final answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a stream, should arrive.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between events of a stream that callers accept.
	MaxEventGap time.Duration
	// Rank is the priority of the route's requests; 0 is the highest.
	Rank     int
	Split    []PlanShare
	Attempts int
	// Public is true if requests need no API key.
	Public bool
	// Models lists the models that may answer, the smallest first; if it is empty, the caller names the model.
	Models []ModelID
	// Regions are the regions in which the route's requests may run.
	Regions Regions
}

// Regions lists the regions in which requests may run; an empty list allows all.
type Regions []RegionID

// Allow reports whether requests may run in a region.
func (r Regions) Allow(region RegionID) bool { return len(r) == 0 || slices.Contains(r, region) }

// PlanShare is the weight of one service in the traffic split of a route.
type PlanShare struct {
	Service ServiceID
	Weight  float64
}

// PlanService describes a service of backend servers.
type PlanService struct {
	Service ServiceID
	// Connections is the number of connections that one backend server accepts from all entries together.
	Connections int
	// ColdRate is the number of requests a second that a cold backend server tolerates from all entries; 0 means that
	// cold ones are not limited.
	ColdRate Rate
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// Engine is nil for services that run no models.
	Engine *PlanEngine
}

// PlanEngine describes the model engine of a service's backend servers.
type PlanEngine struct {
	Slots      int
	KVCapacity Tokens
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
	Costs          map[ModelID]float64
}

// Tokens is a number of model tokens.
type Tokens int

// PlanKeyHolder is the organisation that holds an API key.
type PlanKeyHolder struct {
	Organisation OrganisationID
	// Rank overrides the rank of the route; -1 keeps the route's.
	Rank int
}

// PlanLimits bounds the size of the requests of callers and the time that they may take to send them.
type PlanLimits struct {
	Header        Bytes
	Body          Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FindRoute returns the route of the host with the longest prefix that matches the path.
func (p *Plan) FindRoute(host, path string) (*PlanRoute, bool) {
	var best *PlanRoute
	for i := range p.Routes {
		r := &p.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// BackendState is the state of a backend server; a draining one gets no new requests.
type BackendState string

// States of a backend server.
const (
	BackendReady    BackendState = "ready"
	BackendDraining BackendState = "draining"
)

// BackendServer is one row of the list of backend servers.
type BackendServer struct {
	Backend BackendID
	Service ServiceID
	Address string
	Place   Place
	Version VersionID
	Slots   int
	State   BackendState
	// ColdRemaining is how much longer the backend server is slow because it started recently; 0 means that it is warm.
	ColdRemaining time.Duration
	// ColdRate is the number of requests a second that the backend server tolerates from all entries because it is, or
	// may be, cold; 0 means that it is not limited so.
	ColdRate Rate
	// StartUnixMilli is the Unix time of its start in milliseconds, 0 if unknown. A backend server may start again
	// under the same id.
	StartUnixMilli int64
}

// Lifetime returns the identity of this start of the backend server.
func (s BackendServer) Lifetime() ServerLifetime {
	return ServerLifetime{Backend: s.Backend, StartUnixMilli: s.StartUnixMilli}
}

// RolloutOrder asks to shift a service's requests to a version.
type RolloutOrder struct {
	Service  ServiceID
	Version  VersionID
	Duration time.Duration
	Revision Revision
	// Created is the revision at which the order was first written.
	Created Revision
	State   RolloutStatus
	// Reported is the version to which State refers.
	Reported VersionID
}

// RolloutStatus is the reported status of an order.
type RolloutStatus string

// Statuses of an order; empty means that none was reported.
const (
	RolloutRunning   RolloutStatus = "running"
	RolloutCompleted RolloutStatus = "completed"
	RolloutReverted  RolloutStatus = "reverted"
)

// DirectSettings configures an entry that forwards to backend servers directly.
type DirectSettings struct {
	Instance InstanceID
	Place    Place
	// Callers, Ready, Metrics and Gossip are addresses to listen on, Gossip for UDP and TCP and the others for
	// TCP; an empty Metrics or Gossip turns that listener off.
	Callers string
	Ready   string
	Metrics string
	Gossip  string
	// Memory is the memory limit of the process.
	Memory Bytes
	// Grace is the time that the process has between the stop signal and the kill.
	Grace time.Duration
	// MaxKeyAge is the longest time that cached keys stay valid without confirmation from the store;
	// 0 means no limit.
	MaxKeyAge time.Duration
	// ApplyWithin is how long a change may take until it is in force; 0 selects the built-in default.
	ApplyWithin time.Duration
	RetryBudget RetryBudgetSettings
	// Evacuations is set where operators evacuate failure domains.
	Evacuations bool
	Cold        ColdSettings
	// Exposure is the largest share of a service's requests, over the duration of a roll-out, that a bad
	// version may get; 0 selects the built-in default.
	Exposure float64
}

// RetryBudgetSettings bounds retries: in any Window, an entry retries at most Ratio times as many requests of a
// service as it received.
type RetryBudgetSettings struct {
	Ratio  float64
	Window time.Duration
}

// ColdSettings bounds the requests that cold backend servers get.
type ColdSettings struct {
	// Over and Slack bound what a cold backend server gets in any second to Over times its ColdRate plus Slack requests.
	Over, Slack float64
	// ReportWithin is how long it takes until a backend server that turned cold has said so.
	ReportWithin time.Duration
}

// Evacuations are the failure domains that operators have emptied.
type Evacuations struct {
	// InForce holds the evacuations by domain.
	InForce map[DomainID]Evacuation
	// Withdrawn holds when the evacuation of a domain was taken back.
	Withdrawn map[DomainID]time.Time
}

// Evacuation is the order to send no requests to the backend servers of a failure domain.
type Evacuation struct {
	// Since is when this entry learned of it, Revision that of its object.
	Since    time.Time
	Revision Revision
	// Until is when it ends by itself; zero unless the store came back from a copy that lacks it.
	Until time.Time
}

// Evacuated reports whether a failure domain must get no requests.
func (e *Evacuations) Evacuated(d DomainID, now time.Time) bool {
	if e == nil {
		return false
	}
	o, ok := e.InForce[d]
	return ok && (o.Until.IsZero() || now.Before(o.Until))
}

// WithdrawnAt returns when the evacuation of a failure domain ended, or the zero time if it was never evacuated.
func (e *Evacuations) WithdrawnAt(d DomainID, now time.Time) time.Time {
	if e == nil {
		return time.Time{}
	}
	if o, ok := e.InForce[d]; ok && !o.Until.IsZero() && !now.Before(o.Until) {
		return o.Until
	}
	return e.Withdrawn[d]
}

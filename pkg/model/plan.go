package model

import (
	"strings"
	"time"
)

// BackendID names one start of a backend server that answers requests directly.
type BackendID string

// RouteID names a route of a plan.
type RouteID string

// RetryPolicy tells what may be done again for a request of a route.
type RetryPolicy string

// Kinds of repetition.
const (
	// RetryIdempotent requests may run any number of times.
	RetryIdempotent RetryPolicy = "safe"
	// RetryNever requests run at most once for each request of a caller.
	RetryNever RetryPolicy = "never"
	// RetryResume streams may go on elsewhere after the last event that was received.
	RetryResume RetryPolicy = "resume"
)

// Plan is the configuration of an entry that forwards to backend servers directly.
type Plan struct {
	Version  int64
	Routes   []PlanRoute
	Services map[ServiceID]PlanService
	// Keys is empty if requests carry no keys.
	Keys   map[KeyHash]PlanKeyHolder
	Limits PlanLimits
}

// PlanRoute sends the requests of a host under a path prefix to services.
type PlanRoute struct {
	Route       RouteID
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	Stream      bool
	// Timeout bounds the time in which a request has its final answer.
	Timeout time.Duration
	// LatencyTarget is the time in which an answer, or its first event, has its full value.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between events of a stream that callers accept.
	MaxEventGap time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank     int
	Split    []PlanShare
	Attempts int
	// Public requests need no key.
	Public bool
	// Models lists the models that may answer, the smallest first; empty leaves the choice to the caller.
	Models []ModelID
}

// PlanShare is one service's part of a route.
type PlanShare struct {
	Service ServiceID
	Weight  float64
}

// PlanService describes a service of backend servers.
type PlanService struct {
	Service ServiceID
	// Connections is the number of connections that one backend server accepts from all entries.
	Connections int
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

// PlanKeyHolder is the organisation that holds a key.
type PlanKeyHolder struct {
	Organisation OrganisationID
	// Rank goes before the route's; -1 leaves the route's.
	Rank int
}

// PlanLimits bounds what callers may send and how long they may take.
type PlanLimits struct {
	Header        Bytes
	Body          Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FindRoute returns the route of the host with the longest prefix of the path.
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

// BackendState tells whether a backend server takes new requests.
type BackendState string

// States of a backend server.
const (
	BackendReady    BackendState = "ready"
	BackendDraining BackendState = "draining"
)

// BackendServer is one entry of the list of backend servers.
type BackendServer struct {
	Backend BackendID
	Service ServiceID
	Address string
	Place   Place
	Version VersionID
	Slots   int
	State   BackendState
	// ColdRemaining is how much longer the backend server is slow after its start.
	ColdRemaining time.Duration
	// StartUnixMilli is the Unix millisecond of its start, 0 if unknown; an id may be born again.
	StartUnixMilli int64
}

// RolloutOrder asks to move a service's requests to a version.
type RolloutOrder struct {
	Service  ServiceID
	Version  VersionID
	Duration time.Duration
	Revision Revision
	// Created is the revision at which the order was first written.
	Created Revision
	State   RolloutStatus
	// Reported is the version that the written state speaks of.
	Reported VersionID
}

// RolloutStatus is what is reported of an order.
type RolloutStatus string

// States of an order; empty means that nothing was reported.
const (
	RolloutRunning   RolloutStatus = "running"
	RolloutCompleted RolloutStatus = "completed"
	RolloutReverted  RolloutStatus = "reverted"
)

// DirectSettings configures an entry that forwards to backend servers directly.
type DirectSettings struct {
	Instance InstanceID
	Place    Place
	// Callers, Ready, Metrics and Gossip are addresses to listen on, the last one for datagrams;
	// Metrics and Gossip may be empty.
	Callers string
	Ready   string
	Metrics string
	Gossip  string
	// Memory is the limit of the process.
	Memory Bytes
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// MaxKeyAge is how long keys are believed without word from the store; 0 has no bound.
	MaxKeyAge   time.Duration
	RetryBudget RetryBudgetSettings
	// Exposure is the part of a service's requests that a bad version may get in a roll-out's time; 0
	// leaves it to the product.
	Exposure float64
}

// RetryBudgetSettings bounds the requests that are sent once more: in any window at most Ratio times
// the requests of a service.
type RetryBudgetSettings struct {
	Ratio  float64
	Window time.Duration
}

package model

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a service; it decides how entries interpret its calls.
type Kind string

// Kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// State is the lifecycle state of a version; it decides which requests the version serves.
type State string

// States of a version.
const (
	StateServing   State = "serving"
	StateRetiring  State = "retiring"
	StateWithdrawn State = "withdrawn"
)

// Priority orders requests in an admission queue.
type Priority string

// Priorities, the most urgent first.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityBatch  Priority = "batch"
)

// Rank returns 0 for the most urgent priority.
func (p Priority) Rank() int {
	switch p {
	case PriorityHigh:
		return 0
	case PriorityBatch:
		return 2
	default:
		return 1
	}
}

// Fallback is what an entry does when it cannot apply a rule of the document as written.
type Fallback string

// Fallbacks of a document.
const (
	FallbackServe  Fallback = "serve"
	FallbackRefuse Fallback = "refuse"
	FallbackMove   Fallback = "move"
)

// KeyHash is the SHA-256 digest of an organisation's API key.
type KeyHash [sha256.Size]byte

// HashKey returns the digest under which a key is stored.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Document is a validated service document; it is immutable after parsing.
type Document struct {
	Service        ServiceID
	Kind           Kind
	CutoffFallback Fallback
	Target         Quality
	Confidence     Share
	Explore        Share
	Cascade        bool
	EgressPrice    VolumePrice
	Session        SessionRule
	Versions       []Version
	Organisations  []Organisation
	Classes        []Class
	Routes         []Route
	Rollout        *Rollout
	// Evacuated lists the failure domains whose backend servers get no requests of the service.
	Evacuated []DomainID
}

// SessionRule sets the lifetime of session pins and what happens to a session whose pinned version is withdrawn.
type SessionRule struct {
	TTL               time.Duration
	WithdrawnFallback Fallback
}

// Version describes one version of a model.
type Version struct {
	Version      VersionID
	Model        ModelID
	State        State
	Input        TokenPrice
	Output       TokenPrice
	PriorQuality Quality
	Weight       float64
	Replicas     int
}

// Organisation holds the API keys, the permitted versions and the limits of one organisation.
type Organisation struct {
	Organisation OrganisationID
	Keys         []KeyHash
	Versions     []VersionID
	Target       Quality
	Rate         Rate
	Tokens       Rate
	SpendRate    SpendRate
	Concurrency  int
	Priority     Priority
	Weight       float64
	// Regions are the regions in which the organisation's requests may run.
	Regions Regions
}

// Class is a request class with its priority and deadline.
type Class struct {
	Class    ClassID
	Priority Priority
	Deadline time.Duration
}

// Route describes the calls of a plain service with one method under a path prefix.
type Route struct {
	Route      string
	Method     string
	Class      ClassID
	Idempotent bool
	// Regions are the regions in which the route's requests may run.
	Regions Regions
}

// Rollout shifts traffic from the baseline to a version in steps; each step holds for a while before the next.
type Rollout struct {
	Version  VersionID
	Baseline VersionID
	Steps    []Share
	Hold     time.Duration
	Attempt  int
}

// FindVersion returns the version with the given name.
func (d *Document) FindVersion(id VersionID) (Version, bool) {
	for _, v := range d.Versions {
		if v.Version == id {
			return v, true
		}
	}
	return Version{}, false
}

// FindOrganisation returns the organisation with the given name.
func (d *Document) FindOrganisation(id OrganisationID) (Organisation, bool) {
	for _, o := range d.Organisations {
		if o.Organisation == id {
			return o, true
		}
	}
	return Organisation{}, false
}

// Authenticate returns the organisation that holds the key. It compares the hashes in constant time
// and visits all of them, so that the response time reveals nothing about the keys.
func (d *Document) Authenticate(hash KeyHash) (Organisation, bool) {
	found := -1
	for i, o := range d.Organisations {
		for _, k := range o.Keys {
			if subtle.ConstantTimeCompare(k[:], hash[:]) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Organisation{}, false
	}
	return d.Organisations[found], true
}

// Allows reports whether the organisation may send a request to the version;
// a retiring version serves only sessions pinned to it.
func (d *Document) Allows(org OrganisationID, id VersionID, pinned bool) bool {
	o, ok := d.FindOrganisation(org)
	if !ok {
		return false
	}
	if d.Kind == KindPlain {
		return true
	}
	v, ok := d.FindVersion(id)
	if !ok || !slices.Contains(o.Versions, id) {
		return false
	}
	return v.State == StateServing || v.State == StateRetiring && pinned
}

// BarsPlace returns why requests of an organisation must not run at a place, or the empty string if they may.
func (d *Document) BarsPlace(org OrganisationID, p Place) string {
	if slices.Contains(d.Evacuated, p.Domain) {
		return "its failure domain is evacuated"
	}
	if o, ok := d.FindOrganisation(org); ok && !o.Regions.Allow(p.Region) {
		return "its region is not allowed for the organisation"
	}
	return ""
}

// ClassFor returns the first class with the priority, or a class with DefaultDeadline if there is none.
func (d *Document) ClassFor(p Priority) Class {
	for _, c := range d.Classes {
		if c.Priority == p {
			return c
		}
	}
	return Class{Class: ClassID(p), Priority: p, Deadline: DefaultDeadline}
}

// DefaultDeadline is the deadline of requests whose class sets none.
const DefaultDeadline = 60 * time.Second

// FindRoute returns the route with the longest matching prefix for a call of a plain service.
// A call that matches no route counts as idempotent only if its method is GET or HEAD.
func (d *Document) FindRoute(method, path string) Route {
	best := Route{Route: "/", Method: method, Idempotent: method == "GET" || method == "HEAD"}
	length := -1
	for _, r := range d.Routes {
		if r.Method == method && len(r.Route) > length && matchesPrefix(path, r.Route) {
			best, length = r, len(r.Route)
		}
	}
	return best
}

func matchesPrefix(path, prefix string) bool {
	trimmed := strings.TrimSuffix(prefix, "/")
	return path == trimmed || strings.HasPrefix(path, trimmed+"/")
}

// FindClass returns the class with the given name, or the default class of normal priority.
func (d *Document) FindClass(id ClassID) Class {
	for _, c := range d.Classes {
		if c.Class == id {
			return c
		}
	}
	return d.ClassFor(PriorityNormal)
}

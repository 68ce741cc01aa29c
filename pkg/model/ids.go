// Package model holds the plain data types that the other packages exchange.
package model

// ServiceID names a service, the unit that one document describes.
type ServiceID string

// OrganisationID names an organisation that calls services.
type OrganisationID string

// VersionID names a deployable version of a model, such as "sketch@3".
type VersionID string

// ModelID names a model family that groups versions.
type ModelID string

// InstanceID names an entry or an agent process.
type InstanceID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region, a group of failure domains.
type RegionID string

// RequestID identifies a caller's request on every hop.
type RequestID string

// SessionID identifies a caller's session within an organisation and service.
type SessionID string

// ClassID names a request class of a service document.
type ClassID string

// IdempotencyKey is the key that a caller chooses for one logical request and sends again with each retry.
type IdempotencyKey string

// BootID identifies one run of an agent process. An agent's report on a request is valid only
// for the boot that received the request, because a restarted agent has lost its state.
type BootID string

// Fence is the fencing number that a service owner attaches to everything it writes.
type Fence uint64

// Fingerprint is a digest of a request body by which a resent request is recognised.
type Fingerprint uint64

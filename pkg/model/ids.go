// Package model holds the plain data types that the other packages exchange.
package model

// ServiceID names a service, the unit that one document describes.
type ServiceID string

// OrganisationID names an organisation that calls services.
type OrganisationID string

// VersionID names one deployable version of a model, such as "sketch@3".
type VersionID string

// ModelID names a model family that groups versions.
type ModelID string

// InstanceID names one process of the system or one backend server slot.
type InstanceID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region, a group of failure domains.
type RegionID string

// RequestID identifies one caller request on every hop.
type RequestID string

// SessionID identifies a caller session within one organisation and service.
type SessionID string

// ClassID names a request class of a service document.
type ClassID string

// IdempotencyKey is the caller's own key for one logical request.
type IdempotencyKey string

// BootID identifies one life of an agent process; an answer about a request is only true
// for the life that received it.
type BootID string

// Revision is the platform version of a stored object; it only rises.
type Revision uint64

// Fence is the fencing number that every order of a service owner carries.
type Fence uint64

// Fingerprint is a digest of a request body that recognises a resend.
type Fingerprint uint64

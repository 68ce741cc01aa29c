package model

// Trait is a property of a request that may crash backend servers: a part of its prompt, or the whole request.
type Trait struct {
	ID TraitID `json:"id"`
	// Depth is the position of the part in the prompt, and WholeRequest for the whole request. Deeper traits are
	// shared by fewer requests.
	Depth int `json:"depth"`
	// Answered is set if a request with the trait got an answer before.
	Answered bool `json:"answered,omitempty"`
}

// TraitID identifies a trait among all requests.
type TraitID string

// WholeRequest is the depth of the trait that only copies of the same request share.
const WholeRequest = 1 << 16

// ServerLifetime identifies one start of a backend server, which may start again under the same ID.
type ServerLifetime struct {
	Backend        BackendID `json:"backend"`
	StartUnixMilli int64     `json:"born,omitempty"`
}

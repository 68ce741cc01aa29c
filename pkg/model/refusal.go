package model

import (
	"fmt"
	"time"
)

// Run states whether a refused request may have run on a backend server.
type Run string

// Values of Run.
const (
	RunNo      Run = "no"
	RunUnknown Run = "unknown"
	RunYes     Run = "yes"
)

// RefusalKind is the machine-readable reason of a refusal.
type RefusalKind string

// Kinds of refusal; docs/OPERATIONS.md lists each with its remedy.
const (
	KindBadRequest          RefusalKind = "bad_request"
	KindIncompleteBody      RefusalKind = "incomplete_body"
	KindUnauthorized        RefusalKind = "unauthorized"
	KindUnknownModel        RefusalKind = "unknown_model"
	KindUnknownService      RefusalKind = "unknown_service"
	KindTooLarge            RefusalKind = "too_large"
	KindBadSession          RefusalKind = "bad_session"
	KindWithdrawn           RefusalKind = "withdrawn"
	KindOverLimit           RefusalKind = "over_limit"
	KindOverload            RefusalKind = "overload"
	KindBusy                RefusalKind = "busy"
	KindDeadline            RefusalKind = "deadline"
	KindNoBackend           RefusalKind = "no_backend"
	KindStaleConfiguration  RefusalKind = "stale_configuration"
	KindPlatformUnavailable RefusalKind = "platform_unavailable"
	KindKeyReused           RefusalKind = "key_reused"
	KindKeyHeld             RefusalKind = "key_held"
	KindQuarantined         RefusalKind = "quarantined"
	KindLeaving             RefusalKind = "leaving"
	KindCancelled           RefusalKind = "cancelled"
	KindBrokenAnswer        RefusalKind = "broken_answer"
	KindBackendFailed       RefusalKind = "backend_failed"
	KindInternal            RefusalKind = "internal"
)

// Refusal is the error that callers and the instances of the fleet receive for a refused request.
type Refusal struct {
	Kind    RefusalKind   `json:"kind"`
	Message string        `json:"message"`
	Run     Run           `json:"run"`
	Retry   time.Duration `json:"retry,omitempty"`
	Request RequestID     `json:"request,omitempty"`
}

// Error returns the kind and the message.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Kind, r.Message) }

// Refuse returns a refusal of a request that did not run.
func Refuse(kind RefusalKind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Message: fmt.Sprintf(format, args...), Run: RunNo}
}

// WithRun returns a copy with the given run state.
func (r *Refusal) WithRun(run Run) *Refusal {
	c := *r
	c.Run = run
	return &c
}

// WithRetry returns a copy that asks the caller to retry after the given time.
func (r *Refusal) WithRetry(after time.Duration) *Refusal {
	c := *r
	c.Retry = after
	return &c
}

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int {
	switch r.Kind {
	case KindBadRequest, KindBadSession, KindIncompleteBody:
		return 400
	case KindUnauthorized:
		return 401
	case KindUnknownModel, KindUnknownService:
		return 404
	case KindTooLarge:
		return 413
	case KindKeyReused, KindKeyHeld:
		return 409
	case KindWithdrawn:
		return 410
	case KindQuarantined:
		return 422
	case KindOverLimit:
		return 429
	case KindDeadline:
		return 504
	case KindBrokenAnswer, KindBackendFailed:
		return 502
	case KindInternal:
		return 500
	default:
		return 503
	}
}

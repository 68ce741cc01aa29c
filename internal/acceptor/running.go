package acceptor

import (
	"context"
	"errors"
	"time"
)

// ErrCut is why a request ends that still runs at the end of its entry's grace period.
var ErrCut = errors.New("the entry's grace period is over")

// Running ends the requests that still run when a stop has to cut them, so that they are answered before their
// connections close.
type Running struct {
	ctx context.Context
	cut context.CancelCauseFunc
}

// NewRunning returns a Running that cuts no request.
func NewRunning() Running {
	ctx, cut := context.WithCancelCause(context.Background())
	return Running{ctx, cut}
}

// Cut ends the requests that run.
func (r Running) Cut() { r.cut(ErrCut) }

// Context returns a context that ends with its parent, such as when the caller leaves, at the deadline, or when the
// requests that run are cut.
func (r Running) Context(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(r.ctx, func() { cancel(context.Cause(r.ctx)) })
	ctx, cancelDeadline := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		stop()
		cancelDeadline()
		cancel(nil)
	}
}

// IsCut reports whether a context ended because the request was cut.
func IsCut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrCut) }

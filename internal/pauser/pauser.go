// Package pauser sleeps until a timer fires or a context ends.
package pauser

import (
	"context"
	"time"
)

// Pause sleeps for d, or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

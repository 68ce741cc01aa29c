package dialer

import (
	"testing"

	"github.com/bramleyhinge/bramleyhinge/internal/peeker"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestEndBesideRequest guards against an end beside an unfinished request that counts as one in order although a reset may
// follow, and against a wait for a reset that cannot come.
func TestEndBesideRequest(t *testing.T) {
	type endCase struct {
		Name string
		// Ended is set if all of the request was written.
		Ended                                       bool
		Confirmed, Inflight, Unsent, Window, Before int
		Orderly                                     bool
	}
	for _, c := range tester.Load[endCase](t, "ends.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			first := peeker.Transfer{Acked: 100, InFlight: c.Inflight + c.Confirmed, Unsent: c.Unsent, Window: c.Before}
			now := peeker.Transfer{Acked: first.Acked + uint64(c.Confirmed), InFlight: c.Inflight, Unsent: c.Unsent, Window: c.Window}
			if got := isClosedInOrder(first, now, c.Before, c.Ended); got != c.Orderly {
				t.Errorf("closed in order: %t, want %t", got, c.Orderly)
			}
		})
	}
}

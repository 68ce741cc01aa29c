package limiter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestEntriesTellOfLeavingServers checks that an entry which is told that a server leaves tells the others once, that
// these do not tell it on, that it counts until the server's next start, and that malformed news change nothing.
func TestEntriesTellOfLeavingServers(t *testing.T) {
	var entries []*LeavingServers
	for range 3 {
		entries = append(entries, NewLeavingServers(LeavingServersConfig{Meter: meter.New(), Log: zerolog.Nop()}))
	}
	now := time.Unix(1000, 0)
	first, next := model.ServerLifetime{Backend: "b", StartUnixMilli: 1}, model.ServerLifetime{Backend: "b", StartUnixMilli: 2}
	sent := 0
	exchange := func() {
		for i, e := range entries {
			for _, b := range e.Broadcasts(now) {
				sent++
				for j, other := range entries {
					if i != j {
						other.OnBroadcast(b, now)
					}
				}
			}
		}
	}
	for range 5 {
		entries[0].Observe(first, now)
		exchange()
	}
	entries[1].Observe(first, now)
	entries[2].OnBroadcast([]byte(`{"backend":`), now)
	exchange()
	if diff := cmp.Diff(1, sent); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
	now = now.Add(leavingTTL / 2)
	for i, e := range entries {
		if !e.IsLeaving(first) || e.IsLeaving(next) {
			t.Errorf("entry %d: the start that left leaves: %v, the next start: %v", i, e.IsLeaving(first), e.IsLeaving(next))
		}
	}
}

package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

func restingServers(self int) *RestingServers {
	return NewRestingServers(RestingServersConfig{Self: model.InstanceID(fmt.Sprint("e", self)), Meter: meter.New(), Log: zerolog.Nop()})
}

// TestWaitingRequestsReturnTogetherAfterRest replays the end of rests, at which many requests wait for a server.
func TestWaitingRequestsReturnTogetherAfterRest(t *testing.T) {
	type step struct {
		At time.Duration
		// Rest is the rest that an answer asks for, Answered an answer that asks for none.
		Rest     time.Duration
		Answered bool
		// Waiting is the number of requests that ask at that time, Sent how many of them are sent.
		Waiting, Sent int
	}
	for _, c := range tester.Load[struct {
		Name  string
		Steps []step
	}](t, "rests.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			l, s, begin := restingServers(0), model.ServerLifetime{Backend: "b", StartUnixMilli: 1}, time.Unix(1000, 0)
			for i, step := range c.Steps {
				now := begin.Add(step.At)
				if step.Rest > 0 || step.Answered {
					l.Observe(s, step.Rest, now)
				}
				sent := 0
				for range step.Waiting {
					if l.Take(s, now) {
						sent++
					}
				}
				if diff := cmp.Diff(step.Sent, sent); diff != "" {
					t.Errorf("requests sent at step %d (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

// TestEntriesReturnInStepAfterRest checks that entries which were turned away at the same moment do not return at the
// same moment, that none returns early, and that none stays away for much longer than asked.
func TestEntriesReturnInStepAfterRest(t *testing.T) {
	const entries, asked = 100, 3 * time.Second
	// A twentieth of the spread may bring a fifth of the entries.
	const window, most = 15 * time.Millisecond, entries / 5
	s, now := model.ServerLifetime{Backend: "b"}, time.Unix(1000, 0)
	waits := make([]time.Duration, entries)
	for i := range waits {
		l := restingServers(i)
		l.Observe(s, asked, now)
		if waits[i] = l.Wait(s, now); waits[i] < asked || waits[i] > asked*5/4 {
			t.Errorf("entry %d waits %v for a rest of %v", i, waits[i], asked)
		}
	}
	for _, from := range waits {
		n := 0
		for _, w := range waits {
			if w >= from && w < from+window {
				n++
			}
		}
		if n > most {
			t.Fatalf("%d of %d entries return within %v", n, entries, window)
		}
	}
}

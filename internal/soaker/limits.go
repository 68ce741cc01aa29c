package soaker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// namedLimit is the time in which a backend server named a limit of requests a second.
type namedLimit struct {
	Server   string
	Limit    float64
	From, To time.Time
}

// nameLimit has a backend server name a limit of one to three requests a second.
func (s *soak) nameLimit(ctx context.Context, inj Injection, srv *serverSlot) {
	l := namedLimit{Server: srv.id(), Limit: float64(1 + inj.Pick%3), From: time.Now()}
	remove := srv.addFaults(standin.ServerFaults{Limit: l.Limit})
	sleep(ctx, inj.Length)
	l.To = time.Now()
	remove()
	s.updateHistory(func(h *history) { h.Limits = append(h.Limits, l) })
}

const (
	// limitWindow is the span in which requests are counted, limitRatio and limitSlack what they may exceed the
	// limit by.
	limitWindow              = 4 * time.Second
	excessRatio, excessSlack = 1.5, 5
	// toldDelay is how long after passing on a limit an entry must keep it.
	toldDelay = 500 * time.Millisecond
)

// checkLimits checks that a backend server which names a limit gets no more requests than that from the entries
// that passed the limit on, from settleTime after it first named the limit.
func checkLimits(h history) []violation {
	requests := map[string]record{}
	for _, r := range h.Records {
		requests[r.ID] = r
	}
	var out []violation
	for _, l := range h.Limits {
		told := map[string]time.Time{}
		for _, r := range h.Records {
			at, ok := told[r.Entry]
			if r.Limit != "" && r.Seal == standin.Seal(r.ID, l.Server) && (!ok || r.HeadAt.Before(at)) {
				told[r.Entry] = r.HeadAt
			}
		}
		var counted []time.Time
		for _, a := range h.Arrivals {
			entry := requests[a.ID].Entry
			at, ok := told[entry]
			if a.Server == l.Server && ok && a.At.After(at.Add(toldDelay)) && a.At.After(l.From.Add(settleTime)) && a.At.Before(l.To) && !h.isExcused(entry, a.At) {
				counted = append(counted, a.At)
			}
		}
		allowed := excessRatio*l.Limit*limitWindow.Seconds() + excessSlack
		for _, from := range counted {
			if n := countBetween(counted, from, from.Add(limitWindow)); float64(n) > allowed {
				out = append(out, violation{"limits", l.Server, fmt.Sprintf("the server named a limit of %v a second and got %d requests in %v from entries that it had told; %v are allowed",
					l.Limit, n, limitWindow, allowed)})
				break
			}
		}
	}
	return out
}

// isExcused reports whether an entry was restarted or frozen from settleTime before a time on.
func (h history) isExcused(entry string, at time.Time) bool {
	return h.isExcusedSince(entry, at.Add(-settleTime), at)
}

// isExcusedSince reports whether an entry was restarted or frozen between two times.
func (h history) isExcusedSince(entry string, from, to time.Time) bool {
	return slices.ContainsFunc(h.Spans, func(s faultSpan) bool {
		excuses := s.Kind == entryKill || s.Kind == entryStop || s.Kind == entryStopTwice || s.Kind == entryPause
		return excuses && s.Target == entry && s.From.Before(to) && s.To.After(from)
	})
}

package soaker

import (
	"fmt"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// entryStopped is when an entry got its first SIGTERM.
type entryStopped struct {
	Entry string
	At    time.Time
}

const (
	// lossSlack is how long after its last byte a request that was not passed on may end without a response: it may have
	// crossed the close of its connection.
	lossSlack = 200 * time.Millisecond
	// lastSixth is the time from a SIGTERM to the last sixth of the grace period. A request that was sent at most
	// latestSend after the SIGTERM and at which a backend server is still at work then may be cut off.
	lastSixth  = standin.GraceS * time.Second * 5 / 6
	latestSend = 3 * time.Second
)

// checkPlannedStops checks that an undisturbed entry answers each request that a backend server received, and each other
// one that it had read, unless it may have crossed the close of its connection. Planned work, faults of the store and
// the silence of a backend server excuse nothing.
func (t tracedRequest) checkPlannedStops(h history) error {
	late := t.Ended.Sub(t.Sent) - t.Paused
	switch {
	case t.GaveUp, t.Complete, t.Sent.IsZero(), !t.wasRead(h):
		return nil
	case len(t.arrivals) == 0 && late <= lossSlack:
		return nil
	case t.isDisturbed(h), t.brokeOff(h), t.outlastedStop(h):
		return nil
	case len(t.arrivals) == 0:
		return fmt.Errorf("the connection to an undisturbed entry, which had read the request, ended without a complete response after %v: %s", late.Round(time.Millisecond), t.Err)
	}
	return fmt.Errorf("the connection to an undisturbed entry ended without a complete response: %s", t.Err)
}

// wasRead reports whether the entry had read the request: it passed it on, began a response, logged it or ended the
// connection without a reset, which happens only if no data is left unread.
func (t tracedRequest) wasRead(h history) bool {
	return len(t.arrivals) > 0 || t.Status != 0 || t.Closed || h.Logged[t.ID]
}

// isDisturbed reports whether a fault disturbed the entry or its callers' links from settleTime before the request to its
// end.
func (t tracedRequest) isDisturbed(h history) bool {
	return slices.ContainsFunc(h.Spans, func(s faultSpan) bool {
		unplanned := s.Kind == entryKill || s.Kind == entryPause || s.Kind == callerDelay || s.Kind == callerReset
		return unplanned && s.Target == t.Entry && s.From.Before(t.Ended) && s.To.After(t.Begun.Add(-settleTime))
	})
}

// breakingFaults are the faults of backend servers and of their links that may break a response off.
var breakingFaults = []fault{serverCrash, serverLose, serverSilent, serverOneWay, serverReset, serverMute}

// brokeOff reports whether a backend server may have broken its response off: such a fault affected one that had received
// the request, before the request ended.
func (t tracedRequest) brokeOff(h history) bool {
	return slices.ContainsFunc(t.arrivals, func(a standin.Arrival) bool {
		return slices.ContainsFunc(h.Spans, func(s faultSpan) bool {
			return slices.Contains(breakingFaults, s.Kind) && s.Target == a.Server && s.From.Before(t.Ended) && s.To.After(t.Begun)
		}) || slices.ContainsFunc(h.PromptCrashes, func(c promptCrashed) bool {
			return c.Server == a.Server && c.At.Before(t.Ended) && c.At.After(t.Begun)
		})
	})
}

// outlastedStop reports whether a backend server was still at work on the request in the last sixth of the grace period of
// the entry's stop.
func (t tracedRequest) outlastedStop(h history) bool {
	return slices.ContainsFunc(h.Stops, func(s entryStopped) bool {
		from := s.At.Add(lastSixth)
		if s.Entry != t.Entry || t.Begun.After(s.At.Add(latestSend)) || t.Ended.Before(from) || t.Ended.After(s.At.Add(standin.GraceS*time.Second+settleTime)) {
			return false
		}
		return slices.ContainsFunc(t.arrivals, func(a standin.Arrival) bool {
			return a.Ran && (a.At.Add(a.Duration()).After(from) || h.hung(a.Server, a.At))
		})
	})
}

// hung reports whether a backend server held the requests that arrived at a time.
func (h history) hung(server string, arrived time.Time) bool {
	return slices.ContainsFunc(h.Spans, func(s faultSpan) bool {
		return s.Kind == serverHang && s.Target == server && s.From.Before(arrived) && s.To.After(arrived)
	})
}

package admitter

import "time"

// stoppingSafety is how much longer than expected a request may take and still end before its entry does:
// the length of an answer is a rough estimate.
const stoppingSafety = 2

// UsableTime returns the part of the time until an entry's end that may be planned for requests.
func UsableTime(remaining time.Duration) time.Duration { return remaining / stoppingSafety }

// StopInput describes a request that is not sent yet, at an entry that stops.
type StopInput struct {
	// Remaining is the time until the entry cuts what still runs.
	Remaining time.Duration
	// Expected is the time to the end of the request's answer, and Limit the time until its time limit, which ends it in
	// any case.
	Expected, Limit time.Duration
	// Stream means that the answer is forwarded as it comes, so that it can no longer be refused once it has begun.
	Stream bool
	// Once means that the request must not run twice, so that a refusal after it was sent does not let its caller return.
	Once bool
	// Elsewhere means that a caller who returns reaches another entry, since the load balancer has left this one out.
	Elsewhere bool
}

// FinishesBeforeStop reports whether an entry that stops is to take a request. It is made for rolling restarts under
// load: answers may take as long as the grace period, and another entry can serve a request that was refused before it
// ran. As long as callers may come back to the same entry, the estimate decides; afterwards no stream is taken that
// could be cut, and no request that must run once, since the length that its caller expects, the pace of its engine and
// the time that a plain service takes are often far off.
func FinishesBeforeStop(in StopInput) bool {
	switch {
	case in.Remaining < 0:
		return false
	case in.Limit <= in.Remaining:
		return true
	case (in.Stream || in.Once) && in.Elsewhere:
		return false
	}
	return in.Expected <= UsableTime(in.Remaining)
}

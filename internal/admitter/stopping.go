package admitter

import "time"

// stoppingSafety is how much longer than expected a request may take and still end before its entry does:
// the length of an answer is a rough estimate.
const stoppingSafety = 2

// UsableTime returns the part of the time until an entry's end that may be planned for requests.
func UsableTime(remaining time.Duration) time.Duration { return remaining / stoppingSafety }

// FinishesBeforeStop reports whether an entry that stops can be expected to finish a request that is not
// sent yet. Remaining is the time until the entry cuts what still runs, expected the time to the end of the
// request's answer. It is made for rolling restarts under load: answers may take as long as the grace
// period, and another entry can serve a request that was refused before it ran.
func FinishesBeforeStop(remaining, expected time.Duration) bool {
	return expected <= UsableTime(remaining)
}

package admitter

import "time"

const (
	// refusalRamp is by which part of the remaining time the expected end may be late before every request is refused.
	// Between none and this part, as many are refused as the end is late, so that entries which see the same reports do
	// not all change their mind at once.
	refusalRamp = 0.125
	// maxReportAge is the age up to which a report of a server's load is used, as long as its queue is not worked off.
	maxReportAge = 2 * time.Second
	// maxHoldAge is the age up to which the measured time that requests keep a place is used. Bursts of some seconds
	// change which kinds of request there are.
	maxHoldAge = 10 * time.Second
)

// AdmissionInput describes a request of which nothing was sent yet, and what is known of the server that was chosen for it.
type AdmissionInput struct {
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Rank is the request's rank, 0 the highest, if the server admits higher ranks first (ByRank).
	Rank   int
	ByRank bool
	// Prompt is the expected time that the server takes for the prompt and for those before it, Answer the least expected
	// time from then to the end of the answer.
	Prompt, Answer time.Duration
	// Full means that no eligible server has a free place.
	Full bool
	// Busy is the number of requests that run or wait at the chosen server, Slots the number of its places.
	Busy, Slots int
	// Reported means that the server told its load, ReportAge how long ago.
	Reported  bool
	ReportAge time.Duration
	// Hold is how long requests keep a place there, 0 if it is unknown, HoldAge the age of the last sample.
	Hold, HoldAge time.Duration
}

// Admission is a decision about a request, with the expected time until the server begins with it.
type Admission struct {
	Refuse bool
	Wait   time.Duration
}

// Admit decides whether a request is sent or refused at once. It is made for bursts, for clients that retry
// immediately and for servers that leave at peak load: requests then waited in full queues until their deadline, which
// ended with neither an answer nor a refusal, and took places of those that could still be answered.
//
// A request is refused if the queue before it and its own answer would take longer than it has. Every request is served
// while a place is free or nothing waits, and if the server's load or the time that requests keep a place is not known
// or too old: a report tells nothing any more once the queue that it told of was worked off. The draw is a random number in [0, 1).
func Admit(in AdmissionInput, draw float64) Admission {
	waiting := in.Busy - in.Slots
	if !in.Full || in.Slots <= 0 || waiting <= 0 || !in.Reported || in.Hold <= 0 || in.HoldAge > maxHoldAge {
		return Admission{}
	}
	queue := queueTime(in.Hold, in.Slots, aheadOf(in, waiting)+1)
	out := Admission{Wait: queue + in.Prompt}
	if in.ReportAge > min(maxReportAge, queue) {
		return out
	}
	end := out.Wait + in.Answer
	out.Refuse = float64(end) > float64(in.Remaining)*(1+refusalRamp*draw)
	return out
}

// aheadOf returns how many of the waiting requests the server admits first. Servers tell no ranks, so that all ranks are
// taken to be equally frequent.
func aheadOf(in AdmissionInput, waiting int) float64 {
	if !in.ByRank {
		return float64(waiting)
	}
	rank := min(max(in.Rank, 0), rankCount-1)
	return float64(waiting) * float64(rank+1) / rankCount
}

// queueTime returns how long a server with some slots takes for n requests that keep a slot for hold.
func queueTime(hold time.Duration, slots int, n float64) time.Duration {
	return time.Duration(float64(hold) * n / float64(slots))
}

// HoldSample returns how long a request kept a place that took some time from being sent to its answer, when busy
// requests ran or waited at a server with some slots.
func HoldSample(took time.Duration, busy, slots int) time.Duration {
	waiting := max(busy-slots, 0)
	return time.Duration(float64(took) / (1 + float64(waiting)/float64(max(slots, 1))))
}

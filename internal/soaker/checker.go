package soaker

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// violation is one violated invariant.
type violation struct {
	Invariant string
	Request   string
	Detail    string
}

// faultSpan is the time during which a fault was in effect.
type faultSpan struct {
	Kind fault
	// Target names the affected entry or backend server; it is empty if the fault affects all.
	Target   string
	From, To time.Time
}

// drainStart is when a backend server announced that it drains.
type drainStart struct {
	Server string
	At     time.Time
}

// history holds what callers and backend servers saw, and the faults that were injected.
type history struct {
	Records  []record
	Arrivals []standin.Arrival
	Spans    []faultSpan
	Drains   []drainStart
	Stops    []entryStopped
	// Logged holds the requests without a whole response that their entries' logs name.
	Logged map[string]bool
	// PromptCrashes holds the crashes that parts of prompts caused, in order.
	PromptCrashes []promptCrashed
	// Limits holds the limits that backend servers named.
	Limits []namedLimit
	// Domains is set if an organisation may not be served in all regions. ServerZones holds the failure domains of the
	// backend servers by their index.
	Domains     bool
	ServerZones []string
	Evacuations []evacuationSpan
	Cold        []coldSpan
	// KeyOwners maps each key that was ever in a plan to its organisation; RevokedAt holds the time at which
	// a key was revoked.
	KeyOwners map[string]string
	RevokedAt map[string]time.Time
	// FaultsEnded is when the last fault ended.
	FaultsEnded time.Time
}

// tracedRequest is one request with its arrivals at backend servers.
type tracedRequest struct {
	record
	route    standin.Route
	arrivals []standin.Arrival
}

func (t tracedRequest) executions() []standin.Arrival {
	var out []standin.Arrival
	for _, a := range t.arrivals {
		if a.Ran {
			out = append(out, a)
		}
	}
	return out
}

// checkHistory returns all violations, sorted by invariant and request.
func checkHistory(h history) []violation {
	var out []violation
	arrivals := map[string][]standin.Arrival{}
	for _, a := range h.Arrivals {
		arrivals[a.ID] = append(arrivals[a.ID], a)
	}
	for _, r := range h.Records {
		t := tracedRequest{record: r, route: routeByName(r.Route), arrivals: arrivals[r.ID]}
		delete(arrivals, r.ID)
		for invariant, err := range map[string]error{
			"whole answers": t.checkAnswer(), "asked for": t.checkArrivals(h), "at most once": t.checkAtMostOnce(),
			"true refusals": t.checkRefusal(), "keys": t.checkKey(h), "answered in time": t.checkAnswerTime(h), "planned stops": t.checkPlannedStops(h),
			"leaving servers": t.checkDraining(h), "attempts": t.checkAttempts(h),
			"domains": t.checkEvacuations(h),
		} {
			if err != nil {
				out = append(out, violation{Invariant: invariant, Request: r.ID, Detail: err.Error()})
			}
		}
	}
	for id, strays := range arrivals {
		out = append(out, violation{"asked for", id, fmt.Sprintf("no caller sent the request that reached %s", strays[0].Server)})
	}
	out = append(out, checkRepeats(h)...)
	out = append(out, checkRecovery(h)...)
	out = append(out, checkPromptCrashes(h)...)
	out = append(out, checkLimits(h)...)
	out = append(out, checkLeaving(h)...)
	out = append(out, checkRests(h)...)
	out = append(out, checkCold(h)...)
	slices.SortFunc(out, func(a, b violation) int { return strings.Compare(a.Invariant+a.Request, b.Invariant+b.Request) })
	return out
}

func routeByName(name string) standin.Route {
	for _, r := range routes {
		if r.Name == name {
			return r
		}
	}
	return standin.Route{}
}

func (t tracedRequest) isSuccess() bool { return t.Status >= 200 && t.Status < 300 }

// checkAnswer checks that a successful response is complete and comes from a backend server that ran the
// request, and that no part of the response belongs to another request.
func (t tracedRequest) checkAnswer() error {
	switch {
	case t.Invalid != "":
		return errors.New(t.Invalid)
	case t.OtherID != "":
		return fmt.Errorf("the response belongs to request %q", t.OtherID)
	case t.EventError != "":
		return fmt.Errorf("%s", t.EventError)
	case !t.isSuccess() || !t.Complete:
		return nil
	}
	if !slices.ContainsFunc(t.executions(), func(a standin.Arrival) bool { return standin.Seal(t.ID, a.Server) == t.Seal }) {
		return fmt.Errorf("seal %q matches no backend server that ran the request", t.Seal)
	}
	if len(t.route.Models) > 0 {
		if want := standin.Events(t.ID); t.Events != want && t.LastEvent < want {
			return fmt.Errorf("the stream ended without an error after event %d of %d", t.Events, want)
		}
		return nil
	}
	if t.Answer != shorten(standin.Answer(t.ID)) {
		return fmt.Errorf("the response body is %q", t.Answer)
	}
	return nil
}

// checkArrivals checks that backend servers receive the request as the caller sent it, without the caller's
// key.
func (t tracedRequest) checkArrivals(h history) error {
	for _, a := range t.arrivals {
		switch {
		case a.Path != t.Path || a.Method != http.MethodPost || a.Body != xxhash.Sum64(t.Body):
			return fmt.Errorf("%s received %s %s with a different path or body", a.Server, a.Method, a.Path)
		case a.HasAuthorization:
			return fmt.Errorf("%s received the caller's key", a.Server)
		case a.Organisation != h.KeyOwners[t.Key]:
			return fmt.Errorf("%s received organisation %q, but the key belongs to %q", a.Server, a.Organisation, h.KeyOwners[t.Key])
		case a.Ran && a.Service != t.route.Service:
			return fmt.Errorf("%s of service %s ran the request", a.Server, a.Service)
		case a.TimeLimit <= 0 || a.TimeLimit > t.TimeLimit+limitSlack:
			return fmt.Errorf("%s received a time limit of %v, but the caller allows %v", a.Server, a.TimeLimit, t.TimeLimit)
		}
	}
	return nil
}

// limitSlack is how far a backend server's time limit may exceed the caller's, and how long after the time
// limit a response may end.
const limitSlack = 500 * time.Millisecond

// checkAtMostOnce checks that a non-idempotent request ran at most once.
func (t tracedRequest) checkAtMostOnce() error {
	if executions := t.executions(); t.route.Kind == "non_idempotent" && len(executions) > 1 {
		return fmt.Errorf("the request ran at %s and %s", executions[0].Server, executions[1].Server)
	}
	return nil
}

// checkRefusal checks that a non-idempotent request did not run if its status promises that nothing ran.
func (t tracedRequest) checkRefusal() error {
	switch t.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
	default:
		return nil
	}
	if executions := t.executions(); t.route.Kind == "non_idempotent" && len(executions) > 0 {
		return fmt.Errorf("status %d, but the request ran at %s", t.Status, executions[0].Server)
	}
	return nil
}

// checkKey checks that no request runs with an unknown or revoked key and that no valid key is rejected.
func (t tracedRequest) checkKey(h history) error {
	executions := t.executions()
	_, known := h.KeyOwners[t.Key]
	revokedAt, revoked := h.RevokedAt[t.Key]
	switch {
	case len(executions) > 0 && !known:
		return fmt.Errorf("the request ran at %s with an unknown key", executions[0].Server)
	case len(executions) > 0 && revoked && t.Begun.After(revokedAt.Add(standin.RevokeMs*time.Millisecond)):
		return fmt.Errorf("the request ran at %s with a key revoked %v earlier", executions[0].Server, t.Begun.Sub(revokedAt))
	case known && !revoked && t.Status >= 400 && t.Status < 500 && t.Status != http.StatusTooManyRequests && t.Status != http.StatusRequestTimeout:
		return fmt.Errorf("status %d for a valid request with a valid key", t.Status)
	}
	return nil
}

// hitByFault reports whether a fault for which counts returns true affected the request's entry, the entry's
// links or a backend server that received the request, at any time from margin before the request was sent
// until it ended. If no backend server received the request, the faults of all of them count.
func (t tracedRequest) hitByFault(h history, margin time.Duration, counts func(fault) bool) bool {
	return slices.ContainsFunc(h.Spans, func(s faultSpan) bool {
		affected := s.Target == "" || s.Target == t.Entry || strings.HasPrefix(string(s.Kind), "server") &&
			(len(t.arrivals) == 0 || slices.ContainsFunc(t.arrivals, func(a standin.Arrival) bool { return a.Server == s.Target }))
		return affected && counts(s.Kind) && s.From.Before(t.Ended) && s.To.After(t.Sent.Add(-margin))
	})
}

// isHarmless reports whether a fault excuses nothing: entries must follow the plan and pass over odd entries.
func isHarmless(k fault) bool {
	return k == planChange || k == keyRevoke || k == oddEntry
}

// settleTime is how long an entry may take after a fault until its invariants hold again.
const settleTime = 4 * time.Second

// checkAnswerTime checks that an undisturbed entry ends its response at most limitSlack after the time
// limit.
func (t tracedRequest) checkAnswerTime(h history) error {
	limit := min(t.TimeLimit, t.route.Timeout)
	if t.GaveUp || t.Sent.IsZero() || t.Ended.Sub(t.Sent)-t.Paused <= limit+limitSlack || t.hitByFault(h, settleTime, func(k fault) bool { return !isHarmless(k) }) {
		return nil
	}
	return fmt.Errorf("the response had not ended %v after the request was sent; the limit is %v", (t.Ended.Sub(t.Sent) - t.Paused).Round(time.Millisecond), limit)
}

// checkDraining checks that an undisturbed entry sends no request to a backend server that announced its
// drain longer than the drain time ago.
func (t tracedRequest) checkDraining(h history) error {
	for _, a := range t.executions() {
		for _, d := range h.Drains {
			delay := a.At.Sub(d.At)
			if d.Server != a.Server || delay <= standin.DrainMs*time.Millisecond {
				continue
			}
			undisturbed := !slices.ContainsFunc(h.Spans, func(s faultSpan) bool {
				return (s.Target == "" || s.Target == t.Entry) && !isHarmless(s.Kind) && s.From.Before(a.At) && s.To.After(d.At.Add(-settleTime))
			})
			if undisturbed {
				return fmt.Errorf("the request reached %s %v after the server announced its drain", a.Server, delay.Round(time.Millisecond))
			}
		}
	}
	return nil
}

// checkAttempts checks that a request runs at no more backend servers than its route allows. Servers that ended
// meanwhile do not count.
func (t tracedRequest) checkAttempts(h history) error {
	var servers []string
	for _, a := range t.executions() {
		if !slices.Contains(servers, a.Server) && !t.endedMeanwhile(h, a.Server) {
			servers = append(servers, a.Server)
		}
	}
	if len(servers) > t.route.Attempts {
		return fmt.Errorf("the request ran at %s, which did not end meanwhile; %d backend servers are allowed", strings.Join(servers, ", "), t.route.Attempts)
	}
	return nil
}

// checkRepeats checks that in any window the repeated arrivals of requests at a service stay within their
// allowed share of its requests.
func checkRepeats(h history) []violation {
	const window = standin.RetryWindowS * time.Second
	type serviceTimes struct{ firsts, repeats []time.Time }
	services := map[string]*serviceTimes{}
	arrived := map[string]bool{}
	for _, r := range h.Records {
		service := routeByName(r.Route).Service
		if services[service] == nil {
			services[service] = &serviceTimes{}
		}
		services[service].firsts = append(services[service].firsts, r.Sent)
	}
	arrivals := slices.SortedFunc(slices.Values(h.Arrivals), func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	for _, a := range arrivals {
		if s := services[a.Service]; s != nil && arrived[a.ID] {
			s.repeats = append(s.repeats, a.At)
		}
		arrived[a.ID] = true
	}
	var out []violation
	for name, s := range services {
		for _, from := range s.repeats {
			to := from.Add(window)
			repeats := countBetween(s.repeats, from, to)
			if allowed := standin.RetryRatio*float64(countBetween(s.firsts, from.Add(-window/2), to)) + standin.RetrySlack; float64(repeats) > allowed {
				out = append(out, violation{"repeats", "", fmt.Sprintf("service %s received %d repeats in %v, %.0f are allowed", name, repeats, window, allowed)})
				break
			}
		}
	}
	return out
}

func countBetween(ts []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range ts {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

const (
	// recoveryTime is how long after the last fault callers must be served again, minServedShare the share
	// of requests that must succeed.
	recoveryTime   = 3 * time.Second
	minServedShare = 0.9
	// minRecoveryRequests is the number of requests below which the share is not checked.
	minRecoveryRequests = 20
)

// checkRecovery checks that callers are served once all faults have ended.
func checkRecovery(h history) []violation {
	total, served := 0, 0
	for _, r := range h.Records {
		_, known := h.KeyOwners[r.Key]
		_, revoked := h.RevokedAt[r.Key]
		if r.GaveUp || !known || revoked || r.Sent.Before(h.FaultsEnded.Add(recoveryTime)) {
			continue
		}
		total++
		if r.Complete && r.Status == http.StatusOK {
			served++
		}
	}
	if total >= minRecoveryRequests && float64(served) < minServedShare*float64(total) {
		return []violation{{"recovery", "", fmt.Sprintf("%d of %d requests were served after the last fault", served, total)}}
	}
	return nil
}

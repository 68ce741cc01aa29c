package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// violation is a promise that was broken.
type violation struct {
	Promise string
	Request string
	Text    string
}

// span is a time in which something was disturbed.
type span struct {
	Kind fault
	// Target names the entry or backend server that was hit; empty for all.
	Target   string
	From, To time.Time
}

// leaving tells when a backend server was said to leave.
type leaving struct {
	Server string
	At     time.Time
}

// history is everything that callers and backend servers saw, and what was done.
type history struct {
	Records  []record
	Arrivals []standin.Arrival
	Spans    []span
	Leaving  []leaving
	// Owners maps each key that was ever in a plan to its organisation, Revoked tells when a key went.
	Owners  map[string]string
	Revoked map[string]time.Time
	// Calm is when the last disturbance was over.
	Calm time.Time
}

// trip is one request with its arrivals at backend servers.
type trip struct {
	record
	route    standin.Route
	arrivals []standin.Arrival
}

func (t trip) ran() []standin.Arrival {
	var out []standin.Arrival
	for _, a := range t.arrivals {
		if a.Ran {
			out = append(out, a)
		}
	}
	return out
}

// check returns the promises that were broken.
func check(h history) []violation {
	var out []violation
	arrivals := map[string][]standin.Arrival{}
	for _, a := range h.Arrivals {
		arrivals[a.ID] = append(arrivals[a.ID], a)
	}
	for _, r := range h.Records {
		t := trip{record: r, route: routeOf(r.Route), arrivals: arrivals[r.ID]}
		delete(arrivals, r.ID)
		for promise, err := range map[string]error{
			"whole answers": t.checkAnswer(), "asked for": t.checkArrivals(h), "at most once": t.checkOnce(),
			"true refusals": t.checkRefusal(), "keys": t.checkKey(h), "answered in time": t.checkTime(h), "planned stops": t.checkStop(h),
			"leaving servers": t.checkLeaving(h), "attempts": t.checkAttempts(),
		} {
			if err != nil {
				out = append(out, violation{Promise: promise, Request: r.ID, Text: err.Error()})
			}
		}
	}
	for id, as := range arrivals {
		out = append(out, violation{"asked for", id, fmt.Sprintf("nobody sent the request that reached %s", as[0].Server)})
	}
	out = append(out, checkRepeats(h)...)
	out = append(out, checkRecovery(h)...)
	slices.SortFunc(out, func(a, b violation) int { return strings.Compare(a.Promise+a.Request, b.Promise+b.Request) })
	return out
}

func routeOf(name string) standin.Route {
	for _, r := range routes {
		if r.Name == name {
			return r
		}
	}
	return standin.Route{}
}

func (t trip) success() bool { return t.Status >= 200 && t.Status < 300 }

// checkAnswer checks that a success is the whole answer of a backend server that ran the request, and
// that nothing belongs to another one.
func (t trip) checkAnswer() error {
	switch {
	case t.Other != "":
		return fmt.Errorf("the answer is that of request %q", t.Other)
	case t.Fault != "":
		return fmt.Errorf("%s", t.Fault)
	case !t.success() || !t.Whole:
		return nil
	}
	if !slices.ContainsFunc(t.ran(), func(a standin.Arrival) bool { return standin.Seal(t.ID, a.Server) == t.Seal }) {
		return fmt.Errorf("seal %q is of no backend server that ran the request", t.Seal)
	}
	if len(t.route.Models) > 0 {
		if want := standin.Events(t.ID); t.Events != want && t.Before < want {
			return fmt.Errorf("the stream ended as whole after event %d of %d", t.Events, want)
		}
		return nil
	}
	if t.Answer != standin.Answer(t.ID) {
		return fmt.Errorf("the answer is %q", t.Answer)
	}
	return nil
}

// checkArrivals checks that backend servers saw the request as it was sent, without the key.
func (t trip) checkArrivals(h history) error {
	for _, a := range t.arrivals {
		switch {
		case a.Path != t.Path || a.Method != http.MethodPost || a.Body != xxhash.Sum64(t.Body):
			return fmt.Errorf("%s saw %s %s with another path or body", a.Server, a.Method, a.Path)
		case a.Secret:
			return fmt.Errorf("%s saw the caller's key", a.Server)
		case a.Holder != h.Owners[t.Key]:
			return fmt.Errorf("%s was told organisation %q, the key is of %q", a.Server, a.Holder, h.Owners[t.Key])
		case a.Ran && a.Service != t.route.Service:
			return fmt.Errorf("%s of service %s ran it", a.Server, a.Service)
		case a.Limit <= 0 || a.Limit > t.Limit+limitSlack:
			return fmt.Errorf("%s was given %v of the %v that the caller allows", a.Server, a.Limit, t.Limit)
		}
	}
	return nil
}

// limitSlack is how much longer than the caller's time a backend server may be given.
const limitSlack = 500 * time.Millisecond

// checkOnce checks that a request that may not be repeated ran once at most.
func (t trip) checkOnce() error {
	if ran := t.ran(); t.route.Kind == "non_idempotent" && len(ran) > 1 {
		return fmt.Errorf("it ran at %s and %s", ran[0].Server, ran[1].Server)
	}
	return nil
}

// checkRefusal checks that a status which promises that nothing ran is true.
func (t trip) checkRefusal() error {
	switch t.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
	default:
		return nil
	}
	if ran := t.ran(); t.route.Kind == "non_idempotent" && len(ran) > 0 {
		return fmt.Errorf("status %d, and it ran at %s", t.Status, ran[0].Server)
	}
	return nil
}

// checkKey checks that nothing runs with a key that never was or is gone, and that good keys are not
// denied.
func (t trip) checkKey(h history) error {
	ran := t.ran()
	_, known := h.Owners[t.Key]
	gone, revoked := h.Revoked[t.Key]
	switch {
	case len(ran) > 0 && !known:
		return fmt.Errorf("it ran at %s with a key that never was", ran[0].Server)
	case len(ran) > 0 && revoked && t.Sent.After(gone.Add(standin.RevokeMs*time.Millisecond)):
		return fmt.Errorf("it ran at %s with a key that was gone for %v", ran[0].Server, t.Sent.Sub(gone))
	case known && !revoked && t.Status >= 400 && t.Status < 500 && t.Status != http.StatusTooManyRequests && t.Status != http.StatusRequestTimeout:
		return fmt.Errorf("status %d for a proper request with a good key", t.Status)
	}
	return nil
}

// disturbed reports whether the trip's entry, its links or a backend server that saw it was disturbed
// from so long before it was sent until it ended, by a fault for which excused is true.
func (t trip) disturbed(h history, before time.Duration, excused func(fault) bool) bool {
	return slices.ContainsFunc(h.Spans, func(s span) bool {
		hit := s.Target == "" || s.Target == t.Entry || strings.HasPrefix(string(s.Kind), "server") &&
			(len(t.arrivals) == 0 || slices.ContainsFunc(t.arrivals, func(a standin.Arrival) bool { return a.Server == s.Target }))
		return hit && excused(s.Kind) && s.From.Before(t.Ended) && s.To.After(t.Sent.Add(-before))
	})
}

// planned reports whether a fault is planned work, which excuses nothing.
func planned(k fault) bool {
	return k == entryStop || k == entryReload || k == planChange || k == keyRevoke || k == serverDrain
}

// touch is the time without disturbance after which an entry must keep its bounds.
const touch = 4 * time.Second

// checkTime checks that a calm entry has given its final answer half a second after the time limit.
func (t trip) checkTime(h history) error {
	limit := min(t.Limit, t.route.Timeout)
	if t.Left || t.Sent.IsZero() || t.Ended.Sub(t.Sent) <= limit+limitSlack || t.disturbed(h, touch, func(k fault) bool { return k != planChange && k != keyRevoke }) {
		return nil
	}
	return fmt.Errorf("no final answer %v after it was sent; the limit is %v", t.Ended.Sub(t.Sent).Round(time.Millisecond), limit)
}

// checkStop checks that planned work cuts no request that was passed on.
func (t trip) checkStop(h history) error {
	if t.Left || t.Whole || t.Sent.IsZero() || len(t.ran()) == 0 ||
		t.disturbed(h, touch, func(k fault) bool { return !planned(k) && !strings.HasPrefix(string(k), "store") }) {
		return nil
	}
	return fmt.Errorf("the connection ended without a whole answer at a calm entry: %s", t.Err)
}

// checkLeaving checks that a backend server gets nothing long after it was said to leave.
func (t trip) checkLeaving(h history) error {
	for _, a := range t.ran() {
		for _, l := range h.Leaving {
			late := a.At.Sub(l.At)
			if l.Server != a.Server || late <= standin.DrainMs*time.Millisecond {
				continue
			}
			calm := !slices.ContainsFunc(h.Spans, func(s span) bool {
				return (s.Target == "" || s.Target == t.Entry) && s.Kind != planChange && s.Kind != keyRevoke && s.From.Before(a.At) && s.To.After(l.At.Add(-touch))
			})
			if calm {
				return fmt.Errorf("it reached %s %v after that was leaving", a.Server, late.Round(time.Millisecond))
			}
		}
	}
	return nil
}

// checkAttempts checks that no request runs at more backend servers than its route allows.
func (t trip) checkAttempts() error {
	at := map[string]bool{}
	for _, a := range t.ran() {
		at[a.Server] = true
	}
	if len(at) > t.route.Attempts {
		return fmt.Errorf("it ran at %d backend servers, %d are allowed", len(at), t.route.Attempts)
	}
	return nil
}

// checkRepeats checks that in any window repeats keep to their share of requests.
func checkRepeats(h history) []violation {
	const window = standin.RepeatWindowS * time.Second
	type times struct{ firsts, repeats []time.Time }
	services := map[string]*times{}
	seen := map[string]bool{}
	for _, r := range h.Records {
		service := routeOf(r.Route).Service
		if services[service] == nil {
			services[service] = &times{}
		}
		services[service].firsts = append(services[service].firsts, r.Sent)
	}
	arrivals := slices.SortedFunc(slices.Values(h.Arrivals), func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	for _, a := range arrivals {
		if s := services[a.Service]; s != nil && seen[a.ID] {
			s.repeats = append(s.repeats, a.At)
		}
		seen[a.ID] = true
	}
	var out []violation
	for name, s := range services {
		for _, from := range s.repeats {
			to := from.Add(window)
			repeats := between(s.repeats, from, to)
			if allowed := standin.RepeatRatio*float64(between(s.firsts, from.Add(-window/2), to)) + standin.RepeatSlack; float64(repeats) > allowed {
				out = append(out, violation{"repeats", "", fmt.Sprintf("service %s got %d repeats in %v, %.0f are allowed", name, repeats, window, allowed)})
				break
			}
		}
	}
	return out
}

func between(ts []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range ts {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

const (
	// recoverAfter is how long after the last disturbance callers must be served again, recoverShare
	// the part of them.
	recoverAfter = 3 * time.Second
	recoverShare = 0.9
	// recoverLeast is the number of requests from which on the share counts.
	recoverLeast = 20
)

// checkRecovery checks that callers are served once all disturbances are over.
func checkRecovery(h history) []violation {
	asked, served := 0, 0
	for _, r := range h.Records {
		_, known := h.Owners[r.Key]
		_, revoked := h.Revoked[r.Key]
		if r.Left || !known || revoked || r.Sent.Before(h.Calm.Add(recoverAfter)) {
			continue
		}
		asked++
		if r.Whole && r.Status == http.StatusOK {
			served++
		}
	}
	if asked >= recoverLeast && float64(served) < recoverShare*float64(asked) {
		return []violation{{"recovery", "", fmt.Sprintf("%d of %d requests were served after the last disturbance", served, asked)}}
	}
	return nil
}

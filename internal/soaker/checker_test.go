package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestCheck checks that a request is reported for exactly the invariants that it violates.
func TestCheck(t *testing.T) {
	type arrival struct {
		Server, ID, Service, Path, Organisation string
		Refused, HasAuthorization               bool
		TimeLimit                               time.Duration
	}
	type spanCase struct {
		Kind     fault
		Target   string
		From, To time.Duration
	}
	type stopCase struct {
		Entry string
		At    time.Duration
	}
	type invariantCase struct {
		Name, Route, Key, Sealer, OtherID, Answer, EventError string
		Status, Events                                        int
		Cut, GaveUp, Closed, Logged                           bool
		Took, Paused                                          time.Duration
		Stops                                                 []stopCase
		Arrivals                                              []arrival
		Spans                                                 []spanCase
		Want                                                  []string
	}
	for _, c := range tester.Load[invariantCase](t, "promises.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			route := routes[0]
			if c.Route != "" {
				route = routeByName(c.Route)
			}
			r := record{
				ID: "r1", Route: route.Name, Key: "good", Entry: "entry-0", Path: route.Prefix + "1", Body: []byte("body"), TimeLimit: plainTimeLimit,
				Sent: at(100 * time.Second), Status: c.Status, OtherID: c.OtherID, Answer: shorten(standin.Answer("r1")), Events: c.Events, EventError: c.EventError,
				Complete: !c.Cut, GaveUp: c.GaveUp, Closed: c.Closed, Paused: c.Paused,
			}
			r.Begun = r.Sent
			r.Ended = r.Sent.Add(max(c.Took, 10*time.Millisecond))
			if c.Key != "" {
				r.Key = c.Key
			}
			if c.Answer != "" {
				r.Answer = c.Answer
			}
			if c.Sealer != "" {
				r.Seal = standin.Seal(r.ID, c.Sealer)
			}
			h := history{
				Records: []record{r}, KeyOwners: map[string]string{"good": "mill", "old": "mill"},
				RevokedAt: map[string]time.Time{"old": at(90 * time.Second)}, Drains: []drainStart{{Server: "i-7", At: at(90 * time.Second)}},
				FaultsEnded: at(200 * time.Second), Logged: map[string]bool{r.ID: c.Logged},
			}
			for _, s := range c.Stops {
				h.Stops = append(h.Stops, entryStopped{Entry: s.Entry, At: at(s.At)})
			}
			for _, a := range c.Arrivals {
				in := standin.Arrival{
					ID: r.ID, Server: a.Server, Service: "desk", Method: http.MethodPost, Path: r.Path, Organisation: "mill", Body: xxhash.Sum64(r.Body),
					HasAuthorization: a.HasAuthorization, TimeLimit: time.Second, At: r.Sent, Ran: !a.Refused,
				}
				for _, change := range []struct {
					to   *string
					from string
				}{{&in.ID, a.ID}, {&in.Service, a.Service}, {&in.Path, a.Path}, {&in.Organisation, a.Organisation}} {
					if change.from != "" {
						*change.to = change.from
					}
				}
				if in.Organisation == "none" {
					in.Organisation = ""
				}
				if a.TimeLimit > 0 {
					in.TimeLimit = a.TimeLimit
				}
				h.Arrivals = append(h.Arrivals, in)
			}
			for _, s := range c.Spans {
				h.Spans = append(h.Spans, faultSpan{Kind: s.Kind, Target: s.Target, From: at(s.From), To: at(s.To)})
			}
			var got []string
			for _, v := range checkHistory(h) {
				got = append(got, v.Invariant)
			}
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("violated invariants (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCheckFleet checks that too many repeats are reported, and callers who are not served after the last
// fault.
func TestCheckFleet(t *testing.T) {
	fleet := func(repeats int, status int) history {
		h := history{KeyOwners: map[string]string{"good": "mill"}, FaultsEnded: at(0)}
		for i := range 100 {
			id := string(rune('a'+i/26)) + string(rune('a'+i%26))
			r := record{
				ID: id, Route: "read", Key: "good", Path: "/read/1", TimeLimit: plainTimeLimit, Sent: at(10 * time.Second), Ended: at(10 * time.Second),
				Status: status, Complete: true, Answer: shorten(standin.Answer(id)), Seal: standin.Seal(id, "i-1"),
			}
			h.Records = append(h.Records, r)
			for k := range repeats + 1 {
				h.Arrivals = append(h.Arrivals, standin.Arrival{
					ID: id, Server: "i-1", Service: "desk", Method: http.MethodPost, Path: r.Path, Organisation: "mill", Body: xxhash.Sum64(nil),
					TimeLimit: time.Second, At: at(10*time.Second + time.Duration(k)*time.Millisecond), Ran: true,
				})
			}
		}
		return h
	}
	for _, c := range []struct {
		name            string
		repeats, status int
		want            []string
	}{
		{"no repeats", 0, 200, nil},
		{"two repeats for each request", 2, 200, []string{"repeats"}},
		{"no request is served", 0, 502, []string{"recovery"}},
	} {
		var got []string
		for _, v := range checkHistory(fleet(c.repeats, c.status)) {
			got = append(got, v.Invariant)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: violated invariants (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestDraw checks that a seed always draws the same faults, in order of time, and none in the times without
// faults at the start and end of a run.
func TestDraw(t *testing.T) {
	const length = 30 * time.Second
	for seed := range uint64(200) {
		injections := drawInjections(seed, length, 2)
		if diff := cmp.Diff(injections, drawInjections(seed, length, 2)); diff != "" {
			t.Fatalf("seed %d gives other faults the second time (-first +second):\n%s", seed, diff)
		}
		for i, inj := range injections {
			if inj.At < startupTime || inj.At+inj.Length > length-quietTime || i > 0 && inj.At < injections[i-1].At || !slices.Contains(allFaults, inj.Kind) {
				t.Fatalf("seed %d: fault %d is %+v", seed, i, inj)
			}
		}
	}
}

// TestDrawWork checks that a seed always draws the same planned work, in order of time and before the time without faults,
// and that the stops of some seeds overlap each other.
func TestDrawWork(t *testing.T) {
	const length = 18 * time.Second
	kinds, overlapping := map[fault]bool{}, 0
	for seed := range uint64(100) {
		work := drawWork(seed, length)
		if diff := cmp.Diff(work, drawWork(seed, length)); diff != "" {
			t.Fatalf("seed %d gives other work the second time (-first +second):\n%s", seed, diff)
		}
		var stopEnds time.Duration
		for i, inj := range work {
			kinds[inj.Kind] = true
			if inj.At < startupTime || inj.Length <= 0 || inj.At+inj.Length > length-quietTime || i > 0 && inj.At < work[i-1].At {
				t.Fatalf("seed %d: fault %d is %+v", seed, i, inj)
			}
			if slices.Contains(stopFaults, inj.Kind) {
				if inj.At < stopEnds {
					overlapping++
				}
				stopEnds = max(stopEnds, inj.At+inj.Length)
			}
		}
	}
	for _, kind := range slices.Concat(stopFaults, companionFaults) {
		if !kinds[kind] {
			t.Errorf("no seed draws %s", kind)
		}
	}
	if overlapping == 0 {
		t.Error("no stops overlap")
	}
}

// TestAnnouncementChecks checks from when the announcements of backend servers bind an entry, and what excuses it.
func TestAnnouncementChecks(t *testing.T) {
	type spanCase struct {
		Kind     fault
		Target   string
		From, To time.Duration
	}
	for _, c := range tester.Load[struct {
		Name          string
		Leaving, Rest time.Duration
		Other         bool
		Requests      []time.Duration
		Spans         []spanCase
		Want          int
	}](t, "announcements.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			h := history{
				Records:  []record{{ID: "r0", Entry: "entry-0", Begun: at(99 * time.Second), Sent: at(99 * time.Second), HeadAt: at(c.Leaving), Leaving: c.Leaving > 0, Seal: standin.Seal("r0", "i-1")}},
				Arrivals: []standin.Arrival{{ID: "r0", Server: "i-1", At: at(100 * time.Second), Rest: c.Rest}},
			}
			entry := "entry-0"
			if c.Other {
				entry = "entry-1"
			}
			for i, sent := range c.Requests {
				id := fmt.Sprint("r", i+1)
				h.Records = append(h.Records, record{ID: id, Entry: entry, Begun: at(sent), Sent: at(sent)})
				h.Arrivals = append(h.Arrivals, standin.Arrival{ID: id, Server: "i-1", At: at(sent)})
			}
			for _, s := range c.Spans {
				h.Spans = append(h.Spans, faultSpan{Kind: s.Kind, Target: s.Target, From: at(s.From), To: at(s.To)})
			}
			if diff := cmp.Diff(c.Want, len(checkLeaving(h))+len(checkRests(h))); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEndOfDrainExcusesNothing guards against a backend server that ends after its drain, breaks off what it still answers,
// and is not recorded as the cause.
func TestEndOfDrainExcusesNothing(t *testing.T) {
	for _, kind := range []fault{serverDrain, serverLeave} {
		s := &soak{store: standin.NewStore(), entries: []*entry{{}}}
		srv := &serverSlot{service: "desk", zone: "a-1", store: s.store}
		if err := srv.launch(); err != nil {
			t.Fatal(err)
		}
		s.servers = append(s.servers, srv)
		id, begun := srv.id(), time.Now()
		// The faults do not wait once their run has ended.
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		s.inject(ctx, Injection{Kind: kind})
		ended := time.Now()
		srv.crash()
		request := tracedRequest{record: record{Entry: "entry-0", Begun: begun, Ended: ended}, arrivals: []standin.Arrival{{Server: id, At: begun}}}
		if !request.brokeOff(s.history) {
			t.Errorf("%s: the end of the server does not explain an answer that broke off: %+v", kind, s.history.Spans)
		}
		request.Ended = begun.Add(-time.Second)
		if request.brokeOff(s.history) {
			t.Errorf("%s: the end of the server explains an answer that broke off before", kind)
		}
	}
}

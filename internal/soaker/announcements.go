package soaker

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	// restTime is the rest that busy backend servers ask for.
	restTime = 3 * time.Second
	// restGrace is how long after an entry was asked for rest its requests may still arrive, and maxInRest the number
	// that may arrive later in that time.
	restGrace, maxInRest = 500 * time.Millisecond, 2
)

// leave has a backend server say in its answers that it leaves, while the store has it as ready, and ends it.
func (s *soak) leave(ctx context.Context, inj Injection, srv *serverSlot) {
	srv.faultMu.Lock()
	defer srv.faultMu.Unlock()
	id := srv.id()
	srv.addFaults(standin.ServerFaults{Leaving: true})
	sleep(ctx, inj.Length)
	s.store.Remove("servers/" + id)
	s.endServer(srv)
}

// endServer ends a backend server, which breaks off what it still answers, and starts another in its place.
func (s *soak) endServer(srv *serverSlot) {
	id, from := srv.id(), time.Now()
	srv.crash()
	s.reportError(srv.launch())
	s.updateHistory(func(h *history) { h.Spans = append(h.Spans, faultSpan{serverCrash, id, from, time.Now()}) })
}

// checkLeaving checks that no entry sends a request, which a caller sent later than the drain time after the entry had
// passed on that a backend server leaves, to that server. Only a restart or freeze of the entry excuses it.
func checkLeaving(h history) []violation {
	type pair struct{ entry, server string }
	told := map[pair]time.Time{}
	requests := map[string]record{}
	arrivals := map[string][]standin.Arrival{}
	for _, a := range h.Arrivals {
		arrivals[a.ID] = append(arrivals[a.ID], a)
	}
	for _, r := range h.Records {
		requests[r.ID] = r
		for _, a := range arrivals[r.ID] {
			p := pair{r.Entry, a.Server}
			if at, ok := told[p]; r.Leaving && r.Seal == standin.Seal(r.ID, a.Server) && (!ok || r.HeadAt.Before(at)) {
				told[p] = r.HeadAt
			}
		}
	}
	var out []violation
	for _, a := range h.Arrivals {
		r := requests[a.ID]
		at, ok := told[pair{r.Entry, a.Server}]
		if late := r.Begun.Sub(at); ok && late > standin.DrainMs*time.Millisecond && !h.isExcusedSince(r.Entry, at, a.At) {
			out = append(out, violation{"leaving servers", a.ID, fmt.Sprintf("the request reached %s, sent %v after %s had passed on that the server leaves",
				a.Server, late.Round(time.Millisecond), r.Entry)})
		}
	}
	return out
}

// checkRests checks that a backend server which asked an entry for rest gets no more than maxInRest requests from it
// between restGrace later and the end of that time. A restart or freeze of the entry excuses it. While a fault of the
// server's link keeps its answers back, the entry has not been asked.
func checkRests(h history) []violation {
	requests := map[string]record{}
	for _, r := range h.Records {
		requests[r.ID] = r
	}
	var out []violation
	reported := map[string]bool{}
	for _, asked := range h.Arrivals {
		if asked.Rest == 0 || reported[asked.Server] {
			continue
		}
		entry := requests[asked.ID].Entry
		from := h.passedOn(asked.Server, asked.At).Add(restGrace)
		n := 0
		for _, a := range h.Arrivals {
			if a.Server == asked.Server && requests[a.ID].Entry == entry && a.At.After(from) && a.At.Before(asked.At.Add(asked.Rest)) {
				n++
			}
		}
		if n > maxInRest && !h.isExcusedSince(entry, asked.At, asked.At.Add(asked.Rest)) {
			reported[asked.Server] = true
			out = append(out, violation{"rests", asked.ID, fmt.Sprintf("%s asked %s for %v of rest and got %d requests from it in that time", asked.Server, entry, asked.Rest, n)})
		}
	}
	return out
}

// passedOn returns when what a backend server sent at a time got through its link: at once, or at the end of the faults that
// kept it back.
func (h history) passedOn(server string, at time.Time) time.Time {
	out := at
	for _, s := range h.Spans {
		if (s.Kind == serverOneWay || s.Kind == serverSilent) && s.Target == server && s.From.Before(at) && s.To.After(out) {
			out = s.To
		}
	}
	return out
}

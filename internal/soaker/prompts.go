package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	// crashingInterval is the time between two requests with a part that crashes backend servers.
	crashingInterval = 120 * time.Millisecond
	// crashingSeeds is above the seeds of all other callers, from which the ids of requests are drawn.
	crashingSeeds = 1 << 63
	// crashDowntime is how long a backend server is down after such a crash.
	crashDowntime = time.Second
)

// promptCrashed is a crash of a backend server that a part of a prompt caused.
type promptCrashed struct {
	Part, Server string
	At           time.Time
}

// sendCrashingRequests sends requests that share a part of their prompt which crashes backend servers, each with
// a prompt, a body and a connection of its own, to one entry after the other.
func (s *soak) sendCrashingRequests(ctx context.Context, inj Injection) {
	part := fmt.Sprintf("%s%x", standin.CrashPart, inj.Pick)
	records := make(chan record)
	var senders, collector sync.WaitGroup
	collector.Go(func() {
		for r := range records {
			s.updateHistory(func(h *history) { h.Records = append(h.Records, r) })
		}
	})
	end := time.Now().Add(inj.Length)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		c := &caller{entry: s.entries[(inj.Pick+n)%len(s.entries)], seed: crashingSeeds + s.crashingSent.Add(1), part: part, nextKey: s.pickKey, results: records}
		senders.Go(c.runOnce)
		sleep(ctx, crashingInterval)
	}
	senders.Wait()
	close(records)
	collector.Wait()
}

// endedMeanwhile reports whether a backend server ended while the request was on its way.
func (t tracedRequest) endedMeanwhile(h history, server string) bool {
	during := func(at time.Time) bool { return at.After(t.Sent) && at.Before(t.Ended) }
	return slices.ContainsFunc(h.PromptCrashes, func(c promptCrashed) bool { return c.Server == server && during(c.At) }) ||
		slices.ContainsFunc(h.Spans, func(s faultSpan) bool { return s.Kind == serverCrash && s.Target == server && during(s.From) })
}

// crashByPrompt crashes a backend server because of a part of a prompt and starts it again under a new id.
func (s *soak) crashByPrompt(srv *serverSlot, id, part string) {
	crashed := promptCrashed{part, id, time.Now()}
	if !srv.crashIfUp(id) {
		return
	}
	s.updateHistory(func(h *history) { h.PromptCrashes = append(h.PromptCrashes, crashed) })
	s.restarts.Go(func() {
		time.Sleep(crashDowntime)
		srv.faultMu.Lock()
		defer srv.faultMu.Unlock()
		if srv.id() == id {
			s.reportError(srv.launch())
		}
		time.Sleep(serverEntryTTL - crashDowntime)
		s.store.Remove("servers/" + id)
	})
}

const (
	// crashesUntilKnown is the number of crashes after which entries must know a part that crashes backend
	// servers, settleTime later. maxCrashingRequests may still be sent on from then on.
	crashesUntilKnown   = 5
	maxCrashingRequests = 3
	// minSoundShare is the least share of sound requests that must be served while such requests come, as a
	// part of the share before. It is not checked for fewer than minSoundRequests.
	minSoundShare    = 0.5
	minSoundRequests = 20
)

// isInTouch reports whether no fault disturbed an entry or the store from settleTime before a time on.
func (h history) isInTouch(entry string, at time.Time) bool {
	return !slices.ContainsFunc(h.Spans, func(s faultSpan) bool {
		disturbs := s.Target == entry && s.Kind != entryReload || s.Target == "" && strings.HasPrefix(string(s.Kind), "store")
		return disturbs && s.From.Before(at) && s.To.After(at.Add(-settleTime))
	})
}

// checkPromptCrashes checks that entries stop sending requests with a part that crashes backend servers, and that
// they still serve requests which share only their other parts with these.
func checkPromptCrashes(h history) []violation {
	var out []violation
	crashes := map[string][]promptCrashed{}
	for _, c := range h.PromptCrashes {
		crashes[c.Part] = append(crashes[c.Part], c)
	}
	requests := map[string]record{}
	for _, r := range h.Records {
		requests[r.ID] = r
	}
	for part, cs := range crashes {
		if len(cs) < crashesUntilKnown {
			continue
		}
		known := cs[crashesUntilKnown-1].At.Add(settleTime)
		late := 0
		for _, a := range h.Arrivals {
			if r := requests[a.ID]; slices.Contains(a.Parts, part) && a.At.After(known) && h.isInTouch(r.Entry, a.At) {
				late++
			}
		}
		if late > maxCrashingRequests {
			out = append(out, violation{"crashing prompts", part, fmt.Sprintf("%d requests reached backend servers later than %v after the fifth crash; %d servers crashed",
				late, settleTime, len(cs))})
		}
		if v := checkSoundRequests(h, part, cs[0].At, known.Add(settleTime)); v != nil {
			out = append(out, *v)
		}
	}
	return out
}

// checkSoundRequests compares the share of sound requests that were served before the first crash with the share
// from a time on, until the last request with the part was sent.
func checkSoundRequests(h history, part string, firstCrash, from time.Time) *violation {
	var last time.Time
	for _, r := range h.Records {
		if r.Part == part && r.Sent.After(last) {
			last = r.Sent
		}
	}
	var before, during, servedBefore, servedDuring int
	for _, r := range h.Records {
		if r.Part != "" || len(routeByName(r.Route).Models) == 0 || r.GaveUp || h.KeyOwners[r.Key] == "" || !h.isInTouch(r.Entry, r.Ended) {
			continue
		}
		served := 0
		if r.Complete && r.Status == http.StatusOK {
			served = 1
		}
		switch {
		case r.Ended.Before(firstCrash):
			before, servedBefore = before+1, servedBefore+served
		case r.Sent.After(from) && r.Sent.Before(last):
			during, servedDuring = during+1, servedDuring+served
		}
	}
	if before < minSoundRequests || during < minSoundRequests || float64(servedDuring)*float64(before) >= minSoundShare*float64(servedBefore)*float64(during) {
		return nil
	}
	return &violation{"sound prompts", part, fmt.Sprintf("%d of %d sound requests were served beside requests with the part, %d of %d before", servedDuring, during, servedBefore, before)}
}

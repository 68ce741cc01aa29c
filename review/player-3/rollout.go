package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// status is the status of a roll-out as the entries have written it.
type status struct {
	State  string `json:"state"`
	Target string `json:"target"`
}

// status reads the status of a service's roll-out from the store.
func (w *world) status(service string) status {
	var o struct {
		Status status `json:"status"`
	}
	resp, err := http.Get("http://" + w.storeAddress + "/-/objects/rollouts/" + service)
	if err != nil {
		return status{}
	}
	defer resp.Body.Close()
	// A status that cannot be decoded counts as none.
	_ = json.NewDecoder(resp.Body).Decode(&o)
	return o.Status
}

// awaitStatus waits until the roll-out has one of the states, at most until a time.
func (w *world) awaitStatus(service, target string, until time.Time, states ...string) string {
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if s := w.status(service); s.Target == target && slices.Contains(states, s.State) {
			w.say("operator: roll-out of %s to %s is %s", service, target, s.State)
			return s.State
		}
	}
	return ""
}

// checkRollback returns how the second half of EXPOSURE was broken: a bad version gets a request that was sent later than
// rollback after its 50th bad answer.
func (w *world) checkRollback(requests map[string]sent, version string) []string {
	all := w.seen()
	slices.SortFunc(all, func(a, b arrival) int { return a.ended.Compare(b.ended) })
	bad := 0
	var bound time.Time
	for _, a := range all {
		if a.version != version || !a.isBad() {
			continue
		}
		if bad++; bad == badAnswers {
			bound = a.ended.Add(rollback)
			w.say("check: the %dth bad answer of %s ended at %.3f", badAnswers, version, w.since(a.ended))
		}
	}
	w.say("check: %s gave %d bad answers", version, bad)
	if bound.IsZero() {
		return nil
	}
	late := 0
	var last time.Time
	for _, a := range all {
		s, ok := requests[a.id]
		if a.version == version && a.ran && ok && s.at.After(bound) {
			late++
			if s.at.After(last) {
				last = s.at
			}
		}
	}
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("EXPOSURE: %d requests ran on the bad version %s that were sent later than %v after its %dth bad answer, the last one %.1f s after it",
		late, version, rollback, badAnswers, last.Sub(bound.Add(-rollback)).Seconds())}
}

// checkShare returns how the first half of EXPOSURE was broken: a bad version gets more than its share of the requests that
// reach its service between the order and its time limit.
func (w *world) checkShare(version string, from, to time.Time) []string {
	total, exposed := 0, 0
	for _, a := range w.seen() {
		if a.at.Before(from) || a.at.After(to) || a.status == http.StatusMisdirectedRequest {
			continue
		}
		total++
		if a.version == version {
			exposed++
		}
	}
	bound := exposeShare*float64(total) + exposeSlack
	w.say("check: %s got %d of the %d requests that reached the service between its order and its time limit, %.0f are allowed", version, exposed, total, bound)
	if float64(exposed) <= bound {
		return nil
	}
	return []string{fmt.Sprintf("EXPOSURE: the bad version %s got %d of %d requests between its order and its time limit, %.0f are allowed", version, exposed, total, bound)}
}

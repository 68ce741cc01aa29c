package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// streamRoute is a streaming route of the assistant. Its objective, its pauses and its time-out are those of
// survey-report in stepline-ops.
func streamRoute(resumable bool) map[string]any {
	return map[string]any{
		"name": "report", "host": host, "path-prefix": "/report/", "kind": "streaming", "service": "assistant", "timeout-ms": 25000,
		"target-latency-ms": 4000, "gap-aim-ms": 800, "priority": 1, "max-attempts": 3, "resumable": resumable, "sticky": true,
	}
}

func assistant(slots int) map[string]any {
	return map[string]any{
		"name": "assistant", "max-connections": 370,
		"engine": map[string]any{"slots": slots, "kv-capacity": 454440, "stride": 5, "models": []any{map[string]any{"name": "m0", "cost": 0.02}}},
	}
}

// stream is the plan of a replica's stream.
type stream struct {
	events int
	gap    time.Duration
	// pauseAfter is the number of the event after which the replica pauses, 0 for never.
	pauseAfter int
	pause      time.Duration
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

const (
	// preemption is how long a replica that runs out of memory sets a stream aside before it reads it in again. Clients
	// wait for 16 s, four times the objective.
	preemption = 3 * time.Second
	streams    = 6
)

// playSilence stops an entry while streams run that are not resumable. With the disruption, the replicas preempt the
// streams midway and go on after a pause.
func playSilence(w *world, trouble bool) ([]string, error) {
	plan := stream{events: 14, gap: 150 * time.Millisecond, pause: preemption}
	if trouble {
		plan.pauseAfter = 8
	}
	var mu sync.Mutex
	finished, cutAt := map[string]bool{}, map[string]int{}
	serve := func(r *replica, rw http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Request-Id")
		rw.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(rw)
		for n := 1; n <= plan.events; n++ {
			if _, err := fmt.Fprint(rw, event(n)); err != nil || rc.Flush() != nil {
				break
			}
			wait := plan.gap
			if n == plan.pauseAfter {
				w.note("replica %s: request %s is preempted after event %d for %v", r.currentID(), id, n, plan.pause)
				wait = plan.pause
			}
			select {
			case <-req.Context().Done():
				w.note("replica %s: the channel of request %s was closed after event %d of %d", r.currentID(), id, n, plan.events)
				mu.Lock()
				cutAt[id] = n
				mu.Unlock()
				return
			case <-time.After(wait):
			}
		}
		mu.Lock()
		finished[id] = true
		mu.Unlock()
		w.note("replica %s: request %s complete", r.currentID(), id)
	}
	for i := range 2 {
		if _, err := w.addReplica(fmt.Sprintf("llm%d", i), "assistant", 64, serve, nil); err != nil {
			return nil, err
		}
	}
	_, err := w.publish(manifest{
		Version: 1, Services: []map[string]any{assistant(64)}, Routes: []map[string]any{streamRoute(false)},
		Tenants: []map[string]any{tenant("fitters", "key-one")},
	})
	if err != nil {
		return nil, err
	}
	e, err := w.startEntry("edge-1")
	if err != nil {
		return nil, err
	}
	// The machine has been in touch for longer than contact-ms when the streams begin.
	time.Sleep(contact + time.Second)
	var wg sync.WaitGroup
	answers := make([]answer, streams)
	for i := range streams {
		wg.Go(func() {
			answers[i] = w.once(e.front, request{
				ID: fmt.Sprintf("s%d", i), Method: http.MethodPost, Path: fmt.Sprintf("/report/%d", i), Key: "key-one", Body: strings.Repeat("x", 600),
				Limit: 25 * time.Second, Head: []string{"X-Model: m0", "X-Token-Usage: 660,80", fmt.Sprintf("X-Prefix-Hash: 5c1e07a2:400,e4%02x:260", i)},
			})
		})
	}
	time.Sleep(700 * time.Millisecond)
	term := time.Now()
	e.signal(syscall.SIGTERM)
	wg.Wait()
	var broken []string
	for i, a := range answers {
		id := fmt.Sprintf("s%d", i)
		events := strings.Count(a.Body, "\n\n")
		mu.Lock()
		n, done := cutAt[id], finished[id]
		mu.Unlock()
		if a.Complete && events == plan.events {
			continue
		}
		ended := a.Ended.Sub(term)
		if ended > time.Duration(graceS)*time.Second*5/6 {
			// In the last sixth of grace-s.
			continue
		}
		broken = append(broken, fmt.Sprintf("%s: channel ended %.2f s after SIGTERM without a complete answer (status %d, %d of %d events, error %v); the replica was cut off after event %d, complete %v",
			id, ended.Seconds(), a.Status, events, plan.events, a.Err, n, done))
	}
	return broken, nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonReplicas is the number of replicas of the assistant, poisonDown the time for which a crashed one is down.
	poisonReplicas = 6
	poisonDown     = 3 * time.Second
	// poisonPath is the path of the request that crashes the replicas that begin to run it.
	poisonPath = "/report/poison"
	// sessions is the number of sessions, which send one request after the other.
	sessions = 160
	// sessionParts is the number of parts of a prompt that earlier turns of its session left.
	sessionParts = 12
	// shortPrompt is the time until the first token of the short prompt, which the replicas admit first because of its
	// X-Request-Priority.
	shortPrompt = 200 * time.Millisecond
	// firstToken is the mean time until the first token of the other answers, shortStream the number of their events.
	firstToken  = 1500 * time.Millisecond
	shortStream = 5
	poisonTime  = 25 * time.Second
)

// playPoison sends a request that crashes the replicas that begin to run it, again and again, beside sessions whose
// prompts have many parts. Without the disruption the request is a sound one.
func playPoison(w *world, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var crashes []time.Time
	var got []arrival
	var wg sync.WaitGroup
	serve := func(r *replica, rw http.ResponseWriter, req *http.Request) {
		wait := firstToken/2 + rand.N(firstToken)
		if req.URL.Path == poisonPath {
			wait = shortPrompt
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(wait):
		}
		if trouble && req.URL.Path == poisonPath {
			id := r.currentID()
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			w.note("replica %s: crash %d, by request %s", id, n, req.Header.Get("X-Request-Id"))
			wg.Go(func() {
				r.crash()
				time.Sleep(poisonDown)
				if err := r.launch(); err != nil {
					w.note("replica %s does not start: %v", r.name, err)
				}
			})
			<-req.Context().Done()
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(rw)
		for n := lastEvent(req) + 1; n <= shortStream; n++ {
			if _, err := fmt.Fprint(rw, event(n)); err != nil || rc.Flush() != nil {
				return
			}
			select {
			case <-req.Context().Done():
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	onArrival := func(a arrival) {
		if a.Path == poisonPath {
			mu.Lock()
			got = append(got, a)
			mu.Unlock()
		}
	}
	for i := range poisonReplicas {
		if _, err := w.addReplica(fmt.Sprintf("llm%d", i), "assistant", 64, serve, onArrival); err != nil {
			return nil, err
		}
	}
	_, err := w.publish(manifest{
		Version: 1, Services: []map[string]any{assistant(64)}, Routes: []map[string]any{streamRoute(true)},
		Tenants: []map[string]any{tenant("fitters", "key-one")},
	})
	if err != nil {
		return nil, err
	}
	e, err := w.startEntry("edge-1")
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(poisonTime)
	var clients sync.WaitGroup
	for s := range sessions {
		clients.Go(func() {
			time.Sleep(rand.N(2 * time.Second))
			for n := 0; time.Now().Before(end); n++ {
				w.once(e.front, request{
					ID: fmt.Sprintf("s%d-%d", s, n), Method: http.MethodPost, Path: fmt.Sprintf("/report/%d", s), Key: "key-one", Body: strings.Repeat("x", 600),
					Limit: 25 * time.Second, Head: []string{
						"X-Model: m0", "X-Token-Usage: 3000,80", "X-Prefix-Hash: " + prefix(s, sessionParts), fmt.Sprintf("Session: s%d", s),
					},
				})
				time.Sleep(rand.N(500 * time.Millisecond))
			}
		})
	}
	time.Sleep(5 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		w.once(e.front, request{
			ID: fmt.Sprintf("poison-%d", n), Method: http.MethodPost, Path: poisonPath, Key: "key-one", Body: strings.Repeat("p", 600),
			Limit: 25 * time.Second, Head: []string{"X-Model: m0", "X-Token-Usage: 660,80", "X-Prefix-Hash: 5c1e07a2:400,dd01:260"},
		})
		time.Sleep(2 * time.Second)
	}
	clients.Wait()
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.note("crashes: %d", len(crashes))
	if len(crashes) < 3 {
		return nil, nil
	}
	from := crashes[2].Add(contact)
	retries, firsts := 0, map[string]bool{}
	total := 0
	for _, a := range got {
		again := firsts[a.ID]
		firsts[a.ID] = true
		if !a.Ran || a.At.Before(from) {
			continue
		}
		total++
		if again {
			retries++
		}
	}
	w.note("after %v: %d arrivals of the request, %d of them retries of the entry", contact, total, retries)
	if retries <= 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("the request crashed %d replicas; later than %v after the third crash it reached replicas %d times, %d of these in retries of the entry", len(crashes), contact, total, retries)}, nil
}

func lastEvent(req *http.Request) int {
	n := 0
	_, _ = fmt.Sscanf(req.Header.Get("Last-Event-Id"), "%d", &n)
	return n
}

// prefix returns the parts of a session's prompt: one that all share, those of its earlier turns, and its own.
func prefix(session, parts int) string {
	out := []string{"5c1e07a2:400"}
	for i := range parts {
		out = append(out, fmt.Sprintf("a%03x%02x:150", session, i))
	}
	return strings.Join(append(out, fmt.Sprintf("e%03x:260", session)), ",")
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// streamByModel answers with a stream of events. The smallest model has a low opinion of its answers.
func (r *run) streamByModel(replica string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		name := q.Header.Get("X-Model")
		r.noteRan(q.Header.Get("X-Request-Id"), replica+"/"+name)
		time.Sleep(20 * time.Millisecond)
		confidence := "95"
		if name == "m0" {
			confidence = "15"
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Route-Confidence", confidence)
		w.Header().Set("X-Weight-Versions", "1")
		for i := 1; i <= events; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// onceManifest returns a manifest with a resumable route of model requests and, if added is set, one whose streams may
// not be resumed and one of kind non_idempotent.
func onceManifest(version int, added bool) map[string]any {
	m := chatManifest(version, []map[string]any{{"service": "assistant", "weight": 100}})
	if !added {
		return m
	}
	for path, kind := range map[string]string{"/order/": "streaming", "/book/": "non_idempotent"} {
		m["routes"] = append(m["routes"].([]any), map[string]any{
			"name": kind, "host": host, "path-prefix": path, "kind": kind, "timeout-ms": 25000, "target-latency-ms": 1500, "priority": 0,
			"service": "assistant", "sizes": []string{"m0", "m1"}, "max-attempts": 3, "public": false, "sticky": true, "gap-aim-ms": 800,
		})
	}
	return m
}

// playOnce adds two routes, by a new manifest, whose requests must run once at most: one of streams that may not be
// resumed, and one of kind non_idempotent.
func playOnce(ctx context.Context, r *run) (bool, error) {
	for i := range 4 {
		id := fmt.Sprintf("i-assistant-%d", i)
		if err := r.startReplica(&replica{id: id, service: "assistant", zone: []string{"a-1", "b-1"}[i%2], version: "v1", slots: 48, models: []string{"m0", "m1"}}, r.streamByModel(id)); err != nil {
			return false, err
		}
	}
	r.store.set("config", "main", onceManifest(1, false))
	for _, place := range [][3]string{{"edge-a-1", "a-1", "a"}, {"edge-b-1", "b-1", "b"}} {
		n, err := r.startNode(place[0], place[1], place[2])
		if err != nil {
			return false, err
		}
		if err := n.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	paths := []string{"/chat/a"}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.store.set("config", "main", onceManifest(3, true))
		r.note("manifest version 3 is confirmed: it adds a route whose streams may not be resumed and one of kind non_idempotent")
		paths = []string{"/order/a", "/book/a"}
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	twice := map[string]int{}
	for i := range 4 {
		n, path := r.nodes[i%len(r.nodes)], paths[i/2%len(paths)]
		wg.Go(func() {
			for k := range 10 {
				c, err := openChannel(n.front)
				if err != nil {
					continue
				}
				id := fmt.Sprintf("c%d-%d", i, k)
				out := c.send(request{method: http.MethodPost, path: path, id: id, body: `{"prompt":"hello"}`, limit: 25 * time.Second, header: map[string]string{
					"Authorization": "Token " + chatKey, "X-Model": "*", "X-Token-Usage": "100,30", "X-Prefix-Hash": "5c1e07a2:60,91bd3f06:40",
				}})
				_ = c.Close()
				runs := r.runsOf(id)
				r.note("answer  %s %s at %s: status %d whole %v after %v, ran at %v, %v", id, path, n.name, out.status, out.whole, out.took.Round(time.Millisecond), runs, out.err)
				if r.trouble && len(runs) > 1 {
					mu.Lock()
					twice[path]++
					mu.Unlock()
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	broken := false
	for _, path := range paths {
		broken = broken || twice[path] > 0
		if r.trouble {
			r.note("%d of 20 requests to %s, which must run once at most, ran more than once", twice[path], path)
		}
	}
	return broken, nil
}

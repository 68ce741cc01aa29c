package main

import (
	"context"
	"fmt"
	"io"

	"net/http"
	"sync"
	"time"
)

const (
	chatKey = "key-of-the-first-tenant"
	// events is the number of events of a stream.
	events = 6
	// excusedCuts is how many requests the rule allows to be cut.
	excusedCuts = 3
)

// streamEvents answers a request with a stream of events.
func (r *run) streamEvents(replica string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		r.noteRan(q.Header.Get("X-Request-Id"), replica)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Route-Confidence", "90")
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

// chatManifest returns a manifest with one route of model requests and its traffic split.
func chatManifest(version int, split []map[string]any) map[string]any {
	route := map[string]any{
		"name": "chat", "host": host, "path-prefix": "/chat/", "kind": "streaming", "timeout-ms": 25000, "target-latency-ms": 1500, "priority": 0,
		"sizes": []string{"m0", "m1"}, "max-attempts": 3, "public": false, "sticky": true, "resumable": true, "gap-aim-ms": 800,
	}
	if len(split) == 1 {
		route["service"] = split[0]["service"]
	} else {
		route["traffic-split"] = split
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route},
		"services": []any{
			map[string]any{
				"name": "assistant", "health-path": "/health", "max-connections": 290, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 48, "kv-capacity": 570401, "token-kv-bytes": 18432, "link-mbps": 370000.0, "moves": true, "backups": true, "stride": 5, "most": 12,
					"pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []any{map[string]any{"name": "m0", "cost": 0.018}, map[string]any{"name": "m1", "cost": 0.13}},
				},
			},
			map[string]any{"name": "desk", "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "first", "api-keys": []string{chatKey}}},
	}
}

// playEngineless moves a part of a route's requests, by a new manifest, to a service for which the manifest has no engine.
// Requests on kept channels that reach a sound replica must not end with a closed channel.
func playEngineless(ctx context.Context, r *run) (bool, error) {
	for i := range 4 {
		id, service := fmt.Sprintf("i-assistant-%d", i), "assistant"
		if err := r.startReplica(&replica{id: id, service: service, zone: []string{"a-1", "b-1"}[i%2], version: "v1", slots: 48, models: []string{"m0", "m1"}}, r.streamEvents(id)); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		id := fmt.Sprintf("i-desk-%d", i)
		if err := r.startReplica(&replica{id: id, service: "desk", zone: []string{"a-1", "b-1"}[i%2], version: "v1", slots: 6}, r.streamEvents(id)); err != nil {
			return false, err
		}
	}
	r.store.set("config", "main", chatManifest(1, []map[string]any{{"service": "assistant", "weight": 100}}))
	for _, place := range [][3]string{{"edge-a-1", "a-1", "a"}, {"edge-b-1", "b-1", "b"}} {
		n, err := r.startNode(place[0], place[1], place[2])
		if err != nil {
			return false, err
		}
		if err := n.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	playCtx, stop := context.WithTimeout(ctx, 14*time.Second)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := map[string]int{}
	for i := range 8 {
		n := r.nodes[i%len(r.nodes)]
		wg.Go(func() {
			var c *channel
			for k := 0; playCtx.Err() == nil; k++ {
				if c == nil {
					var err error
					if c, err = openChannel(n.front); err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", i, k)
				out := c.send(request{method: http.MethodPost, path: "/chat/a", id: id, body: `{"prompt":"hello"}`, limit: 25 * time.Second, header: map[string]string{
					"Authorization": "Token " + chatKey, "X-Model": "*", "X-Token-Usage": "100,30", "X-Prefix-Hash": "5c1e07a2:60,91bd3f06:40",
				}})
				runs := r.runsOf(id)
				r.note("answer  %s at %s: status %d whole %v after %v, ran at %v, %d answers before on the channel, %v",
					id, n.name, out.status, out.whole, out.took.Round(time.Millisecond), runs, c.answered, out.err)
				if !out.whole && c.answered > 0 && len(runs) > 0 && time.Since(n.started) > contactMs*time.Millisecond {
					mu.Lock()
					cut[n.name]++
					mu.Unlock()
				}
				if !out.keeps {
					_ = c.Close()
					c = nil
				}
				time.Sleep(100 * time.Millisecond)
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	time.Sleep(6 * time.Second)
	if r.trouble {
		r.store.set("config", "main", chatManifest(4, []map[string]any{{"service": "assistant", "weight": 90}, {"service": "desk", "weight": 10}}))
		r.note("manifest version 4 is confirmed: a tenth of the requests goes to the service without an engine")
	}
	wg.Wait()
	broken := false
	for _, n := range r.nodes {
		r.note("%s: %d requests on kept channels reached a sound replica and ended with a closed channel; %d are allowed", n.name, cut[n.name], excusedCuts)
		broken = broken || cut[n.name] > excusedCuts
	}
	return broken, nil
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// sent is a request of a caller and what came back.
type sent struct {
	id, entry string
	at, ended time.Time
	status    int
	err       string
}

// callers send requests at a rate, each on a kept connection to its entry.
type callers struct {
	w      *world
	route  route
	limit  time.Duration
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	requests map[string]sent
}

// startCallers starts n callers that send rate requests a second in all.
func (w *world) startCallers(n int, rate float64, r route, limit time.Duration) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{w: w, route: r, limit: limit, cancel: cancel, requests: map[string]sent{}}
	for i := range n {
		c.wg.Go(func() { c.call(ctx, i, float64(n)/rate) })
	}
	w.say("%d callers send %.0f requests a second", n, rate)
	return c
}

// stop ends the callers and returns their requests by id.
func (c *callers) stop() map[string]sent {
	c.cancel()
	c.wg.Wait()
	return c.requests
}

// call sends the requests of one caller, with a mean interval in seconds.
func (c *callers) call(ctx context.Context, n int, interval float64) {
	e := c.w.entries[n%len(c.w.entries)]
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: c.limit + time.Second}
	var wg sync.WaitGroup
	defer wg.Wait()
	for k := 0; ; k++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * interval * float64(time.Second))):
		}
		id := fmt.Sprintf("%04x%04x%08x", n, k, rand.Uint32())
		wg.Go(func() { c.request(client, e, id, fmt.Sprintf("s%d", n)) })
	}
}

func (c *callers) request(client *http.Client, e *entry, id, session string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.front+c.route.prefix+"book", bytes.NewReader([]byte("order "+id)))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(c.limit.Milliseconds()))
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Session", session)
	s := sent{id: id, entry: e.name, at: time.Now()}
	resp, err := client.Do(r)
	if err == nil {
		s.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if s.ended = time.Now(); err != nil {
		s.err = err.Error()
	}
	c.mu.Lock()
	c.requests[id] = s
	c.mu.Unlock()
	c.w.note("caller sent request %s to %s at %.3f and has status %d at %.3f %s", id, e.name, c.w.since(s.at), s.status, c.w.since(s.ended), s.err)
}

// served returns the share of the requests sent in a span that were answered with success, and their number.
func served(requests map[string]sent, from, to time.Time) (share float64, n int) {
	good := 0
	for _, s := range requests {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		n++
		if s.status == http.StatusOK && s.err == "" {
			good++
		}
	}
	return float64(good) / float64(max(n, 1)), n
}

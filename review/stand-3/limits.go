package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	limitEntries, limitReplicas, limitSlots = 2, 4, 16
	// headerLimit is the limit for headers in the example on the pages, raisedLimit the one after the change.
	headerLimit, raisedLimit = 16384, 32768
	// longHead is the size in bytes of a long head with its request line and line ends, which is within raisedLimit.
	longHead = 31000
	// channelsEach is the number of channels that clients keep open at each entry, requestGap the time between two requests
	// on one of them.
	channelsEach, requestGap = 20, 400 * time.Millisecond
	// shortRequests is the number of short requests on each channel before the change, longRequests that of long ones after it.
	shortRequests, longRequests = 5, 10
	// allowedDenied and allowedShare are what DENIED allows: so many requests, and one in so many of all.
	allowedDenied, allowedShare = 5, 500
)

// keptChannel is a channel that a client keeps open for many requests.
type keptChannel struct {
	front string
	conn  net.Conn
	r     *bufio.Reader
	// requests counts those on the open channel.
	requests int
}

// limitAnswer is what a client got for one request.
type limitAnswer struct {
	id, note string
	entry    int
	long     bool
	status   int
	whole    bool
	earlier  int
	sent     time.Duration
}

// ask sends a request with a head of at least size bytes, and opens a new channel if the last one was closed.
func (k *keptChannel) ask(id string, size int, began time.Time) (a limitAnswer) {
	a = limitAnswer{id: id, long: size > 0}
	if k.conn == nil {
		c, err := net.DialTimeout("tcp4", k.front, time.Second)
		if err != nil {
			a.note = err.Error()
			return a
		}
		k.conn, k.r, k.requests = c, bufio.NewReader(c), 0
	}
	a.earlier = k.requests
	k.requests++
	head := fmt.Sprintf("POST /stock/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token %s\r\nContent-Length: 4\r\n",
		host, id, apiKey)
	const note = "X-Note: "
	if n := size - len(head) - len(note) - len("\r\n\r\n"); n > 0 {
		head += note + strings.Repeat("n", n) + "\r\n"
	}
	a.sent = time.Since(began)
	closed := true
	defer func() {
		if closed {
			k.conn.Close()
			k.conn = nil
		}
	}()
	_ = k.conn.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := io.WriteString(k.conn, head+"\r\nwork"); err != nil {
		a.note = err.Error()
		return a
	}
	resp, err := http.ReadResponse(k.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.note = err.Error()
		return a
	}
	body, err := io.ReadAll(resp.Body)
	a.status = resp.StatusCode
	a.whole = err == nil && resp.Header.Get("X-Replica-Seal") != "" && string(body) == string(answerBody(id, len(body)))
	closed = err != nil || resp.Close
	return a
}

// runLimits runs the case: a manifest raises the limit for headers while clients have open channels, on which they then send
// requests within the new limit. It returns 1 if more of them are refused for good than DENIED allows.
func runLimits(program, folder string, trouble bool) int {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	first := raisedLimit
	if trouble {
		first = headerLimit
	}
	routes := []route{{
		Name: "order-work", Host: host, Prefix: "/stock/", Kind: "idempotent", Service: service, Timeout: 5000, TargetLatency: 500, Attempts: 2,
	}}
	f, err := startFleet(fleetConfig{
		program: program, dir: dir, entries: limitEntries, replicas: limitReplicas, role: "replica", slots: limitSlots, grace: graceS,
		routes: routes, headerBytes: first,
	})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	began := time.Now()
	var mu sync.Mutex
	note := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	note("all entries are ready, max-header-bytes = %d", first)
	var answers []limitAnswer
	var wg sync.WaitGroup
	change := make(chan struct{})
	for i, front := range f.fronts {
		for n := range channelsEach {
			wg.Go(func() {
				k := &keptChannel{front: front}
				ask := func(name string, size int) {
					a := k.ask(fmt.Sprintf("%s-%d-%02d-%d", name, i, n, time.Since(began).Milliseconds()), size, began)
					a.entry = i
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					time.Sleep(requestGap)
				}
				for range shortRequests {
					ask("short", 0)
				}
				<-change
				// The channel stays in use until the manifest is in force everywhere.
				for end := time.Now().Add(settled); time.Now().Before(end); {
					ask("short", 0)
				}
				for range longRequests {
					ask("long", longHead)
				}
				if k.conn != nil {
					k.conn.Close()
				}
			})
		}
	}
	time.Sleep(shortRequests * requestGap)
	m := manifest(5, routes, raisedLimit)
	if err := f.store.Set("config/main", m); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	note("the store has confirmed manifest 5, max-header-bytes = %d", raisedLimit)
	close(change)
	wg.Wait()
	denied, served, others := 0, 0, 0
	for _, a := range answers {
		fault := ""
		switch {
		case a.status == http.StatusOK && a.whole:
			served++
		case a.long && a.status == http.StatusRequestHeaderFieldsTooLarge && len(f.runsOf(a.id)) == 0:
			denied++
			fault = "DENIED"
		default:
			others++
		}
		note("%s  at edge-%d  sent at %.3f s after %d requests on its channel  ran at %v  status %d  whole %v  %s%s",
			a.id, a.entry, a.sent.Seconds(), a.earlier, f.runsOf(a.id), a.status, a.whole, a.note, fault)
	}
	allowed := allowedDenied + len(answers)/allowedShare
	summary := fmt.Sprintf("requests: %d, %d served, %d otherwise; DENIED: %d, %d are allowed", len(answers), served, others, denied, allowed)
	fmt.Fprintln(record, summary)
	fmt.Println(summary)
	switch {
	case denied > allowed:
		return 1
	case others > 0 || denied > 0:
		return 2
	}
	return 0
}

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
	"syscall"
	"time"
)

const (
	graceEntries, graceReplicas = 4, 3
	// shortGraceS is the time in seconds from SIGTERM to SIGKILL before the change of the settings.
	shortGraceS = 4
	// settled is how long after its SIGHUP the entry gets SIGTERM; the bounds give a change of the manifest 2.5 s.
	settled = 6 * time.Second
	// streamLimit is the time limit of the streams, as on the sheets.
	streamLimit = 25 * time.Second
	// streams is the number of streams at each entry, termAfter the time from their start to the SIGTERM.
	streamsEach, termAfter = 6, time.Second
)

// streamAnswer is what a client got of one stream. Ended counts from the start of the case.
type streamAnswer struct {
	id           string
	entry        int
	status       int
	events       int
	inOrder      bool
	err          string
	sent, ended  time.Duration
	whole, begun bool
}

// askStream sends a request for a stream with a time limit and reads it to its end.
func askStream(front, id string, limit time.Duration, began time.Time) (a streamAnswer) {
	a = streamAnswer{id: id, sent: time.Since(began), inOrder: true}
	defer func() { a.ended = time.Since(began) }()
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		a.err = err.Error()
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit + time.Second))
	fmt.Fprintf(c, "POST /draft/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 5\r\n\r\ndraft",
		host, id, limit.Milliseconds(), apiKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err.Error()
		return a
	}
	a.status, a.begun = resp.StatusCode, true
	if a.status != http.StatusOK {
		return a
	}
	r := bufio.NewReader(resp.Body)
	var event strings.Builder
	for {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			a.whole = err == io.EOF && event.Len() == 0
			if !a.whole {
				a.err = err.Error()
			}
			return a
		}
		if line == "\n" {
			a.events++
			a.inOrder = a.inOrder && event.String() == formatEvent(id, a.events)
			event.Reset()
		}
	}
}

// runGrace runs the case: the operator raises the time from SIGTERM to SIGKILL in the settings of one entry, and stops that
// entry later. It returns 1 if a stream ends before it is whole although it would have ended in that time.
func runGrace(program, folder string, trouble bool) int {
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
	first := graceS
	if trouble {
		first = shortGraceS
	}
	f, err := startFleet(fleetConfig{
		program: program, dir: dir, entries: graceEntries, replicas: graceReplicas, role: "stream-replica", slots: streamSlots, grace: first,
		routes: []route{{
			Name: "proof-revision", Host: host, Prefix: "/draft/", Kind: "streaming", Service: service,
			Timeout: int(streamLimit.Milliseconds()), TargetLatency: 1500, Attempts: 3, Resumable: true, GapAim: 800,
		}},
	})
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	began := time.Now()
	note := func(format string, args ...any) {
		fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	note("all entries are ready, grace-s = %d", first)
	if trouble {
		if err := f.writeSettings(0, graceS); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		_ = f.running[0].cmd.Process.Signal(syscall.SIGHUP)
		note("grace-s = %d in the settings of edge-0, SIGHUP", graceS)
	}
	time.Sleep(settled)
	var mu sync.Mutex
	var answers []streamAnswer
	var wg sync.WaitGroup
	for i, front := range f.fronts {
		for n := range streamsEach {
			wg.Go(func() {
				a := askStream(front, fmt.Sprintf("stream-%d-%d", i, n), streamLimit, began)
				a.entry = i
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	}
	time.Sleep(termAfter)
	note("SIGTERM of edge-0")
	termAt := time.Since(began)
	_ = f.running[0].cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-f.running[0].exited:
		note("edge-0 has ended")
	case <-time.After(graceS * time.Second):
		note("SIGKILL of edge-0")
		_ = f.running[0].cmd.Process.Kill()
	}
	wg.Wait()
	lost, whole, others := 0, 0, 0
	for _, a := range answers {
		fault := ""
		sinceTerm := a.ended - termAt
		switch {
		case a.whole && a.inOrder && a.events == streamEvents:
			whole++
		case a.entry == 0 && len(f.runsOf(a.id)) > 0 && f.hasLeft(a.id) && sinceTerm > 0 && sinceTerm < graceS*time.Second*5/6:
			lost++
			fault = fmt.Sprintf("LOST: ended %.3f s after SIGTERM, of %d s", sinceTerm.Seconds(), graceS)
		default:
			others++
		}
		note("%s  sent at %.3f s  ran at %v  status %d  %d of %d events  whole %v  ended at %.3f s  %s  %s", a.id, a.sent.Seconds(),
			f.runsOf(a.id), a.status, a.events, streamEvents, a.whole, a.ended.Seconds(), a.err, fault)
	}
	summary := fmt.Sprintf("streams: %d, %d whole, %d otherwise; LOST: %d", len(answers), whole, others, lost)
	fmt.Fprintln(record, summary)
	fmt.Println(summary)
	switch {
	case lost > 0:
		return 1
	case others > 0:
		return 2
	}
	return 0
}

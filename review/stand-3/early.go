package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// replicas is the number of replicas: one of them is less than the share of 0.15 that may crash at a time.
	replicas = 7
	// rounds is the number of crashes, roundTime the time from one to the next.
	rounds, roundTime = 12, 4 * time.Second
	// longPerRound is the number of long requests that are under way at a crash.
	longPerRound = 14
	// longBytes is the body of a long request; the manifest allows 4 MiB.
	longBytes = 4_000_000
	// crashAfter is the time from the long requests to the crash: half of each answer has been sent.
	crashAfter = 700 * time.Millisecond
	timeLimit  = 5 * time.Second
)

// answer is what a client got for one request.
type answer struct {
	id, path   string
	status     int
	seal       string
	body       []byte
	complete   bool
	err        string
	sent, took time.Duration
}

// send sends one request on a channel of its own and reads the answer.
func send(front, id, path string, body []byte, began time.Time) (a answer) {
	a = answer{id: id, path: path, sent: time.Since(began)}
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		a.err = err.Error()
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(timeLimit + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		path, host, id, timeLimit.Milliseconds(), apiKey, len(body))
	if _, err := (&net.Buffers{head.Bytes(), body}).WriteTo(c); err != nil {
		a.err = err.Error()
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err.Error()
		return a
	}
	a.status, a.seal = resp.StatusCode, resp.Header.Get("X-Replica-Seal")
	a.body, err = io.ReadAll(resp.Body)
	if a.complete = err == nil; err != nil {
		a.err = err.Error()
	}
	return a
}

// runEarly runs the case: replicas crash while they send answers without a length to requests that they have not read in
// full. It returns 1 if a client got a part of such an answer as a whole one.
func runEarly(program, folder string, trouble bool) int {
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
	f, err := startFleet(fleetConfig{
		program: program, dir: dir, entries: 2, replicas: replicas, role: "replica", slots: 16, grace: graceS,
		routes: []route{{
			Name: "supply-order", Host: host, Prefix: "/order/", Kind: "non_idempotent", Service: service,
			Timeout: int(timeLimit.Milliseconds()), TargetLatency: 200, Attempts: 3,
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
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	ask := func(n int, id string, body []byte) {
		wg.Go(func() {
			a := send(f.fronts[n%len(f.fronts)], id, "/order/2f", body, began)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	done := make(chan struct{})
	var steady sync.WaitGroup
	steady.Go(func() {
		t := time.NewTicker(5 * time.Millisecond)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-t.C:
				ask(n, fmt.Sprintf("short-%05d", n), []byte("grommets"))
			}
		}
	})
	time.Sleep(time.Second)
	long := bytes.Repeat([]byte("pattern."), longBytes/8)
	for round := range rounds {
		next := time.Now().Add(roundTime)
		for n := range longPerRound {
			ask(n, fmt.Sprintf("long-%d-%02d", round, n), long)
		}
		time.Sleep(crashAfter)
		if trouble {
			slot := f.places[round%replicas]
			fmt.Fprintf(record, "%8.3f s  SIGKILL replica %s\n", time.Since(began).Seconds(), slot.id)
			slot.end(syscall.SIGKILL)
			time.Sleep(time.Second)
			f.store.Remove("servers/" + slot.id)
			if err := f.startReplica(slot, fmt.Sprintf("i-%02d-%d", round%replicas, round+1)); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 2
			}
		}
		time.Sleep(time.Until(next))
	}
	close(done)
	steady.Wait()
	wg.Wait()
	return judge(f, record, answers)
}

// judge writes the record and checks the rule MIXED.
func judge(f *fleet, record io.Writer, answers []answer) int {
	shorts, longs, shortOK, longOK, broken := 0, 0, 0, 0, 0
	for _, a := range answers {
		runs := f.runsOf(a.id)
		isLong := len(a.id) > 4 && a.id[:4] == "long"
		want := answerBody(a.id, 200)
		if isLong {
			want = answerBody(a.id, answerBytes)
		}
		ok := a.complete && a.status == http.StatusOK
		fault := ""
		if ok {
			sealed := false
			for _, r := range runs {
				sealed = sealed || sealOf(a.id, r) == a.seal
			}
			switch {
			case !sealed:
				fault = "the seal is of no replica that ran it"
			case !bytes.Equal(a.body, want):
				fault = fmt.Sprintf("200 with a complete body of %d bytes, the replica's has %d", len(a.body), len(want))
			}
		}
		if isLong {
			longs++
			if ok {
				longOK++
			}
		} else {
			shorts++
			if ok {
				shortOK++
			}
		}
		if fault != "" {
			broken++
		}
		if isLong || fault != "" || !ok {
			fmt.Fprintf(record, "%8.3f s  %s  ran at %v  status %d  %d bytes  complete %v  %s  took %.3f s  %s\n",
				a.sent.Seconds(), a.id, runs, a.status, len(a.body), a.complete, a.err, a.took.Seconds(), fault)
		}
	}
	summary := fmt.Sprintf("short requests: %d, %d answered 200; long requests: %d, %d answered 200; MIXED: %d broken", shorts, shortOK, longs, longOK, broken)
	fmt.Fprintln(record, summary)
	fmt.Println(summary)
	switch {
	case broken > 0:
		return 1
	case longOK == 0 || shortOK < shorts/2:
		return 2
	}
	return 0
}

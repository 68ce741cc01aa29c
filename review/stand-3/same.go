package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	sameEntries, sameReplicas = 2, 3
	// reportTime is how long a replica takes for a request.
	reportTime = 1200 * time.Millisecond
	// batchOf is the number of requests that the clients of an entry send at a time, batchGap the time between two batches.
	batchOf, batchGap = 6, 6 * time.Second
	// goodBatches is the number of batches before the crash, crashDelay the time from the start of the next one to the crash.
	goodBatches, crashDelay = 3, 600 * time.Millisecond
	// downTime is how long crashed replicas are down; clientRetry is when clients return once after a failure.
	downTime, clientRetry = 5 * time.Second, 700 * time.Millisecond
	// killTime is how long the entries are down in the end, and recoverTime the bound of the sheets for the time from then on.
	killTime, recoverTime = time.Second, 12 * time.Second
	// lastBatches is the number of batches after that, minShare the share of requests that must be served.
	lastBatches, minShare = 1, 0.25
)

// runSame runs the case: all replicas of a service crash while they work on requests that are alike, and are back after a
// while; then all entries are killed and start again. It returns 1 if less than a quarter of the requests is
// served recoverTime after that. Without trouble, the replicas do not crash; the entries are killed all the same.
func runSame(program, folder string, trouble bool) int {
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
		program: program, dir: dir, entries: sameEntries, replicas: sameReplicas, role: "report-replica", slots: streamSlots, grace: graceS,
		routes: []route{{
			Name: "stock-lookup", Host: host, Prefix: "/stock/", Kind: "idempotent", Service: service, Timeout: 5000, TargetLatency: 2000, Attempts: 3,
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
	note := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	note("all entries are ready")
	type span struct{ served, sent int }
	var before, after span
	var finalAt, backAt time.Duration
	var wg sync.WaitGroup
	batch := 0
	sendBatch := func() {
		batch++
		for i, front := range f.fronts {
			for n := range batchOf {
				id := fmt.Sprintf("b%02d-%d-%d", batch, i, n)
				wg.Go(func() {
					for try := range 2 {
						tried := fmt.Sprintf("%s-%d", id, try)
						a := (&keptChannel{front: front}).ask(tried, 0, began)
						whole := a.status == http.StatusOK && a.whole
						note("%s  at edge-%d  sent at %.3f s  ran at %v  status %d  whole %v  %s", tried, i, a.sent.Seconds(), f.runsOf(tried), a.status, whole, a.note)
						mu.Lock()
						counted := &before
						if finalAt > 0 && a.sent > finalAt {
							counted = nil
							if backAt > 0 && a.sent > backAt+recoverTime {
								counted = &after
							}
						}
						if counted != nil {
							counted.sent++
							if whole {
								counted.served++
							}
						}
						mu.Unlock()
						if whole {
							return
						}
						time.Sleep(clientRetry)
					}
				})
			}
		}
	}
	for range goodBatches {
		sendBatch()
		time.Sleep(batchGap)
	}
	sendBatch()
	time.Sleep(crashDelay)
	if trouble {
		for _, s := range f.places {
			_ = s.cmd.Process.Kill()
		}
		note("all replicas have crashed")
	}
	time.Sleep(downTime)
	if trouble {
		for i, s := range f.places {
			f.store.Remove("servers/" + s.id)
			if err := f.startReplica(s, fmt.Sprintf("i-%02d-1", i)); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 2
			}
		}
		note("all replicas are back")
	}
	time.Sleep(batchGap - crashDelay - downTime)
	sendBatch()
	time.Sleep(batchGap)
	note("SIGKILL of all entries")
	mu.Lock()
	finalAt = time.Since(began)
	mu.Unlock()
	for _, p := range f.running {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	time.Sleep(killTime)
	for i := range f.running {
		if err := f.launchEntry(i); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
	mu.Lock()
	backAt = time.Since(began)
	mu.Unlock()
	note("all entries are back")
	time.Sleep(recoverTime + 100*time.Millisecond)
	for range lastBatches {
		sendBatch()
		time.Sleep(batchGap)
	}
	wg.Wait()
	for _, e := range f.settings {
		// What the entries say of it, which is not judged.
		b, err := os.ReadFile(filepath.Join(f.dir, e.Name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, "quarantiner:") {
				note("log of %s: %s", e.Name, strings.TrimSpace(line))
			}
		}
	}
	summary := fmt.Sprintf("before the final fault: %d of %d served; %v after the entries were back: %d of %d served", before.served, before.sent,
		recoverTime, after.served, after.sent)
	fmt.Fprintln(record, summary)
	fmt.Println(summary)
	share := func(s span) float64 { return float64(s.served) / float64(max(s.sent, 1)) }
	switch {
	case share(before) < minShare || after.sent == 0:
		return 2
	case share(after) < minShare:
		return 1
	}
	return 0
}

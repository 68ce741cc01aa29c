package measurer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	writeSeconds = 5
	writeFlush   = 100 * time.Millisecond
	storeDelay   = 4 * time.Millisecond
)

var writeLayout = recorder.Layout{ClaimShards: 4, UsageShards: 32}

// writeResult holds the writes per second to the platform, the times to commit a claim in seconds,
// and the number of committed usage lines.
type writeResult struct {
	writes float64
	claims []float64
	lines  int
}

// runWrites records the usage of requests at a rate for some seconds of real time, with a claim for
// every fiftieth request.
func runWrites(rate int, seconds float64) writeResult {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	platform := standin.NewPlatform()
	platform.SetFaults(standin.PlatformFaults{Delay: storeDelay})
	view := registrar.NewView([]model.Instance{{Instance: "n1", Role: model.RoleEntry}}, epoch)
	ledger := recorder.New(recorder.Config{Self: "n1", Store: platform, Layout: writeLayout, Flush: writeFlush, Window: time.Hour, Log: zerolog.Nop()})
	client := recorder.NewClient(recorder.ClientConfig{
		Self: "n1", View: func() *registrar.View { return view }, Local: ledger, Layout: writeLayout, MaxQueueLength: 1 << 20, Log: zerolog.Nop(),
	})
	go ledger.Run(ctx)
	go client.Run(ctx)
	var out writeResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	const tick = 10 * time.Millisecond
	ticks := int(seconds / tick.Seconds())
	for i := range ticks {
		for k := range rate / 100 {
			id := model.RequestID(fmt.Sprint(rate, ".", i, ".", k))
			client.Enqueue(model.Record{Kind: model.RecordUsage, Key: recorder.UsageKey(id), Request: id, Usage: &model.Usage{Organisation: "o", Service: "s", Cost: 1}}, func() {
				mu.Lock()
				out.lines++
				mu.Unlock()
			})
			if (i*rate/100+k)%50 == 0 {
				wg.Go(func() {
					start := time.Now()
					r := model.Record{Kind: model.RecordClaim, Key: recorder.ClaimKey("s", "o", model.IdempotencyKey(id)), Request: id, Claim: &model.Claim{Agent: "a"}}
					if _, err := client.Commit(ctx, r); err == nil {
						mu.Lock()
						out.claims = append(out.claims, time.Since(start).Seconds())
						mu.Unlock()
					}
				})
			}
		}
		time.Sleep(tick)
	}
	wg.Wait()
	for client.QueueLength() > 0 {
		time.Sleep(tick)
	}
	writes, _ := platform.Calls()
	out.writes = float64(writes) / seconds
	return out
}

// Writes measures the writes to the platform and the time to commit claims, by the rate of requests.
func Writes(scale Scale) Section {
	seconds := max(1, writeSeconds*float64(scale))
	s := Section{
		Title:  "Platform writes",
		Method: fmt.Sprintf("One process, %d shards for claims with a group commit each %v at most, %d for usage with one each second, a store of %v a call, %.0f s of real time for each rate, a claim for each 50th request.", writeLayout.ClaimShards, writeFlush, writeLayout.UsageShards, storeDelay, seconds),
	}
	for _, rate := range []int{100, 500, 1500, 4500} {
		res := runWrites(rate, seconds)
		p95 := quantile(res.claims, 0.95)
		limit := 2 * (writeFlush + storeDelay).Seconds()
		s.Rows = append(s.Rows, Row{
			Subject: fmt.Sprintf("%d requests/s", rate), Target: "at most 100 writes/s; claims within two group commits",
			Baseline: fmt.Sprintf("one write for each request: %d/s", rate),
			Measured: fmt.Sprintf("%.0f writes/s, claim %.0f ms at the 95th percentile (limit %.0f ms), %d lines billed", res.writes, 1000*p95, 1000*limit, res.lines),
			Met:      res.writes <= 100 && p95 <= limit,
		})
	}
	return s
}

package recorder

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// history is the reference model: the outcomes that all writers together have granted so far.
type history struct {
	holders     map[model.RecordKey]model.RequestID
	done        map[model.RecordKey]bool
	usageCounts map[model.RecordKey]int
	pins        map[model.RecordKey]model.VersionID
}

// TestHistories runs random operations of three writers on one shard and compares the outcomes with a
// reference model. The store loses answers; writers pause, restart and compact.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := standin.NewPlatform()
		now := epoch
		writers := make([]*shard, 3)
		for i := range writers {
			writers[i] = newShard(0, Config{
				Self: model.InstanceID(fmt.Sprint("w", i)), Store: platform, Window: time.Hour, CompactAfter: 4, Log: zerolog.Nop(),
			})
		}
		h := history{map[model.RecordKey]model.RequestID{}, map[model.RecordKey]bool{}, map[model.RecordKey]int{}, map[model.RecordKey]model.VersionID{}}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				w := rapid.SampledFrom(writers).Draw(t, "writer")
				records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 4).Draw(t, "records")
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
				outcomes, err := appendNow(w, records, now)
				if err != nil {
					return
				}
				for i, r := range records {
					h.check(t, r, outcomes[i])
				}
			},
			"lose answers": func(t *rapid.T) {
				platform.SetFaults(standin.PlatformFaults{LostAnswers: rapid.IntRange(1, 3).Draw(t, "n")})
			},
			"recover": func(*rapid.T) { platform.SetFaults(standin.PlatformFaults{}) },
			"pause past the retention": func(t *rapid.T) {
				w := rapid.SampledFrom(writers).Draw(t, "writer")
				w.headReadAt = w.headReadAt.Add(-2 * segmentRetention)
			},
			"tidy after the retention": func(t *rapid.T) {
				w := rapid.SampledFrom(writers).Draw(t, "writer")
				for _, other := range writers {
					if other != w {
						other.headReadAt = other.headReadAt.Add(-2 * segmentRetention)
					}
				}
				w.compactAndDelete(context.Background(), now.Add(2*segmentRetention))
			},
			"restart": func(t *rapid.T) { rapid.SampledFrom(writers).Draw(t, "writer").current = nil },
		})
		h.compare(t, platform)
	})
}

func drawRecord(t *rapid.T) model.Record {
	n := rapid.IntRange(0, 2).Draw(t, "key")
	request := model.RequestID(fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "request")))
	claim := &model.Claim{Agent: "a"}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return model.Record{Kind: model.RecordClaim, Key: model.RecordKey(fmt.Sprint("claim/", n)), Request: request, Claim: claim}
	case 1:
		return model.Record{Kind: model.RecordDone, Key: model.RecordKey(fmt.Sprint("claim/", n)), Request: request, Answer: &model.Answer{}}
	case 2:
		return model.Record{Kind: model.RecordRelease, Key: model.RecordKey(fmt.Sprint("claim/", n)), Request: request, Claim: claim}
	case 3:
		usage := &model.Usage{Organisation: "o", Service: "s", Cost: 1}
		return model.Record{Kind: model.RecordUsage, Key: model.RecordKey(fmt.Sprint("usage/", n)), Request: request, Usage: usage}
	default:
		version := model.VersionID(fmt.Sprint("v", rapid.IntRange(0, 3).Draw(t, "version")))
		return model.Record{Kind: model.RecordPin, Key: model.RecordKey(fmt.Sprint("pin/", n)), Pin: &model.Pin{Version: version}}
	}
}

// appendNow commits one group of records as of the given time.
func appendNow(s *shard, records []model.Record, now time.Time) ([]model.Outcome, error) {
	w := &waiter{records: records, done: make(chan struct{})}
	s.pending = append(s.pending, w)
	s.commitPending(context.Background(), now)
	return w.outcomes, w.err
}

// check compares one outcome with the model and then records it there.
func (h *history) check(t *rapid.T, r model.Record, o model.Outcome) {
	holder, held := h.holders[r.Key]
	switch r.Kind {
	case model.RecordClaim:
		if o.Granted && held && holder != r.Request {
			t.Fatalf("claim %s granted to %s while %s holds it", r.Key, r.Request, holder)
		}
		if o.Granted && h.done[r.Key] {
			t.Fatalf("claim %s granted after it was done", r.Key)
		}
		if o.Granted {
			h.holders[r.Key] = r.Request
		}
	case model.RecordDone:
		if o.Granted {
			h.done[r.Key] = true
		}
	case model.RecordRelease:
		if o.Granted && holder != r.Request {
			t.Fatalf("%s released the claim of %s", r.Request, holder)
		}
		if o.Granted {
			delete(h.holders, r.Key)
		}
	case model.RecordUsage:
		if o.Granted {
			h.usageCounts[r.Key]++
		}
		if h.usageCounts[r.Key] != 1 {
			t.Fatalf("usage record %s is counted %d times", r.Key, h.usageCounts[r.Key])
		}
	case model.RecordPin:
		v := o.Record.Pin.Version
		if old, ok := h.pins[r.Key]; ok && old != v {
			t.Fatalf("pin %s changed from %s to %s", r.Key, old, v)
		}
		h.pins[r.Key] = v
	}
}

// compare rebuilds the totals from the store and compares the number of requests in them.
func (h *history) compare(t *rapid.T, p *standin.Platform) {
	p.SetFaults(standin.PlatformFaults{})
	totals, err := LoadTotals(context.Background(), p, Layout{UsageShards: 1}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	for _, total := range totals {
		got += total.Requests
	}
	if diff := cmp.Diff(len(h.usageCounts), got); diff != "" {
		t.Fatalf("number of requests differs (-want +got):\n%s", diff)
	}
}

// TestWritesDoNotGrowWithRequests checks that records that wait at the same time cost one write to the
// store, whatever their number.
func TestWritesDoNotGrowWithRequests(t *testing.T) {
	got := map[int]int{}
	for _, n := range []int{1, 10, 100} {
		platform := standin.NewPlatform()
		s := newShard(0, Config{Self: "w", Store: platform, Window: time.Hour, Log: zerolog.Nop()})
		for i := range n {
			r := model.Record{Kind: model.RecordUsage, Key: model.RecordKey(fmt.Sprint(i)), Usage: &model.Usage{}}
			s.pending = append(s.pending, &waiter{records: []model.Record{r}, done: make(chan struct{})})
		}
		s.commitPending(context.Background(), epoch)
		got[n], _ = platform.Calls()
	}
	if diff := cmp.Diff(map[int]int{1: 1, 10: 1, 100: 1}, got); diff != "" {
		t.Errorf("writes differ (-want +got):\n%s", diff)
	}
}

// TestFlushesMayOverlap checks that each usage record is committed exactly once while several flushes run.
func TestFlushesMayOverlap(t *testing.T) {
	platform := standin.NewPlatform()
	ledger := New(Config{Self: "n1", Store: platform, Layout: Layout{ClaimShards: 1, UsageShards: 2}, Flush: time.Millisecond, Window: time.Hour, Log: zerolog.Nop()})
	view := registrar.NewView([]model.Instance{{Instance: "n1", Role: model.RoleEntry}}, epoch)
	c := NewClient(ClientConfig{Self: "n1", View: func() *registrar.View { return view }, Local: ledger, Layout: Layout{ClaimShards: 1, UsageShards: 2}, MaxQueueLength: 1000, Log: zerolog.Nop()})
	go ledger.Run(t.Context())
	go c.Run(t.Context())
	var committed atomic.Int64
	var wg sync.WaitGroup
	for i := range 200 {
		key := model.RecordKey(fmt.Sprint("usage/", i))
		wg.Go(func() {
			c.Enqueue(model.Record{Kind: model.RecordUsage, Key: key, Usage: &model.Usage{}}, func() { committed.Add(1) })
			c.Flush(t.Context())
		})
	}
	wg.Wait()
	for !c.Flush(t.Context()) {
	}
	if diff := cmp.Diff(int64(200), committed.Load()); diff != "" {
		t.Errorf("committed records differ (-want +got):\n%s", diff)
	}
}

// TestExpiry checks when a claim's answer, its key, a pin and a usage record expire.
func TestExpiry(t *testing.T) {
	s := newState(24 * time.Hour)
	records := []model.Record{
		{Kind: model.RecordClaim, Key: "claim/a", Request: "r", Claim: &model.Claim{Agent: "a", Fingerprint: 7}},
		{Kind: model.RecordDone, Key: "claim/a", Request: "r", Answer: &model.Answer{BodyKept: true}},
		{Kind: model.RecordPin, Key: "pin/a", Pin: &model.Pin{Version: "v@1"}},
		{Kind: model.RecordUsage, Key: "usage/a", Usage: &model.Usage{}},
	}
	for _, r := range records {
		r.Time = epoch
		s.apply(r)
	}
	got := map[string]string{}
	for _, after := range []time.Duration{0, 30 * time.Minute, 3 * time.Hour, 23 * time.Hour, 27 * time.Hour} {
		s.expire(epoch.Add(after))
		claim := s.lookup("claim/a")
		got[after.String()] = fmt.Sprint(claim.Done, claim.Record.Answer != nil, s.lookup("pin/a").Granted, len(s.usage.buckets) > 0)
	}
	want := map[string]string{
		"0s": "true true true true", "30m0s": "true true true true", "3h0m0s": "true false true false",
		"23h0m0s": "true false true false", "27h0m0s": "false false false false",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("kept (claim, answer, pin, usage) differs (-want +got):\n%s", diff)
	}
}

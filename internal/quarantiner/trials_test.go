package quarantiner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// crashAll records the crash of three servers that ran a request, at an entry each, and returns when a trial is due.
func crashAll(entries []*Quarantiner, request []string, now time.Time) time.Time {
	for i := range banThreshold {
		for _, q := range entries {
			q.RecordCrash(model.ServerLifetime{Backend: model.BackendID(fmt.Sprint("s", i))}, traits(request), now)
		}
	}
	return now.Add(trialPause)
}

// TestEntriesTryAtOnce guards against a banned request that runs at several servers, since many entries want to find out
// at the same moment whether it crashes them, and against entries that refuse what another one tries.
func TestEntriesTryAtOnce(t *testing.T) {
	platform := standin.NewPlatform()
	var entries []*Quarantiner
	for i := range 8 {
		entries = append(entries, newQuarantiner(i, platform))
	}
	request := traits([]string{"request1"})
	due := crashAll(entries, []string{"request1"}, time.Now())
	var ran atomic.Int32
	var wg sync.WaitGroup
	for _, q := range entries {
		for range 4 {
			wg.Go(func() {
				if q.IsBanned(request, due) && q.ClaimTrial(t.Context(), request, due) {
					ran.Add(1)
				}
			})
		}
	}
	wg.Wait()
	if ran.Load() != 1 {
		t.Errorf("%d trials ran, want one", ran.Load())
	}
	for i, q := range entries {
		if !q.IsTried(request, due) {
			t.Errorf("entry %d does not wait for the outcome", i)
		}
	}
}

// failingStore fails all calls while broken is set.
type failingStore struct {
	Store
	broken bool
	calls  int
}

func (s *failingStore) Get(ctx context.Context, key string) (storer.Object, error) {
	if s.calls++; s.broken {
		return storer.Object{}, errors.New("the store is down")
	}
	return s.Store.Get(ctx, key)
}

// TestTrialWithoutStore guards against trials that are not counted, as the store is down, and against a call to it for
// each refused request.
func TestTrialWithoutStore(t *testing.T) {
	store := &failingStore{Store: standin.NewPlatform(), broken: true}
	q := newQuarantiner(0, store)
	request := traits([]string{"request1"})
	due := crashAll([]*Quarantiner{q}, []string{"request1"}, time.Now())
	for i := range 100 {
		if now := due.Add(time.Duration(i) * time.Millisecond); !q.IsBanned(request, now) || q.ClaimTrial(t.Context(), request, now) {
			t.Fatal("a trial ran without the store")
		}
	}
	if store.calls != 1 {
		t.Errorf("%d calls to a store that is down within %v, want one", store.calls, claimRetryPause)
	}
	store.broken = false
	if !q.ClaimTrial(t.Context(), request, due.Add(claimRetryPause)) {
		t.Error("no trial ran once the store was back")
	}
}

// TestStoreForgetsTrials guards against trials that begin anew when the store comes back from a copy that lacks them.
func TestStoreForgetsTrials(t *testing.T) {
	platform := standin.NewPlatform()
	q := newQuarantiner(0, platform)
	request := traits([]string{"request1"})
	now := crashAll([]*Quarantiner{q}, []string{"request1"}, time.Now())
	ran := 0
	for ; now.Before(time.Now().Add(banDuration - time.Second)); now = now.Add(time.Second) {
		if q.IsBanned(request, now) && q.ClaimTrial(t.Context(), request, now) {
			ran++
		}
		o, err := platform.Get(t.Context(), q.trialsKey())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := platform.Put(t.Context(), q.trialsKey(), []byte(`{}`), o.Revision); err != nil {
			t.Fatal(err)
		}
	}
	if ran < 1 || ran > maxLateRuns {
		t.Errorf("%d trials ran, want 1 to %d", ran, maxLateRuns)
	}
}

// TestOddTrials guards against stored trials of another writer, with figures beyond all bounds, that allow trials without
// end, block them for good or are kept without end.
func TestOddTrials(t *testing.T) {
	now := time.Now()
	many := storedTrials{Trials: map[model.TraitID]storedTrial{}}
	for i := range 10 * maxTrials {
		many.Trials[model.TraitID(fmt.Sprint("t", i))] = storedTrial{Count: 1, UnixMilli: now.UnixMilli()}
	}
	for _, c := range []struct {
		name  string
		value any
		after time.Duration
		want  bool
	}{
		{"no object", "rubbish", trialPause, true},
		{"negative count", storedTrials{Trials: map[model.TraitID]storedTrial{"request1": {Count: math.MinInt, UnixMilli: 1}}}, trialPause, true},
		{"huge count in the future", storedTrials{Trials: map[model.TraitID]storedTrial{"request1": {Count: math.MaxInt, UnixMilli: math.MaxInt64}}}, trialPause, false},
		{"too many", many, trialPause, false},
		{"too many, old by then", many, banDuration - time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			platform := standin.NewPlatform()
			q := newQuarantiner(0, platform)
			b, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := platform.Put(t.Context(), q.trialsKey(), b, 0); err != nil {
				t.Fatal(err)
			}
			q.Merge(storer.Object{Key: q.trialsKey(), Value: b}, now)
			crashed := now
			if c.after > trialPause {
				crashed = now.Add(trialPause)
			}
			crashAll([]*Quarantiner{q}, []string{"request1"}, crashed)
			request, at := traits([]string{"request1"}), crashed.Add(c.after)
			if got := q.IsBanned(request, at) && q.ClaimTrial(t.Context(), request, at); got != c.want {
				t.Errorf("a trial ran: %v, want %v", got, c.want)
			}
			if n := len(q.trials); n > maxTrials+1 {
				t.Errorf("trials of %d traits are kept, want at most %d", n, maxTrials+1)
			}
		})
	}
}

// TestUnsentTrialIsLost guards against a trial that counts although its request reached no server, and against more than
// that one in its place.
func TestUnsentTrialIsLost(t *testing.T) {
	platform := standin.NewPlatform()
	entries := []*Quarantiner{newQuarantiner(0, platform), newQuarantiner(1, platform)}
	request := traits([]string{"request1"})
	now := crashAll(entries, []string{"request1"}, time.Now())
	claim := func(q *Quarantiner, at time.Time) bool {
		return q.IsBanned(request, at) && q.ClaimTrial(t.Context(), request, at)
	}
	if !claim(entries[0], now) || !entries[0].IsTried(request, now) {
		t.Fatal("the request was not tried")
	}
	entries[0].ReturnTrial(request, now)
	if entries[0].IsTried(request, now) {
		t.Error("the request is being tried after its trial was returned")
	}
	now = now.Add(claimRetryPause)
	got := []bool{claim(entries[1], now), claim(entries[0], now), claim(entries[0], now.Add(claimRetryPause))}
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Errorf("trials at the other entry, at the one that returned its own, and there again (-want +got):\n%s", diff)
	}
}

// TestEntryWaitsForTrialThatCrashed guards against requests that wait for the outcome of a trial which another entry has
// ended, or without end for one whose entry was killed.
func TestEntryWaitsForTrialThatCrashed(t *testing.T) {
	f := &fleet{t: t, platform: standin.NewPlatform(), cutOff: map[int]bool{}}
	f.entries = []*Quarantiner{newQuarantiner(0, f.platform), newQuarantiner(1, f.platform)}
	request := traits([]string{"request1"})
	now := crashAll(f.entries, []string{"request1"}, time.Now())
	for _, q := range f.entries {
		if !q.IsBanned(request, now) {
			t.Fatal("the request is not banned")
		}
	}
	var got []bool
	waits := func(at time.Time) {
		f.exchange(at)
		got = append(got, f.entries[1].IsTried(request, at))
	}
	waits(now)
	if !f.entries[0].ClaimTrial(t.Context(), request, now) {
		t.Fatal("the request was not tried")
	}
	waits(now)
	waits(now.Add(verdictTime - time.Millisecond))
	waits(now.Add(verdictTime))
	if now = now.Add(certainTrialPause); !f.entries[0].ClaimTrial(t.Context(), request, now) {
		t.Fatal("the request was not tried again")
	}
	waits(now)
	f.entries[0].RecordCrash(model.ServerLifetime{Backend: "s9"}, request, now)
	waits(now)
	if diff := cmp.Diff([]bool{false, true, true, false, true, false}, got); diff != "" {
		t.Errorf("whether the other entry waits for the outcome (-want +got):\n%s", diff)
	}
}

package follower

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// gatedStore is one entry's way to the store. It counts calls and fails while the way is cut.
type gatedStore struct {
	storer.Store
	calls atomic.Int64
	// planWatches counts the watches of the plan.
	planWatches atomic.Int64

	mu  sync.Mutex
	cut context.CancelFunc
	way context.Context
}

func newGatedStore(s storer.Store) *gatedStore {
	g := &gatedStore{Store: s}
	g.setCut(false)
	return g
}

func (g *gatedStore) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut != nil {
		g.cut()
	}
	g.way, g.cut = context.WithCancel(context.Background())
	if cut {
		g.cut()
	}
}

func (g *gatedStore) pass(ctx context.Context, kind string, call func(context.Context) (storer.Listing, error)) (storer.Listing, error) {
	g.calls.Add(1)
	g.mu.Lock()
	way := g.way
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(way, cancel)()
	l, err := call(ctx)
	if way.Err() != nil {
		return storer.Listing{}, &storer.Error{Kind: storer.KindUnavailable, Key: kind}
	}
	return l, err
}

func (g *gatedStore) List(ctx context.Context, kind string) (storer.Listing, error) {
	return g.pass(ctx, kind, func(ctx context.Context) (storer.Listing, error) { return g.Store.List(ctx, kind) })
}

func (g *gatedStore) Watch(ctx context.Context, kind string, from model.Revision, wait time.Duration) (storer.Listing, error) {
	if kind == "plans" {
		g.planWatches.Add(1)
	}
	return g.pass(ctx, kind, func(ctx context.Context) (storer.Listing, error) { return g.Store.Watch(ctx, kind, from, wait) })
}

// fleet is a region of entries that follow one store; the first two that choose so are its relays.
type fleet struct {
	platform  *standin.Platform
	followers []*Follower
	stores    []*gatedStore
	silent    []atomic.Bool
	start     time.Time
}

var errSilent = errors.New("the relay does not answer")

func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	fl := &fleet{platform: standin.NewPlatform(), silent: make([]atomic.Bool, n), start: time.Now()}
	fl.put(t, "plans/main", "1")
	fl.put(t, "servers/b1", string(model.BackendReady))
	clock := func() time.Duration { return time.Since(fl.start) }
	var members []model.Instance
	for i := range n {
		members = append(members, model.Instance{
			Instance: model.InstanceID(fmt.Sprint("e", i)), Control: fmt.Sprint(i), Place: model.Place{Region: "lake", Domain: model.DomainID(fmt.Sprint(i % 2))},
		})
	}
	for i := range n {
		fl.stores = append(fl.stores, newGatedStore(fl.platform))
		f := newTestFollower(fl.stores[i], clock)
		f.relayed.relayWait = relayer.NewTiming(0).Wait
		f.cfg.Relays = &Relays{
			Timing: relayer.NewTiming(0), Self: members[i], Members: func() []model.Instance { return members },
			Poll: func(ctx context.Context, address string, in relayer.PollRequest) (relayer.PollReply, error) {
				var to int
				if _, err := fmt.Sscan(address, &to); err != nil {
					t.Errorf("address %q: %v", address, err)
				}
				if fl.silent[to].Load() {
					select {
					case <-ctx.Done():
					case <-time.After(800 * time.Millisecond):
					}
					return relayer.PollReply{}, errSilent
				}
				return fl.followers[to].Feed().Answer(ctx, in, clock), nil
			},
		}
		fl.followers = append(fl.followers, f)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, f := range fl.followers {
		wg.Go(func() { f.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	await(t, "two relays with followers", 4*time.Second, func() bool { return len(fl.relays()) == 2 && len(fl.pollers()) == n-2 })
	return fl
}

func (fl *fleet) put(t *testing.T, key, value string) {
	t.Helper()
	o, err := fl.platform.Get(t.Context(), key)
	if err != nil && !storer.IsKind(err, storer.KindNotFound) {
		t.Fatal(err)
	}
	if _, err := fl.platform.Put(t.Context(), key, []byte(value), o.Revision); err != nil {
		t.Fatal(err)
	}
}

func (fl *fleet) list(wanted func(r *relayState) bool) (out []int) {
	for i, f := range fl.followers {
		f.relayed.mu.Lock()
		if wanted(&f.relayed) {
			out = append(out, i)
		}
		f.relayed.mu.Unlock()
	}
	return out
}

func (fl *fleet) relays() []int  { return fl.list(func(r *relayState) bool { return r.relay }) }
func (fl *fleet) pollers() []int { return fl.list(func(r *relayState) bool { return r.active }) }

func (fl *fleet) knows(i int, server string) bool {
	for _, s := range fl.followers[i].Servers("svc", time.Now()) {
		if s.Backend == model.BackendID(server) {
			return true
		}
	}
	return false
}

func (fl *fleet) fresh(i int) bool {
	ok, _ := fl.followers[i].KeysFresh(time.Since(fl.start))
	return ok
}

// TestRelaysSpareTheStore checks that the entries which follow relays call the store a tenth as often as those
// that watch for themselves, learn of a change within a second, and keep their keys fresh.
func TestRelaysSpareTheStore(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 12)
	pollers := fl.pollers()
	calls := func() (n int64) {
		for _, i := range pollers {
			n += fl.stores[i].calls.Load()
		}
		return n
	}
	// Each entry begins one watch of the plan by itself after its first list, which is no call for a change.
	await(t, "a first watch of the plan at each entry", 5*time.Second, func() bool {
		return !slices.ContainsFunc(pollers, func(i int) bool { return fl.stores[i].planWatches.Load() == 0 })
	})
	before := calls()
	for n := range 4 {
		id := fmt.Sprint("b", n+2)
		fl.put(t, "servers/"+id, string(model.BackendReady))
		await(t, "server "+id+" everywhere", serversGap+time.Second, func() bool {
			for _, i := range pollers {
				if !fl.knows(i, id) {
					return false
				}
			}
			return true
		})
	}
	for _, i := range pollers {
		if !fl.fresh(i) {
			t.Errorf("the keys of entry %d are stale", i)
		}
	}
	// Own watches would take one call for each change and one of the plan every two seconds.
	own := int64(len(pollers) * 4)
	if got := calls() - before; got > own/10 {
		t.Errorf("%d calls to the store for four changes, want at most a tenth of %d", got, own)
	}
	fl.put(t, "plans/main", "22")
	await(t, "the plan everywhere", 2*time.Second, func() bool {
		for _, f := range fl.followers {
			if f.Plan().Version != 2 {
				return false
			}
		}
		return true
	})
}

// TestEntryCutFromStore checks that an entry which the store turns away keeps its keys fresh and learns of backend
// servers through relays, but opens nothing with keys of a plan that is not the newest.
func TestEntryCutFromStore(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 6)
	cut := fl.pollers()[0]
	fl.stores[cut].setCut(true)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !fl.fresh(cut) {
			t.Fatal("keys are stale although relays confirm them")
		}
	}
	fl.put(t, "servers/b2", string(model.BackendReady))
	await(t, "the new server at the entry that is cut", 2*time.Second, func() bool { return fl.knows(cut, "b2") })
	fl.put(t, "plans/main", "22")
	await(t, "the end of freshness", 5*time.Second, func() bool { return !fl.fresh(cut) })
	fl.stores[cut].setCut(false)
	await(t, "the newer plan", 3*time.Second, func() bool { return fl.followers[cut].Plan().Version == 2 && fl.fresh(cut) })
}

// TestRelaysFail checks that entries find changes within the tightest bound that a deployment sets, 2.5 s, when
// their relays fall silent or lose the store, and that an outage of the store for all ends everywhere at once.
func TestRelaysFail(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for name, fail := range map[string]func(fl *fleet, i int){
		"silent":     func(fl *fleet, i int) { fl.silent[i].Store(true) },
		"lost store": func(fl *fleet, i int) { fl.stores[i].setCut(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl := startFleet(t, 6)
			pollers := fl.pollers()
			for _, i := range fl.relays() {
				fail(fl, i)
			}
			fl.put(t, "servers/b2", string(model.BackendReady))
			await(t, "the new server", bound, func() bool {
				for _, i := range pollers {
					if !fl.knows(i, "b2") {
						return false
					}
				}
				return true
			})
		})
	}
	t.Run("first relay", func(t *testing.T) {
		t.Parallel()
		for _, fail := range []func(fl *fleet, i int){
			func(fl *fleet, i int) { fl.silent[i].Store(true) },
			func(fl *fleet, i int) { fl.stores[i].setCut(true) },
		} {
			fl := startFleet(t, 6)
			fail(fl, fl.relays()[0])
			fl.put(t, "servers/b2", string(model.BackendReady))
			await(t, "the new server", bound, func() bool {
				for _, i := range fl.pollers() {
					if !fl.knows(i, "b2") {
						return false
					}
				}
				return len(fl.pollers()) > 0
			})
		}
	})
	t.Run("outage", func(t *testing.T) {
		t.Parallel()
		fl := startFleet(t, 6)
		for _, s := range fl.stores {
			s.setCut(true)
		}
		await(t, "the end of freshness", 6*time.Second, func() bool {
			for i := range fl.followers {
				if fl.fresh(i) {
					return false
				}
			}
			return true
		})
		for _, s := range fl.stores {
			s.calls.Store(0)
			s.setCut(false)
		}
		await(t, "freshness", time.Second, func() bool {
			for i := range fl.followers {
				if !fl.fresh(i) {
					return false
				}
			}
			return true
		})
	})
}

// TestRelayReplacesGap checks that a follower which reads from the store and from relays in turn ends with the
// same servers as the store.
func TestRelayReplacesGap(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 6)
	poller := fl.pollers()[0]
	for n := range 6 {
		for _, i := range fl.relays() {
			fl.silent[i].Store(n%2 == 0)
		}
		fl.put(t, fmt.Sprint("servers/c", n), string(model.BackendReady))
		if n > 2 {
			o, err := fl.platform.Get(t.Context(), fmt.Sprint("servers/c", n-2))
			if err != nil {
				t.Fatal(err)
			}
			if err := fl.platform.Delete(t.Context(), o.Key, o.Revision); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
	want := map[string]bool{"b1": true, "c0": true, "c4": true, "c5": true}
	await(t, "the servers of the store", 4*time.Second, func() bool {
		got := map[string]bool{}
		for _, s := range fl.followers[poller].Servers("svc", time.Now()) {
			got[string(s.Backend)] = true
		}
		return cmp.Equal(want, got)
	})
}

// TestSmallRegion checks that entries whom nobody follows do not watch the plan more often than without relays.
func TestSmallRegion(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 2)
	time.Sleep(planWait)
	var before int64
	for _, s := range fl.stores {
		before += s.calls.Load()
	}
	const watched = 3 * planWait
	time.Sleep(watched)
	var after int64
	for _, s := range fl.stores {
		after += s.calls.Load()
	}
	if limit := int64(len(fl.stores)) * int64(watched/planWait+1); after-before > limit {
		t.Errorf("%d calls in %v, want at most %d", after-before, watched, limit)
	}
}

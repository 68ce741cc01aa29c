package follower

import (
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

var errRubbish = errors.New("rubbish")

// testDecoder decodes a plan's version from the length of its value and takes a server's value as its state and, each
// after an @, its start and its address.
var testDecoder = Decoder{
	IsPlan: func(key string) bool { return key == "plans/main" },
	Plan: func(value []byte) (*model.Plan, error) {
		if strings.Contains(string(value), "rubbish") {
			return nil, errRubbish
		}
		return &model.Plan{Version: int64(len(value))}, nil
	},
	Server: func(o storer.Object) (model.BackendServer, error) {
		if string(o.Value) == "rubbish" {
			return model.BackendServer{}, errRubbish
		}
		id := strings.TrimPrefix(o.Key, "servers/")
		state, rest, _ := strings.Cut(string(o.Value), "@")
		start, address, _ := strings.Cut(rest, "@")
		return model.BackendServer{Backend: model.BackendID(id), Service: "svc", State: model.BackendState(state), StartUnixMilli: parseStart(start), Address: address}, nil
	},
	Order: func(o storer.Object) (model.RolloutOrder, error) {
		service := model.ServiceID(strings.TrimPrefix(o.Key, "orders/"))
		if string(o.Value) == "rubbish" {
			return model.RolloutOrder{Service: service}, errRubbish
		}
		return model.RolloutOrder{Service: service, Version: model.VersionID(o.Value), Revision: o.Revision, Created: o.Created}, nil
	},
}

func parseStart(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func newTestFollower(store storer.Store, clock func() time.Duration) *Follower {
	return New(Config{
		Store: store, Kinds: Kinds{Plan: "plans", Servers: "servers", Orders: "orders", Shared: "marks"}, Decode: testDecoder,
		MaxKeyAge: 5 * time.Second, Clock: clock, Meter: meter.New(), Log: zerolog.Nop(),
	})
}

// TestServers applies answers of the store and checks the resulting backend servers.
func TestServers(t *testing.T) {
	type step struct {
		Full     bool
		Old      bool
		Regained bool
		Restored bool
		// Again gives the objects the revisions that they have already.
		Again  bool
		After  time.Duration
		Put    map[string]string
		Remove []string
		Want   map[model.BackendID]model.BackendState
	}
	b, err := os.ReadFile("testdata/servers.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name  string
		Steps []step
	}
	if err := yaml.UnmarshalWithOptions(b, &cases, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			f := newTestFollower(nil, nil)
			now, revision, revisions := time.Unix(1000, 0), model.Revision(10), map[string]model.Revision{}
			for i, s := range c.Steps {
				now = now.Add(s.After)
				in := batch{full: s.Full, regained: s.Regained || s.Restored, restored: s.Restored}
				if s.Restored {
					revision = model.NewRevision(revision.Era()+1, 0)
				}
				for id, state := range s.Put {
					revision++
					o := storer.Object{Key: "servers/" + id, Revision: revision, Value: []byte(state)}
					if s.Old {
						o.Revision = 1
					}
					if s.Again {
						o.Revision = revisions[id]
					}
					revisions[id] = o.Revision
					in.objects = append(in.objects, o)
				}
				for _, id := range s.Remove {
					revision++
					in.objects = append(in.objects, storer.Object{Key: "servers/" + id, Revision: revision, Deleted: true})
				}
				if s.Full || s.Put != nil || s.Remove != nil {
					f.applyServers(in, now)
				}
				got := map[model.BackendID]model.BackendState{}
				for _, server := range f.Servers("svc", now) {
					got[server.Backend] = server.State
				}
				if diff := cmp.Diff(s.Want, got); diff != "" {
					t.Errorf("servers after step %d (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

// TestOlderPlanIsIgnored checks that the plan in force stays when an older plan, an object of
// another key or an undecodable plan arrives, which is logged once.
func TestOlderPlanIsIgnored(t *testing.T) {
	f := newTestFollower(nil, nil)
	log := &logLines{}
	f.cfg.Log = zerolog.New(log)
	var got []int64
	for _, o := range []storer.Object{
		{Key: "plans/main", Revision: 5, Value: []byte("12345")},
		{Key: "plans/main", Revision: 4, Value: []byte("1234")},
		{Key: "plans/main", Revision: 6, Value: []byte("rubbish")},
		{Key: "plans/main", Revision: 6, Value: []byte("rubbish")},
		{Key: "plans/other", Revision: 7, Value: []byte("1")},
		{Key: "plans/main", Revision: 8, Value: []byte("12345678")},
	} {
		f.applyPlan(batch{objects: []storer.Object{o}}, time.Unix(1000, 0))
		got = append(got, f.Plan().Version)
	}
	if diff := cmp.Diff([]int64{5, 5, 5, 5, 5, 8}, got); diff != "" {
		t.Errorf("versions in force (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, log.count("cannot be decoded")); diff != "" {
		t.Errorf("lines on the undecodable plan (-want +got):\n%s", diff)
	}
}

// TestKeysExpireInAnOutage checks that API keys are no longer fresh once the store has been down for
// MaxKeyAge, by a clock that also counts suspension, and are fresh again soon after it returns.
func TestKeysExpireInAnOutage(t *testing.T) {
	platform := standin.NewPlatform()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if _, err := platform.Put(ctx, "plans/main", []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	f := newTestFollower(platform, func() time.Duration { return time.Since(start) })
	done := run(ctx, f)
	fresh := func() bool { ok, _ := f.KeysFresh(time.Since(start)); return ok }
	await(t, "freshness at the start", 2*time.Second, func() bool { return fresh() && isReady(f) })
	if ok, _ := f.KeysFresh(time.Since(start) + 5*time.Second); ok {
		t.Error("keys are fresh after a suspension of five seconds")
	}
	platform.SetFaults(standin.PlatformFaults{Down: true})
	await(t, "the end of freshness", 6*time.Second, func() bool { return !fresh() })
	platform.SetFaults(standin.PlatformFaults{})
	await(t, "freshness after the outage", time.Second, fresh)
	cancel()
	<-done
}

// TestHistoryGone checks that the follower lists again and so finds a change whose event the store
// lost when it reported that its history is gone.
func TestHistoryGone(t *testing.T) {
	platform := standin.NewPlatform()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start := time.Now()
	f := newTestFollower(&compactingStore{Store: platform}, func() time.Duration { return time.Since(start) })
	rev, err := platform.Put(ctx, "plans/main", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	done := run(ctx, f)
	await(t, "the first plan", 2*time.Second, func() bool { return f.Plan() != nil })
	platform.SetFaults(standin.PlatformFaults{OmitEvents: true})
	if _, err := platform.Put(ctx, "plans/main", []byte("22"), rev); err != nil {
		t.Fatal(err)
	}
	await(t, "the plan whose event was lost", 4*time.Second, func() bool { return f.Plan().Version == 2 })
	cancel()
	<-done
}

// compactingStore is a store whose watches all end with KindCompacted.
type compactingStore struct{ storer.Store }

func (c *compactingStore) Watch(ctx context.Context, kind string, _ model.Revision, _ time.Duration) (storer.Listing, error) {
	select {
	case <-ctx.Done():
	case <-time.After(100 * time.Millisecond):
	}
	return storer.Listing{}, &storer.Error{Kind: storer.KindCompacted, Key: kind}
}

// run starts a follower and returns a channel that is closed when it ends.
func run(ctx context.Context, f *Follower) <-chan struct{} {
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	return done
}

func isReady(f *Follower) bool {
	select {
	case <-f.Ready():
		return true
	default:
		return false
	}
}

func await(t *testing.T, what string, within time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come within %v", what, within)
		}
	}
}

// TestSilentWatch checks that the follower finds an order whose event the store dropped with its
// history. The watch of orders then receives neither events nor an error; only the watch of another
// kind is told that the history is gone.
func TestSilentWatch(t *testing.T) {
	platform := standin.NewPlatform()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if _, err := platform.Put(ctx, "plans/main", []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	store := &silentStore{Store: platform, compacted: make(chan struct{})}
	f := newTestFollower(store, func() time.Duration { return time.Since(start) })
	done := run(ctx, f)
	await(t, "the lists", 2*time.Second, func() bool { return isReady(f) })
	if _, err := platform.Put(ctx, "orders/svc", []byte("v2"), 0); err != nil {
		t.Fatal(err)
	}
	close(store.compacted)
	await(t, "the order whose event was lost", time.Second, func() bool {
		o, ok := f.Order("svc")
		return ok && o.Version == "v2"
	})
	cancel()
	<-done
}

// silentStore is a store that drops its history once: it reports this to the watch of plans, while the
// other watches that wait at that moment receive nothing any more.
type silentStore struct {
	storer.Store
	compacted chan struct{}
	reported  sync.Map
}

func (d *silentStore) Watch(ctx context.Context, kind string, from model.Revision, wait time.Duration) (storer.Listing, error) {
	if _, ok := d.reported.Load(kind); ok {
		return d.Store.Watch(ctx, kind, from, wait)
	}
	dropped := false
	select {
	case <-d.compacted:
		dropped = true
	default:
	}
	if kind != "plans" && !dropped {
		<-ctx.Done()
		return storer.Listing{}, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return storer.Listing{}, ctx.Err()
	case <-d.compacted:
	}
	d.reported.Store(kind, true)
	return storer.Listing{}, &storer.Error{Kind: storer.KindCompacted, Key: kind}
}

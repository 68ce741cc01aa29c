package follower

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// watchedStore is a store that knows on which connection each kind is watched.
type watchedStore struct {
	*standin.Store
	mu      sync.Mutex
	conns   []net.Conn
	waiting map[string]net.Conn
}

// track records a connection and returns the context of its calls.
func (s *watchedStore) track(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return context.WithValue(ctx, connKey{}, c)
}

type connKey struct{}

// ServeHTTP implements http.Handler.
func (s *watchedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if kind := strings.TrimPrefix(r.URL.Path, "/-/objects/"); r.URL.Query().Has("watch") {
		s.mu.Lock()
		s.waiting[kind] = c
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.waiting[kind] == c {
				delete(s.waiting, kind)
			}
		}()
	}
	s.Store.ServeHTTP(w, r)
}

// await waits until all kinds, or all but the one that pauses, are watched and returns their connections.
func (s *watchedStore) await(t *testing.T, without string) map[string]net.Conn {
	t.Helper()
	var got map[string]net.Conn
	await(t, "watches of all kinds", 3*time.Second, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		got = maps.Clone(s.waiting)
		_, paused := got[without]
		return len(got) == 4 || len(got) == 3 && !paused
	})
	return got
}

// idle returns the connections on which none of the watches waits.
func (s *watchedStore) idle(waiting map[string]net.Conn) []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.conns), func(c net.Conn) bool { return slices.Contains(slices.Collect(maps.Values(waiting)), c) })
}

// TestSilentWatchHidesLeavingServer guards against an entry that learns of no changes, of backend servers that leave
// above all, while a connection to the store is silent although it acknowledges what is sent.
func TestSilentWatchHidesLeavingServer(t *testing.T) {
	type silentCase struct {
		Name string
		Form tester.Silence
		// Paused is the kind whose watch pauses after an answer when the connections that are idle fall silent.
		Paused string
		// Silent are the kinds whose watches wait on a connection that falls silent, all connections if there is none.
		Silent []string
		// After is the time from the silence to the change of an object of a kind.
		After  time.Duration
		Change string
	}
	for _, c := range tester.Load[silentCase](t, "silent.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			store := &watchedStore{Store: standin.NewStore(), waiting: map[string]net.Conn{}}
			publish := func(version int) {
				if err := store.Publish(standin.Plan{Version: version, Keys: map[string]string{"key": "org"}}); err != nil {
					t.Fatal(err)
				}
			}
			announce := func(id string, draining bool) {
				if err := store.Announce(standin.Server{ID: id, Service: "desk", Address: "127.0.0.1:" + strconv.Itoa(len(id)), Zone: "a", Version: "1", Slots: 4, Draining: draining, StartUnixMilli: 1}); err != nil {
					t.Fatal(err)
				}
			}
			publish(1)
			announce("old", false)
			l := tester.Listen(t)
			server := &http.Server{Handler: store, ConnContext: store.track}
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { server.Close() })
			start, self := time.Now(), model.Instance{Instance: "e0", Place: model.Place{Region: "lake"}}
			cfg := platformConfig(l.Addr().String(), func() time.Duration { return time.Since(start) }, zerolog.New(zerolog.NewTestWriter(t)))
			cfg.Relays = &Relays{Timing: relayer.NewTiming(applyWithin), Self: self, Members: func() []model.Instance { return nil }}
			f := New(cfg)
			var mu sync.Mutex
			shared := map[string]bool{}
			f.OnSharedObject(func(o storer.Object) {
				mu.Lock()
				defer mu.Unlock()
				shared[o.Key] = true
			})
			runUntilEnd(t, f)
			// The entry decides at its start who reads the store, and watches anew then.
			time.Sleep(time.Second)
			conns := store.await(t, "")
			await(t, "the first server", time.Second, func() bool { return len(f.Servers("desk", time.Now())) == 1 })
			ready := func() (out []model.BackendID) {
				for _, s := range f.Servers("desk", time.Now()) {
					if s.State == model.BackendReady {
						out = append(out, s.Backend)
					}
				}
				return out
			}
			if c.Paused != "" {
				announce("another", false)
				await(t, "the new server", time.Second, func() bool { return len(ready()) == 2 })
				conns = store.await(t, c.Paused)
			}
			var only []net.Conn
			if c.Paused != "" {
				only = store.idle(conns)
			}
			for _, kind := range c.Silent {
				only = append(only, conns[kind])
			}
			l.Silence(t, c.Form, only...)
			time.Sleep(c.After)
			var change func()
			var known func() bool
			set := func(key string, value any) {
				if err := store.Set(key, value); err != nil {
					t.Fatal(err)
				}
			}
			switch c.Change {
			case "servers":
				change = func() { announce("old", true) }
				known = func() bool { return !slices.Contains(ready(), "old") }
			case "config":
				change = func() { publish(2) }
				known = func() bool { return f.Plan().Version == 2 }
			case "rollouts":
				change = func() { set("rollouts/desk", map[string]any{"service": "desk", "target": "2", "duration-s": 12}) }
				known = func() bool { return len(f.Orders()) == 1 }
			case "marks":
				change = func() { set("marks/x", 1) }
				known = func() bool { mu.Lock(); defer mu.Unlock(); return shared["marks/x"] }
			}
			if known() {
				t.Fatal("the change is known before it is made")
			}
			changed := time.Now()
			change()
			await(t, "the change of "+c.Change, 25*time.Second, known)
			took := time.Since(changed)
			t.Logf("the change was known after %v", took)
			if took > applyWithin {
				t.Errorf("the change was known after %v, want %v at most", took, applyWithin)
			}
		})
	}
}

// TestSilentPlanWatchBesideRelaysHidesPlan guards against an entry that relays tell of a newer plan, or that no longer
// hears of them, and that reads it on one idle connection to the store after the other, all of which fell silent.
func TestSilentPlanWatchBesideRelaysHidesPlan(t *testing.T) {
	type silentCase struct {
		Form tester.Silence
		// Relays is set if the connections to the relays fall silent too.
		Relays bool
	}
	for _, c := range tester.Load[silentCase](t, "silent_relays.yaml") {
		t.Run(fmt.Sprintf("%s, relays %v", c.Form, c.Relays), func(t *testing.T) {
			t.Parallel()
			var cutOff atomic.Value
			store := standin.NewStore()
			publish := func(version int) {
				if err := store.Publish(standin.Plan{Version: version, Keys: map[string]string{"key": "org"}}); err != nil {
					t.Fatal(err)
				}
			}
			publish(1)
			var members []model.Instance
			for _, id := range []model.InstanceID{"e0", "e1", "e2", "e3"} {
				members = append(members, model.Instance{Instance: id, Control: string(id), Place: model.Place{Region: "lake"}})
			}
			start, listeners, followers := time.Now(), map[model.InstanceID]*tester.Listener{}, map[string]*Follower{}
			clock := func() time.Duration { return time.Since(start) }
			for _, self := range members {
				l := tester.Listen(t)
				server := &http.Server{Handler: store}
				go func() { _ = server.Serve(l) }()
				t.Cleanup(func() { server.Close() })
				cfg := platformConfig(l.Addr().String(), clock, zerolog.Nop())
				cfg.Relays = &Relays{
					Timing: relayer.NewTiming(applyWithin), Self: self, Members: func() []model.Instance { return members },
					Poll: func(ctx context.Context, address string, in relayer.PollRequest) (relayer.PollReply, error) {
						if cutOff.Load() == self.Instance {
							select {
							case <-ctx.Done():
							case <-time.After(800 * time.Millisecond):
							}
							return relayer.PollReply{}, errSilent
						}
						return followers[address].Feed().Answer(ctx, in, clock), nil
					},
				}
				listeners[self.Instance], followers[self.Control] = l, New(cfg)
			}
			for _, f := range followers {
				runUntilEnd(t, f)
			}
			var told model.InstanceID
			await(t, "an entry that relays tell of changes", 3*time.Second, func() bool {
				for id, f := range followers {
					f.relayed.mu.Lock()
					active := f.relayed.active
					f.relayed.mu.Unlock()
					if active {
						told = model.InstanceID(id)
					}
				}
				return told != ""
			})
			time.Sleep(time.Second)
			f := followers[string(told)]
			// Calls side by side leave idle connections behind.
			var calls sync.WaitGroup
			for range 6 {
				calls.Go(func() {
					if _, err := f.cfg.Store.Watch(t.Context(), "marks", model.NewRevision(1, 1), 100*time.Millisecond); err != nil {
						t.Error(err)
					}
				})
			}
			calls.Wait()
			listeners[told].Silence(t, c.Form)
			if c.Relays {
				cutOff.Store(told)
			}
			changed := time.Now()
			publish(2)
			await(t, "the plan", 25*time.Second, func() bool { return f.Plan().Version == 2 })
			took := time.Since(changed)
			t.Logf("the plan was known after %v", took)
			if took > applyWithin {
				t.Errorf("the plan was known after %v, want %v at most", took, applyWithin)
			}
		})
	}
}

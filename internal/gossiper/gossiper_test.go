package gossiper

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestEntriesExchangeWork checks that entries of one region find each other through the store, sum
// the open work of the others, drop old messages, and ignore work of other regions and messages from
// unknown addresses.
func TestEntriesExchangeWork(t *testing.T) {
	platform := standin.NewPlatform()
	var entries []*Gossiper
	var received [4]atomic.Int64
	for i, region := range []model.RegionID{"lake", "lake", "lake", "hill"} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		work := map[model.BackendID]OpenWork{"b": {Unanswered: i + 1, Backlog: time.Duration(i+1) * 100 * time.Millisecond, Tokens: model.Tokens(i+1) * 10_000}}
		g := New(Config{
			Self: model.InstanceID(fmt.Sprint("e", i)), Place: model.Place{Region: region}, Address: conn.LocalAddr().String(),
			Store: platform, SharedKind: "marks", Local: func() map[model.BackendID]OpenWork { return work }, Log: zerolog.Nop(),
			Topics: []Topic{{
				Broadcasts:  func(time.Time) [][]byte { return nil },
				OnBroadcast: func([]byte, time.Time) { t.Error("a payload arrived under another topic") },
			}, {
				Broadcasts: func(time.Time) [][]byte { return [][]byte{[]byte("news")} },
				OnBroadcast: func(payload []byte, _ time.Time) {
					if string(payload) == "news" {
						received[i].Add(1)
					}
				},
			}},
		})
		entries = append(entries, g)
		go g.Run(t.Context(), conn)
	}
	updateMembers := func() bool {
		l, err := platform.List(t.Context(), "marks/")
		if err != nil {
			t.Fatal(err)
		}
		for _, g := range entries {
			for _, o := range l.Objects {
				g.UpdateMember(o, time.Now())
			}
		}
		return len(l.Objects) == len(entries)
	}
	stranger, err := net.Dial("udp4", entries[0].cfg.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	want := OpenWork{Unanswered: 2 + 3, Backlog: 500 * time.Millisecond, Tokens: 50_000}
	var got OpenWork
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && got != want; time.Sleep(10 * time.Millisecond) {
		if _, err := stranger.Write(encodeWork(map[model.BackendID]OpenWork{"b": {Unanswered: 1000}})); err != nil {
			t.Fatal(err)
		}
		updateMembers()
		got = entries[0].RemoteWork("b", time.Now())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("open work of the others (-want +got):\n%s", diff)
	}
	for i := range received {
		for end := time.Now().Add(2 * time.Second); received[i].Load() == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("entry %d received no broadcast", i)
			}
		}
	}
	if diff := cmp.Diff(OpenWork{}, entries[0].RemoteWork("b", time.Now().Add(time.Second))); diff != "" {
		t.Errorf("open work of the others from old messages (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(OpenWork{}, entries[3].RemoteWork("b", time.Now())); diff != "" {
		t.Errorf("open work in another region (-want +got):\n%s", diff)
	}
}

// TestMemberChangesRegion checks that an entry which comes back in another region at the same address is an entry
// of that region.
func TestMemberChangesRegion(t *testing.T) {
	g := New(Config{Self: "e0", Place: model.Place{Region: "lake"}, SharedKind: "marks", Log: zerolog.Nop()})
	for _, region := range []string{"lake", "hill"} {
		value := fmt.Sprintf(`{"address":"127.0.0.1:7","region":%q}`, region)
		g.UpdateMember(storer.Object{Key: "marks/entry.e1", Value: []byte(value)}, time.Unix(1000, 0))
	}
	if diff := cmp.Diff(model.RegionID("hill"), g.Members()[0].Place.Region); diff != "" {
		t.Errorf("region (-want +got):\n%s", diff)
	}
	if got := g.recipients(false, time.Unix(1000, 0)); len(got) != 0 {
		t.Errorf("work is sent to %v in another region", got)
	}
}

// timedStore holds addresses and when each was written.
type timedStore struct {
	mu      sync.Mutex
	objects map[string]storer.Object
	writes  []time.Time
}

func (s *timedStore) lookUp(key string) (storer.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

func (s *timedStore) Get(_ context.Context, key string) (storer.Object, error) {
	o, ok := s.lookUp(key)
	if !ok {
		return storer.Object{}, &storer.Error{Kind: storer.KindNotFound, Key: key}
	}
	return o, nil
}

func (s *timedStore) Put(_ context.Context, key string, value []byte, _ model.Revision) (model.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, time.Now())
	s.objects[key] = storer.Object{Key: key, Value: value}
	return 1, nil
}

func (s *timedStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

// TestLostAddressesAreNotWrittenAgain checks that entries write their addresses again when a restore of the store has
// lost them, that they do not all do so at once, and that they write none that the store has.
func TestLostAddressesAreNotWrittenAgain(t *testing.T) {
	const entries, kept = 300, 20
	// A tenth of a second may bring a tenth of all writes.
	const window, most = 100 * time.Millisecond, entries / 10
	store := &timedStore{objects: map[string]storer.Object{}}
	var all []*Gossiper
	for i := range entries {
		g := New(Config{Self: model.InstanceID(fmt.Sprint("e", i)), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Store: store, SharedKind: "marks", Log: zerolog.Nop()})
		all = append(all, g)
		go g.publishAddress(t.Context())
	}
	awaitCount := func(within time.Duration) {
		t.Helper()
		for end := time.Now().Add(within); store.count() < entries; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the store has %d of %d addresses after %v", store.count(), entries, within)
			}
		}
	}
	awaitCount(2 * time.Second)
	store.mu.Lock()
	for _, g := range all[kept:] {
		delete(store.objects, g.addressKey())
	}
	store.writes = nil
	store.mu.Unlock()
	for _, g := range all {
		g.RestateLost(store.lookUp)
	}
	awaitCount(restateSpread + time.Second)
	if diff := cmp.Diff(entries-kept, len(store.writes)); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
	for _, from := range store.writes {
		n := 0
		for _, at := range store.writes {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		if n > most {
			t.Fatalf("%d addresses were written within %v, want at most %d", n, window, most)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeWork(map[model.BackendID]OpenWork{"a": {Unanswered: 3, Backlog: time.Second}, "b": {}}))
	f.Add(encodeWork(map[model.BackendID]OpenWork{"a": {Unanswered: 3, Tokens: 12_000}}))
	f.Add([]byte{messageWork, 1, 2, 3})
	f.Add([]byte{messageWorkTokens, 1, 2, 3, 4, 5, 6})
	f.Fuzz(func(t *testing.T, b []byte) {
		work, err := decodeWork(b)
		if err != nil {
			return
		}
		for _, w := range work {
			if w.Unanswered < 0 || w.Backlog < 0 || w.Backlog > time.Hour || w.Tokens < 0 || w.Tokens > maxTokens {
				t.Errorf("message claims %+v", w)
			}
		}
	})
}

// TestOddMemberSilencesOthers checks that the address of an entry that another writer left odd names no entry, and that
// the messages of the other entries count.
func TestOddMemberSilencesOthers(t *testing.T) {
	type memberCase struct {
		Name               string
		Put, Then, Finally map[string]string
		Heard, Want        []string
	}
	for _, c := range tester.Load[memberCase](t, "members.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			g := New(Config{Self: "e0", Address: "10.1.0.9:7", Place: model.Place{Region: "lake"}, SharedKind: "marks", Log: zerolog.Nop()})
			now := time.Unix(1000, 0)
			for _, put := range []map[string]string{c.Put, c.Then, c.Finally} {
				for id, value := range put {
					value = strings.ReplaceAll(value, "{deep}", strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000))
					g.UpdateMember(storer.Object{Key: "marks/entry." + id, Value: []byte(value)}, now)
				}
			}
			for _, from := range c.Heard {
				if err := g.handleMessage(encodeWork(map[model.BackendID]OpenWork{"b": {Unanswered: 1}}), netip.MustParseAddrPort(from), now); err != nil {
					t.Error(err)
				}
			}
			got := []string{}
			for id, m := range g.members {
				if len(m.work) > 0 {
					got = append(got, string(id))
				}
			}
			slices.Sort(got)
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("entries whose work is known (-want +got):\n%s", diff)
			}
			for _, m := range g.Members() {
				if !slices.Contains([]string{"10.1.0.1:7", "10.1.0.2:7"}, m.Control) {
					t.Errorf("%s counts as an entry", m.Control)
				}
			}
		})
	}
}

// TestPacedTopicsFillLinks guards against entries that receive more broadcasts of a paced topic the more entries there
// are: a weak link carries 36 a second from all others, on a fleet of any size.
func TestPacedTopicsFillLinks(t *testing.T) {
	for _, others := range []int{27, 299, 419} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		sent := 0
		g := New(Config{
			Self: "e", Place: model.Place{Region: "lake"}, Address: conn.LocalAddr().String(), Log: zerolog.Nop(),
			Local: func() map[model.BackendID]OpenWork { return nil },
			Topics: []Topic{{Paced: true, Broadcasts: func(time.Time) [][]byte {
				sent++
				return [][]byte{[]byte("news")}
			}}},
		})
		for i := range others {
			g.members[model.InstanceID(fmt.Sprint("o", i))] = &member{addr: netip.MustParseAddrPort("127.0.0.1:9"), crossRegion: true}
		}
		const length = 60 * time.Second
		start := time.Unix(1000, 0)
		for at := time.Duration(0); at < length; at += sendInterval {
			g.sendUpdates(conn, start.Add(at))
		}
		conn.Close()
		if rate := float64(sent*others) / length.Seconds(); rate > 1/pacedInterval.Seconds()+float64(others)/length.Seconds() {
			t.Errorf("with %d others, an entry receives %.0f broadcasts a second", others, rate)
		}
	}
}

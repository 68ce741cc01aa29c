package gossiper

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestEntriesHearEachOther checks that entries of one region find each other through the store,
// sum what the others have open, forget what is old, and leave other regions and strangers out.
func TestEntriesHearEachOther(t *testing.T) {
	platform := standin.NewPlatform()
	var entries []*Gossiper
	var heard [4]atomic.Int64
	for i, region := range []model.RegionID{"lake", "lake", "lake", "hill"} {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		work := map[model.BackendID]OpenWork{"b": {Open: i + 1, Backlog: time.Duration(i+1) * 100 * time.Millisecond}}
		g := New(Config{
			Self: model.InstanceID(fmt.Sprint("e", i)), Place: model.Place{Region: region}, Address: conn.LocalAddr().String(),
			Store: platform, SharedKind: "marks", Local: func() map[model.BackendID]OpenWork { return work }, Log: zerolog.Nop(),
			Broadcasts: func() [][]byte { return [][]byte{[]byte("news")} },
			OnBroadcast: func(news []byte, _ time.Time) {
				if string(news) == "news" {
					heard[i].Add(1)
				}
			},
		})
		entries = append(entries, g)
		go g.Run(t.Context(), conn)
	}
	learned := func() bool {
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
	want := OpenWork{Open: 2 + 3, Backlog: 500 * time.Millisecond}
	var got OpenWork
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && got != want; time.Sleep(10 * time.Millisecond) {
		if _, err := stranger.Write(encode(map[model.BackendID]OpenWork{"b": {Open: 1000}})); err != nil {
			t.Fatal(err)
		}
		learned()
		got = entries[0].RemoteWork("b", time.Now())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("open at the others (-want +got):\n%s", diff)
	}
	for i := range heard {
		for end := time.Now().Add(2 * time.Second); heard[i].Load() == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("entry %d heard no news", i)
			}
		}
	}
	if diff := cmp.Diff(OpenWork{}, entries[0].RemoteWork("b", time.Now().Add(time.Second))); diff != "" {
		t.Errorf("open at the others by old messages (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(OpenWork{}, entries[3].RemoteWork("b", time.Now())); diff != "" {
		t.Errorf("open in another region (-want +got):\n%s", diff)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(map[model.BackendID]OpenWork{"a": {Open: 3, Backlog: time.Second}, "b": {}}))
	f.Add([]byte{form, 1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		work, err := decode(b)
		if err != nil {
			return
		}
		for _, w := range work {
			if w.Open < 0 || w.Backlog < 0 || w.Backlog > time.Hour {
				t.Errorf("message claims %+v", w)
			}
		}
	})
}

package quarantiner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
)

// TestBannedEverywhere checks that a request that crashed backend servers at several entries is
// refused by all of them from the third crash on, and another one is not.
func TestBannedEverywhere(t *testing.T) {
	platform := standin.NewPlatform()
	entries := make([]*Quarantiner, 3)
	for i := range entries {
		entries[i] = New(Config{Store: platform, ObjectKind: "marks", Log: zerolog.Nop()})
	}
	now := time.Now()
	var got []bool
	entries[0].Crashed(7, "a", now)
	got = append(got, entries[0].Banned(7, now))
	entries[0].Crashed(7, "a", now)
	got = append(got, entries[0].Banned(7, now))
	entries[0].Crashed(7, "b", now)
	entries[1].Crashed(7, "c", now)
	learnAll(t, platform, entries)
	entries[1].Crashed(7, "d", now)
	learnAll(t, platform, entries)
	for _, e := range entries {
		got = append(got, e.Banned(7, now), e.Banned(8, now))
	}
	if diff := cmp.Diff([]bool{false, false, true, false, true, false, true, false}, got); diff != "" {
		t.Errorf("banned (-want +got):\n%s", diff)
	}
	if entries[0].Banned(7, now.Add(banFor+time.Minute)) {
		t.Error("still banned long after the last crash")
	}
}

// TestBadMarks checks that marks that cannot be read change nothing.
func TestBadMarks(t *testing.T) {
	q := New(Config{ObjectKind: "marks", Log: zerolog.Nop()})
	for _, o := range []storer.Object{
		{Key: "marks/poison.zz", Value: []byte(`{"servers":["a","b","c"]}`)},
		{Key: "marks/poison.7", Value: []byte(`rubbish`)},
		{Key: "marks/poison.7", Value: []byte(`{}`)},
		{Key: "marks/shift.svc", Value: []byte(`{"servers":["a","b","c"]}`)},
	} {
		q.Merge(o, time.Now())
	}
	if q.Banned(7, time.Now()) {
		t.Error("banned by a mark that names no suspect")
	}
}

// learnAll hands each entry the marks that the store holds once they were written.
func learnAll(t *testing.T, platform *standin.Platform, entries []*Quarantiner) {
	t.Helper()
	time.Sleep(100 * time.Millisecond)
	l, err := platform.List(t.Context(), "marks/")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		for _, o := range l.Objects {
			e.Merge(o, time.Now())
		}
	}
}

package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestBanIsShared checks that all entries refuse a request once it has crashed three backend servers,
// even if different entries saw the crashes, and that they accept another request.
func TestBanIsShared(t *testing.T) {
	platform := standin.NewPlatform()
	entries := make([]*Quarantiner, 3)
	for i := range entries {
		entries[i] = New(Config{Store: platform, SharedKind: "marks", Log: zerolog.Nop()})
	}
	now := time.Now()
	var got []bool
	entries[0].RecordCrash(7, "a", now)
	got = append(got, entries[0].IsBanned(7, now))
	entries[0].RecordCrash(7, "a", now)
	got = append(got, entries[0].IsBanned(7, now))
	entries[0].RecordCrash(7, "b", now)
	entries[1].RecordCrash(7, "c", now)
	mergeAll(t, platform, entries)
	entries[1].RecordCrash(7, "d", now)
	mergeAll(t, platform, entries)
	for _, e := range entries {
		got = append(got, e.IsBanned(7, now), e.IsBanned(8, now))
	}
	if diff := cmp.Diff([]bool{false, false, true, false, true, false, true, false}, got); diff != "" {
		t.Errorf("banned (-want +got):\n%s", diff)
	}
	if entries[0].IsBanned(7, now.Add(banDuration+time.Minute)) {
		t.Error("still banned long after the last crash")
	}
}

// TestUnreadableObjects checks that objects that cannot be read, or that are of another kind, change
// nothing.
func TestUnreadableObjects(t *testing.T) {
	q := New(Config{SharedKind: "marks", Log: zerolog.Nop()})
	for _, o := range []storer.Object{
		{Key: "marks/poison.zz", Value: []byte(`{"servers":["a","b","c"]}`)},
		{Key: "marks/poison.7", Value: []byte(`rubbish`)},
		{Key: "marks/poison.7", Value: []byte(`{}`)},
		{Key: "marks/shift.svc", Value: []byte(`{"servers":["a","b","c"]}`)},
	} {
		q.Merge(o, time.Now())
	}
	if q.IsBanned(7, time.Now()) {
		t.Error("banned by an object that cannot be read")
	}
}

// mergeAll waits until suspects are published and then passes the stored objects to each entry.
func mergeAll(t *testing.T, platform *standin.Platform, entries []*Quarantiner) {
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

// TestUnchangedSuspectIsNotWritten checks that an entry which learns nothing new of a suspect does not write it
// again: each write wakes the watches of all entries.
func TestUnchangedSuspectIsNotWritten(t *testing.T) {
	platform := standin.NewPlatform()
	q := New(Config{Store: platform, SharedKind: "marks", Log: zerolog.Nop()})
	for i := range 12 {
		q.addCrashes(7, []model.BackendID{model.BackendID(fmt.Sprint("b", i))}, time.Now())
	}
	if err := q.write(t.Context(), q.key(7), 7); err != nil {
		t.Fatal(err)
	}
	first, err := platform.Get(t.Context(), q.key(7))
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if err := q.write(t.Context(), q.key(7), 7); err != nil {
			t.Fatal(err)
		}
	}
	last, err := platform.Get(t.Context(), q.key(7))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, last); diff != "" {
		t.Errorf("object after further writes (-first +last):\n%s", diff)
	}
}

package watcher

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestEvaluateLease checks the lease state for the contact times of each case.
func TestEvaluateLease(t *testing.T) {
	b, err := os.ReadFile("testdata/lease_states.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name       string
		Confirmed  time.Duration
		AnsweredAt map[model.RegionID]time.Duration
		Want       LeaseState
	}
	if err := yaml.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			e := ContactTimes{Confirmed: now.Add(-c.Confirmed), AnsweredAt: map[model.RegionID]time.Time{}}
			for r, ago := range c.AnsweredAt {
				e.AnsweredAt[r] = now.Add(-ago)
			}
			if diff := cmp.Diff(c.Want, EvaluateLease(e, 3*time.Second, now)); diff != "" {
				t.Errorf("lease state differs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFeedKeepsNewestRevision applies batches late, twice, out of order and from stale sources.
func TestFeedKeepsNewestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFeed()
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		highest := map[string]model.Revision{}
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			rev := model.Revision(rapid.IntRange(1, 50).Draw(t, "revision"))
			key := DocumentKey(model.ServiceID(fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service"))))
			source := model.Revision(rapid.IntRange(1, 60).Draw(t, "source"))
			before, known := f.Confirmed(), f.Revision()
			now = now.Add(time.Second)
			f.Apply([]storer.Object{{Key: key, Revision: rev, Value: []byte("{}")}}, source, now)
			highest[key] = max(highest[key], rev)
			if source < known && f.Confirmed() != before {
				t.Fatalf("a source at %d confirmed a feed at %d", source, known)
			}
			if f.Revision() < known {
				t.Fatalf("revision fell from %d to %d", known, f.Revision())
			}
		}
		got := map[string]model.Revision{}
		for _, o := range f.Since(cursor{}, "").Objects {
			got[o.Key] = o.Revision
		}
		if diff := cmp.Diff(highest, got); diff != "" {
			t.Fatalf("objects differ from the highest seen (-want +got):\n%s", diff)
		}
	})
}

// TestPollersGetLateObjects guards against lost changes: a relay's watch skips a change and a
// later list finds it. A process that polled in between must still get it.
func TestPollersGetLateObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay, poller := NewFeed(), NewFeed()
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		stored := map[string]storer.Object{}
		from := cursor{}
		poll := func() {
			b := relay.Since(from, "")
			poller.ApplyPoll(b, "", now)
			from = b.cursor
		}
		revision := model.Revision(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.SampledFrom([]string{"seen", "missed", "list", "poll"}).Draw(t, "step") {
			case "seen", "missed":
				revision++
				key := DocumentKey(model.ServiceID(fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service"))))
				o := storer.Object{Key: key, Revision: revision, Value: []byte("{}")}
				stored[key] = o
				if rapid.Bool().Draw(t, "skipped") {
					relay.Apply(nil, revision, now)
				} else {
					relay.Apply([]storer.Object{o}, revision, now)
				}
			case "list":
				var all []storer.Object
				for _, o := range stored {
					all = append(all, o)
				}
				relay.ApplyList(all, "", now)
			case "poll":
				poll()
			}
		}
		poll()
		have := func(f *Feed) map[string]model.Revision {
			out := map[string]model.Revision{}
			for _, o := range f.Since(cursor{}, "").Objects {
				out[o.Key] = o.Revision
			}
			return out
		}
		if diff := cmp.Diff(have(relay), have(poller)); diff != "" {
			t.Fatalf("poller differs (-relay +poller):\n%s", diff)
		}
	})
}

package relayer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

func entryNamed(i int, region model.RegionID) model.Instance {
	return model.Instance{Instance: model.InstanceID(fmt.Sprint("e", i)), Place: model.Place{Region: region, Domain: model.DomainID([]string{"a", "b"}[i%2])}}
}

// TestChoose checks from a table who watches and whom the others ask.
func TestChoose(t *testing.T) {
	type Result struct {
		Relay        bool
		Ask, Domains int
	}
	type choiceCase struct {
		Name            string
		Entries, Others int
		Failed          []model.InstanceID
		Result          `yaml:",inline"`
	}
	for _, c := range tester.Load[choiceCase](t, "choices.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			in := ChooseInput{Self: entryNamed(0, "lake"), FailedUntil: map[model.InstanceID]time.Time{}}
			for i := 1; i < c.Entries; i++ {
				in.Members = append(in.Members, entryNamed(i, "lake"))
			}
			for i := range c.Others {
				in.Members = append(in.Members, entryNamed(100+i, "hill"))
			}
			for _, id := range c.Failed {
				in.FailedUntil[id] = now.Add(time.Second)
			}
			choice := Choose(in, now)
			domains := map[model.DomainID]bool{}
			for _, r := range choice.Ask {
				domains[r.Place.Domain] = true
				if _, failed := in.FailedUntil[r.Instance]; failed {
					t.Errorf("%s is asked although it failed", r.Instance)
				}
			}
			got := Result{Relay: choice.Relay, Ask: len(choice.Ask)}
			if c.Domains > 0 {
				got.Domains = len(domains)
			}
			if diff := cmp.Diff(c.Result, got); diff != "" {
				t.Errorf("choice (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRelaysPerRegion checks that the number of watching entries stays a small part of a large region, and that
// the loss of a relay moves only its followers.
func TestRelaysPerRegion(t *testing.T) {
	const entries = 140
	var all []model.Instance
	for i := range entries {
		all = append(all, entryNamed(i, "lake"))
	}
	relays := func(failed map[model.InstanceID]time.Time) map[model.InstanceID]bool {
		out := map[model.InstanceID]bool{}
		for _, self := range all {
			if Choose(ChooseInput{Self: self, Members: all, FailedUntil: failed}, time.Unix(1000, 0)).Relay {
				out[self.Instance] = true
			}
		}
		return out
	}
	before := relays(nil)
	if len(before) != 2*((entries/2+entriesPerRelay-1)/entriesPerRelay) {
		t.Errorf("%d relays for %d entries", len(before), entries)
	}
	var lost model.InstanceID
	for id := range before {
		lost = id
	}
	after := relays(map[model.InstanceID]time.Time{lost: time.Unix(2000, 0)})
	for id := range before {
		if id != lost && !after[id] {
			t.Errorf("%s is no relay any more after the loss of %s", id, lost)
		}
	}
}

// TestLateReply checks that a reply which was delayed on its way is only older.
func TestLateReply(t *testing.T) {
	f := NewFeed()
	f.Confirm(7, 90*time.Second)
	clock := 100 * time.Second
	reply := f.Answer(cancelled(t), PollRequest{}, func() time.Duration { return clock })
	if diff := cmp.Diff(PollReply{Confirmed: true, Plan: 7, Age: 10 * time.Second}, reply); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	// The poll was sent at 40 s by the clock of its sender, which may receive the reply at any time.
	if diff := cmp.Diff(30*time.Second, reply.AsOf(40*time.Second)); diff != "" {
		t.Errorf("as of (-want +got):\n%s", diff)
	}
}

// world is a store of one kind with all its revisions.
type world struct {
	era    model.Era
	events []storer.Object
}

// position returns the revision of the n-th event of the current era.
func (w *world) position(n int) model.Revision { return model.NewRevision(w.era, int64(n)) }

func (w *world) newest() model.Revision { return w.position(len(w.events)) }

// restore goes back to the n-th event; all revisions are of a new era from then on.
func (w *world) restore(n int) {
	w.era++
	w.events = w.events[:n]
	for i := range w.events {
		w.events[i].Revision = model.NewRevision(w.era, w.events[i].Revision.Change())
	}
}

// at returns the objects after the first n events.
func (w *world) at(n int) map[string]model.Revision {
	out := map[string]model.Revision{}
	for _, e := range w.events[:n] {
		if e.Deleted {
			delete(out, e.Key)
		} else {
			out[e.Key] = e.Revision
		}
	}
	return out
}

// since answers a watch, or a list if full is set or the revision is of an earlier era.
func (w *world) since(from model.Revision, full bool) Update {
	u := Update{Revision: w.newest(), Full: full || from.Era() != w.era}
	if !u.Full {
		u.Objects = append(u.Objects, w.events[from.Change():]...)
		return u
	}
	for key, r := range w.at(len(w.events)) {
		u.Objects = append(u.Objects, storer.Object{Key: key, Revision: r})
	}
	return u
}

func (f *Feed) objects(kind string) map[string]model.Revision {
	out := map[string]model.Revision{}
	for key, r := range f.kinds[kind].rows {
		if !r.object.Deleted {
			out[key] = r.object.Revision
		}
	}
	return out
}

// TestHistories lets entries read from the store and from each other in any order, late and with removals
// forgotten, and checks that each always holds the objects of its revision and never an earlier one.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		feeds := []*Feed{NewFeed(), NewFeed(), NewFeed(), NewFeed()}
		now := time.Duration(0)
		for _, f := range feeds {
			f.Apply("k", w.since(0, true), now)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
			f := feeds[rapid.IntRange(0, len(feeds)-1).Draw(t, "entry")]
			before := f.Revision("k")
			switch rapid.SampledFrom([]string{"write", "write", "watch", "list", "poll", "poll", "restore"}).Draw(t, "step") {
			case "write":
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				o := storer.Object{Key: key, Revision: w.position(len(w.events) + 1)}
				if r, ok := w.at(len(w.events))[key]; ok && rapid.Bool().Draw(t, "removed") {
					o.Revision, o.Deleted = r, true
				}
				w.events = append(w.events, o)
			case "restore":
				w.restore(rapid.IntRange(0, len(w.events)).Draw(t, "copy"))
			case "watch":
				f.Apply("k", w.since(before, false), now)
			case "list":
				f.Apply("k", w.since(before, true), now)
			case "poll":
				relay := feeds[rapid.IntRange(0, len(feeds)-1).Draw(t, "relay")]
				reply := relay.reply(PollRequest{Known: map[string]model.Revision{"k": before}})
				if u, ok := reply.Kinds["k"]; ok {
					f.Apply("k", u, now)
				}
			}
			after := f.Revision("k")
			if after < before {
				t.Fatalf("revision fell from %v to %v", before, after)
			}
			if after.Era() != w.era {
				// What the feed knows is of a history that is gone.
				continue
			}
			if diff := cmp.Diff(w.at(int(after.Change())), f.objects("k")); diff != "" {
				t.Fatalf("objects at revision %v (-want +got):\n%s", after, diff)
			}
		}
	})
}

// cancelled returns a context that has ended, so that a poll is not held.
func cancelled(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

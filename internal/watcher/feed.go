package watcher

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Feed holds the newest known object of every key; revisions only rise.
type Feed struct {
	mu        sync.Mutex
	id        string
	seq       uint64
	learnt    map[string]uint64
	objects   map[string]storer.Object
	revision  model.Revision
	confirmed time.Time
	changed   chan struct{}
	catalogue atomic.Pointer[Catalogue]
}

// NewFeed returns an empty feed.
func NewFeed() *Feed {
	f := &Feed{
		id: strconv.FormatUint(rand.Uint64(), 36), learnt: map[string]uint64{},
		objects: map[string]storer.Object{}, changed: make(chan struct{}),
	}
	f.catalogue.Store(newCatalogue())
	return f
}

// Catalogue returns what is in force.
func (f *Feed) Catalogue() *Catalogue { return f.catalogue.Load() }

// ID names the feed; places in it mean nothing to another one.
func (f *Feed) ID() string { return f.id }

// Confirmed returns when the feed was last known to be current.
func (f *Feed) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Revision returns the revision up to which the feed is complete.
func (f *Feed) Revision() model.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Apply takes objects from a source that was complete up to revision at confirmed.
// An object older than the known one is dropped; a source older than the feed, such as
// a stale read, confirms nothing.
func (f *Feed) Apply(objects []storer.Object, revision model.Revision, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.take(objects)
	if revision >= f.revision {
		f.revision = revision
		f.confirm(confirmed)
	}
}

// ApplyList takes a whole list of what concerns a service, read at confirmed. A list that
// lacks something known, or has it older, is a stale read: it confirms nothing. The list's
// own revision is not trusted as a place to continue from, since a stale list may carry a
// new one.
func (f *Feed) ApplyList(objects []storer.Object, service model.ServiceID, confirmed time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]model.Revision, len(objects))
	newest := model.Revision(0)
	for _, o := range objects {
		listed[o.Key] = o.Revision
		newest = max(newest, o.Revision)
	}
	stale := false
	for key, o := range f.objects {
		stale = stale || concerns(key, service) && listed[key] < o.Revision
	}
	f.take(objects)
	if stale {
		return false
	}
	if f.revision == 0 {
		f.revision = newest
	}
	f.confirm(confirmed)
	return true
}

// Skip continues from a later revision, after a watch that was too old was replaced by a
// list that was not stale.
func (f *Feed) Skip(revision model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = max(f.revision, revision)
}

func (f *Feed) confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// take puts the newer objects in force.
func (f *Feed) take(objects []storer.Object) {
	var fresh []storer.Object
	for _, o := range objects {
		if o.Revision > f.objects[o.Key].Revision {
			f.seq++
			f.learnt[o.Key] = f.seq
			f.objects[o.Key] = o
			fresh = append(fresh, o)
		}
	}
	if len(fresh) > 0 {
		f.catalogue.Store(f.catalogue.Load().with(fresh))
		f.notify()
	}
}

// Wake ends all waits, so that their callers look again.
func (f *Feed) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify()
}

func (f *Feed) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// cursor is a place in a feed's own order of learning. Revisions are no such place: a change
// that a watch skipped is learnt later than newer ones.
type cursor struct {
	feed string
	seq  uint64
}

// Batch is a consistent answer to a poll: every object that the poller lacks, the place to go
// on from, and the newest revision of all that concerns it.
type Batch struct {
	Objects   []storer.Object
	Newest    model.Revision
	Confirmed time.Time
	Changed   <-chan struct{}
	cursor    cursor
}

// Since returns the objects learnt after a place that concern the service; Changed closes on
// the next change. A place in another feed says nothing here, so all objects are returned.
func (f *Feed) Since(from cursor, service model.ServiceID) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.feed != f.id {
		from.seq = 0
	}
	b := Batch{Confirmed: f.confirmed, Changed: f.changed, cursor: cursor{f.id, f.seq}}
	for key, o := range f.objects {
		if !concerns(key, service) {
			continue
		}
		b.Newest = max(b.Newest, o.Revision)
		if f.learnt[key] > from.seq {
			b.Objects = append(b.Objects, o)
		}
	}
	return b
}

// ApplyPoll takes a relay's batch, which was current at confirmed. A relay that lacks what is
// known here, such as one that started on a stale read, confirms nothing.
func (f *Feed) ApplyPoll(b Batch, service model.ServiceID, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.take(b.Objects)
	newest := model.Revision(0)
	for key, o := range f.objects {
		if concerns(key, service) {
			newest = max(newest, o.Revision)
		}
	}
	if b.Newest >= newest {
		f.confirm(confirmed)
	}
}

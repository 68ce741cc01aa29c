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

// Feed holds the newest known object of every key. An object is only ever replaced by one with a
// higher revision.
type Feed struct {
	mu        sync.Mutex
	id        string
	seq       uint64
	seqByKey  map[string]uint64
	objects   map[string]storer.Object
	revision  model.Revision
	confirmed time.Time
	changed   chan struct{}
	catalogue atomic.Pointer[Catalogue]
}

// NewFeed returns an empty feed.
func NewFeed() *Feed {
	f := &Feed{
		id: strconv.FormatUint(rand.Uint64(), 36), seqByKey: map[string]uint64{},
		objects: map[string]storer.Object{}, changed: make(chan struct{}),
	}
	f.catalogue.Store(newCatalogue())
	return f
}

// Catalogue returns the active configuration.
func (f *Feed) Catalogue() *Catalogue { return f.catalogue.Load() }

// ID identifies the feed; a cursor of one feed means nothing in another.
func (f *Feed) ID() string { return f.id }

// Confirmed returns when the feed was last known to be current; zero means never.
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

// Apply adds objects from a source that was complete up to revision at the time confirmed. It drops
// an object that is older than the known one. A source that is older than the feed, such as a stale
// read, does not confirm the feed.
func (f *Feed) Apply(objects []storer.Object, revision model.Revision, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeNewer(objects)
	if revision >= f.revision {
		f.revision = revision
		f.advanceConfirmed(confirmed)
	}
}

// ApplyList adds a complete list of the objects that are relevant to a service, read at the time
// confirmed. It returns false for a stale read: one that lacks a known object or has an older
// revision of it. A stale read does not confirm the feed. The watch does not continue from the
// list's own revision, because a stale list may carry a new one.
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
		stale = stale || isRelevant(key, service) && listed[key] < o.Revision
	}
	f.storeNewer(objects)
	if stale {
		return false
	}
	if f.revision == 0 {
		f.revision = newest
	}
	f.advanceConfirmed(confirmed)
	return true
}

// AdvanceTo continues the watch from a later revision. It is called when the platform has compacted
// the watch's revision and a list that is not stale has filled the gap.
func (f *Feed) AdvanceTo(revision model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = max(f.revision, revision)
}

func (f *Feed) advanceConfirmed(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// storeNewer stores the objects that are newer than the known ones and updates the catalogue.
func (f *Feed) storeNewer(objects []storer.Object) {
	var newer []storer.Object
	for _, o := range objects {
		if o.Revision > f.objects[o.Key].Revision {
			f.seq++
			f.seqByKey[o.Key] = f.seq
			f.objects[o.Key] = o
			newer = append(newer, o)
		}
	}
	if len(newer) > 0 {
		f.catalogue.Store(f.catalogue.Load().withObjects(newer))
		f.wakeLocked()
	}
}

// Wake ends all waits for a change, so that the waiting callers read the feed again.
func (f *Feed) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wakeLocked()
}

func (f *Feed) wakeLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// cursor is a position in the order in which a feed learnt its objects. A revision cannot serve as
// a position, because a change that a watch skipped is learnt after newer ones.
type cursor struct {
	feed string
	seq  uint64
}

// Batch is a consistent answer to a poll: every object that the poller lacks, the cursor to
// continue from, and the newest revision of all objects that are relevant to the poller.
type Batch struct {
	Objects   []storer.Object
	Newest    model.Revision
	Confirmed time.Time
	Changed   <-chan struct{}
	cursor    cursor
}

// Since returns the objects relevant to the service that the feed learnt after a cursor; Changed
// closes on the next change. For a cursor of another feed it returns all relevant objects.
func (f *Feed) Since(from cursor, service model.ServiceID) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.feed != f.id {
		from.seq = 0
	}
	b := Batch{Confirmed: f.confirmed, Changed: f.changed, cursor: cursor{f.id, f.seq}}
	for key, o := range f.objects {
		if !isRelevant(key, service) {
			continue
		}
		b.Newest = max(b.Newest, o.Revision)
		if f.seqByKey[key] > from.seq {
			b.Objects = append(b.Objects, o)
		}
	}
	return b
}

// ApplyPoll adds a relay's batch, which was current at the time confirmed. A relay that lacks a
// known object, such as one that started on a stale read, does not confirm the feed.
func (f *Feed) ApplyPoll(b Batch, service model.ServiceID, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeNewer(b.Objects)
	newest := model.Revision(0)
	for key, o := range f.objects {
		if isRelevant(key, service) {
			newest = max(newest, o.Revision)
		}
	}
	if b.Newest >= newest {
		f.advanceConfirmed(confirmed)
	}
}

package relayer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// tombstoneTime is how long a removed object is remembered; pollers that come later get all objects.
const tombstoneTime = time.Minute

// followedTime is how long an entry counts as followed after the last poll of another one.
const followedTime = 5 * time.Second

// Feed holds the newest state of the objects that an entry knows, in the form in which it passes them on.
type Feed struct {
	mu    sync.Mutex
	kinds map[string]*kindFeed
	// plan is the revision of the plan, confirmedAt the time since boot as of which it was the newest.
	plan          model.Revision
	confirmedAt   time.Duration
	everConfirmed bool
	// version is the version of the plan in force.
	version int64
	// regainedAt is when the store answered again after its last outage.
	regainedAt time.Duration
	regained   bool
	// polledAt is when another entry last polled this one.
	polledAt time.Duration
	polled   bool
	// changed is closed at the next change or confirmation.
	changed chan struct{}
}

// kindFeed holds the objects of one kind.
type kindFeed struct {
	revision model.Revision
	// horizon is the revision up to which removals are forgotten.
	horizon model.Revision
	rows    map[string]row
}

// row is an object or its removal, and the store's revision when this entry learned of it, which is at least
// that of the change.
type row struct {
	object    storer.Object
	learnedAt model.Revision
	removedAt time.Duration
}

// NewFeed returns a feed that knows nothing.
func NewFeed() *Feed { return &Feed{kinds: map[string]*kindFeed{}, changed: make(chan struct{})} }

// Revision returns the store's revision up to which a kind is known, or 0 if it was never listed.
func (f *Feed) Revision(kind string) model.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.kinds[kind]; k != nil {
		return k.revision
	}
	return 0
}

// Apply adds changes of a kind up to a revision. With full set, objects holds all objects of the kind. An
// update that is older than what is known is ignored. Now is a time since boot.
func (f *Feed) Apply(kind string, u Update, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k == nil {
		if !u.Full {
			return
		}
		k = &kindFeed{rows: map[string]row{}, horizon: u.Revision}
		f.kinds[kind] = k
	}
	if u.Revision < k.revision {
		return
	}
	if u.Full {
		k.removeMissing(u, now)
		// Objects may have come and gone since the last revision that is known here.
		if u.Revision > k.revision {
			k.horizon = u.Revision
		}
	}
	for _, o := range u.Objects {
		k.put(o, u.Revision, now)
	}
	k.revision = u.Revision
	k.forgetRemoved(now)
	f.wake()
}

func (k *kindFeed) removeMissing(u Update, now time.Duration) {
	present := make(map[string]bool, len(u.Objects))
	for _, o := range u.Objects {
		present[o.Key] = true
	}
	for key, r := range k.rows {
		if !present[key] && !r.object.Deleted {
			k.put(storer.Object{Key: key, Revision: r.object.Revision, Deleted: true, Value: r.object.Value}, u.Revision, now)
		}
	}
}

func (k *kindFeed) put(o storer.Object, learned model.Revision, now time.Duration) {
	known, ok := k.rows[o.Key]
	if ok && known.object.Revision > o.Revision || ok && known.object.Revision == o.Revision && known.object.Deleted == o.Deleted {
		return
	}
	k.rows[o.Key] = row{object: o, learnedAt: learned, removedAt: now}
}

// forgetRemoved drops removals that are older than tombstoneTime.
func (k *kindFeed) forgetRemoved(now time.Duration) {
	for key, r := range k.rows {
		if r.object.Deleted && now-r.removedAt > tombstoneTime {
			k.horizon = max(k.horizon, r.learnedAt)
			delete(k.rows, key)
		}
	}
}

// Confirm records that the plan's newest revision was plan as of a time since boot.
func (f *Feed) Confirm(plan model.Revision, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.everConfirmed && at <= f.confirmedAt {
		return
	}
	f.plan, f.confirmedAt, f.everConfirmed = plan, at, true
	f.wake()
}

// SetVersion records the version of the plan in force.
func (f *Feed) SetVersion(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = version
}

// IsFollowed reports whether another entry polled this one lately; now is a time since boot.
func (f *Feed) IsFollowed(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polled && now-f.polledAt < followedTime
}

// Regain records that the store answered again at a time since boot after an outage.
func (f *Feed) Regain(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regainedAt, f.regained = at, true
}

// wake tells waiting polls to look again; the caller holds the lock.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// since returns the changes of a kind after a revision, or nil if there are none; the caller holds the lock.
func (f *Feed) since(kind string, from model.Revision) *Update {
	k := f.kinds[kind]
	if k == nil || k.revision <= from {
		return nil
	}
	u := &Update{Revision: k.revision, Full: from < k.horizon}
	for _, r := range k.rows {
		if u.Full && !r.object.Deleted || !u.Full && r.learnedAt > from {
			u.Objects = append(u.Objects, r.object)
		}
	}
	slices.SortFunc(u.Objects, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
	if len(u.Objects) == 0 && !u.Full {
		return nil
	}
	return u
}

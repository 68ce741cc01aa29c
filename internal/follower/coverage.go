package follower

import (
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// deliveryTime is how much later than another call a watch may bring a change: the response time of a slow store.
	deliveryTime = 300 * time.Millisecond
	// maxDeliveryTime is the same for a change whose own watch may be about to read it: it pauses for serversGap, or
	// has just been sent.
	maxDeliveryTime = 700 * time.Millisecond
	// maxKnownChanges bounds the changes that are remembered one by one; those forgotten are read again.
	maxKnownChanges = 4096
	// coverageInterval is the interval at which missing changes are looked for while there are any.
	coverageInterval = 50 * time.Millisecond
)

// coverage tells which watches miss changes. The store has one counter of changes for all kinds, and each answer names
// its state. So an answer to any call shows that there is a change which no watch has brought: one of them waits on a
// connection that fell silent, whatever the kernel at its other end acknowledges.
type coverage struct {
	kinds  map[string]*covered
	newest model.Revision
	// known holds the changes above the lowest upTo, in order.
	known []model.Revision
}

// covered is what is known of one kind.
type covered struct {
	// upTo is the revision up to which all changes of the kind are known, 0 before the first answer.
	upTo model.Revision
	// waiting is set while a call waits for an answer; since is when the last call began or ended.
	waiting bool
	since   time.Time
	// suspect is the revision up to which a change was first missing, at suspectAt; 0 if none is.
	suspect   model.Revision
	suspectAt time.Time
}

func newCoverage() coverage { return coverage{kinds: map[string]*covered{}} }

func (c *coverage) kind(name string) *covered {
	k := c.kinds[name]
	if k == nil {
		k = &covered{}
		c.kinds[name] = k
	}
	return k
}

// noteCall records that a call for a kind begins.
func (c *coverage) noteCall(kind string, now time.Time) {
	k := c.kind(kind)
	k.waiting, k.since = true, now
}

// noteEnd records that a call for a kind ended, with or without an answer.
func (c *coverage) noteEnd(kind string, now time.Time) {
	k := c.kind(kind)
	k.waiting, k.since = false, now
}

// noteAnswer records an answer, which holds all changes of a kind up to its revision.
func (c *coverage) noteAnswer(kind string, l storer.Listing) {
	k := c.kind(kind)
	k.upTo = max(k.upTo, l.Revision)
	c.newest = max(c.newest, l.Revision)
	for _, o := range l.Objects {
		for _, at := range []model.Revision{o.Created, o.Revision} {
			if i, ok := slices.BinarySearch(c.known, at); !ok {
				c.known = slices.Insert(c.known, i, at)
			}
		}
	}
	c.forget()
}

// forget drops the changes that all kinds cover, and the oldest ones of too many.
func (c *coverage) forget() {
	lowest := c.newest
	for _, k := range c.kinds {
		lowest = min(lowest, k.upTo)
	}
	n, _ := slices.BinarySearch(c.known, lowest+1)
	n = max(n, len(c.known)-maxKnownChanges)
	c.known = slices.Delete(c.known, 0, n)
}

// misses reports whether there may be a change of a kind up to a revision that is not known: a number that no known object
// of any kind has.
func (c *coverage) misses(k *covered, upTo model.Revision) bool {
	if k.upTo == 0 || k.upTo >= upTo {
		return false
	}
	first, _ := slices.BinarySearch(c.known, k.upTo+1)
	end, _ := slices.BinarySearch(c.known, upTo+1)
	return model.Revision(end-first) < upTo-k.upTo
}

// overdue returns the kinds whose call waits although the store has a change that it should have brought, and after how
// long to ask again, 0 if there is nothing to wait for. With silent set, another call has just found its connection
// silent, and no time is given.
func (c *coverage) overdue(now time.Time, silent bool) (kinds []string, next time.Duration) {
	allowed := deliveryTime
	for _, k := range c.kinds {
		if k.suspect != 0 && !c.misses(k, k.suspect) {
			k.suspect = 0
		}
		if k.suspect == 0 && c.misses(k, c.newest) {
			k.suspect, k.suspectAt = c.newest, now
		}
		if k.suspect != 0 && (!k.waiting || now.Sub(k.since) < deliveryTime) {
			allowed = maxDeliveryTime
		}
	}
	for name, k := range c.kinds {
		switch {
		case k.suspect == 0 || !k.waiting && now.Sub(k.since) > maxDeliveryTime:
			// A kind that nobody reads is told of by relays, or the store is lost.
		case k.waiting && (silent || now.Sub(k.suspectAt) >= allowed && now.Sub(k.since) >= deliveryTime):
			k.suspect = 0
			kinds = append(kinds, name)
		default:
			next = coverageInterval
		}
	}
	slices.Sort(kinds)
	return kinds, next
}

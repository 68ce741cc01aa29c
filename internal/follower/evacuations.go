package follower

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// lostEvacuationGrace is how long an evacuation stays in force that a copy of the store lacks. Its operator has not
	// taken it back, and can write it again.
	lostEvacuationGrace = 10 * time.Minute
	// withdrawnTTL is how long it is remembered that an evacuation was taken back; copies of the store are much younger.
	withdrawnTTL = 10 * time.Minute
)

// evacuationTable holds the failure domains that operators have emptied.
type evacuationTable struct {
	inForce map[model.DomainID]evacuation
	// withdrawn holds the evacuations that were taken back: a copy of the store may still have them.
	withdrawn map[evacuationID]time.Time
	// outdated holds the revisions of the objects that a copy of the store still has although they were removed.
	outdated map[model.DomainID]model.Revision
	// ended holds when the evacuation of a domain was taken back.
	ended map[model.DomainID]time.Time
	// unreadable holds the revisions of the objects whose content cannot be read.
	unreadable map[model.DomainID]model.Revision
	// snapshot is what readers see; nil while there was no evacuation.
	snapshot atomic.Pointer[model.Evacuations]
}

// evacuationID identifies an evacuation that a copy of the store still has. The number of the change that created it is
// the same in the copy, in another era.
type evacuationID struct {
	domain model.DomainID
	change int64
}

type evacuation struct {
	model.Evacuation
	id evacuationID
}

func newEvacuationTable() *evacuationTable {
	return &evacuationTable{
		inForce: map[model.DomainID]evacuation{}, withdrawn: map[evacuationID]time.Time{}, outdated: map[model.DomainID]model.Revision{},
		ended: map[model.DomainID]time.Time{}, unreadable: map[model.DomainID]model.Revision{},
	}
}

// put puts an evacuation in force and reports whether it is new. With restored set, the object is among the first of a
// copy of the store.
func (t *evacuationTable) put(d model.DomainID, o storer.Object, restored bool, now time.Time) bool {
	id := evacuationID{domain: d, change: o.Created.Change()}
	if _, withdrawn := t.withdrawn[id]; withdrawn && restored {
		t.outdated[d] = o.Revision
		return false
	}
	if at, ok := t.outdated[d]; ok && at == o.Revision {
		return false
	}
	delete(t.outdated, d)
	known, ok := t.inForce[d]
	if ok && o.Revision < known.Revision {
		return false
	}
	e := evacuation{id: id, Evacuation: model.Evacuation{Since: now, Revision: o.Revision}}
	if ok {
		e.Since = known.Since
	}
	if ok && known.id != id {
		// The end of the known one was missed.
		t.withdrawn[known.id] = now
	}
	t.inForce[d] = e
	return !ok || known.id != id
}

// remove takes an evacuation back and reports whether it was in force.
func (t *evacuationTable) remove(d model.DomainID, at model.Revision, now time.Time) bool {
	known, ok := t.inForce[d]
	if !ok || at != 0 && at < known.Revision {
		return false
	}
	delete(t.inForce, d)
	t.withdrawn[known.id], t.ended[d] = now, now
	return true
}

// keepListed takes the evacuations back that a list of all lacks. Those that a copy of the store lacks stay in force for
// lostEvacuationGrace.
func (t *evacuationTable) keepListed(listed map[model.DomainID]bool, restored bool, now time.Time) (removed []model.DomainID) {
	isGone := func(d model.DomainID, _ model.Revision) bool { return !listed[d] }
	maps.DeleteFunc(t.unreadable, isGone)
	maps.DeleteFunc(t.outdated, isGone)
	for d, e := range t.inForce {
		switch {
		case listed[d]:
		case restored && e.Until.IsZero():
			e.Until = now.Add(lostEvacuationGrace)
			t.inForce[d] = e
		case e.Until.IsZero():
			t.remove(d, 0, now)
			removed = append(removed, d)
		}
	}
	return removed
}

// forgetOld removes what a copy of the store can no longer hold.
func (t *evacuationTable) forgetOld(now time.Time) {
	maps.DeleteFunc(t.inForce, func(_ model.DomainID, e evacuation) bool { return isDue(e.Until, now) })
	maps.DeleteFunc(t.withdrawn, func(_ evacuationID, at time.Time) bool { return now.Sub(at) > withdrawnTTL })
	maps.DeleteFunc(t.ended, func(_ model.DomainID, at time.Time) bool { return now.Sub(at) > withdrawnTTL })
}

// publish shows the table to readers.
func (t *evacuationTable) publish() {
	s := &model.Evacuations{InForce: make(map[model.DomainID]model.Evacuation, len(t.inForce)), Withdrawn: maps.Clone(t.ended)}
	for d, e := range t.inForce {
		s.InForce[d] = e.Evacuation
	}
	t.snapshot.Store(s)
}

func (f *Follower) applyEvacuations(b batch, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.evacuations
	listed := map[model.DomainID]bool{}
	for _, o := range b.objects {
		d, err := f.cfg.Decode.Evacuation(o)
		if o.Deleted {
			delete(t.unreadable, d)
			delete(t.outdated, d)
			if t.remove(d, o.Revision, now) {
				f.logWithdrawal(d, o.Revision)
			}
			continue
		}
		listed[d] = true
		if err != nil && t.unreadable[d] != o.Revision {
			t.unreadable[d] = o.Revision
			f.cfg.Log.Warn().Err(err).Str("domain", string(d)).Int64("revision", o.Revision.Change()).
				Msg("follower: content of an evacuation cannot be read, its name alone is obeyed")
		}
		if t.put(d, o, b.restored, now) {
			f.logEvacuation(d, o.Revision)
		}
	}
	if b.full {
		for _, d := range t.keepListed(listed, b.restored, now) {
			f.logWithdrawal(d, 0)
		}
	}
	t.forgetOld(now)
	t.publish()
	f.cfg.Meter.SetGauge("evacuations/in_force", len(t.inForce))
}

func (f *Follower) logEvacuation(d model.DomainID, at model.Revision) {
	servers := 0
	for _, r := range f.servers.rows {
		if !r.unreadable && r.server.Place.Domain == d {
			servers++
		}
	}
	f.cfg.Log.Info().Str("domain", string(d)).Int64("revision", at.Change()).Uint32("era", uint32(at.Era())).Int("servers", servers).
		Msg("follower: failure domain is evacuated, its backend servers get no requests")
}

func (f *Follower) logWithdrawal(d model.DomainID, at model.Revision) {
	f.cfg.Log.Info().Str("domain", string(d)).Int64("revision", at.Change()).Uint32("era", uint32(at.Era())).
		Msg("follower: evacuation of the failure domain was taken back")
}

// Evacuations returns the failure domains that operators have emptied; nil while there were none.
func (f *Follower) Evacuations() *model.Evacuations { return f.evacuations.snapshot.Load() }

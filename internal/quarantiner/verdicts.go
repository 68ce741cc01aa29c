package quarantiner

import (
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// verdictTime is how long after the begin of a trial its outcome may be waited for.
	verdictTime = 2 * time.Second
	// listedTime is how long a backend server that crashed may still be listed as ready.
	listedTime = 10 * time.Second
)

// beginTrial tells the other entries of a trial. The caller holds the lock.
func (q *Quarantiner) beginTrial(traits []model.Trait, now time.Time) {
	q.cfg.Meter.Count("quarantine/tried", 1)
	q.awaitVerdict(traits, now)
	for _, t := range q.tried(traits, now) {
		q.send(message{Tried: []model.TraitID{t.ID}})
		q.cfg.Log.Warn().Str("trait", string(t.ID)).Int("crashed", q.evidence.crashCount(t.ID)).Int("trials", q.trials[t.ID].n).
			Msg("quarantiner: a banned trait is tried at one backend server")
	}
}

// awaitVerdict lets other requests wait for the outcome of a trial. The caller holds the lock.
func (q *Quarantiner) awaitVerdict(traits []model.Trait, now time.Time) {
	for _, t := range q.tried(traits, now) {
		q.trying[t.ID] = now
	}
}

// endOldTrials notes that a request with the traits is not being tried unless another entry has begun to within
// verdictTime. The caller holds the lock.
func (q *Quarantiner) endOldTrials(traits []model.Trait, now time.Time) {
	for _, t := range traits {
		if last := q.trials[t.ID].last; now.Sub(last) < verdictTime {
			q.trying[t.ID] = last
		} else {
			delete(q.trying, t.ID)
		}
	}
}

// endTrials notes that a server crashed on one of the traits. The caller holds the lock.
func (q *Quarantiner) endTrials(traits []model.Trait) {
	for _, t := range traits {
		delete(q.trying, t.ID)
	}
}

// ReturnTrial takes back a trial of a request with the traits that reached no backend server: this entry may make it later.
func (q *Quarantiner) ReturnTrial(traits []model.Trait, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextClaim = now.Add(claimRetryPause)
	for _, t := range q.tried(traits, now) {
		delete(q.trying, t.ID)
		if tr := q.trials[t.ID]; tr.n > 0 {
			tr.unspent = true
			q.trials[t.ID] = tr
		}
	}
}

// IsTried reports whether a request with a banned one of the traits is being tried at any entry, so that the ban may end
// within moments.
func (q *Quarantiner) IsTried(traits []model.Trait, now time.Time) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return slices.ContainsFunc(traits, func(t model.Trait) bool {
		at, ok := q.trying[t.ID]
		return ok && now.Before(q.bans[t.ID]) && now.Sub(at) < verdictTime
	})
}

// HasCrashed reports whether a backend server crashed since its start and may still be listed. One that is listed for
// longer was only taken for crashed.
func (q *Quarantiner) HasCrashed(s model.ServerLifetime, now time.Time) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	c := q.evidence.crashes[s]
	return c != nil && now.Sub(c.at) < listedTime
}

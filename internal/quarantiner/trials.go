package quarantiner

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxLateRuns is how many crashes and trials a trait may have, at all entries together, later than lateTime after its
	// third crash. A trial is only claimed while fewer are known.
	maxLateRuns = 3
	lateTime    = 4 * time.Second
	// trialPause is the time from the last crash or trial of a trait to the next trial if there is doubt that the trait
	// caused the crashes: most backend servers are back by then. certainTrialPause applies if there is none.
	trialPause        = 5 * time.Second
	certainTrialPause = time.Minute
	// claimTimeout bounds how long a request waits for its trial to be claimed. After a claim that failed, the entry
	// makes no other one for claimRetryPause.
	claimTimeout    = 500 * time.Millisecond
	claimRetryPause = time.Second
	// maxTrials bounds the traits whose trials are stored. While there are as many, no other trait is tried.
	maxTrials = 512
)

// trials holds how often requests with a trait ran although it was banned, and when the last one was claimed. Unspent is
// set if this entry claimed it and could send the request to no backend server.
type trials struct {
	n       int
	last    time.Time
	unspent bool
}

// storedTrials is the stored form of all entries' trials.
type storedTrials struct {
	Trials map[model.TraitID]storedTrial `json:"trials"`
}

type storedTrial struct {
	Count     int   `json:"n"`
	UnixMilli int64 `json:"at"`
}

func (q *Quarantiner) trialsKey() string { return q.cfg.SharedKind + "/trials" }

// ClaimTrial reports whether a request with a banned trait may be sent to one backend server, once, to find out whether
// it crashes it: nothing else would end the ban of a trait that did not cause the crashes. The store counts the trials of
// all entries, so that a request that does crash servers reaches few more; without the store there are none.
func (q *Quarantiner) ClaimTrial(ctx context.Context, traits []model.Trait, now time.Time) bool {
	due, spare := q.beginClaim(traits, now)
	if spare {
		return true
	}
	if !due {
		return false
	}
	claimed, err := q.claim(ctx, traits, now)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.claiming = false
	switch {
	case storer.IsKind(err, storer.KindConflict):
		// Another entry has written since the read: most likely it tries the same request.
		q.awaitVerdict(traits, now)
	case err != nil:
		q.nextClaim = now.Add(claimRetryPause)
		q.endTrials(traits)
		q.cfg.Meter.Count("quarantine/unclaimed", 1)
		q.cfg.Log.Warn().Err(err).Str("key", q.trialsKey()).Msg("quarantiner: the trial of a banned request could not be claimed")
	case claimed:
		q.beginTrial(traits, now)
	default:
		q.endOldTrials(traits, now)
	}
	return claimed && err == nil
}

// beginClaim reports whether a trial is due by what the entry knows, and makes the claim this entry's only one then. Spare
// is set instead if a trial that was claimed before begins, since it reached no backend server.
func (q *Quarantiner) beginClaim(traits []model.Trait, now time.Time) (due, spare bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.claiming || now.Before(q.nextClaim) {
		return false, false
	}
	tried := q.tried(traits, now)
	if len(tried) > 0 && !slices.ContainsFunc(tried, func(t model.Trait) bool { return !q.trials[t.ID].unspent }) {
		for _, t := range tried {
			tr := q.trials[t.ID]
			tr.unspent = false
			q.trials[t.ID] = tr
		}
		q.beginTrial(traits, now)
		return false, true
	}
	if q.claiming = q.isTrialDue(traits, now); q.claiming {
		q.awaitVerdict(traits, now)
	}
	return q.claiming, false
}

// claim counts a trial in the store, unless other entries have made those that are allowed. A write fails if another
// entry has written since the read.
func (q *Quarantiner) claim(ctx context.Context, traits []model.Trait, now time.Time) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	o, err := q.cfg.Store.Get(ctx, q.trialsKey())
	if err != nil && !storer.IsKind(err, storer.KindNotFound) {
		return false, err
	}
	if err != nil {
		o = storer.Object{Key: q.trialsKey()}
	}
	b, claimed, err := q.countTrial(o, traits, now)
	if err != nil || !claimed {
		return false, err
	}
	if _, err := q.cfg.Store.Put(ctx, q.trialsKey(), b, o.Revision); err != nil {
		return false, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return true, q.mergeTrials(b, now)
}

// countTrial returns what the store is to hold once a request with the traits has been tried, and whether it may be.
func (q *Quarantiner) countTrial(o storer.Object, traits []model.Trait, now time.Time) (b []byte, ok bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.mergeTrials(o.Value, now); err != nil || !q.isTrialDue(traits, now) {
		return nil, false, err
	}
	next := storedTrials{Trials: map[model.TraitID]storedTrial{}}
	for t, tr := range q.trials {
		next.Trials[t] = storedTrial{Count: tr.n, UnixMilli: tr.last.UnixMilli()}
	}
	for _, t := range q.tried(traits, now) {
		next.Trials[t.ID] = storedTrial{Count: q.trials[t.ID].n + 1, UnixMilli: now.UnixMilli()}
	}
	if len(next.Trials) > maxTrials {
		return nil, false, fmt.Errorf("trials of %d traits would be kept, at most %d can be: wait until the oldest no longer count", len(next.Trials), maxTrials)
	}
	b, err = json.Marshal(next)
	return b, err == nil, err
}

// mergeTrials takes over the trials in a stored object, unless they are too many, and forgets those that no longer count.
// The caller holds the lock.
func (q *Quarantiner) mergeTrials(stored []byte, now time.Time) error {
	var m storedTrials
	if len(stored) > 0 {
		if err := json.Unmarshal(stored, &m); err != nil {
			q.cfg.Log.Error().Err(err).Str("key", q.trialsKey()).Msg("quarantiner: the trials of banned requests cannot be read and are ignored")
		}
	}
	maps.DeleteFunc(m.Trials, func(_ model.TraitID, s storedTrial) bool { return now.Sub(pastTime(s.UnixMilli, now)) >= banDuration })
	maps.DeleteFunc(q.trying, func(_ model.TraitID, at time.Time) bool { return now.Sub(at) >= verdictTime })
	maps.DeleteFunc(q.trials, func(t model.TraitID, tr trials) bool {
		return now.Sub(tr.last) >= banDuration || q.evidence.proven[t].any.After(tr.last)
	})
	if len(m.Trials) > maxTrials {
		return fmt.Errorf("trials of %d traits are stored, at most %d can be: wait until the oldest no longer count", len(m.Trials), maxTrials)
	}
	for t, s := range m.Trials {
		old, at := q.trials[t], pastTime(s.UnixMilli, now)
		if !q.evidence.proven[t].any.After(at) {
			q.trials[t] = trials{n: max(old.n, min(max(s.Count, 0), maxLateRuns)), last: later(old.last, at), unspent: old.unspent}
		}
	}
	return nil
}

// tried returns the traits of a request that a trial of it tries: the banned ones and, as whatever is banned the same
// request must not run without end, the whole request. The caller holds the lock.
func (q *Quarantiner) tried(traits []model.Trait, now time.Time) []model.Trait {
	return slices.DeleteFunc(slices.Clone(traits), func(t model.Trait) bool { return t.Depth != model.WholeRequest && !now.Before(q.bans[t.ID]) })
}

// isTrialDue reports whether a request with the traits, in the order of their depth, may be tried. One with a suspect that
// is deeper than the banned trait waits twice as long: if it crashed a server, its trial would tell little of the banned trait.
// The caller holds the lock.
func (q *Quarantiner) isTrialDue(traits []model.Trait, now time.Time) bool {
	pause := time.Duration(1)
	for i, t := range traits {
		if now.Before(q.bans[t.ID]) && slices.ContainsFunc(traits[i+1:], func(d model.Trait) bool {
			return !now.Before(q.bans[d.ID]) && q.evidence.crashCount(d.ID) > 0
		}) {
			pause = 2
		}
	}
	for _, t := range q.tried(traits, now) {
		h := q.evidence.history(t.ID)
		tr := q.trials[t.ID]
		if q.evidence.proven[t.ID].any.After(tr.last) {
			// An answer showed that the trait was sound then.
			tr = trials{}
		}
		wait := certainTrialPause
		if h.isDoubtful {
			wait = trialPause
		}
		if h.late+tr.n >= maxLateRuns || now.Sub(later(h.last, tr.last)) < pause*wait<<tr.n {
			return false
		}
	}
	return true
}

// history is what the crashes say of one of their suspects: when the last one was, how many came later than lateTime after
// the third, and whether the suspect may well be sound.
type history struct {
	last       time.Time
	late       int
	isDoubtful bool
}

// history returns that of a trait. Until it crashes servers again, it is doubtful that a trait caused the crashes if
// requests with it were answered before, or if the servers ended together: they may have another cause in common.
func (e *evidence) history(t model.TraitID) history {
	var ends []time.Time
	for _, c := range e.crashes {
		if hasSuspect(c, t) && !e.isCleared(t, c.at) {
			ends = append(ends, c.at)
		}
	}
	if len(ends) == 0 {
		return history{isDoubtful: true}
	}
	slices.SortFunc(ends, time.Time.Compare)
	h := history{last: ends[len(ends)-1]}
	if len(ends) >= banThreshold {
		lateAt := ends[banThreshold-1].Add(lateTime)
		for _, at := range ends {
			if at.After(lateAt) {
				h.late++
			}
		}
	}
	h.isDoubtful = h.late == 0 && (e.isProven(t) || h.last.Sub(ends[0]) <= togetherWindow)
	return h
}

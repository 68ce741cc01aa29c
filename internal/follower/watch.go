package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// planWait is the longest wait of one watch of the plan, less where changes must be in force sooner
	// (relayer.Timing). While the store answers, API keys are confirmed at this interval, and each answer shows whether
	// the other watches miss changes. Shorter waits cost more calls; longer ones leave the keys closer to MaxKeyAge when
	// an outage begins.
	planWait = 2 * time.Second
	// missedEventWindow is how long a watch may miss changes without an error: a store that compacts
	// its history sends waiting watches nothing for about a second before it closes them.
	missedEventWindow = 1200 * time.Millisecond
	// otherWait is the longest wait of the other watches. Those whose connection fell silent are found by the plan's
	// answers long before that (coverage).
	otherWait = 20 * time.Second
	// planGap, serversGap and otherGap are the pauses after an answer with changes, so that several
	// changes in quick succession cost one call. They are short compared with the time within which
	// a change must be in force.
	planGap    = 400 * time.Millisecond
	serversGap = 600 * time.Millisecond
	otherGap   = 50 * time.Millisecond
	// firstBackoff and maxBackoff bound the pauses between calls to a store that fails. The plan's bound,
	// maxPlanBackoff, is lower, since requests with API keys are refused until the store answers again.
	firstBackoff   = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	maxPlanBackoff = 350 * time.Millisecond
)

// batch holds the changes of one answer of the store. If full is set, it holds all objects of the kind.
type batch struct {
	objects []storer.Object
	full    bool
	// regained means that this is the first answer after an outage of at least minOutage, or after a restore.
	regained bool
	// restored means that the objects are the first of a new era: the store came back from a copy, which may lack
	// the newest changes.
	restored bool
}

// subscription describes how one kind of object is watched.
type subscription struct {
	kind    string
	wait    time.Duration
	gap     time.Duration
	backoff time.Duration
	apply   func(b batch, now time.Time)
	// confirm is called after each answer, and is nil for kinds other than the plan. It gets the time since boot as of
	// which the answer is current.
	confirm func(asOf time.Duration)
}

// minOutage is the shortest store outage during which objects of live backend servers may expire.
const minOutage = time.Second

// followKind lists a kind and then watches it. It lists again when the store no longer has the history
// from the last revision on.
func (f *Follower) followKind(ctx context.Context, s subscription) {
	var from model.Revision
	var lostAt time.Time
	full, immediate, stale, backoff := true, false, false, firstBackoff
	for ctx.Err() == nil {
		if s.confirm == nil && f.relayed.awaitInactive(ctx) {
			// Relays told of changes meanwhile; what they did not tell comes at once.
			from = max(from, f.feed.Revision(s.kind))
			lostAt, backoff, immediate = time.Time{}, firstBackoff, true
		}
		sent := f.cfg.Clock()
		listing, wait, err := f.readKind(ctx, s, from, full, immediate || !lostAt.IsZero())
		immediate = false
		now, answered := time.Now(), f.cfg.Clock()
		switch {
		case err == nil && listing.Revision < from:
			// A stale read: the answer is older than the last one.
			f.countCall(s, "stale")
			if !stale {
				f.cfg.Log.Warn().Str("kind", s.kind).Int64("from", from.Change()).Int64("revision", listing.Revision.Change()).
					Uint32("era", uint32(listing.Revision.Era())).Bool("full", full).Msg("follower: answer of the store is older than the last one and is ignored")
			}
			stale = true
			pauser.Pause(ctx, backoff)
			continue
		case storer.IsKind(err, storer.KindCompacted):
			f.cfg.Log.Info().Str("kind", s.kind).Int64("from", from.Change()).Uint32("era", uint32(from.Era())).Msg("follower: store history is gone, listing again")
			f.countCall(s, "compacted")
			full = true
			f.handleHistoryLoss(now)
			continue
		case errors.Is(err, errHistoryLost), errors.Is(err, errReadNow), errors.Is(err, errMissed):
			immediate = true
			continue
		case errors.Is(err, errRelayed):
			continue
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			f.countCall(s, "failed")
			if lostAt.IsZero() {
				lostAt = now
				f.cfg.Log.Warn().Err(err).Str("kind", s.kind).Int64("from", from.Change()).Uint32("era", uint32(from.Era())).Msg("follower: store lost")
				if s.confirm != nil {
					f.setOutage(true)
					f.cancelWatches(errStoreLost)
				}
			}
			f.pauseAfterFailure(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, f.relayed.backoffLimit(s.backoff))
			if s.confirm == nil {
				f.awaitOutageEnd(ctx)
			}
			continue
		}
		f.countCall(s, "answered")
		f.calls.answer(s.kind, listing)
		f.endMissing(now, listing.Silent)
		stale = false
		regained := !lostAt.IsZero() && now.Sub(lostAt) >= minOutage
		if !lostAt.IsZero() {
			f.cfg.Log.Info().Str("kind", s.kind).Dur("away", now.Sub(lostAt)).Int64("revision", listing.Revision.Change()).
				Uint32("era", uint32(listing.Revision.Era())).Msg("follower: store regained")
		}
		lostAt, backoff = time.Time{}, firstBackoff
		f.update(s, batch{objects: listing.Objects, full: full, regained: regained}, listing.Revision, now)
		from, full = listing.Revision, false
		if s.confirm != nil {
			f.setOutage(false)
			s.confirm(currentAsOf(sent, answered, wait, len(listing.Objects) > 0))
		}
		if len(listing.Objects) > 0 {
			pauser.Pause(ctx, f.relayed.gap(s))
		}
	}
}

// update applies changes of a kind up to a revision.
func (f *Follower) update(s subscription, b batch, revision model.Revision, now time.Time) {
	f.updates.Lock()
	defer f.updates.Unlock()
	if revision < f.feed.Revision(s.kind) {
		// A relay was faster.
		return
	}
	f.noteRestore(s, &b, revision)
	if s.confirm != nil {
		f.noteEra(revision.Era())
	}
	s.apply(b, now)
	if s.confirm == nil {
		f.feed.Apply(s.kind, relayer.Update{Revision: revision, Full: b.full, Objects: b.objects}, f.cfg.Clock())
	}
	if b.regained {
		f.feed.Regain(f.cfg.Clock())
	}
	if b.full {
		f.setListed(s.kind)
	}
}

// noteRestore marks the first objects of a kind from a new era, whether the store or a relay told of them; the caller
// holds updates.
func (f *Follower) noteRestore(s subscription, b *batch, revision model.Revision) {
	before := f.revisions[s.kind]
	f.revisions[s.kind] = revision
	if before == 0 || revision.Era() <= before.Era() {
		return
	}
	b.regained, b.restored = true, true
	f.cfg.Log.Warn().Str("kind", s.kind).Int64("from", before.Change()).Int64("revision", revision.Change()).
		Uint32("era", uint32(revision.Era())).Msg("follower: store came back from a copy")
	f.cfg.Meter.Count("store_restores/"+s.kind, 1)
}

// awaitOutageEnd waits while the plan's calls fail, so that during an outage only the plan's watch
// calls the store.
func (f *Follower) awaitOutageEnd(ctx context.Context) {
	for {
		f.mu.RLock()
		outageEnded := f.outageEnded
		f.mu.RUnlock()
		if outageEnded == nil {
			return
		}
		select {
		case <-outageEnded:
		case <-ctx.Done():
			return
		}
	}
}

// setOutage records whether the store is lost; when it answers again, the watches of the other kinds resume.
func (f *Follower) setOutage(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost && f.outageEnded == nil {
		f.outageEnded = make(chan struct{})
	}
	if !lost && f.outageEnded != nil {
		close(f.outageEnded)
		f.outageEnded = nil
	}
}

// Causes of cancelling a watch early.
var (
	errStoreLost   = errors.New("another watch found the store lost")
	errHistoryLost = errors.New("another watch found the history gone")
	errRelayed     = errors.New("relays tell of changes")
	errReadNow     = errors.New("relays know a newer plan or fell silent")
	errMissed      = errors.New("another call found a change that this watch has not brought")
)

// cancelWatches ends all watches, since their connections may have stopped responding.
func (f *Follower) cancelWatches(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatchCtx(cause)
	f.watchCtx, f.cancelWatchCtx = context.WithCancelCause(context.Background())
}

// minHistoryLossInterval is the shortest time between two cancellations because the history is
// gone: all watches find out at about the same time.
const minHistoryLossInterval = time.Second

// handleHistoryLoss makes all kinds read again at once after the history is gone: a store that drops
// its history may leave the other watches waiting without sending them any more changes.
func (f *Follower) handleHistoryLoss(now time.Time) {
	f.mu.Lock()
	recent := now.Sub(f.historyLostAt) < minHistoryLossInterval
	if !recent {
		f.historyLostAt = now
	}
	f.mu.Unlock()
	if !recent {
		f.cancelWatches(errHistoryLost)
	}
}

// watch waits for changes. It ends early when the watch of another kind finds that the store or its
// history is lost, so that this one may no longer receive any, or that this one misses changes.
func (f *Follower) watch(ctx context.Context, s subscription, from model.Revision) (storer.Listing, time.Duration, error) {
	f.mu.RLock()
	watchCtx := f.watchCtx
	f.mu.RUnlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(watchCtx, func() { cancel(context.Cause(watchCtx)) })()
	f.calls.begin(s.kind, cancel, time.Now())
	defer func() { f.calls.finish(s.kind, time.Now()) }()
	wait := s.wait
	if s.confirm != nil {
		wait = f.relayed.planWait(s.wait, f.feed.IsFollowed(f.cfg.Clock()))
	}
	listing, err := f.cfg.Store.Watch(ctx, s.kind, from, wait)
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(cause, errStoreLost) {
		return storer.Listing{}, 0, cause
	}
	return listing, wait, err
}

// currentAsOf returns the time since boot as of which an answer of the store is current, if the call was sent and
// answered at such times and the store could wait for changes. An answer may have been on its way, or in the socket of
// an entry that was suspended, for any time: one with changes is only known to be from after the start of the call, and
// one without from the end of the wait, less the time in which a watch may miss changes.
func currentAsOf(sent, answered, wait time.Duration, changes bool) time.Duration {
	if changes {
		return sent
	}
	return sent + max(min(wait, answered-sent)-missedEventWindow, 0)
}

// pauseAfterFailure waits for d, or until a relay tells of a change that this entry must read.
func (f *Follower) pauseAfterFailure(ctx context.Context, d time.Duration) {
	f.mu.RLock()
	news := f.watchCtx
	f.mu.RUnlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(news, cancel)()
	pauser.Pause(ctx, d)
}

// readKind reads a kind and returns how long the store could wait for changes.
func (f *Follower) readKind(ctx context.Context, s subscription, from model.Revision, full, immediate bool) (l storer.Listing, wait time.Duration, err error) {
	switch {
	case full:
		l, err = f.cfg.Store.List(ctx, s.kind)
		return l, 0, err
	case immediate:
		l, err = f.cfg.Store.Watch(ctx, s.kind, from, storer.NoWait)
		return l, 0, err
	}
	return f.watch(ctx, s, from)
}

func (f *Follower) countCall(s subscription, result string) {
	f.cfg.Meter.Count("store_calls/"+s.kind+"_"+result, 1)
}

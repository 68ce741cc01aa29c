package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// planWait bounds a watch of the plan. While the store answers, keys are confirmed this often;
	// shorter waits cost a call each, longer ones leave less of the trust when an outage begins.
	planWait = 2 * time.Second
	// deafness is how long a watch may miss changes: a store that compacts its history leaves
	// watches without word for about a second before it cuts them.
	deafness = 1200 * time.Millisecond
	// otherWait bounds the other watches. A connection that falls silent is found by its probes
	// and by the plan's watch.
	otherWait = 20 * time.Second
	// planGap, serversGap and otherGap space the answers of a watch, so that changes in quick
	// succession cost one call. They are small beside the time in which a change must hold.
	planGap    = 150 * time.Millisecond
	serversGap = 600 * time.Millisecond
	otherGap   = 50 * time.Millisecond
	// firstPause and maxPause space the calls to a store that fails. The plan's are closer, since
	// requests with keys are refused until it answers again.
	firstPause   = 100 * time.Millisecond
	maxPause     = 800 * time.Millisecond
	maxPlanPause = 350 * time.Millisecond
	// noWait asks for what a watch has at once, after the store was away.
	noWait = time.Millisecond
)

// batch is what one answer of the store changes. Full lists hold all objects of the kind.
type batch struct {
	objects []storer.Object
	full    bool
	// regained means that the store was out of reach for a while before this answer.
	regained bool
}

// stream is one kind that is followed.
type stream struct {
	kind  string
	wait  time.Duration
	gap   time.Duration
	pause time.Duration
	apply func(b batch, now time.Time)
	// confirm is nil for kinds other than the plan. Sent and answered are times since boot.
	confirm func(sent, answered time.Duration)
}

// outage is how long the store must be out of reach for its entries to lapse meanwhile.
const outage = time.Second

// follow lists a kind and then watches it, and starts over when the store forgot its history.
func (f *Follower) follow(ctx context.Context, s stream) {
	var from model.Revision
	var lostAt time.Time
	full, asked, pause := true, false, firstPause
	for ctx.Err() == nil {
		sent := f.cfg.Clock()
		listing, err := f.read(ctx, s, from, full, asked || !lostAt.IsZero())
		asked = false
		now, answered := time.Now(), f.cfg.Clock()
		switch {
		case err == nil && listing.Revision < from:
			// An answer from before what is known already: a stale read.
			f.count(s, "stale")
			pauser.Pause(ctx, pause)
			continue
		case storer.IsKind(err, storer.KindCompacted):
			f.cfg.Log.Info().Str("kind", s.kind).Int64("from", int64(from)).Msg("follower: the store forgot the history, listing again")
			f.count(s, "compacted")
			full = true
			f.forget(now)
			continue
		case errors.Is(err, errForgotten):
			asked = true
			continue
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			f.count(s, "failed")
			if lostAt.IsZero() {
				lostAt = now
				f.cfg.Log.Warn().Err(err).Str("kind", s.kind).Int64("from", int64(from)).Msg("follower: store lost")
				if s.confirm != nil {
					f.setAway(true)
					f.interruptAll(errLost)
				}
			}
			pauser.Pause(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, s.pause)
			if s.confirm == nil {
				f.awaitStore(ctx)
			}
			continue
		}
		f.count(s, "answered")
		regained := !lostAt.IsZero() && now.Sub(lostAt) >= outage
		if !lostAt.IsZero() {
			f.cfg.Log.Info().Str("kind", s.kind).Dur("away", now.Sub(lostAt)).Int64("revision", int64(listing.Revision)).Msg("follower: store regained")
		}
		lostAt, pause = time.Time{}, firstPause
		s.apply(batch{objects: listing.Objects, full: full, regained: regained}, now)
		if full {
			f.setListed(s.kind)
		}
		from, full = listing.Revision, false
		if s.confirm != nil {
			f.setAway(false)
			s.confirm(sent, answered)
		}
		if len(listing.Objects) > 0 {
			pauser.Pause(ctx, s.gap)
		}
	}
}

// awaitStore waits while the plan's calls fail, so that one kind asks for all of them.
func (f *Follower) awaitStore(ctx context.Context) {
	for {
		f.mu.RLock()
		away := f.away
		f.mu.RUnlock()
		if away == nil {
			return
		}
		select {
		case <-away:
		case <-ctx.Done():
			return
		}
	}
}

// setAway tells the other kinds whether the store is lost.
func (f *Follower) setAway(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost && f.away == nil {
		f.away = make(chan struct{})
	}
	if !lost && f.away != nil {
		close(f.away)
		f.away = nil
	}
}

// Causes for which a watch is ended before its time.
var (
	errLost      = errors.New("another watch found the store lost")
	errForgotten = errors.New("another watch found the history gone")
)

// interruptAll ends all watches, whose connections may be silent.
func (f *Follower) interruptAll(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt(cause)
	f.interrupted, f.interrupt = context.WithCancelCause(context.Background())
}

// forgetPause is the least time between two interruptions because the history is gone: all watches
// find out at about the same time.
const forgetPause = time.Second

// forget lets all kinds ask at once, because the history is gone. It answers a store that drops its
// history and leaves watches waiting that will hear nothing.
func (f *Follower) forget(now time.Time) {
	f.mu.Lock()
	recent := now.Sub(f.forgot) < forgetPause
	if !recent {
		f.forgot = now
	}
	f.mu.Unlock()
	if !recent {
		f.interruptAll(errForgotten)
	}
}

// watch waits for changes until another kind's watch finds that this one may hear nothing.
func (f *Follower) watch(ctx context.Context, s stream, from model.Revision) (storer.Listing, error) {
	f.mu.RLock()
	interrupted := f.interrupted
	f.mu.RUnlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(interrupted, cancel)()
	listing, err := f.cfg.Store.Watch(ctx, s.kind, from, s.wait)
	if cause := context.Cause(interrupted); err != nil && errors.Is(cause, errForgotten) {
		return storer.Listing{}, cause
	}
	return listing, err
}

func (f *Follower) read(ctx context.Context, s stream, from model.Revision, full, ask bool) (storer.Listing, error) {
	switch {
	case full:
		return f.cfg.Store.List(ctx, s.kind)
	case ask:
		return f.cfg.Store.Watch(ctx, s.kind, from, noWait)
	}
	return f.watch(ctx, s, from)
}

func (f *Follower) count(s stream, result string) {
	f.cfg.Meter.Count("store_calls/"+s.kind+"_"+result, 1)
}

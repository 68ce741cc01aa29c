package follower

import (
	"context"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// relayPlanGap is the pause of a relay after an answer with a change of the plan.
	relayPlanGap = 150 * time.Millisecond
	// sharedBackoff bounds the pauses between an entry's own calls to a store that fails while relays answer:
	// they tell of the store's return.
	sharedBackoff = 2 * time.Second
	// behindGrace is how long an entry may have an older plan than a relay before it reads the plan at once;
	// its own watch usually brings it sooner.
	behindGrace = 2 * planGap
	// sourceCheckInterval is how often an entry decides whether relays or its own watches tell it of changes.
	sourceCheckInterval = 100 * time.Millisecond
	// firstRelayPause and maxRelayPause bound how long a relay that did not answer is left out.
	firstRelayPause = 5 * time.Second
	maxRelayPause   = time.Minute
	// firstRelayTime is how long the relay of the first slot may be silent until the second one is asked for changes
	// too. Polls of the first are held for less than half of it.
	firstRelayTime = time.Second
	// minPollInterval bounds the rate of polls that are answered at once.
	minPollInterval = 50 * time.Millisecond
)

// Relays configures how an entry takes part in the relaying of changes.
type Relays struct {
	Self model.Instance
	// Members returns the other entries.
	Members func() []model.Instance
	// Timing follows from how long a change may take until it is in force.
	Timing relayer.Timing
	// Poll polls the relay at an address.
	Poll func(ctx context.Context, address string, in relayer.PollRequest) (relayer.PollReply, error)
}

// Feed returns the objects that this entry passes on to others.
func (f *Follower) Feed() *relayer.Feed { return f.feed }

// relayState says whether relays tell this entry of changes.
type relayState struct {
	mu sync.Mutex
	// relay is set if this entry is a relay itself.
	relay bool
	// relayWait is the longest wait of one watch of the plan at a relay.
	relayWait time.Duration
	// asOf is the time since boot as of which relays have told of changes, answered when one last answered.
	asOf, answered time.Duration
	heard          bool
	// firstGoodAt is when the relay of the first slot last answered with fresh knowledge.
	firstGoodAt time.Duration
	// active is set while relays tell of changes, so that own watches other than the plan's rest; inactive is
	// closed while it is not set.
	active   bool
	inactive chan struct{}
	// behindSince is when a relay first knew a newer plan; zero if none does.
	behindSince time.Duration
	failed      map[model.InstanceID]relayFailure
}

// relayFailure says until when a relay that did not answer is left out.
type relayFailure struct {
	until time.Time
	pause time.Duration
}

// planWait returns the longest wait of one watch of the plan, which is own unless relays tell of changes or other entries
// depend on this one, as followed says.
func (r *relayState) planWait(own time.Duration, followed bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.active:
		return otherWait
	case r.relay && followed:
		return r.relayWait
	}
	return own
}

// gap returns the pause after an answer with changes.
func (r *relayState) gap(s subscription) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relay && s.confirm != nil {
		return relayPlanGap
	}
	return s.gap
}

// backoffLimit returns the longest pause between calls to a store that fails.
func (r *relayState) backoffLimit(own time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard && !r.relay {
		return max(own, sharedBackoff)
	}
	return own
}

// awaitInactive waits while relays tell of changes and reports whether it had to.
func (r *relayState) awaitInactive(ctx context.Context) (waited bool) {
	for {
		r.mu.Lock()
		active, inactive := r.active, r.inactive
		r.mu.Unlock()
		if !active {
			return waited
		}
		waited = true
		select {
		case <-inactive:
		case <-ctx.Done():
			return waited
		}
	}
}

// setSource changes whether this entry is a relay and whether relays tell it of changes, and reports whether that
// is new.
func (r *relayState) setSource(relay, active bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed = r.relay != relay || r.active != active
	if active && !r.active {
		r.inactive = make(chan struct{})
	}
	if !active && r.active {
		close(r.inactive)
	}
	r.relay, r.active = relay, active
	return changed
}

func (r *relayState) fail(id model.InstanceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = map[model.InstanceID]relayFailure{}
	}
	pause := min(max(2*r.failed[id].pause, firstRelayPause), maxRelayPause)
	r.failed[id] = relayFailure{until: now.Add(pause), pause: pause}
}

// failedUntil returns the relays that are left out.
func (r *relayState) failedUntil() map[model.InstanceID]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[model.InstanceID]time.Time, len(r.failed))
	for id, f := range r.failed {
		out[id] = f.until
	}
	return out
}

// poll is one poll of a relay.
type poll struct {
	relay model.InstanceID
	// slot is the relay's place in Choice.Ask.
	slot int
	// sent is when the poll was sent, as a time since boot.
	sent time.Duration
	// changes is set if the poll asks for changes as well as for the age of knowledge.
	changes bool
}

// succeed records that a relay answered a poll and that its knowledge is as of a time since boot.
func (r *relayState) succeed(p poll, asOf, now, maxAge time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, p.relay)
	r.answered, r.heard = now, true
	if p.changes {
		r.asOf = max(r.asOf, asOf)
	}
	if p.slot == 0 && now-asOf < maxAge {
		r.firstGoodAt = now
	}
}

// asksForChanges reports whether a poll of a slot asks for changes as well as for the age of knowledge. The second
// relay, in another failure domain, is asked for them only while the first one does not answer or is stale.
func (r *relayState) asksForChanges(slot int, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slot == 0 || now-r.firstGoodAt > firstRelayTime
}

// isBehind records whether a relay knows a newer plan, and reports whether this entry has lacked it for longer than
// behindGrace.
func (r *relayState) isBehind(behind bool, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !behind:
		r.behindSince = 0
	case r.behindSince == 0:
		r.behindSince = now
	case now-r.behindSince > behindGrace:
		r.behindSince = now
		return true
	}
	return false
}

func (f *Follower) chooseRelays(now time.Time) relayer.Choice {
	r := f.cfg.Relays
	return relayer.Choose(relayer.ChooseInput{Self: r.Self, Members: r.Members(), FailedUntil: f.relayed.failedUntil()}, now)
}

// followRelays polls relays and decides whether they or own watches tell of changes, until the context ends.
func (f *Follower) followRelays(ctx context.Context) {
	select {
	case <-f.ready:
	case <-ctx.Done():
		return
	}
	var wg sync.WaitGroup
	for slot := range relayer.AskedRelays {
		wg.Go(func() { f.pollRelay(ctx, slot) })
	}
	t := time.NewTicker(sourceCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-t.C:
			f.chooseSource(now)
		}
	}
	wg.Wait()
}

// chooseSource decides whether relays or own watches tell of changes from now on.
func (f *Follower) chooseSource(now time.Time) {
	choice := f.chooseRelays(now)
	f.relayed.mu.Lock()
	age, heard := f.cfg.Clock()-f.relayed.asOf, f.relayed.heard
	if f.cfg.Clock()-f.relayed.answered > f.cfg.Relays.Timing.MaxAge {
		f.relayed.heard = false
	}
	f.relayed.mu.Unlock()
	active := heard && f.cfg.Relays.Timing.UseRelays(choice, age)
	if !f.relayed.setSource(choice.Relay, active) {
		return
	}
	f.cfg.Meter.Count("relays/source_changed", 1)
	f.cfg.Log.Info().Bool("relay", choice.Relay).Bool("relayed", active).Dur("age", age).Msg("follower: source of changes chosen")
	cause := errReadNow
	if active {
		cause = errRelayed
	}
	f.cancelWatches(cause)
}

// pollRelay polls the relay of a slot until the context ends.
func (f *Follower) pollRelay(ctx context.Context, slot int) {
	for ctx.Err() == nil {
		now, sent := time.Now(), f.cfg.Clock()
		choice := f.chooseRelays(now)
		if choice.Relay || slot >= len(choice.Ask) {
			pauser.Pause(ctx, sourceCheckInterval)
			continue
		}
		relay := choice.Ask[slot]
		p := poll{relay: relay.Instance, slot: slot, sent: sent, changes: f.relayed.asksForChanges(slot, sent)}
		in := relayer.PollRequest{}
		if p.changes {
			in.Known = map[string]model.Revision{}
			for _, s := range f.subscriptions()[1:] {
				in.Known[s.kind] = f.feed.Revision(s.kind)
			}
		}
		reply, err := f.cfg.Relays.Poll(ctx, relay.Control, in)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.relayed.fail(relay.Instance, time.Now())
			f.cfg.Meter.Count("relays/polls_failed", 1)
			f.cfg.Log.Info().Err(err).Str("relay", string(relay.Instance)).Msg("follower: relay did not answer, another one is asked")
			continue
		}
		f.cfg.Meter.Count("relays/polls_answered", 1)
		f.applyReply(p, reply)
		pauser.Pause(ctx, minPollInterval-(f.cfg.Clock()-sent))
	}
}

// applyReply applies what a relay told in answer to a poll.
func (f *Follower) applyReply(p poll, reply relayer.PollReply) {
	now, sinceBoot := time.Now(), f.cfg.Clock()
	if !reply.Confirmed {
		return
	}
	regained := reply.Regained != nil && *reply.Regained < removalGrace
	for _, s := range f.subscriptions()[1:] {
		if u, ok := reply.Kinds[s.kind]; ok {
			f.update(s, batch{objects: u.Objects, full: u.Full, regained: regained}, u.Revision, now)
		}
	}
	asOf := reply.AsOf(p.sent)
	f.relayed.succeed(p, asOf, sinceBoot, f.cfg.Relays.Timing.MaxAge)
	f.raiseFloor(reply.Version)
	behind := !f.confirmRelayed(reply, asOf)
	if f.relayed.isBehind(behind, sinceBoot) {
		f.cfg.Log.Info().Str("relay", string(p.relay)).Int64("revision", reply.Plan.Change()).
			Uint32("era", uint32(reply.Plan.Era())).Msg("follower: a relay knows a newer plan, reading it")
		// The own watch should have brought it, so its connection may be silent, and others with it.
		f.cfg.Store.Renew()
		f.cancelWatches(errReadNow)
	}
}

// confirmRelayed records that a relay's plan was the newest as of a time since boot. It reports whether the plan in
// force is not older, neither in the store's order nor by its version.
func (f *Follower) confirmRelayed(reply relayer.PollReply, at time.Duration) bool {
	f.mu.RLock()
	current := f.planRev >= reply.Plan && f.plan != nil && f.plan.Version >= reply.Version
	f.mu.RUnlock()
	if current {
		// The plan in force only gets newer.
		f.confirmAsOf(at)
	}
	return current
}

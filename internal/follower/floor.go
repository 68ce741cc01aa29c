package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// firstEra is the highest era of a store that never came back from a copy.
	firstEra model.Era = 1
	// floorPeers is the number of entries that are asked which plan they have in force, and enoughFloors the number of
	// answers that suffice.
	floorPeers, enoughFloors = 4, 2
	// floorWait bounds the wait for these answers, many round trips between regions.
	floorWait = 300 * time.Millisecond
)

// floor is the highest version of the plan that any entry is known to have in force. A store that came back from a copy
// may hold an older plan for a while, with keys that were withdrawn since.
type floor struct {
	version int64
	// era is the era of the store for which the others were asked, asking is set until they answered. While it is set,
	// keys do not count as fresh.
	era    model.Era
	known  bool
	asking bool
	// newEra wakes askFloors.
	newEra chan struct{}
}

// noteEra has the other entries asked for their plans when the plan is first read from an era of the store. Without a
// restore, nothing waits for their answers.
func (f *Follower) noteEra(e model.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.Relays == nil || f.floor.known && e <= f.floor.era {
		return
	}
	f.floor.era, f.floor.known, f.floor.asking = e, true, e > firstEra
	select {
	case f.floor.newEra <- struct{}{}:
	default:
	}
}

// raiseFloor records that an entry has a version of the plan in force.
func (f *Follower) raiseFloor(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.floor.version {
		return
	}
	f.floor.version = version
	if f.plan != nil && f.plan.Version < version {
		f.cfg.Log.Warn().Int64("version", f.plan.Version).Int64("newer", version).
			Msg("follower: another entry has a newer plan in force, keys are not accepted until the store has it")
	}
}

// isBelowFloor reports whether the plan in force is older than another entry's; the caller holds the lock.
func (f *Follower) isBelowFloor() bool {
	return f.floor.asking || f.plan != nil && f.plan.Version < f.floor.version
}

// askFloors asks other entries for their plans once for each era of the store, until the context ends.
func (f *Follower) askFloors(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.floor.newEra:
		}
		f.awaitMembers(ctx)
		f.askFloor(ctx)
		f.mu.Lock()
		f.floor.asking = false
		f.closeReadyIfComplete()
		f.mu.Unlock()
	}
}

// awaitMembers waits at most floorWait until the shared objects are known, which name the other entries.
func (f *Follower) awaitMembers(ctx context.Context) {
	for end := time.Now().Add(floorWait); ctx.Err() == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.RLock()
		listed := f.listed[f.cfg.Kinds.Shared]
		f.mu.RUnlock()
		if listed {
			return
		}
	}
}

// askFloor asks some of the other entries for their plans, and waits at most floorWait for enough answers.
func (f *Follower) askFloor(ctx context.Context) {
	peers := f.floorPeers()
	ctx, cancel := context.WithTimeout(ctx, floorWait)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, p := range peers {
		go func() {
			reply, err := f.cfg.Relays.Poll(ctx, p.Control, relayer.PollRequest{AtOnce: true})
			if err == nil {
				f.raiseFloor(reply.Version)
			}
			answers <- err == nil && reply.Version > 0
		}()
	}
	answered := 0
	for range peers {
		if <-answers {
			answered++
		}
		if answered >= enoughFloors {
			break
		}
	}
	f.cfg.Log.Info().Int("asked", len(peers)).Int("answered", answered).Uint32("era", uint32(f.floorEra())).Msg("follower: asked other entries for the plans that they have in force")
}

func (f *Follower) floorEra() model.Era {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.floor.era
}

// floorPeers draws entries to ask, from the own region if there are any.
func (f *Follower) floorPeers() []model.Instance {
	r := f.cfg.Relays
	var near, far []model.Instance
	for _, m := range r.Members() {
		switch {
		case m.Instance == r.Self.Instance:
		case m.Place.Region == r.Self.Place.Region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		near = far
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(len(near), floorPeers)]
}

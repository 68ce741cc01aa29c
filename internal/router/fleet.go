package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/breaker"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	fleetUpdateInterval = 200 * time.Millisecond
	loadPollWait        = 5 * time.Second
	loadPollSlack       = time.Second
	// missingGrace is how long an agent that still answers is kept after it left the instance list.
	missingGrace = 10 * time.Second
)

type fleetConfig struct {
	Self    model.Instance
	Watcher *watcher.Watcher
	Pool    *messenger.Pool
	Log     zerolog.Logger
}

// fleet holds the agents that this entry may send work to.
type fleet struct {
	cfg     fleetConfig
	updated bool
	mu      sync.RWMutex
	peers   map[model.InstanceID]*peer
}

// peer is one agent, its last load report and this entry's count of the requests sent to it.
type peer struct {
	mu            sync.Mutex
	instance      model.Instance
	load          model.Load
	reachable     bool
	polled        bool
	missingSince  time.Time
	inFlight      int
	sentSinceLoad int
	doneSinceLoad int
	breaker       breaker.Breaker
	stop          context.CancelFunc
}

func newFleet(cfg fleetConfig) *fleet {
	return &fleet{cfg: cfg, peers: map[model.InstanceID]*peer{}}
}

// run updates the agents from the instance list; each agent of the subset has one pending load
// request.
func (f *fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.update(ctx, time.Now())
		pauser.Pause(ctx, fleetUpdateInterval)
	}
}

func (f *fleet) update(ctx context.Context, now time.Time) {
	if !f.cfg.Watcher.Ready() {
		return
	}
	wanted := map[model.InstanceID]model.Instance{}
	view := f.cfg.Watcher.View()
	for service := range f.cfg.Watcher.Catalogue().Services {
		for _, a := range view.Subset(f.cfg.Self, service) {
			wanted[a.Instance] = a
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updated = true
	for id, p := range f.peers {
		row, ok := wanted[id]
		if !ok && p.keepWhileMissing(now) {
			continue
		}
		if !ok || row.Control != p.instance.Control || row.Work != p.instance.Work {
			p.stop()
			delete(f.peers, id)
			continue
		}
		p.mu.Lock()
		p.instance, p.missingSince = row, time.Time{}
		p.mu.Unlock()
	}
	for id, row := range wanted {
		if _, ok := f.peers[id]; ok {
			continue
		}
		child, cancel := context.WithCancel(ctx)
		p := &peer{instance: row, stop: cancel}
		f.peers[id] = p
		go f.pollLoad(child, p, row.Control)
	}
}

// pollLoad repeatedly requests an agent's load; an agent that does not answer gets no work.
func (f *fleet) pollLoad(ctx context.Context, p *peer, addr string) {
	seq := uint64(0)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, loadPollWait+loadPollSlack)
		in := messenger.LoadRequest{Seq: seq, Wait: loadPollWait}
		load, err := messenger.Call[model.Load](callCtx, f.cfg.Pool, addr, messenger.MethodLoad, in)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				f.cfg.Log.Debug().Err(err).Msg("entry: load request to agent failed")
			}
			p.markUnreachable()
			f.cfg.Pool.Drop(addr)
			pauser.Pause(ctx, fleetUpdateInterval+rand.N(fleetUpdateInterval))
			continue
		}
		seq = load.Seq
		p.setLoad(load)
	}
}

// keepWhileMissing reports whether an agent that is missing from the instance list is kept. The
// list lags, and an agent that still answers reports itself when it leaves.
func (p *peer) keepWhileMissing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.missingSince.IsZero() {
		p.missingSince = now
	}
	return p.reachable && !p.load.Draining && now.Sub(p.missingSince) < missingGrace
}

// allPolled reports whether every agent of the subset has answered or failed its first load
// request.
func (f *fleet) allPolled() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		p.mu.Lock()
		polled := p.polled
		p.mu.Unlock()
		if !polled {
			return false
		}
	}
	return f.updated
}

func (p *peer) markUnreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachable, p.polled = false, true
}

func (p *peer) setLoad(load model.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load, p.reachable, p.polled = load, true, true
	p.sentSinceLoad, p.doneSinceLoad = 0, 0
}

// beginRequest counts a request that is about to be sent and returns the agent's instance and boot
// ID.
func (p *peer) beginRequest() (model.Instance, model.BootID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight++
	p.sentSinceLoad++
	return p.instance, p.load.Boot
}

// endRequest counts the end of a request and reports its success or failure to the breaker.
func (p *peer) endRequest(failed bool, load *model.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.doneSinceLoad++
	if load != nil && load.Seq >= p.load.Seq {
		p.load = *load
		p.sentSinceLoad, p.doneSinceLoad = 0, 0
	}
	if failed {
		p.breaker.RecordFailure(now, rand.Float64())
		return
	}
	p.breaker.RecordSuccess()
}

// candidates returns the agents of a service and adds those whose place bar gives a reason against, and those with an
// open breaker, to excluded.
func (f *fleet) candidates(service model.ServiceID, excluded map[model.InstanceID]string, bar func(model.Place) string, now time.Time) []picker.Candidate {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []picker.Candidate
	var tripped []model.InstanceID
	for id, p := range f.peers {
		p.mu.Lock()
		if p.instance.Service == service {
			out = append(out, picker.Candidate{
				Instance: p.instance, Load: p.load, Reachable: p.reachable,
				Unanswered: p.inFlight, Sent: p.sentSinceLoad, Answered: p.doneSinceLoad,
			})
			if why := bar(p.instance.Place); why != "" {
				excluded[id] = why
			}
			if p.breaker.IsOpen(now) && excluded[id] == "" {
				tripped = append(tripped, id)
			}
		}
		p.mu.Unlock()
	}
	// If the breakers of all remaining agents are open, trying one of them is still better than a
	// refusal.
	if len(out)-len(excluded) > len(tripped) {
		for _, id := range tripped {
			excluded[id] = "failed too often"
		}
	}
	return out
}

func (f *fleet) peer(id model.InstanceID) (*peer, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p, ok := f.peers[id]
	return p, ok
}

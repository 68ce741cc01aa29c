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
	fleetEvery = 200 * time.Millisecond
	loadWait   = 5 * time.Second
	loadSlack  = time.Second
	// missingGrace is how long an agent that answers is kept without a row in the list.
	missingGrace = 10 * time.Second
)

// fleetConfig configures a fleet.
type fleetConfig struct {
	Self    model.Instance
	Watcher *watcher.Watcher
	Pool    *messenger.Pool
	Log     zerolog.Logger
}

// fleet is this entry's view of the agents that it may send work to.
type fleet struct {
	cfg   fleetConfig
	begun bool
	mu    sync.RWMutex
	peers map[model.InstanceID]*peer
}

// peer is one agent with this entry's own count of what it has there.
type peer struct {
	mu       sync.Mutex
	instance model.Instance
	load     model.Load
	known    bool
	tried    bool
	missing  time.Time
	open     int
	sent     int
	done     int
	breaker  breaker.Breaker
	stop     context.CancelFunc
}

func newFleet(cfg fleetConfig) *fleet {
	return &fleet{cfg: cfg, peers: map[model.InstanceID]*peer{}}
}

// run follows the instance list and keeps one load report per agent of the subset waiting.
func (f *fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.update(ctx, time.Now())
		pauser.Pause(ctx, fleetEvery)
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
	f.begun = true
	for id, p := range f.peers {
		row, ok := wanted[id]
		if !ok && p.outlasts(now) {
			continue
		}
		if !ok || row.Control != p.instance.Control || row.Work != p.instance.Work {
			p.stop()
			delete(f.peers, id)
			continue
		}
		p.mu.Lock()
		p.instance, p.missing = row, time.Time{}
		p.mu.Unlock()
	}
	for id, row := range wanted {
		if _, ok := f.peers[id]; ok {
			continue
		}
		child, cancel := context.WithCancel(ctx)
		p := &peer{instance: row, stop: cancel}
		f.peers[id] = p
		go f.follow(child, p, row.Control)
	}
}

// follow keeps asking an agent for its load; one that does not answer gets no work.
func (f *fleet) follow(ctx context.Context, p *peer, addr string) {
	seq := uint64(0)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, loadWait+loadSlack)
		in := messenger.LoadRequest{Seq: seq, Wait: loadWait}
		load, err := messenger.Call[model.Load](callCtx, f.cfg.Pool, addr, messenger.MethodLoad, in)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				f.cfg.Log.Debug().Err(err).Msg("entry: agent did not answer")
			}
			p.lost()
			f.cfg.Pool.Drop(addr)
			pauser.Pause(ctx, fleetEvery+rand.N(fleetEvery))
			continue
		}
		seq = load.Seq
		p.report(load)
	}
}

// outlasts reports whether an agent that the list lacks is kept: the list lags, and an
// agent that still answers says itself when it leaves.
func (p *peer) outlasts(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.missing.IsZero() {
		p.missing = now
	}
	return p.known && !p.load.Leaving && now.Sub(p.missing) < missingGrace
}

// settled reports whether every agent of the subset has been asked for its load once.
func (f *fleet) settled() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		p.mu.Lock()
		tried := p.tried
		p.mu.Unlock()
		if !tried {
			return false
		}
	}
	return f.begun
}

func (p *peer) lost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known, p.tried = false, true
}

func (p *peer) report(load model.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load, p.known, p.tried = load, true, true
	p.sent, p.done = 0, 0
}

// begin counts a request that is about to be sent.
func (p *peer) begin() (model.Instance, model.BootID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	p.sent++
	return p.instance, p.load.Boot
}

// end counts its answer or failure.
func (p *peer) end(failed bool, load *model.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.done++
	if load != nil && load.Seq >= p.load.Seq {
		p.load = *load
		p.sent, p.done = 0, 0
	}
	if failed {
		p.breaker.RecordFailure(now, rand.Float64())
		return
	}
	p.breaker.RecordSuccess()
}

// candidates returns the agents of a service as the picker reads them.
func (f *fleet) candidates(service model.ServiceID, excluded map[model.InstanceID]string, now time.Time) []picker.Candidate {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []picker.Candidate
	var cut []model.InstanceID
	for id, p := range f.peers {
		p.mu.Lock()
		if p.instance.Service == service {
			out = append(out, picker.Candidate{
				Instance: p.instance, Load: p.load, Reachable: p.known,
				Unanswered: p.open, Sent: p.sent, Answered: p.done,
			})
			if p.breaker.IsOpen(now) && excluded[id] == "" {
				cut = append(cut, id)
			}
		}
		p.mu.Unlock()
	}
	// If all that are left fail too often, one of them is still better than a refusal.
	if len(out)-len(excluded) > len(cut) {
		for _, id := range cut {
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

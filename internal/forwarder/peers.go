package forwarder

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/breaker"
	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// peerIdle is how long a backend server that is not listed and not in use is remembered.
	peerIdle = 30 * time.Second
	// sweepEvery is how often idle connections and forgotten peers are cleared.
	sweepEvery = time.Second
	// reportAge is how long a report counts fully; the load behind it lasts about as long.
	reportAge = 2 * time.Second
	// keptFor is how long shared parts of a prompt are taken to stay in an engine's memory.
	keptFor = 15 * time.Second
)

// peerKey names one life of a backend server at one address.
type peerKey struct {
	id      model.BackendID
	born    int64
	address string
}

func keyOf(s model.BackendServer) peerKey {
	return peerKey{id: s.Backend, born: s.Born, address: s.Address}
}

// peer is what an entry knows of one backend server from its own requests.
type peer struct {
	server model.BackendServer

	mu       sync.Mutex
	breaker  breaker.Breaker
	running  int
	waiting  int
	reported time.Time
	sent     int
	done     int
	open     int
	// backlog is the time that the prompts sent and not yet answered take to read.
	backlog time.Duration
	// kept tells when shared parts of prompts were read there last.
	kept map[string]time.Time
	idle []*conn
	used time.Time
}

// peerTable holds the peers.
type peerTable struct {
	mu    sync.RWMutex
	peers map[peerKey]*peer
}

func newPeerTable() *peerTable { return &peerTable{peers: map[peerKey]*peer{}} }

func (t *peerTable) get(s model.BackendServer, now time.Time) *peer {
	key := keyOf(s)
	t.mu.RLock()
	p := t.peers[key]
	t.mu.RUnlock()
	if p != nil {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p = t.peers[key]; p == nil {
		p = &peer{server: s, used: now}
		t.peers[key] = p
	}
	return p
}

// sweep closes connections that idled too long and forgets peers that are not used.
func (t *peerTable) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			t.sweepAt(now)
		}
	}
}

func (t *peerTable) sweepAt(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, p := range t.peers {
		p.mu.Lock()
		kept := p.idle[:0]
		for _, c := range p.idle {
			if c.usable(now, 0) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		p.idle = kept
		for memory, at := range p.kept {
			if now.Sub(at) > keptFor {
				delete(p.kept, memory)
			}
		}
		forget := p.open == 0 && len(p.idle) == 0 && now.Sub(p.used) > peerIdle
		p.mu.Unlock()
		if forget {
			delete(t.peers, key)
		}
	}
}

// work returns what is open at each peer.
func (t *peerTable) work() map[model.BackendID]gossiper.OpenWork {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[model.BackendID]gossiper.OpenWork{}
	for key, p := range t.peers {
		p.mu.Lock()
		if p.open > 0 {
			out[key.id] = gossiper.OpenWork{Open: p.open, Backlog: p.backlog}
		}
		p.mu.Unlock()
	}
	return out
}

// view returns the peer for a choice, and whether its breaker keeps it out.
func (p *peer) view(s model.BackendServer, others gossiper.OpenWork, now time.Time) (picker.Backend, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := picker.Backend{Server: s, Unanswered: p.open + others.Open}
	if now.Sub(p.reported) < reportAge {
		b.Running, b.Waiting, b.Sent, b.Answered = p.running, p.waiting, p.sent, p.done
	}
	return b, p.breaker.IsOpen(now)
}

// engine returns the peer as an engine for a prompt whose shared parts are named by memory.
func (p *peer) engine(s model.BackendServer, memory string, others gossiper.OpenWork, now time.Time) (picker.Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := picker.Engine{Server: s, Backlog: p.backlog + others.Backlog, Busy: p.open + others.Open}
	if now.Sub(p.reported) < reportAge {
		e.Busy = max(e.Busy, p.running+p.waiting+p.sent-p.done)
	}
	at, ok := p.kept[memory]
	e.PrefixCached = ok && now.Sub(at) < keptFor
	return e, p.breaker.IsOpen(now)
}

// begin counts a request whose prompt takes a time to read.
func (p *peer) begin(read time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	p.sent++
	p.backlog += read
	p.used = now
}

// started counts that a request's prompt no longer waits.
func (p *peer) started(read time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog = max(0, p.backlog-read)
}

// keep counts that shared parts of a prompt were read.
func (p *peer) keep(memory string, now time.Time) {
	if memory == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kept == nil {
		p.kept = map[string]time.Time{}
	}
	p.kept[memory] = now
}

// end counts the end of a request.
func (p *peer) end(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.done++
	p.used = now
}

// report takes the load that an answer told: running, waiting and slots.
func (p *peer) report(value string, now time.Time) {
	running, rest, ok := strings.Cut(value, ",")
	waiting, _, ok2 := strings.Cut(rest, ",")
	if !ok || !ok2 {
		return
	}
	r, err := strconv.Atoi(strings.TrimSpace(running))
	w, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if err != nil || err2 != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running, p.waiting, p.reported, p.sent, p.done = r, w, now, 0, 0
}

func (p *peer) succeeded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaker.RecordSuccess()
}

// failed counts a failure and reports whether the breaker is open now.
func (p *peer) failed(unreachable bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if unreachable {
		p.breaker.Trip(now, rand.Float64())
		for _, c := range p.idle {
			c.close()
		}
		p.idle = nil
	} else {
		p.breaker.RecordFailure(now, rand.Float64())
	}
	return p.breaker.IsOpen(now)
}

// take returns an idle connection that still stands and was used within fresh, if there is one.
func (p *peer) take(now time.Time, fresh time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(now, fresh) && c.silent() {
			return c
		}
		c.close()
	}
	return nil
}

func (p *peer) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

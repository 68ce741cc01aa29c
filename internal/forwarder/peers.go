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
	// peerIdleTimeout is how long a backend server that is not listed and not in use is remembered.
	peerIdleTimeout = 30 * time.Second
	// sweepInterval is how often idle connections and forgotten peers are cleared.
	sweepInterval = time.Second
	// reportMaxAge is how long a report counts fully; the load behind it lasts about as long.
	reportMaxAge = 2 * time.Second
	// cacheLifetime is how long shared parts of a prompt are taken to stay in an engine's memory.
	cacheLifetime = 15 * time.Second
)

// peerKey names one life of a backend server at one address.
type peerKey struct {
	id          model.BackendID
	incarnation int64
	address     string
}

func peerKeyOf(s model.BackendServer) peerKey {
	return peerKey{id: s.Backend, incarnation: s.Born, address: s.Address}
}

// peer is what an entry knows of one backend server from its own requests.
type peer struct {
	server model.BackendServer

	mu              sync.Mutex
	breaker         breaker.Breaker
	running         int
	waiting         int
	reportedAt      time.Time
	sentSinceReport int
	doneSinceReport int
	openRequests    int
	// backlog is the time that the prompts sent and not yet answered take to read.
	backlog time.Duration
	// cachedPrefixes tells when shared parts of prompts were read there last.
	cachedPrefixes map[string]time.Time
	idleConns      []*conn
	lastUsed       time.Time
}

// peerTable holds the peers.
type peerTable struct {
	mu    sync.RWMutex
	peers map[peerKey]*peer
}

func newPeerTable() *peerTable { return &peerTable{peers: map[peerKey]*peer{}} }

func (t *peerTable) get(s model.BackendServer, now time.Time) *peer {
	key := peerKeyOf(s)
	t.mu.RLock()
	p := t.peers[key]
	t.mu.RUnlock()
	if p != nil {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p = t.peers[key]; p == nil {
		p = &peer{server: s, lastUsed: now}
		t.peers[key] = p
	}
	return p
}

// sweep closes connections that idled too long and forgets peers that are not used.
func (t *peerTable) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
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
		kept := p.idleConns[:0]
		for _, c := range p.idleConns {
			if c.isUsable(now, 0) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		p.idleConns = kept
		for cacheKey, at := range p.cachedPrefixes {
			if now.Sub(at) > cacheLifetime {
				delete(p.cachedPrefixes, cacheKey)
			}
		}
		forget := p.openRequests == 0 && len(p.idleConns) == 0 && now.Sub(p.lastUsed) > peerIdleTimeout
		p.mu.Unlock()
		if forget {
			delete(t.peers, key)
		}
	}
}

// openLoad returns what is open at each peer.
func (t *peerTable) openLoad() map[model.BackendID]gossiper.BackendLoad {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[model.BackendID]gossiper.BackendLoad{}
	for key, p := range t.peers {
		p.mu.Lock()
		if p.openRequests > 0 {
			out[key.id] = gossiper.BackendLoad{Open: p.openRequests, Backlog: p.backlog}
		}
		p.mu.Unlock()
	}
	return out
}

// asBackend returns the peer for a choice, and whether its breaker keeps it out.
func (p *peer) asBackend(s model.BackendServer, others gossiper.BackendLoad, now time.Time) (picker.Backend, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := picker.Backend{Server: s, Unanswered: p.openRequests + others.Open}
	if now.Sub(p.reportedAt) < reportMaxAge {
		b.Running, b.Waiting, b.Sent, b.Answered = p.running, p.waiting, p.sentSinceReport, p.doneSinceReport
	}
	return b, p.breaker.IsOpen(now)
}

// asEngine returns the peer as an asEngine for a prompt whose shared parts are named by memory.
func (p *peer) asEngine(s model.BackendServer, cacheKey string, others gossiper.BackendLoad, now time.Time) (picker.Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := picker.Engine{Server: s, Backlog: p.backlog + others.Backlog, Busy: p.openRequests + others.Open}
	if now.Sub(p.reportedAt) < reportMaxAge {
		e.Busy = max(e.Busy, p.running+p.waiting+p.sentSinceReport-p.doneSinceReport)
	}
	at, ok := p.cachedPrefixes[cacheKey]
	e.PrefixCached = ok && now.Sub(at) < cacheLifetime
	return e, p.breaker.IsOpen(now)
}

// startRequest counts a request whose prompt takes a time to read.
func (p *peer) startRequest(readTime time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openRequests++
	p.sentSinceReport++
	p.backlog += readTime
	p.lastUsed = now
}

// removeBacklog counts that a request's prompt no longer waits.
func (p *peer) removeBacklog(readTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog = max(0, p.backlog-readTime)
}

// recordCachedPrefix counts that shared parts of a prompt were read.
func (p *peer) recordCachedPrefix(cacheKey string, now time.Time) {
	if cacheKey == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cachedPrefixes == nil {
		p.cachedPrefixes = map[string]time.Time{}
	}
	p.cachedPrefixes[cacheKey] = now
}

// finishRequest counts the finishRequest of a request.
func (p *peer) finishRequest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openRequests--
	p.doneSinceReport++
	p.lastUsed = now
}

// recordLoad takes the load that an answer told: running, waiting and slots.
func (p *peer) recordLoad(value string, now time.Time) {
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
	p.running, p.waiting, p.reportedAt, p.sentSinceReport, p.doneSinceReport = r, w, now, 0, 0
}

func (p *peer) recordSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaker.RecordSuccess()
}

// recordFailure counts a failure and reports whether the breaker is open now.
func (p *peer) recordFailure(unreachable bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if unreachable {
		p.breaker.Trip(now, rand.Float64())
		for _, c := range p.idleConns {
			c.close()
		}
		p.idleConns = nil
	} else {
		p.breaker.RecordFailure(now, rand.Float64())
	}
	return p.breaker.IsOpen(now)
}

// takeIdleConn returns an idle connection that still stands and was used within fresh, if there is one.
func (p *peer) takeIdleConn(now time.Time, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idleConns) > 0 {
		c := p.idleConns[len(p.idleConns)-1]
		p.idleConns = p.idleConns[:len(p.idleConns)-1]
		if c.isUsable(now, maxIdle) && c.isOpenAndQuiet() {
			return c
		}
		c.close()
	}
	return nil
}

func (p *peer) putIdleConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleConns = append(p.idleConns, c)
}

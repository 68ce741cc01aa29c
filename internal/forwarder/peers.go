package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/breaker"
	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// peerIdleTimeout is how long the state of an unused backend server is kept.
	peerIdleTimeout = 30 * time.Second
	// sweepInterval is how often expired idle connections and unused peers are removed.
	sweepInterval = time.Second
	// reportMaxAge is how long a load report is used; the reported load lasts about as long.
	reportMaxAge = 2 * time.Second
	// cacheLifetime is how long an engine is assumed to keep the shared prefix of a prompt in its cache.
	cacheLifetime = 15 * time.Second
)

// peerKey identifies one incarnation of a backend server at one address.
type peerKey struct {
	id          model.BackendID
	incarnation int64
	address     string
}

func peerKeyOf(s model.BackendServer) peerKey {
	return peerKey{id: s.Backend, incarnation: s.StartUnixMilli, address: s.Address}
}

// peer holds an entry's own observations of one backend server.
type peer struct {
	server model.BackendServer

	mu         sync.Mutex
	breaker    breaker.Breaker
	running    int
	waiting    int
	reportedAt time.Time
	// slots is the number of slots in the last report, 0 if it named none; speed is the server's speed.
	slots int
	speed picker.SpeedEstimate
	// oddLoad is set once an unreadable report was logged.
	oddLoad         bool
	sentSinceReport int
	doneSinceReport int
	unanswered      int
	// backlog is the estimated prefill time of the prompts that were sent and are not answered yet.
	backlog time.Duration
	// tokens is the number of tokens that the requests hold which are not finished.
	tokens model.Tokens
	// cachedPrefixes maps a shared prompt prefix to the time when the engine last prefilled it.
	cachedPrefixes map[string]time.Time
	idleConns      []*conn
	lastUsed       time.Time
	// unproven holds the attempts that are suspects if the backend server crashes.
	unproven []*attempt
}

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

// sweep removes expired idle connections and unused peers until ctx ends.
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
		usable := p.idleConns[:0]
		for _, c := range p.idleConns {
			if c.isUsable(now, 0) {
				usable = append(usable, c)
			} else {
				c.close()
			}
		}
		p.idleConns = usable
		for prefixKey, at := range p.cachedPrefixes {
			if now.Sub(at) > cacheLifetime {
				delete(p.cachedPrefixes, prefixKey)
			}
		}
		p.dropOldAttempts(now)
		forget := p.unanswered == 0 && len(p.idleConns) == 0 && now.Sub(p.lastUsed) > peerIdleTimeout
		p.mu.Unlock()
		if forget {
			delete(t.peers, key)
		}
	}
}

// openWork returns the open work at each peer.
func (t *peerTable) openWork() map[model.BackendID]gossiper.OpenWork {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[model.BackendID]gossiper.OpenWork{}
	for key, p := range t.peers {
		p.mu.Lock()
		if p.unanswered > 0 {
			out[key.id] = gossiper.OpenWork{Unanswered: p.unanswered, Backlog: p.backlog, Tokens: p.tokens}
		}
		p.mu.Unlock()
	}
	return out
}

// asBackend returns the peer as input for the choice of a backend server, and whether its breaker is open.
func (p *peer) asBackend(s model.BackendServer, others gossiper.OpenWork, now time.Time) (picker.Backend, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := picker.Backend{Server: s, Unanswered: p.unanswered + others.Unanswered}
	if now.Sub(p.reportedAt) < reportMaxAge {
		b.Running, b.Waiting, b.Sent, b.Answered = p.running, p.waiting, p.sentSinceReport, p.doneSinceReport
	}
	b.Server.Slots = orDefault(s.Slots, p.slots)
	b.Slowdown = p.speed.At(now)
	return b, p.breaker.IsOpen(now)
}

// asEngine returns the peer as input for the choice of an engine, and whether its breaker is open.
func (p *peer) asEngine(s model.BackendServer, prefixKey string, others gossiper.OpenWork, now time.Time) (picker.Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := picker.Engine{Server: s, Backlog: p.backlog + others.Backlog, Busy: p.unanswered + others.Unanswered, Tokens: p.tokens + others.Tokens}
	if now.Sub(p.reportedAt) < reportMaxAge {
		e.Busy = max(e.Busy, p.running+p.waiting+p.sentSinceReport-p.doneSinceReport)
	}
	e.Server.Slots = orDefault(s.Slots, p.slots)
	e.Slowdown = p.speed.At(now)
	at, ok := p.cachedPrefixes[prefixKey]
	e.PrefixCached = ok && now.Sub(at) < cacheLifetime
	return e, p.breaker.IsOpen(now)
}

// startRequest counts a sent request and the tokens that it holds, and adds the prefill time of its prompt to the backlog.
func (p *peer) startRequest(prefillTime time.Duration, tokens model.Tokens, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered++
	p.sentSinceReport++
	p.backlog += prefillTime
	p.tokens += tokens
	p.lastUsed = now
}

// removeBacklog removes a prompt's prefill time from the backlog.
func (p *peer) removeBacklog(prefillTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog = max(0, p.backlog-prefillTime)
}

// recordCachedPrefix records that the engine prefilled a shared prefix.
func (p *peer) recordCachedPrefix(prefixKey string, now time.Time) {
	if prefixKey == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cachedPrefixes == nil {
		p.cachedPrefixes = map[string]time.Time{}
	}
	p.cachedPrefixes[prefixKey] = now
}

// finishAttempt counts the end of an attempt, which held tokens, once.
func (p *peer) finishAttempt(a *attempt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	p.unanswered--
	p.tokens -= a.call.heldTokens()
	p.doneSinceReport++
	p.lastUsed = now
}

// maySend reports whether the peer's breaker is closed and its slots are not taken, by its last report or by the work that
// this entry and others have open there.
func (p *peer) maySend(slots int, others gossiper.OpenWork, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	full := now.Sub(p.reportedAt) < reportMaxAge && p.running+p.waiting >= slots
	if slots = orDefault(slots, p.slots); slots > 0 {
		full = full || p.unanswered+others.Unanswered >= slots
	}
	return !full && !p.breaker.IsOpen(now)
}

func (p *peer) succeeded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaker.RecordSuccess()
}

// failed records a failure for the breaker and reports whether the breaker is open now.
func (p *peer) failed(unreachable bool, now time.Time) bool {
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

// takeIdleConn returns a working idle connection, idle for less than maxIdle if that is above zero, or nil.
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

// closeIdleSince closes the connections that carried no answer since a time and returns their number.
func (p *peer) closeIdleSince(at time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.idleConns)
	p.idleConns = slices.DeleteFunc(p.idleConns, func(c *conn) bool {
		if c.idleSince.After(at) {
			return false
		}
		c.close()
		return true
	})
	return before - len(p.idleConns)
}

func (p *peer) putIdleConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleConns = append(p.idleConns, c)
}

package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// coldTTL is how long an unused bucket of a cold server is kept. An empty one takes its place without harm.
	coldTTL = 10 * time.Second
	// maxColdServers bounds the buckets; beyond it the ones that were not used for longest are dropped.
	maxColdServers = 4096
)

// ColdServersConfig configures ColdServers. Members returns the other entries.
type ColdServersConfig struct {
	Self    model.Instance
	Members func() []model.Instance
	Meter   *meter.Meter
	Log     zerolog.Logger
}

// ColdServers keeps the requests of all entries to a cold backend server within what it tolerates. As with
// ServerLimits, each entry derives its share from the list of entries alone, so that the sum holds while entries cannot
// talk to each other, restart or are added: the bucket of an entry that has just learned of a server is empty.
//
// It answers servers that start, return together or turn cold under load, each of which would get its usual share of
// the requests of all entries at once.
type ColdServers struct {
	cfg ColdServersConfig
	// count is the number of buckets, so that requests take no lock while no server is cold.
	count atomic.Int64

	mu      sync.Mutex
	bound   model.ColdSettings
	buckets map[model.ServerLifetime]*coldBucket
	// suspects holds until when a server counts as cold since it did not accept connections a moment ago.
	suspects map[model.ServerLifetime]time.Time
}

type coldBucket struct {
	bucket shareBucket
	rate   model.Rate
	usedAt time.Time
}

// NewColdServers returns ColdServers that keep to the bound in the settings.
func NewColdServers(cfg ColdServersConfig, bound model.ColdSettings) *ColdServers {
	return &ColdServers{cfg: cfg, bound: bound, buckets: map[model.ServerLifetime]*coldBucket{}, suspects: map[model.ServerLifetime]time.Time{}}
}

// SetBound changes the bound.
func (l *ColdServers) SetBound(bound model.ColdSettings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bound = bound
	for _, b := range l.buckets {
		b.bucket.sharedAt = time.Time{}
	}
}

// Suspect records that a server refused a connection, so that it may have restarted: it counts as cold for a while if
// it is reached again.
func (l *ColdServers) Suspect(s model.ServerLifetime, coldStart time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, until := range l.suspects {
		if now.After(until) {
			delete(l.suspects, other)
		}
	}
	l.suspects[s] = now.Add(coldStart + l.bound.ReportWithin)
	l.count.Store(int64(len(l.buckets) + len(l.suspects)))
}

// IsSuspect reports whether a server may have restarted a moment ago.
func (l *ColdServers) IsSuspect(s model.ServerLifetime, now time.Time) bool {
	if l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.suspects[s])
}

// Check reports whether a backend server is limited because it is cold, and how long this entry must wait before it may
// send a request there.
func (l *ColdServers) Check(s model.BackendServer, now time.Time) (limited bool, wait time.Duration) {
	if s.ColdRate <= 0 {
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return true, l.refilled(s, now).bucket.wait()
}

// Take counts a request to a backend server and returns true, or returns false if this entry's share of what the cold
// server tolerates does not allow it now.
func (l *ColdServers) Take(s model.BackendServer, now time.Time) bool {
	if s.ColdRate <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refilled(s, now)
	if b.bucket.wait() > 0 {
		l.cfg.Meter.Count("cold/barred", 1)
		return false
	}
	b.bucket.level--
	l.cfg.Meter.Count("cold/sent", 1)
	return true
}

// refilled returns the bucket of a server, which is up to date. The caller holds the lock.
func (l *ColdServers) refilled(s model.BackendServer, now time.Time) *coldBucket {
	b := l.buckets[s.Lifetime()]
	if b == nil {
		l.forgetOld(now)
		b = &coldBucket{bucket: shareBucket{refilledAt: now}}
		l.buckets[s.Lifetime()] = b
		l.count.Store(int64(len(l.buckets) + len(l.suspects)))
		l.cfg.Log.Info().Str("backend", string(s.Backend)).Str("domain", string(s.Place.Domain)).Dur("cold", s.ColdRemaining).Float64("limit", float64(s.ColdRate)).
			Msg("limiter: backend server is cold, requests to it are limited")
	}
	if b.rate != s.ColdRate {
		b.rate, b.bucket.sharedAt = s.ColdRate, time.Time{}
	}
	b.usedAt = now
	b.bucket.refill(coldLimit(s.ColdRate, l.bound), s, l.cfg.Self, l.cfg.Members, now)
	return b
}

// forgetOld removes the buckets of servers that are warm or gone. The caller holds the lock.
func (l *ColdServers) forgetOld(now time.Time) {
	var oldest model.ServerLifetime
	var oldestAt time.Time
	for s, b := range l.buckets {
		if now.Sub(b.usedAt) > coldTTL {
			delete(l.buckets, s)
		} else if oldestAt.IsZero() || b.usedAt.Before(oldestAt) {
			oldest, oldestAt = s, b.usedAt
		}
	}
	if len(l.buckets) >= maxColdServers {
		delete(l.buckets, oldest)
	}
}

// joiningSharers is the number of entries that may have got a share before the others have seen that they joined.
const joiningSharers = 2

// coldLimit returns what all entries may send to a cold server: its rate, and in bursts what the bound on any second
// leaves beside it. Without a bound in the settings the rate alone is the bound.
func coldLimit(rate model.Rate, bound model.ColdSettings) fleetLimit {
	inSecond := float64(rate)
	if bound.Over > 0 {
		inSecond = float64(rate)*bound.Over + max(bound.Slack, 0)
	}
	bursts := inSecond - float64(rate) - joiningSharers
	if bursts >= 1 {
		return fleetLimit{rate: float64(rate), bursts: bursts}
	}
	// A single entry with a burst of one is the least that reaches the server at all.
	return fleetLimit{rate: min(float64(rate), max(inSecond-1, inSecond/2)), bursts: 1}
}

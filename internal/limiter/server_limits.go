package limiter

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// burstBase and burstRatio bound what all entries together may send at once beyond a server's limit: a number
	// of requests, and as many again as the limit allows in burstRatio seconds.
	burstBase, burstRatio = 3, 2
	// repeatInterval is how often an entry that gets answers repeats their limit to the other entries.
	repeatInterval = time.Second
	// limitTTL is how long a limit is kept without any news of it, and liftedTTL how long it is remembered that
	// one was lifted. Entries forget at different times, up to twice limitTTL, so that they do not all try again
	// at once.
	limitTTL, liftedTTL = time.Minute, 10 * time.Second
	// maxBroadcastLimits is the number of limits in one message, which must fit into a packet.
	maxBroadcastLimits = 12
)

// ServerLimitsConfig configures ServerLimits. Members returns the other entries.
type ServerLimitsConfig struct {
	Self    model.Instance
	Members func() []model.Instance
	Meter   *meter.Meter
	Log     zerolog.Logger
}

// ServerLimits keeps the requests of all entries within the limits that backend servers in need name in their
// answers. Each entry derives its share from the same list of entries and needs no one's consent, so that the sum
// holds while entries cannot talk to each other or restart.
type ServerLimits struct {
	cfg ServerLimitsConfig
	// count is the number of limits, so that requests take no lock while there are none.
	count atomic.Int64

	mu     sync.Mutex
	limits map[model.ServerLifetime]*serverLimit
	unsent map[model.ServerLifetime]bool
}

// serverLimit is the limit of one backend server and this entry's part of it.
type serverLimit struct {
	rate model.Rate
	// lifted is set once an answer named no limit.
	lifted bool
	// heardAt is when the newest answer that is known arrived at any entry, toldAt when this entry last told the
	// others.
	heardAt, toldAt time.Time
	bucket          shareBucket
}

// NewServerLimits returns ServerLimits without limits.
func NewServerLimits(cfg ServerLimitsConfig) *ServerLimits {
	return &ServerLimits{cfg: cfg, limits: map[model.ServerLifetime]*serverLimit{}, unsent: map[model.ServerLifetime]bool{}}
}

// Observe records that an answer of a backend server named a limit in requests a second, or none.
func (l *ServerLimits) Observe(s model.ServerLifetime, rate model.Rate, named bool, now time.Time) {
	if !named && l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !named && l.limits[s] == nil {
		return
	}
	changed := l.update(s, rate, !named, now, now)
	if state := l.limits[s]; changed || !state.lifted && now.Sub(state.toldAt) >= repeatInterval {
		state.toldAt = now
		l.unsent[s] = true
	}
}

// update takes over news of a limit if it is the newest, and reports whether the limit has changed. The caller holds
// the lock.
func (l *ServerLimits) update(s model.ServerLifetime, rate model.Rate, lifted bool, heardAt, now time.Time) bool {
	state := l.limits[s]
	if state == nil {
		l.forgetOld(now)
		state = &serverLimit{lifted: true, bucket: shareBucket{refilledAt: now}}
		l.limits[s] = state
		l.count.Store(int64(len(l.limits)))
	}
	if heardAt.Before(state.heardAt) {
		return false
	}
	state.heardAt = heardAt
	if lifted == state.lifted && (lifted || rate == state.rate) {
		return false
	}
	if state.lifted {
		state.bucket = shareBucket{refilledAt: now}
	}
	state.rate, state.lifted, state.bucket.sharedAt = rate, lifted, time.Time{}
	l.cfg.Meter.Count("limits/changed", 1)
	l.cfg.Log.Info().Str("backend", string(s.Backend)).Float64("limit", float64(rate)).Bool("lifted", lifted).Dur("age", now.Sub(heardAt)).
		Msg("limiter: limit of a backend server changed")
	return true
}

// forgetOld removes the limits of which there was no news for long. The caller holds the lock.
func (l *ServerLimits) forgetOld(now time.Time) {
	for s, state := range l.limits {
		ttl := liftedTTL
		if !state.lifted {
			jitter := float64(xxhash.Sum64String(string(l.cfg.Self.Instance)+string(s.Backend))>>32) / (1 << 32)
			ttl = limitTTL + time.Duration(jitter*float64(limitTTL))
		}
		if now.Sub(state.heardAt) > ttl {
			delete(l.limits, s)
			delete(l.unsent, s)
		}
	}
	l.count.Store(int64(len(l.limits)))
}

// Check reports whether a backend server names a limit, and how long this entry must wait before it may send a
// request there.
func (l *ServerLimits) Check(s model.BackendServer, now time.Time) (limited bool, wait time.Duration) {
	if l.count.Load() == 0 {
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.activeLimit(s, now)
	if state == nil {
		return false, 0
	}
	return true, state.bucket.wait()
}

// Take counts a request to a backend server and returns true, or returns false if this entry's share of the
// server's limit does not allow it now.
func (l *ServerLimits) Take(s model.BackendServer, now time.Time) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.activeLimit(s, now)
	if state == nil {
		return true
	}
	if state.bucket.wait() > 0 {
		return false
	}
	state.bucket.level--
	return true
}

// activeLimit returns the limit that a backend server names, with a bucket that is up to date, or nil. The caller
// holds the lock.
func (l *ServerLimits) activeLimit(s model.BackendServer, now time.Time) *serverLimit {
	state := l.limits[s.Lifetime()]
	if state == nil {
		return nil
	}
	if now.Sub(state.heardAt) > limitTTL {
		l.forgetOld(now)
		if state = l.limits[s.Lifetime()]; state == nil {
			return nil
		}
	}
	if state.lifted {
		return nil
	}
	limit := float64(state.rate)
	state.bucket.refill(fleetLimit{rate: limit, bursts: burstBase + burstRatio*limit}, s, l.cfg.Self, l.cfg.Members, now)
	return state
}

// limitMessage tells other entries of a limit.
type limitMessage struct {
	Server model.ServerLifetime `json:"server"`
	Rate   model.Rate           `json:"rate"`
	Lifted bool                 `json:"lifted,omitempty"`
	// AgeMillis is the time since the answer that named the limit arrived.
	AgeMillis int64 `json:"age"`
}

// Broadcasts returns the encoded limits of which this entry's answers told since the last call.
func (l *ServerLimits) Broadcasts(now time.Time) [][]byte {
	l.mu.Lock()
	var news []limitMessage
	for s := range l.unsent {
		if state := l.limits[s]; state != nil {
			news = append(news, limitMessage{Server: s, Rate: state.rate, Lifted: state.lifted, AgeMillis: now.Sub(state.heardAt).Milliseconds()})
		}
	}
	clear(l.unsent)
	l.mu.Unlock()
	var out [][]byte
	for part := range slices.Chunk(news, maxBroadcastLimits) {
		b, err := json.Marshal(part)
		if err != nil {
			l.cfg.Log.Error().Err(err).Msg("limiter: limits cannot be encoded and are not sent")
			continue
		}
		out = append(out, b)
	}
	return out
}

// OnBroadcast takes over the limits in a message from another entry.
func (l *ServerLimits) OnBroadcast(b []byte, now time.Time) {
	var news []limitMessage
	if err := json.Unmarshal(b, &news); err != nil {
		l.cfg.Log.Debug().Err(err).Msg("limiter: limits from another entry cannot be read")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range news {
		if m.Rate < 0 || m.Lifted && l.limits[m.Server] == nil {
			continue
		}
		l.update(m.Server, m.Rate, m.Lifted, now.Add(-time.Duration(max(m.AgeMillis, 0))*time.Millisecond), now)
	}
}

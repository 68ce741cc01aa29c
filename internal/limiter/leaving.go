package limiter

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// leavingTTL is how long it is remembered that a backend server leaves. It may go on serving, and the store may
	// have it as ready, for as long as an outage of the store lasts.
	leavingTTL = time.Hour
	// maxBroadcastLeaving is the number of backend servers in one message, which must fit into a packet.
	maxBroadcastLeaving = 16
)

// LeavingServersConfig configures LeavingServers.
type LeavingServersConfig struct {
	Meter *meter.Meter
	Log   zerolog.Logger
}

// LeavingServers holds the backend servers that said in an answer that they leave. They get no requests until they start
// again, whatever the store says of them: while it cannot be reached, it has them as ready. The entry that is told first
// tells the others, so that their callers need not be turned away.
type LeavingServers struct {
	cfg LeavingServersConfig
	// count is the number of servers, so that requests take no lock while there are none.
	count atomic.Int64

	mu      sync.RWMutex
	heardAt map[model.ServerLifetime]time.Time
	unsent  []model.ServerLifetime
}

// NewLeavingServers returns LeavingServers without any.
func NewLeavingServers(cfg LeavingServersConfig) *LeavingServers {
	return &LeavingServers{cfg: cfg, heardAt: map[model.ServerLifetime]time.Time{}}
}

// Observe records that a backend server said that it leaves.
func (l *LeavingServers) Observe(s model.ServerLifetime, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.add(s, true, now) {
		l.unsent = append(l.unsent, s)
	}
}

// add records a server and reports whether it was unknown. The caller holds the lock.
func (l *LeavingServers) add(s model.ServerLifetime, own bool, now time.Time) bool {
	_, known := l.heardAt[s]
	l.heardAt[s] = now
	if known {
		return false
	}
	for other, at := range l.heardAt {
		if now.Sub(at) > leavingTTL {
			delete(l.heardAt, other)
		}
	}
	l.count.Store(int64(len(l.heardAt)))
	l.cfg.Meter.Count("announced/leaving", 1)
	l.cfg.Log.Info().Str("backend", string(s.Backend)).Int64("born", s.StartUnixMilli).Bool("own", own).
		Msg("limiter: backend server leaves and gets no more requests")
	return true
}

// IsLeaving reports whether a backend server said that it leaves.
func (l *LeavingServers) IsLeaving(s model.ServerLifetime) bool {
	if l.count.Load() == 0 {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ok := l.heardAt[s]
	return ok
}

// Broadcasts returns the encoded servers that told this entry first since the last call.
func (l *LeavingServers) Broadcasts(time.Time) [][]byte {
	l.mu.Lock()
	unsent := l.unsent
	l.unsent = nil
	l.mu.Unlock()
	var out [][]byte
	for part := range slices.Chunk(unsent, maxBroadcastLeaving) {
		b, err := json.Marshal(part)
		if err != nil {
			l.cfg.Log.Error().Err(err).Msg("limiter: leaving servers cannot be encoded and are not sent")
			continue
		}
		out = append(out, b)
	}
	return out
}

// OnBroadcast takes over the servers in a message from another entry.
func (l *LeavingServers) OnBroadcast(b []byte, now time.Time) {
	var servers []model.ServerLifetime
	if err := json.Unmarshal(b, &servers); err != nil {
		l.cfg.Log.Debug().Err(err).Msg("limiter: leaving servers from another entry cannot be read")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range servers {
		l.add(s, false, now)
	}
}

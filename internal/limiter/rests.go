package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxRest bounds the rest that a backend server gets for one answer.
	maxRest = 10 * time.Minute
	// restSpread and maxRestSpread are the part of a rest, and the time, over which entries spread their return.
	restSpread, maxRestSpread = 0.1, time.Second
	// trialTime is how long the first request after a rest stays the only one if it gets no answer.
	trialTime = time.Second
)

// RestingServersConfig configures RestingServers.
type RestingServersConfig struct {
	Self  model.InstanceID
	Meter *meter.Meter
	Log   zerolog.Logger
}

// RestingServers holds the backend servers that turned a request of this entry away and asked it to send nothing for a
// while. A rest applies to this entry only. Servers that rest are full, so the requests that waited must not return
// together: one goes first after the rest, and others follow once it got an answer that asks for none.
type RestingServers struct {
	cfg RestingServersConfig
	// count is the number of servers, so that requests take no lock while there are none.
	count atomic.Int64

	mu    sync.Mutex
	rests map[model.ServerLifetime]*rest
}

// rest is the rest of one server.
type rest struct {
	until time.Time
	// triedAt is when the first request after the rest was sent, zero before.
	triedAt time.Time
}

// NewRestingServers returns RestingServers without any.
func NewRestingServers(cfg RestingServersConfig) *RestingServers {
	return &RestingServers{cfg: cfg, rests: map[model.ServerLifetime]*rest{}}
}

// Observe records that an answer of a backend server asked for rest, or with a rest of 0 that it asked for none.
func (l *RestingServers) Observe(s model.ServerLifetime, asked time.Duration, now time.Time) {
	if asked <= 0 && l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rests[s]
	if asked <= 0 {
		// Requests that were sent before the rest may still be answered in it; only an answer after it ends it.
		if r != nil && !r.triedAt.IsZero() {
			l.end(s)
		}
		return
	}
	asked = min(asked, maxRest)
	if r == nil {
		l.forgetOld(now)
		r = &rest{}
		l.rests[s] = r
		l.count.Store(int64(len(l.rests)))
	}
	r.triedAt = time.Time{}
	if until := now.Add(asked + l.spread(s, asked)); until.After(r.until) {
		r.until = until
	}
	l.cfg.Meter.Count("announced/rest", 1)
	l.cfg.Log.Info().Str("backend", string(s.Backend)).Dur("rest", asked).Msg("limiter: backend server turned a request away and rests")
}

// spread returns how much later than asked for this entry returns to a server.
func (l *RestingServers) spread(s model.ServerLifetime, asked time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(string(l.cfg.Self)+"\x00"+string(s.Backend))>>32) / (1 << 32)
	return time.Duration(share * min(restSpread*float64(asked), float64(maxRestSpread)))
}

func (l *RestingServers) end(s model.ServerLifetime) {
	delete(l.rests, s)
	l.count.Store(int64(len(l.rests)))
	l.cfg.Log.Info().Str("backend", string(s.Backend)).Msg("limiter: rest of the backend server is over")
}

// forgetOld removes the rests that ended long ago and were followed by no request, such as those of servers that are
// gone. The caller holds the lock.
func (l *RestingServers) forgetOld(now time.Time) {
	for s, r := range l.rests {
		if now.Sub(r.until) > maxRest {
			delete(l.rests, s)
		}
	}
	l.count.Store(int64(len(l.rests)))
}

// Wait returns the time until a backend server may get a request.
func (l *RestingServers) Wait(s model.ServerLifetime, now time.Time) time.Duration {
	if l.count.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rests[s].wait(now)
}

func (r *rest) wait(now time.Time) time.Duration {
	switch {
	case r == nil:
		return 0
	case now.Before(r.until):
		return r.until.Sub(now)
	case !r.triedAt.IsZero():
		return max(0, r.triedAt.Add(trialTime).Sub(now))
	}
	return 0
}

// Take returns true if a backend server may get a request now. The first one after a rest bars others until it got an
// answer.
func (l *RestingServers) Take(s model.ServerLifetime, now time.Time) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rests[s]
	if r.wait(now) > 0 {
		return false
	}
	if r != nil {
		r.triedAt = now
	}
	return true
}

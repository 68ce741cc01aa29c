package follower

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// lapseGrace is how long an entry that is missing after an outage of the store may take to
// come back; backend servers that live write again within about two seconds of its return.
const lapseGrace = 2 * time.Second

// listed is one backend server and its entry's revision. A zero lapses means that the entry
// stands; otherwise the backend server is taken as gone from then on.
type listed struct {
	server   model.BackendServer
	revision model.Revision
	lapses   time.Time
	bad      bool
}

// serverTable holds the backend servers by their keys.
type serverTable struct {
	rows map[string]listed
	// regained is when the store came back from its last outage.
	regained time.Time
	// lapses is the earliest time at which a row lapses, zero if none does.
	lapses   time.Time
	services map[model.ServiceID][]model.BackendServer
}

func newServerTable() *serverTable {
	return &serverTable{rows: map[string]listed{}, services: map[model.ServiceID][]model.BackendServer{}}
}

// Servers returns the backend servers of a service; the slice must not be changed.
func (f *Follower) Servers(s model.ServiceID, now time.Time) []model.BackendServer {
	f.mu.RLock()
	expired := f.servers.expired(now)
	rows := f.servers.services[s]
	f.mu.RUnlock()
	if !expired {
		return rows
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	return f.servers.services[s]
}

func (t *serverTable) expired(now time.Time) bool {
	return !t.lapses.IsZero() && now.After(t.lapses)
}

func (f *Follower) expire(now time.Time) {
	for key, r := range f.servers.rows {
		if !r.lapses.IsZero() && now.After(r.lapses) {
			delete(f.servers.rows, key)
			f.logServer("follower: backend server is gone, its entry did not come back", r.server)
		}
	}
	f.servers.index()
}

func (f *Follower) applyServers(b batch, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.servers
	if b.regained {
		t.regained = now
	}
	if b.full {
		present := make(map[string]bool, len(b.objects))
		for _, o := range b.objects {
			present[o.Key] = true
		}
		for key := range t.rows {
			if !present[key] {
				f.remove(key, now)
			}
		}
	}
	for _, o := range b.objects {
		known, ok := t.rows[o.Key]
		switch {
		case ok && o.Revision < known.revision:
		case o.Deleted:
			f.remove(o.Key, now)
		default:
			f.put(o, known)
		}
	}
	t.index()
}

// remove takes a backend server out at once, or after a grace right after an outage, in which
// entries lapse although their backend servers live.
func (f *Follower) remove(key string, now time.Time) {
	r, ok := f.servers.rows[key]
	if !ok || !r.lapses.IsZero() {
		return
	}
	if until := f.servers.regained.Add(lapseGrace); now.Before(until) && r.server.State == model.BackendReady && !r.bad {
		r.lapses = until
		f.servers.rows[key] = r
		f.logServer("follower: entry lapsed during an outage of the store, kept for a while", r.server)
		return
	}
	delete(f.servers.rows, key)
	f.logServer("follower: backend server is gone", r.server)
}

func (f *Follower) put(o storer.Object, known listed) {
	s, err := f.cfg.Decode.Server(o)
	if err != nil {
		if !known.bad {
			f.cfg.Log.Warn().Err(err).Msg("follower: entry names no backend server")
		}
		f.servers.rows[o.Key] = listed{revision: o.Revision, bad: true}
		return
	}
	if known.server.State != s.State || known.server.Address != s.Address || known.server.Born != s.Born {
		f.logServer("follower: backend server is "+string(s.State), s)
	}
	f.servers.rows[o.Key] = listed{server: s, revision: o.Revision}
}

func (f *Follower) logServer(msg string, s model.BackendServer) {
	f.cfg.Log.Info().Str("backend", string(s.Backend)).Str("service", string(s.Service)).Str("address", s.Address).
		Str("version", string(s.Version)).Str("domain", string(s.Place.Domain)).Int64("born", s.Born).Msg(msg)
}

// index groups the usable rows by service and finds the next one to lapse. Readers hold the old slices, so new ones are made.
func (t *serverTable) index() {
	services := make(map[model.ServiceID][]model.BackendServer, len(t.services))
	t.lapses = time.Time{}
	for _, r := range t.rows {
		if !r.lapses.IsZero() && (t.lapses.IsZero() || r.lapses.Before(t.lapses)) {
			t.lapses = r.lapses
		}
		if !r.bad {
			services[r.server.Service] = append(services[r.server.Service], r.server)
		}
	}
	t.services = services
}

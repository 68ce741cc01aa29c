package follower

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// removalGrace is how long a backend server is kept whose object is missing after an outage of the
// store. The objects of live backend servers expire during an outage, and the servers write them
// again within about two seconds of the store's return.
const removalGrace = 2 * time.Second

// serverRow is one backend server and the revision of its object. A zero removeAt means that the
// object exists; otherwise the backend server is removed at that time unless the object returns.
type serverRow struct {
	server     model.BackendServer
	revision   model.Revision
	removeAt   time.Time
	unreadable bool
}

// serverTable holds the backend servers by the keys of their objects.
type serverTable struct {
	rows map[string]serverRow
	// regained is when the store answered again after its last outage.
	regained time.Time
	// removeAt is the earliest removeAt of all rows, or zero if none is set.
	removeAt  time.Time
	byService map[model.ServiceID][]model.BackendServer
}

func newServerTable() *serverTable {
	return &serverTable{rows: map[string]serverRow{}, byService: map[model.ServiceID][]model.BackendServer{}}
}

// Servers returns the backend servers of a service; the slice must not be changed.
func (f *Follower) Servers(s model.ServiceID, now time.Time) []model.BackendServer {
	f.mu.RLock()
	removalDue := f.servers.removalDue(now)
	rows := f.servers.byService[s]
	f.mu.RUnlock()
	if !removalDue {
		return rows
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeOverdue(now)
	return f.servers.byService[s]
}

func (t *serverTable) removalDue(now time.Time) bool {
	return !t.removeAt.IsZero() && now.After(t.removeAt)
}

func (f *Follower) removeOverdue(now time.Time) {
	for key, r := range f.servers.rows {
		if !r.removeAt.IsZero() && now.After(r.removeAt) {
			delete(f.servers.rows, key)
			f.logServer("follower: backend server is gone, its object did not return after the store outage", r.server)
		}
	}
	f.servers.rebuildIndex()
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
				f.removeServer(key, now)
			}
		}
	}
	for _, o := range b.objects {
		known, ok := t.rows[o.Key]
		switch {
		case ok && o.Revision < known.revision:
		case o.Deleted:
			f.removeServer(o.Key, now)
		default:
			f.putServer(o, known)
		}
	}
	t.rebuildIndex()
}

// removeServer removes a backend server at once. Right after an outage it keeps a ready one for
// removalGrace, because objects expire during an outage although their backend servers live.
func (f *Follower) removeServer(key string, now time.Time) {
	r, ok := f.servers.rows[key]
	if !ok || !r.removeAt.IsZero() {
		return
	}
	if until := f.servers.regained.Add(removalGrace); now.Before(until) && r.server.State == model.BackendReady && !r.unreadable {
		r.removeAt = until
		f.servers.rows[key] = r
		f.logServer("follower: object of the backend server expired during a store outage, server kept for a while", r.server)
		return
	}
	delete(f.servers.rows, key)
	f.logServer("follower: backend server is gone", r.server)
}

func (f *Follower) putServer(o storer.Object, known serverRow) {
	s, err := f.cfg.Decode.Server(o)
	if err != nil {
		if !known.unreadable {
			f.cfg.Log.Warn().Err(err).Msg("follower: object of a backend server cannot be decoded and is ignored")
		}
		f.servers.rows[o.Key] = serverRow{revision: o.Revision, unreadable: true}
		return
	}
	if known.server.State != s.State || known.server.Address != s.Address || known.server.StartUnixMilli != s.StartUnixMilli {
		f.logServer("follower: backend server is "+string(s.State), s)
	}
	f.servers.rows[o.Key] = serverRow{server: s, revision: o.Revision}
}

func (f *Follower) logServer(msg string, s model.BackendServer) {
	f.cfg.Log.Info().Str("backend", string(s.Backend)).Str("service", string(s.Service)).Str("address", s.Address).
		Str("version", string(s.Version)).Str("domain", string(s.Place.Domain)).Int64("born", s.StartUnixMilli).Msg(msg)
}

// rebuildIndex groups the usable rows by service and finds the next removal. Readers still hold the old
// slices, so it builds new ones.
func (t *serverTable) rebuildIndex() {
	byService := make(map[model.ServiceID][]model.BackendServer, len(t.byService))
	t.removeAt = time.Time{}
	for _, r := range t.rows {
		if !r.removeAt.IsZero() && (t.removeAt.IsZero() || r.removeAt.Before(t.removeAt)) {
			t.removeAt = r.removeAt
		}
		if !r.unreadable {
			byService[r.server.Service] = append(byService[r.server.Service], r.server)
		}
	}
	t.byService = byService
}

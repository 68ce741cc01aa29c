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

// lapseTime is how long the store keeps the object of a backend server that no longer writes it, three intervals of its
// writing, with some slack.
const lapseTime = 6 * time.Second

// departureTTL is how long it is remembered that a backend server drained or left; copies of the store are much younger.
const departureTTL = 10 * time.Minute

// departure is the end of a backend server as the store told of it before it came back from a copy.
type departure struct {
	at time.Time
	// drained means that the backend server announced that it leaves, which it does not take back.
	drained bool
}

// serverRow is one backend server and the revision of its object. A zero removeAt means that the
// object exists; otherwise the backend server is removed at that time unless the object returns. At reviveAt, unless it
// is zero, a server that had left counts as living, since its object is still there.
type serverRow struct {
	server             model.BackendServer
	revision           model.Revision
	removeAt, reviveAt time.Time
	unreadable         bool
}

// serverTable holds the backend servers by the keys of their objects.
type serverTable struct {
	rows map[string]serverRow
	// departed holds the backend servers that drained or left.
	departed map[model.ServerLifetime]departure
	// regained is when the store answered again after its last outage.
	regained time.Time
	// dueAt is the earliest removeAt or reviveAt of all rows, or zero if none is set.
	dueAt     time.Time
	byService map[model.ServiceID][]model.BackendServer
	// replaced holds the keys of the rows whose address belongs to a later start.
	replaced map[string]bool
}

func newServerTable() *serverTable {
	return &serverTable{rows: map[string]serverRow{}, departed: map[model.ServerLifetime]departure{}, byService: map[model.ServiceID][]model.BackendServer{}}
}

// Servers returns the backend servers of a service; the slice must not be changed.
func (f *Follower) Servers(s model.ServiceID, now time.Time) []model.BackendServer {
	f.mu.RLock()
	due := isDue(f.servers.dueAt, now)
	rows := f.servers.byService[s]
	f.mu.RUnlock()
	if !due {
		return rows
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settleDue(now)
	return f.servers.byService[s]
}

func isDue(at, now time.Time) bool { return !at.IsZero() && now.After(at) }

// settleDue removes backend servers whose objects did not return, and uses those again whose objects stayed.
func (f *Follower) settleDue(now time.Time) {
	t := f.servers
	for key, r := range t.rows {
		switch {
		case isDue(r.removeAt, now):
			t.remove(key, now)
			f.logServer("follower: backend server is gone, its object did not return after the store outage", r.server)
		case isDue(r.reviveAt, now) && r.removeAt.IsZero():
			// A server that lives need not change its object, so that no event tells of it.
			r.reviveAt, r.server.State = time.Time{}, model.BackendReady
			t.rows[key] = r
			delete(t.departed, r.server.Lifetime())
			f.logServer("follower: backend server had gone, but its object stayed in the restored store, it is used again", r.server)
		}
	}
	f.rebuildServers()
}

func (f *Follower) rebuildServers() {
	for _, r := range f.servers.rebuildIndex() {
		f.logServer("follower: address of the backend server belongs to a later one", r.server)
	}
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
		case ok && o.Revision == known.revision:
			known.removeAt = time.Time{}
			t.rows[o.Key] = known
		default:
			f.putServer(o, known, b.restored, now)
		}
	}
	t.forgetDepartures(now)
	f.rebuildServers()
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
	f.servers.remove(key, now)
	f.logServer("follower: backend server is gone", r.server)
}

// remove removes a row and remembers that its backend server left.
func (t *serverTable) remove(key string, now time.Time) {
	if r := t.rows[key]; !r.unreadable {
		t.depart(r.server.Lifetime(), false, now)
	}
	delete(t.rows, key)
}

func (t *serverTable) depart(s model.ServerLifetime, drains bool, now time.Time) {
	t.departed[s] = departure{at: now, drained: drains || t.departed[s].drained}
}

func (t *serverTable) forgetDepartures(now time.Time) {
	for s, d := range t.departed {
		if now.Sub(d.at) > departureTTL {
			delete(t.departed, s)
		}
	}
}

// stateAfter returns the state in which a backend server counts. One that drained stays so until its next start, also if
// a copy of the store says otherwise. One that left is not used at once because a copy still has its object: it writes it
// again if it lives, or its object stays.
func (t *serverTable) stateAfter(s model.BackendServer, restored bool) model.BackendState {
	d, departed := t.departed[s.Lifetime()]
	if departed && (restored || d.drained && s.StartUnixMilli != 0) {
		return model.BackendDraining
	}
	return s.State
}

func (f *Follower) putServer(o storer.Object, known serverRow, restored bool, now time.Time) {
	t := f.servers
	s, err := f.cfg.Decode.Server(o)
	if err != nil {
		if !known.unreadable {
			f.cfg.Log.Warn().Err(err).Msg("follower: object of a backend server cannot be decoded and is ignored")
		}
		t.rows[o.Key] = serverRow{revision: o.Revision, unreadable: true}
		return
	}
	if restored && s.StartUnixMilli < known.server.StartUnixMilli {
		f.cfg.Log.Info().Str("backend", string(s.Backend)).Int64("born", s.StartUnixMilli).Int64("known", known.server.StartUnixMilli).
			Msg("follower: copy of the store has an earlier start of the backend server, which is ignored")
		f.removeServer(o.Key, now)
		return
	}
	if s.State == model.BackendDraining {
		t.depart(s.Lifetime(), true, now)
	}
	row := serverRow{revision: o.Revision}
	if d, departed := t.departed[s.Lifetime()]; departed && restored && !d.drained && s.State == model.BackendReady {
		row.reviveAt = now.Add(lapseTime)
	}
	s.State = t.stateAfter(s, restored)
	if known.server.State != s.State || known.server.Address != s.Address || known.server.StartUnixMilli != s.StartUnixMilli {
		f.logServer("follower: backend server is "+string(s.State), s)
	}
	row.server = s
	t.rows[o.Key] = row
}

func (f *Follower) logServer(msg string, s model.BackendServer) {
	f.cfg.Log.Info().Str("backend", string(s.Backend)).Str("service", string(s.Service)).Str("address", s.Address).
		Str("version", string(s.Version)).Str("domain", string(s.Place.Domain)).Int64("born", s.StartUnixMilli).Msg(msg)
}

// rebuildIndex groups the usable rows by service and finds the next removal. Readers still hold the old
// slices, so it builds new ones. It returns the rows that are no longer usable because a later start of a backend
// server has their address: whoever sends there reaches that one.
func (t *serverTable) rebuildIndex() (replaced []serverRow) {
	atAddress := t.latestAtAddress()
	was := t.replaced
	t.replaced = map[string]bool{}
	byService := make(map[model.ServiceID][]model.BackendServer, len(t.byService))
	t.dueAt = time.Time{}
	for key, r := range t.rows {
		for _, at := range []time.Time{r.removeAt, r.reviveAt} {
			if !at.IsZero() && (t.dueAt.IsZero() || at.Before(t.dueAt)) {
				t.dueAt = at
			}
		}
		switch latest, ok := atAddress[r.server.Address]; {
		case r.unreadable:
		case ok && latest != key:
			if t.replaced[key] = true; !was[key] {
				replaced = append(replaced, r)
			}
		default:
			byService[r.server.Service] = append(byService[r.server.Service], r.server)
		}
	}
	t.byService = byService
	return replaced
}

// latestAtAddress returns the key of the backend server that started last at each address.
func (t *serverTable) latestAtAddress() map[string]string {
	out := make(map[string]string, len(t.rows))
	for key, r := range t.rows {
		if r.unreadable || r.server.Address == "" {
			continue
		}
		other, taken := out[r.server.Address]
		if !taken || r.startedAfter(t.rows[other]) {
			out[r.server.Address] = key
		}
	}
	return out
}

func (r serverRow) startedAfter(other serverRow) bool {
	if r.server.StartUnixMilli != other.server.StartUnixMilli {
		return r.server.StartUnixMilli > other.server.StartUnixMilli
	}
	return r.revision > other.revision
}

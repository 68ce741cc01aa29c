// Package registrar keeps the list of live instances and derives from it which of them relay
// configuration and which instances connect to which.
package registrar

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minRelays leaves one relay running when another is lost.
	minRelays = 2
	// processesPerRelay bounds a relay's work as the fleet grows; each process polls about three
	// relays.
	processesPerRelay = 11
	// subsetSize bounds the agents of one service whose load an entry watches.
	subsetSize = 16
)

// View is an immutable instance list. All processes derive the same roles from the same list.
type View struct {
	list    []model.Instance
	entries []model.Instance
	digest  uint64
	readAt  time.Time
}

// NewView returns the view of a list that was read at the given time.
func NewView(list []model.Instance, readAt time.Time) *View {
	rows := slices.Clone(list)
	slices.SortFunc(rows, func(a, b model.Instance) int { return cmp.Compare(a.Instance, b.Instance) })
	if len(rows) == 0 {
		return &View{readAt: readAt}
	}
	// Marshalling plain structs cannot fail.
	b, _ := json.Marshal(rows)
	v := &View{list: rows, digest: xxhash.Sum64(b), readAt: readAt}
	v.entries = v.filter(func(i model.Instance) bool { return i.Role == model.RoleEntry && !i.Draining })
	return v
}

// Digest identifies the list; it is 0 for an empty one.
func (v *View) Digest() uint64 { return v.digest }

// ReadAt returns when the list was read, by the clock of the instance that read it.
func (v *View) ReadAt() time.Time { return v.readAt }

// List returns all instances, ordered by ID.
func (v *View) List() []model.Instance { return v.list }

// Find returns an instance by its ID.
func (v *View) Find(id model.InstanceID) (model.Instance, bool) {
	i, ok := slices.BinarySearchFunc(v.list, id, func(row model.Instance, id model.InstanceID) int {
		return cmp.Compare(row.Instance, id)
	})
	if !ok {
		return model.Instance{}, false
	}
	return v.list[i], true
}

// Entries returns the entries that are not leaving.
func (v *View) Entries() []model.Instance { return v.entries }

// Agents returns the agents of a service, including those that are leaving.
func (v *View) Agents(service model.ServiceID) []model.Instance {
	return v.filter(func(i model.Instance) bool { return i.Role == model.RoleAgent && i.Service == service })
}

func (v *View) filter(keep func(model.Instance) bool) []model.Instance {
	var out []model.Instance
	for _, i := range v.list {
		if keep(i) {
			out = append(out, i)
		}
	}
	return out
}

// Rank orders instances for a key by rendezvous hashing (Thaler and Ravishankar, 1998): the loss of
// one instance moves only the keys that ranked it first.
func Rank(key string, instances []model.Instance) []model.Instance {
	type scored struct {
		score uint64
		row   model.Instance
	}
	rows := make([]scored, len(instances))
	for i, row := range instances {
		rows[i] = scored{xxhash.Sum64String(key + "\x00" + string(row.Instance)), row}
	}
	slices.SortFunc(rows, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.row.Instance, b.row.Instance))
	})
	out := make([]model.Instance, len(rows))
	for i, s := range rows {
		out[i] = s.row
	}
	return out
}

// Relays returns the entries of a region that watch the platform for the other processes.
func (v *View) Relays(region model.RegionID) []model.Instance {
	processes := 0
	var entries []model.Instance
	for _, i := range v.list {
		if i.Place.Region != region {
			continue
		}
		processes++
		if i.Role == model.RoleEntry && !i.Draining {
			entries = append(entries, i)
		}
	}
	n := max(minRelays, (processes+processesPerRelay-1)/processesPerRelay)
	ranked := Rank("relay", entries)
	return ranked[:min(n, len(ranked))]
}

// Regions returns the regions that have entries, ordered by name.
func (v *View) Regions() []model.RegionID {
	var out []model.RegionID
	for _, i := range v.Entries() {
		if !slices.Contains(out, i.Place.Region) {
			out = append(out, i.Place.Region)
		}
	}
	slices.Sort(out)
	return out
}

// Sources returns the relays that an instance polls: two of its own region and one of each other
// region, so that it can tell the loss of a region from a platform outage.
func (v *View) Sources(self model.Instance) []model.Instance {
	var out []model.Instance
	for _, region := range v.Regions() {
		n := 1
		if region == self.Place.Region {
			n = minRelays
		}
		for _, r := range Rank("listen/"+string(self.Instance), v.Relays(region)) {
			if r.Instance != self.Instance && n > 0 {
				out = append(out, r)
				n--
			}
		}
	}
	return out
}

// IsRelay reports whether an instance is one of its region's relays.
func (v *View) IsRelay(self model.Instance) bool {
	return slices.ContainsFunc(v.Relays(self.Place.Region), func(i model.Instance) bool { return i.Instance == self.Instance })
}

// TopRanked returns the entry that ranks first for a key, such as the writer of a ledger shard.
func (v *View) TopRanked(key string) (model.Instance, bool) {
	entries := v.Entries()
	if len(entries) == 0 {
		return model.Instance{}, false
	}
	return Rank(key, entries)[0], true
}

// Subset returns the agents of a service whose load an entry watches. At least a quarter of a full
// subset is from other regions if they have that many agents, so that an entry whose region has no
// healthy agents can use agents of another region.
func (v *View) Subset(self model.Instance, service model.ServiceID) []model.Instance {
	ranked := Rank("subset/"+string(self.Instance), v.Agents(service))
	if len(ranked) <= subsetSize {
		return ranked
	}
	var near, far []model.Instance
	for _, a := range ranked {
		if a.Place.Region == self.Place.Region {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	n := max(min(len(near), subsetSize*3/4), subsetSize-len(far))
	return append(slices.Clone(near[:n]), far[:subsetSize-n]...)
}

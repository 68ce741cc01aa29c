package owner

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// loadsAtOnce bounds the versions that are being loaded, for the weight store's rate.
	loadsAtOnce = 2
	// agentsPerSecond bounds how many agents an owner asks for their loads.
	agentsPerSecond = 8
	// minAsk is the shortest time between two rounds of asking.
	minAsk = 2 * time.Second
)

// Server is one backend server as the repair sees it.
type Server struct {
	Instance model.InstanceID
	Domain   model.DomainID
	Loaded   []model.VersionID
}

// Plan returns the versions that each server must have loaded, and in words what it
// changes and why. It loads the version that lacks most of its replicas first, spread over
// failure domains, at most so many at once; it unloads only what is withdrawn or surplus,
// and never the last server of a version that is in use.
func Plan(doc *model.Document, servers []Server, atOnce int) (map[model.InstanceID][]model.VersionID, string) {
	loads := map[model.InstanceID][]model.VersionID{}
	for _, s := range servers {
		loads[s.Instance] = slices.Clone(s.Loaded)
	}
	if !manages(doc) || len(servers) == 0 {
		return nil, "the document sets no replicas"
	}
	if why := unloadOne(doc, servers, loads); why != "" {
		return loads, why
	}
	why := "nothing to do"
	for range atOnce {
		v, missing := neediest(doc, loads)
		if missing == 0 {
			break
		}
		s, ok := roomiest(servers, loads, v)
		if !ok {
			break
		}
		loads[s.Instance] = append(loads[s.Instance], v)
		why = fmt.Sprintf("loads %s on %s: %d of its replicas are missing", v, s.Instance, missing)
	}
	return loads, why
}

func manages(doc *model.Document) bool {
	return slices.ContainsFunc(doc.Versions, func(v model.Version) bool { return v.Replicas > 0 })
}

// unloadOne takes one version off one server, if that is due.
func unloadOne(doc *model.Document, servers []Server, loads map[model.InstanceID][]model.VersionID) string {
	for _, s := range servers {
		for _, id := range s.Loaded {
			v, known := doc.FindVersion(id)
			have := count(loads, id)
			gone := !known || v.State == model.StateWithdrawn
			surplus := known && v.Replicas > 0 && have > v.Replicas && have > 1
			if !gone && !surplus {
				continue
			}
			loads[s.Instance] = slices.DeleteFunc(loads[s.Instance], func(l model.VersionID) bool { return l == id })
			if gone {
				return fmt.Sprintf("unloads %s from %s: it is withdrawn", id, s.Instance)
			}
			return fmt.Sprintf("unloads %s from %s: %d replicas are enough", id, s.Instance, v.Replicas)
		}
	}
	return ""
}

func count(loads map[model.InstanceID][]model.VersionID, v model.VersionID) int {
	n := 0
	for _, l := range loads {
		if slices.Contains(l, v) {
			n++
		}
	}
	return n
}

// neediest returns the version that lacks the largest part of its replicas.
func neediest(doc *model.Document, loads map[model.InstanceID][]model.VersionID) (model.VersionID, int) {
	var best model.VersionID
	missing, worst := 0, 0.0
	for _, v := range doc.Versions {
		lack := min(v.Replicas, len(loads)) - count(loads, v.Version)
		if v.State == model.StateWithdrawn || lack <= 0 {
			continue
		}
		if need := float64(lack) / float64(v.Replicas); need > worst {
			best, missing, worst = v.Version, lack, need
		}
	}
	return best, missing
}

// roomiest returns the server for one more replica: in the failure domain with the fewest
// of the version, and there the server with the fewest versions.
func roomiest(servers []Server, loads map[model.InstanceID][]model.VersionID, v model.VersionID) (Server, bool) {
	perDomain := map[model.DomainID]int{}
	var open []Server
	for _, s := range servers {
		if slices.Contains(loads[s.Instance], v) {
			perDomain[s.Domain]++
			continue
		}
		open = append(open, s)
	}
	if len(open) == 0 {
		return Server{}, false
	}
	return slices.MinFunc(open, func(a, b Server) int {
		return cmp.Or(
			cmp.Compare(perDomain[a.Domain], perDomain[b.Domain]),
			cmp.Compare(len(loads[a.Instance]), len(loads[b.Instance])),
			cmp.Compare(a.Instance, b.Instance),
		)
	}), true
}

// repair asks the agents what they have loaded and replaces the order sheet when the plan
// changes.
func (c *controller) repair(ctx context.Context, doc *model.Document, now time.Time) (string, error) {
	if doc == nil || doc.Kind != model.KindModel || !manages(doc) {
		return "the document sets no replicas", nil
	}
	agents := c.cfg.Watcher.View().Agents(c.cfg.Service)
	interval := max(minAsk, time.Duration(len(agents))*time.Second/agentsPerSecond)
	if now.Sub(c.asked) < interval {
		return c.status.value.Repair, nil
	}
	c.asked = now
	c.ask(ctx, agents)
	loads, why := Plan(doc, c.servers(agents), loadsAtOnce)
	if loads == nil || maps.EqualFunc(loads, c.orders.value.Versions, sameVersions) {
		return why, nil
	}
	next := kept[model.LoadOrders]{revision: c.orders.revision}
	next.value = model.LoadOrders{Service: c.cfg.Service, Fence: c.cfg.Fence, Versions: loads, Reason: why}
	if err := write(ctx, c.cfg.Store, watcher.OrderKey(c.cfg.Service), &next); err != nil {
		return why, err
	}
	c.orders = next
	c.cfg.Log.Info().Str("service", string(c.cfg.Service)).Str("plan", why).Msg("owner: orders changed")
	return why, nil
}

func sameVersions(a, b []model.VersionID) bool {
	x, y := slices.Clone(a), slices.Clone(b)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}

// ask reads all agents' loads; one that does not answer is left out of the plan.
func (c *controller) ask(ctx context.Context, agents []model.Instance) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	loads := map[model.InstanceID]model.Load{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, a := range agents {
		if a.Leaving {
			continue
		}
		wg.Go(func() {
			load, err := messenger.Call[model.Load](ctx, c.cfg.Pool, a.Control, messenger.MethodLoad, messenger.LoadRequest{})
			if err != nil || load.Leaving || load.Limit == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads[a.Instance] = load
		})
	}
	wg.Wait()
	c.loads = loads
}

func (c *controller) servers(agents []model.Instance) []Server {
	var out []Server
	for _, a := range agents {
		if load, ok := c.loads[a.Instance]; ok {
			out = append(out, Server{Instance: a.Instance, Domain: a.Place.Domain, Loaded: load.Versions})
		}
	}
	return out
}

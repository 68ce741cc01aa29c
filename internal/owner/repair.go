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
	// maxConcurrentLoads is the largest number of versions that load at once. It bounds the rate at
	// which agents read from the weight store.
	maxConcurrentLoads = 2
	// maxAgentQueriesPerSecond is the largest average rate at which an owner queries agents for their
	// loads; a larger service is queried less often.
	maxAgentQueriesPerSecond = 8
	// minQueryInterval is the shortest time between two queries of all agents.
	minQueryInterval = 2 * time.Second
)

// Server is one backend server as input of PlanLoads.
type Server struct {
	Instance model.InstanceID
	Domain   model.DomainID
	Loaded   []model.VersionID
}

// PlanLoads returns the versions that each server must have loaded and a text that says what changes and
// why. The plan unloads at most one version that is withdrawn or surplus, but never the last replica of
// a version in use. If it unloads none, it adds up to maxLoads replicas: first of the version that lacks
// the largest fraction of its replicas, and spread over failure domains.
func PlanLoads(doc *model.Document, servers []Server, maxLoads int) (map[model.InstanceID][]model.VersionID, string) {
	loads := map[model.InstanceID][]model.VersionID{}
	for _, s := range servers {
		loads[s.Instance] = slices.Clone(s.Loaded)
	}
	if !setsReplicas(doc) || len(servers) == 0 {
		return nil, "the document sets no replicas"
	}
	if reason := unloadOne(doc, servers, loads); reason != "" {
		return loads, reason
	}
	reason := "nothing to do"
	for range maxLoads {
		v, missing := findLargestShortfall(doc, loads)
		if missing == 0 {
			break
		}
		s, ok := chooseServer(servers, loads, v)
		if !ok {
			break
		}
		loads[s.Instance] = append(loads[s.Instance], v)
		reason = fmt.Sprintf("loads %s on %s: %d of its replicas are missing", v, s.Instance, missing)
	}
	return loads, reason
}

func setsReplicas(doc *model.Document) bool {
	return slices.ContainsFunc(doc.Versions, func(v model.Version) bool { return v.Replicas > 0 })
}

// unloadOne removes one version that is withdrawn, unknown or surplus from one server's loads and
// returns the reason, or "" if there is none to remove.
func unloadOne(doc *model.Document, servers []Server, loads map[model.InstanceID][]model.VersionID) string {
	for _, s := range servers {
		for _, id := range s.Loaded {
			v, known := doc.FindVersion(id)
			replicas := countReplicas(loads, id)
			withdrawn := !known || v.State == model.StateWithdrawn
			surplus := known && v.Replicas > 0 && replicas > v.Replicas && replicas > 1
			if !withdrawn && !surplus {
				continue
			}
			loads[s.Instance] = slices.DeleteFunc(loads[s.Instance], func(l model.VersionID) bool { return l == id })
			if withdrawn {
				return fmt.Sprintf("unloads %s from %s: it is withdrawn", id, s.Instance)
			}
			return fmt.Sprintf("unloads %s from %s: %d replicas are enough", id, s.Instance, v.Replicas)
		}
	}
	return ""
}

func countReplicas(loads map[model.InstanceID][]model.VersionID, v model.VersionID) int {
	n := 0
	for _, l := range loads {
		if slices.Contains(l, v) {
			n++
		}
	}
	return n
}

// findLargestShortfall returns the version that lacks the largest fraction of its replicas and how many
// it lacks.
func findLargestShortfall(doc *model.Document, loads map[model.InstanceID][]model.VersionID) (model.VersionID, int) {
	var version model.VersionID
	missing, largest := 0, 0.0
	for _, v := range doc.Versions {
		shortfall := min(v.Replicas, len(loads)) - countReplicas(loads, v.Version)
		if v.State == model.StateWithdrawn || shortfall <= 0 {
			continue
		}
		if ratio := float64(shortfall) / float64(v.Replicas); ratio > largest {
			version, missing, largest = v.Version, shortfall, ratio
		}
	}
	return version, missing
}

// chooseServer returns the server for one more replica: one in the failure domain with the fewest
// replicas of the version, and among those the one with the fewest loaded versions.
func chooseServer(servers []Server, loads map[model.InstanceID][]model.VersionID, v model.VersionID) (Server, bool) {
	replicasPerDomain := map[model.DomainID]int{}
	var candidates []Server
	for _, s := range servers {
		if slices.Contains(loads[s.Instance], v) {
			replicasPerDomain[s.Domain]++
			continue
		}
		candidates = append(candidates, s)
	}
	if len(candidates) == 0 {
		return Server{}, false
	}
	return slices.MinFunc(candidates, func(a, b Server) int {
		return cmp.Or(
			cmp.Compare(replicasPerDomain[a.Domain], replicasPerDomain[b.Domain]),
			cmp.Compare(len(loads[a.Instance]), len(loads[b.Instance])),
			cmp.Compare(a.Instance, b.Instance),
		)
	}), true
}

// repair queries the agents for their loaded versions and replaces the load orders if the plan
// changes. It returns the text of the plan for the status object.
func (c *controller) repair(ctx context.Context, doc *model.Document, now time.Time) (string, error) {
	if doc == nil || doc.Kind != model.KindModel || !setsReplicas(doc) {
		return "the document sets no replicas", nil
	}
	agents := c.cfg.Watcher.View().Agents(c.cfg.Service)
	interval := max(minQueryInterval, time.Duration(len(agents))*time.Second/maxAgentQueriesPerSecond)
	if now.Sub(c.loadsReadAt) < interval {
		return c.status.value.Repair, nil
	}
	c.loadsReadAt = now
	c.queryLoads(ctx, agents)
	loads, reason := PlanLoads(doc, c.answeringServers(agents), maxConcurrentLoads)
	if loads == nil || maps.EqualFunc(loads, c.orders.value.Versions, sameVersions) {
		return reason, nil
	}
	next := ownedObject[model.LoadOrders]{revision: c.orders.revision}
	next.value = model.LoadOrders{Service: c.cfg.Service, Fence: c.cfg.Fence, Versions: loads, Reason: reason}
	if err := writeObject(ctx, c.cfg.Store, watcher.OrderKey(c.cfg.Service), &next); err != nil {
		return reason, err
	}
	c.orders = next
	c.cfg.Log.Info().Str("service", string(c.cfg.Service)).Str("plan", reason).Msg("owner: orders changed")
	return reason, nil
}

func sameVersions(a, b []model.VersionID) bool {
	x, y := slices.Clone(a), slices.Clone(b)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}

// queryLoads queries all agents for their loads. The plan leaves out agents that do not answer, are
// leaving or have a limit of 0.
func (c *controller) queryLoads(ctx context.Context, agents []model.Instance) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	loads := map[model.InstanceID]model.Load{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, a := range agents {
		if a.Draining {
			continue
		}
		wg.Go(func() {
			load, err := messenger.Call[model.Load](ctx, c.cfg.Pool, a.Control, messenger.MethodLoad, messenger.LoadRequest{})
			if err != nil || load.Draining || load.Limit == 0 {
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

func (c *controller) answeringServers(agents []model.Instance) []Server {
	var out []Server
	for _, a := range agents {
		if load, ok := c.loads[a.Instance]; ok {
			out = append(out, Server{Instance: a.Instance, Domain: a.Place.Domain, Loaded: load.Versions})
		}
	}
	return out
}

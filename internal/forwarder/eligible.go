package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// ineligible counts the backend servers of a call's service that must not run it.
type ineligible struct {
	// evacuated are in a failure domain that operators have emptied, outside in a region that is not allowed.
	evacuated, outside int
}

// eligible returns the backend servers that may run the request, with the limits of those that are cold. All paths by
// which a request reaches a backend server ask it.
func (f *Forwarder) eligible(c *call, now time.Time) []model.BackendServer {
	servers := f.cfg.PlatformState.Servers(c.service.Service, now)
	versions := f.cfg.Versions.Choose(VersionRequest{Service: c.service.Service, Session: c.session, Request: c.id, Servers: servers}, now)
	c.versions = versions
	evacuations := f.cfg.PlatformState.Evacuations()
	route, org := f.allowedRegions(c)
	c.ineligible = ineligible{}
	out := make([]model.BackendServer, 0, len(servers))
	for _, s := range servers {
		switch {
		case !versions.Allows(s.Version) || s.State != model.BackendReady || f.cfg.Announcements.Check(s, now).Leaving:
		case evacuations.Evacuated(s.Place.Domain, now):
			c.ineligible.evacuated++
		case !route.Allow(s.Place.Region) || !org.Allow(s.Place.Region):
			c.ineligible.outside++
		default:
			s.ColdRate = f.coldRate(c, s, evacuations, now)
			out = append(out, s)
		}
	}
	return out
}

// allowedRegions returns the regions in which the request may run, by its route and by its organisation. The newest plan
// binds also the attempts of a request that arrived under an older one.
func (f *Forwarder) allowedRegions(c *call) (route, org model.Regions) {
	plan := f.cfg.PlatformState.Plan()
	if plan == nil {
		plan = c.plan
	}
	route = c.route.Regions
	if plan != c.plan {
		if r, ok := plan.FindRoute(c.hostName, c.path); ok {
			route = r.Regions
		}
	}
	return route, plan.Regions[c.org]
}

// coldRate returns how many requests a second a backend server tolerates because it is or may be cold, or 0. The servers
// of a failure domain whose evacuation was taken back, and those that refused a connection, may have turned cold without
// having said so yet.
func (f *Forwarder) coldRate(c *call, s model.BackendServer, evacuations *model.Evacuations, now time.Time) model.Rate {
	rate := c.service.ColdRate
	if rate <= 0 || f.cfg.Announcements.Cold == nil {
		return 0
	}
	if s.ColdRemaining > 0 || f.cfg.Announcements.Cold.IsSuspect(s.Lifetime(), now) {
		return rate
	}
	withdrawn := evacuations.WithdrawnAt(s.Place.Domain, now)
	if !withdrawn.IsZero() && now.Sub(withdrawn) < max(c.service.ColdStart, f.cfg.Settings.Cold.ReportWithin) {
		return rate
	}
	return 0
}

// ineligibleRetry is when a caller may return whose request no backend server may run before an operator changes the
// plan or an evacuation.
const ineligibleRetry = time.Second

// refuseIneligible returns the refusal of a request which no backend server may run because of where they are, or nil.
func (f *Forwarder) refuseIneligible(c *call, candidates int) *model.Refusal {
	n := c.ineligible
	if candidates > 0 || len(c.tried) > 0 || n.evacuated+n.outside == 0 {
		return nil
	}
	retry := time.Duration((1 + rand.Float64()) * float64(ineligibleRetry))
	if n.evacuated == 0 {
		f.cfg.Meter.Count("regions/refused", 1)
		return model.Refuse(model.KindNoBackend, "no backend server is ready in a region that the route and the organisation allow: try again later").WithRetry(retry)
	}
	f.cfg.Meter.Count("evacuations/refused", 1)
	return model.Refuse(model.KindNoBackend, "all backend servers that may run the request are in evacuated failure domains: try again later").WithRetry(retry)
}

// isEvacuated reports whether a backend server must get nothing because its failure domain is evacuated.
func (f *Forwarder) isEvacuated(s model.BackendServer, now time.Time) bool {
	return f.cfg.PlatformState.Evacuations().Evacuated(s.Place.Domain, now)
}

// coldStart returns how long a backend server is cold after its start.
func (f *Forwarder) coldStart(s model.BackendServer) time.Duration {
	if plan := f.cfg.PlatformState.Plan(); plan != nil {
		return plan.Services[s.Service].ColdStart
	}
	return 0
}

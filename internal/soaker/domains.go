package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// Kinds of faults and changes that concern failure domains.
const (
	// domainEvacuate has an operator evacuate a failure domain, which is cold once that is taken back.
	domainEvacuate fault = "domain-evacuated"
	// domainReturn has all backend servers of a failure domain crash and come back cold together.
	domainReturn fault = "domain-returns-cold"
)

const (
	// domainInterval is the mean time between two events of failure domains.
	domainInterval = 3 * time.Second
	// domainOrganisation may be served in domainRegions only.
	domainOrganisation = "shop"
	// coldTime is how long a backend server is cold after its start.
	coldTime = standin.ColdS * time.Second
)

var domainRegions = []string{"a", "b"}

// evacuationSpan is the time for which the store held the evacuation of a failure domain.
type evacuationSpan struct {
	Zone     string
	From, To time.Time
}

// coldSpan is the time for which a backend server was cold from its start on.
type coldSpan struct {
	Server   string
	From, To time.Time
}

// drawDomains draws evacuations and cold returns of a run from its seed. Those of a series overlap.
func drawDomains(seed uint64, length time.Duration) []Injection {
	r := rand.New(rand.NewPCG(seed, 9))
	end := length - quietTime
	var out []Injection
	for at := startupTime; at < end; at += time.Duration((0.5 + r.ExpFloat64()/2) * float64(domainInterval)) {
		kind := domainEvacuate
		if r.IntN(3) == 0 {
			kind = domainReturn
		}
		// An evacuation is long enough to be checked, or is taken back before it binds.
		d := time.Duration(r.Float64() * float64(2*standin.EvacuateMs*time.Millisecond))
		out = append(out, Injection{At: at, Length: min(d, end-at), Kind: kind, Pick: r.IntN(1 << 20)})
	}
	return out
}

func (s *soak) injectDomainFault(ctx context.Context, inj Injection) {
	zone := s.servers[inj.Pick%len(s.servers)].zone
	if inj.Kind == domainReturn {
		s.returnCold(ctx, zone, inj.Length)
		return
	}
	s.domainMu.Lock()
	defer s.domainMu.Unlock()
	// Only the name of the object counts. Brackets that do not match would break the store's whole answer instead.
	s.setEvacuated(zone, []string{"{}", "nul", `[1e999, "\xff"]`}[inj.Pick%3])
	from := time.Now()
	sleep(ctx, inj.Length)
	to := time.Now()
	s.setEvacuated("", "")
	s.updateHistory(func(h *history) {
		h.Evacuations = append(h.Evacuations, evacuationSpan{Zone: zone, From: from, To: to})
	})
}

// setEvacuated has the operator evacuate a failure domain, or none if it is empty.
func (s *soak) setEvacuated(zone, content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated != zone && zone == "" {
		// A copy of the store may have lost the object, and only the removal of one takes an evacuation back.
		s.store.SetRaw(evacuationKey(s.evacuated), []byte("{}"))
	}
	s.evacuated = zone
	for _, key := range s.store.Keys("evacuations") {
		if key != evacuationKey(zone) {
			s.store.Remove(key)
		}
	}
	if zone != "" {
		s.store.SetRaw(evacuationKey(zone), []byte(content))
	}
}

// restateEvacuation has the operator write again which failure domain is evacuated, after a restore of the store.
func (s *soak) restateEvacuation() {
	s.mu.Lock()
	zone := s.evacuated
	s.mu.Unlock()
	s.setEvacuated(zone, "{}")
}

func evacuationKey(zone string) string { return "evacuations/" + zone }

// returnCold crashes the backend servers of a failure domain and starts them together.
func (s *soak) returnCold(ctx context.Context, zone string, d time.Duration) {
	var back []*serverSlot
	var crashed []faultSpan
	for _, srv := range s.servers {
		if srv.zone != zone {
			continue
		}
		srv.faultMu.Lock()
		defer srv.faultMu.Unlock()
		id := srv.id()
		crashed = append(crashed, faultSpan{Kind: serverCrash, Target: id, From: time.Now()})
		srv.crash()
		s.store.Remove("servers/" + id)
		back = append(back, srv)
	}
	sleep(ctx, min(d, time.Second))
	for i, srv := range back {
		s.reportError(srv.launch())
		crashed[i].To = time.Now()
	}
	s.updateHistory(func(h *history) { h.Spans = append(h.Spans, crashed...) })
}

// warmUp ends the cold time of a backend server that still has the id.
func (s *serverSlot) warmUp(id string) {
	time.Sleep(coldTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.info.ID != id || s.down {
		return
	}
	s.info.Cold = 0
	// A failure shows as a server that stays limited, which the check of the recovery finds.
	_ = s.store.Announce(s.info)
}

// zoneOf returns the failure domain of a backend server by its id.
func zoneOf(h history, server string) string {
	index, _, _ := strings.Cut(strings.TrimPrefix(server, "i-"), "-")
	i, err := strconv.Atoi(index)
	if err != nil || i >= len(h.ServerZones) {
		return ""
	}
	return h.ServerZones[i]
}

// checkEvacuations checks that an undisturbed entry sends no request to an evacuated failure domain later than the bound,
// and that no entry sends one to a region that its organisation does not allow.
func (t tracedRequest) checkEvacuations(h history) error {
	for _, a := range t.executions() {
		zone := zoneOf(h, a.Server)
		if h.Domains && h.KeyOwners[t.Key] == domainOrganisation && !slices.Contains(domainRegions, zones[zone]) {
			return fmt.Errorf("the request of %s ran at %s in region %q", domainOrganisation, a.Server, zones[zone])
		}
		for _, e := range h.Evacuations {
			since := a.At.Sub(e.From)
			if e.Zone != zone || since <= standin.EvacuateMs*time.Millisecond || a.At.After(e.To) {
				continue
			}
			undisturbed := !slices.ContainsFunc(h.Spans, func(s faultSpan) bool {
				return (s.Target == "" || s.Target == t.Entry) && !isHarmless(s.Kind) && s.From.Before(a.At) && s.To.After(e.From.Add(-settleTime))
			})
			if undisturbed {
				return fmt.Errorf("the request reached %s %v after its domain %s was evacuated", a.Server, since.Round(time.Millisecond), zone)
			}
		}
	}
	return nil
}

// checkCold checks that no cold backend server gets more requests in a second than it bears, from all entries. Requests
// that were meant for the server before it at its address do not count.
func checkCold(h history) []violation {
	var out []violation
	for _, c := range h.Cold {
		var at []time.Time
		for _, a := range h.Arrivals {
			if a.Server == c.Server && !a.Misdirected && a.At.Before(c.To) {
				at = append(at, a.At)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		for i, from := range at {
			n := countBetween(at[i:], from, from.Add(time.Second))
			if allowed := standin.ColdPerS*standin.ColdOver + standin.ColdSlack; float64(n) > allowed {
				out = append(out, violation{"cold servers", "", fmt.Sprintf("%s got %d requests in a second while it was cold, %.0f are allowed", c.Server, n, allowed)})
				break
			}
		}
	}
	return out
}

package measurer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	serverEntries  = 6
	serverEngines  = 24
	serverSlots    = 8
	serverMedian   = 2.0
	serverSigma    = 0.6
	serverSeconds  = 600
	serverLoad     = 0.85
	reportLate     = 2 * time.Second
	reportEvery    = 300 * time.Millisecond
	regionHop      = 12 * time.Millisecond
	domainHop      = 300 * time.Microsecond
	baseFirst      = 80 * time.Millisecond
	meanOfMedian   = 1.197 // exp(sigma^2/2) of the lognormal above
	herdWindow     = 0.1
	warmup         = 60
	serversPerSite = 6
)

// serverPolicy chooses an engine for a request of an entry.
type serverPolicy func(e *fakeEntry, engines []*fakeEngine, in picker.Input, r *rand.Rand) int

// serverResult is what one run of a policy gave.
type serverResult struct {
	first []float64
	cross int
	total int
	herd  float64
}

func serverPlace(i int) model.Place {
	site := i / serversPerSite
	return model.Place{Region: model.RegionID(fmt.Sprint("r", site/2)), Domain: model.DomainID(fmt.Sprint("d", site))}
}

// runServers sends Poisson arrivals through a policy at a load.
func runServers(policy serverPolicy, probes int, load float64, length float64, seed uint64) serverResult {
	r := newRand(seed)
	var t timeline
	engines := make([]*fakeEngine, serverEngines)
	for i := range engines {
		engines[i] = &fakeEngine{slots: serverSlots, instance: model.Instance{Instance: model.InstanceID(fmt.Sprint("a", i)), Place: serverPlace(i)}}
	}
	entries := make([]*fakeEntry, serverEntries)
	for i := range entries {
		entries[i] = &fakeEntry{place: serverPlace(i * serverEngines / serverEntries)}
		for _, e := range engines {
			entries[i].candidates = append(entries[i].candidates, picker.Candidate{Instance: e.instance, Load: e.load(), Reachable: true})
		}
		reports(&t, entries[i], engines, length, r)
	}
	var out serverResult
	windows := map[int]map[int]int{}
	rate := load * serverEngines * serverSlots / (serverMedian * meanOfMedian)
	arrivals(&t, r, rate, length, func(now float64) {
		n := r.IntN(len(entries))
		entry := entries[n]
		in := picker.Input{Candidates: entry.candidates, Version: "v", Self: entry.place, Draws: [3]float64{r.Float64(), r.Float64(), r.Float64()}}
		k := policy(entry, engines, in, r)
		k, spent := probe(entry, engines, in, k, probes, r)
		serveOne(&t, &out, entry, engines[k], k, now, spent, lognormal(r, serverMedian, serverSigma))
		w := int(now / herdWindow)
		if windows[w] == nil {
			windows[w] = map[int]int{}
		}
		windows[w][k]++
	})
	t.runUntil(length * 2)
	out.herd = herding(windows)
	return out
}

// reports delivers each engine's load late, at intervals.
func reports(t *timeline, entry *fakeEntry, engines []*fakeEngine, length float64, r *rand.Rand) {
	for i, e := range engines {
		var take func(now float64)
		take = func(now float64) {
			load := e.load()
			t.add(now+seconds(reportLate), func(float64) {
				c := &entry.candidates[i]
				c.Load, c.Sent, c.Answered = load, 0, 0
			})
			if now < length {
				t.add(now+seconds(reportEvery), take)
			}
		}
		t.add(r.Float64()*seconds(reportEvery), take)
	}
}

// probe follows a request from server to server: one without a free slot refuses at once,
// with its fresh load, and after some refusals the request waits where the wait is shortest.
func probe(entry *fakeEntry, engines []*fakeEngine, in picker.Input, k, probes int, r *rand.Rand) (int, float64) {
	spent := 0.0
	in.Excluded = map[model.InstanceID]string{}
	for range probes {
		e := engines[k]
		if e.running < e.slots {
			break
		}
		spent += 2 * hop(entry, e)
		c := &entry.candidates[k]
		c.Load, c.Sent, c.Answered = e.load(), 0, 0
		in.Excluded[e.instance.Instance] = "is full"
		in.Draws = [3]float64{r.Float64(), r.Float64(), r.Float64()}
		in.OtherRegion = len(in.Excluded) >= picker.SameRegionProbes
		in.ShortestWait = len(in.Excluded) == probes
		if in.ShortestWait {
			in.Excluded = nil
		}
		k = indexOfEngine(engines, picker.Nearest{}.Decide(in).Instance.Instance)
		if in.ShortestWait {
			break
		}
	}
	return k, spent
}

func hop(entry *fakeEntry, e *fakeEngine) float64 {
	if e.instance.Place.Region != entry.place.Region {
		return seconds(regionHop)
	}
	return seconds(domainHop)
}

func indexOfEngine(engines []*fakeEngine, id model.InstanceID) int {
	for i, e := range engines {
		if e.instance.Instance == id {
			return i
		}
	}
	return 0
}

func arrivals(t *timeline, r *rand.Rand, rate, length float64, arrive func(now float64)) {
	var next func(now float64)
	next = func(now float64) {
		arrive(now)
		if at := now + r.ExpFloat64()/rate; at < length {
			t.add(at, next)
		}
	}
	t.add(0, next)
}

func serveOne(t *timeline, out *serverResult, entry *fakeEntry, e *fakeEngine, k int, now, spent, service float64) {
	hop := hop(entry, e) + spent
	cross := e.instance.Place.Region != entry.place.Region
	if now > warmup {
		out.total++
		if cross {
			out.cross++
		}
	}
	c := &entry.candidates[k]
	c.Unanswered++
	c.Sent++
	t.add(now+hop, func(arrived float64) {
		e.submit(arrived, func(started float64) {
			if now > warmup {
				out.first = append(out.first, started-now+hop-spent+seconds(baseFirst))
			}
			t.add(started+service, func(ended float64) {
				e.finish(ended)
				c.Unanswered--
				c.Answered++
			})
		})
	})
}

// herding is the largest share of a busy window's requests that one server got, averaged.
func herding(windows map[int]map[int]int) float64 {
	var shares []float64
	for _, w := range windows {
		total, most := 0, 0
		for _, n := range w {
			total += n
			most = max(most, n)
		}
		if total >= 5 {
			shares = append(shares, float64(most)/float64(total))
		}
	}
	return mean(shares)
}

func actual(e *fakeEngine) float64 { return float64(e.running+len(e.queue)) / float64(e.slots) }

var serverPolicies = []struct {
	name   string
	policy serverPolicy
}{
	{"random", func(_ *fakeEntry, engines []*fakeEngine, _ picker.Input, r *rand.Rand) int {
		return r.IntN(len(engines))
	}},
	{"round robin", func(e *fakeEntry, engines []*fakeEngine, _ picker.Input, _ *rand.Rand) int {
		e.turn++
		return e.turn % len(engines)
	}},
	{"least reported", func(e *fakeEntry, _ []*fakeEngine, _ picker.Input, _ *rand.Rand) int {
		best := 0
		for i, c := range e.candidates {
			if c.Load.Running+c.Load.Queued < e.candidates[best].Load.Running+e.candidates[best].Load.Queued {
				best = i
			}
		}
		return best
	}},
	{"perfect knowledge", func(entry *fakeEntry, engines []*fakeEngine, _ picker.Input, r *rand.Rand) int {
		best, least := 0, 1e9
		for i, e := range engines {
			u := actual(e) + 1e-6*r.Float64()
			if e.instance.Place.Region != entry.place.Region {
				u += 1e-3
			}
			if u < least {
				best, least = i, u
			}
		}
		return best
	}},
	{"router", func(_ *fakeEntry, engines []*fakeEngine, in picker.Input, _ *rand.Rand) int {
		return indexOfEngine(engines, picker.Nearest{}.Decide(in).Instance.Instance)
	}},
}

// Servers measures the choice of the backend server with late load reports.
func Servers(scale Scale) Section {
	s := Section{
		Title: "Backend server choice",
		How: fmt.Sprintf("%d entries and %d servers of %d slots in 4 failure domains and 2 regions, Poisson arrivals at %.0f%% load for %.0f s, lognormal service times, load reports %v late every %v.",
			serverEntries, serverEngines, serverSlots, 100*serverLoad, serverSeconds*float64(scale), reportLate, reportEvery),
	}
	results := map[string]serverResult{}
	p95 := map[string]float64{}
	var baselines, herds, crosses []string
	for _, p := range serverPolicies {
		probes := 0
		if p.name == "router" {
			probes = picker.MaxProbes
		}
		res := runServers(p.policy, probes, serverLoad, max(120, serverSeconds*float64(scale)), 1)
		results[p.name] = res
		p95[p.name] = quantile(res.first, 0.95)
		if p.name != "router" {
			baselines = append(baselines, fmt.Sprintf("%s %.3f s", p.name, p95[p.name]))
			herds = append(herds, fmt.Sprintf("%s %.2f", p.name, res.herd))
			crosses = append(crosses, fmt.Sprintf("%s %.0f%%", p.name, 100*float64(res.cross)/float64(res.total)))
		}
	}
	res := results["router"]
	ratio := p95["router"] / p95["perfect knowledge"]
	s.Rows = []Row{
		{What: "95th percentile of the first-token time", Target: "at most 1.15 times perfect knowledge", Baseline: strings.Join(baselines, ", "), Measured: fmt.Sprintf("%.3f s (ratio %.2f)", p95["router"], ratio), Met: ratio <= 1.15},
		{What: "largest share of one server in 100 ms", Target: "no herding: at most 1.2 times random", Baseline: strings.Join(herds, ", "), Measured: fmt.Sprintf("%.2f", res.herd), Met: res.herd <= 1.2*results["random"].herd},
		{What: "requests that cross a region", Target: "only where they pay: under random", Baseline: strings.Join(crosses, ", "), Measured: fmt.Sprintf("%.1f%%", 100*float64(res.cross)/float64(res.total)), Met: res.cross < results["random"].cross/4},
	}
	return s
}

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
	serverEntries        = 6
	serverEngines        = 24
	serverSlots          = 8
	serviceMedianSeconds = 2.0
	serviceSigma         = 0.6
	serverSeconds        = 600
	serverLoad           = 0.85 // offered work as a share of all slots
	reportDelay          = 2 * time.Second
	reportInterval       = 300 * time.Millisecond
	crossRegionLatency   = 12 * time.Millisecond
	sameRegionLatency    = 300 * time.Microsecond
	baseFirstTokenTime   = 80 * time.Millisecond
	meanToMedianRatio    = 1.197 // exp(sigma²/2), with sigma as in serviceSigma
	herdWindowSeconds    = 0.1
	warmupSeconds        = 60
	serversPerDomain     = 6
)

// serverPolicy returns the index of the engine that an entry sends a request to.
type serverPolicy func(e *fakeEntry, engines []*fakeEngine, in picker.Input, r *rand.Rand) int

// serverResult holds the times to the first token in seconds, the number of requests that
// crossed a region, the number of all requests, and the result of meanHerdShare for one run.
type serverResult struct {
	firstTokenTimes []float64
	crossRegion     int
	total           int
	herdShare       float64
}

func serverPlace(i int) model.Place {
	domain := i / serversPerDomain
	return model.Place{Region: model.RegionID(fmt.Sprint("r", domain/2)), Domain: model.DomainID(fmt.Sprint("d", domain))}
}

// runServers sends Poisson arrivals through a policy for length seconds. The load is the
// offered work as a share of all slots.
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
		scheduleReports(&t, entries[i], engines, length, r)
	}
	var out serverResult
	windows := map[int]map[int]int{}
	rate := load * serverEngines * serverSlots / (serviceMedianSeconds * meanToMedianRatio)
	scheduleArrivals(&t, r, rate, length, func(now float64) {
		n := r.IntN(len(entries))
		entry := entries[n]
		in := picker.Input{Candidates: entry.candidates, Version: "v", Self: entry.place, Draws: [3]float64{r.Float64(), r.Float64(), r.Float64()}}
		k := policy(entry, engines, in, r)
		k, probeTime := probeServers(entry, engines, in, k, probes, r)
		serveRequest(&t, &out, entry, engines[k], k, now, probeTime, lognormal(r, serviceMedianSeconds, serviceSigma))
		w := int(now / herdWindowSeconds)
		if windows[w] == nil {
			windows[w] = map[int]int{}
		}
		windows[w][k]++
	})
	t.runUntil(length * 2)
	out.herdShare = meanHerdShare(windows)
	return out
}

// scheduleReports delivers the load of each engine to the entry every reportInterval, late by
// reportDelay.
func scheduleReports(t *timeline, entry *fakeEntry, engines []*fakeEngine, length float64, r *rand.Rand) {
	for i, e := range engines {
		var sample func(now float64)
		sample = func(now float64) {
			load := e.load()
			t.schedule(now+seconds(reportDelay), func(float64) {
				c := &entry.candidates[i]
				c.Load, c.Sent, c.Answered = load, 0, 0
			})
			if now < length {
				t.schedule(now+seconds(reportInterval), sample)
			}
		}
		t.schedule(r.Float64()*seconds(reportInterval), sample)
	}
}

// probeServers sends a request to server k, and to another server while the last one has no free
// slot. A full server refuses at once and returns its current load. After the given number of
// refusals the request queues at the server with the shortest expected wait. probeServers returns
// the index of the server and the seconds that the probes took.
func probeServers(entry *fakeEntry, engines []*fakeEngine, in picker.Input, k, probes int, r *rand.Rand) (int, float64) {
	elapsed := 0.0
	in.Excluded = map[model.InstanceID]string{}
	for range probes {
		e := engines[k]
		if e.running < e.slots {
			break
		}
		elapsed += 2 * latency(entry, e)
		c := &entry.candidates[k]
		c.Load, c.Sent, c.Answered = e.load(), 0, 0
		in.Excluded[e.instance.Instance] = "is full"
		in.Draws = [3]float64{r.Float64(), r.Float64(), r.Float64()}
		in.OtherRegion = len(in.Excluded) >= picker.SameRegionProbes
		in.ShortestWait = len(in.Excluded) == probes
		if in.ShortestWait {
			in.Excluded = nil
		}
		k = engineIndex(engines, picker.Nearest{}.Decide(in).Instance.Instance)
		if in.ShortestWait {
			break
		}
	}
	return k, elapsed
}

func latency(entry *fakeEntry, e *fakeEngine) float64 {
	if e.instance.Place.Region != entry.place.Region {
		return seconds(crossRegionLatency)
	}
	return seconds(sameRegionLatency)
}

func engineIndex(engines []*fakeEngine, id model.InstanceID) int {
	for i, e := range engines {
		if e.instance.Instance == id {
			return i
		}
	}
	return 0
}

func scheduleArrivals(t *timeline, r *rand.Rand, rate, length float64, arrive func(now float64)) {
	var next func(now float64)
	next = func(now float64) {
		arrive(now)
		if at := now + r.ExpFloat64()/rate; at < length {
			t.schedule(at, next)
		}
	}
	t.schedule(0, next)
}

func serveRequest(t *timeline, out *serverResult, entry *fakeEntry, e *fakeEngine, k int, now, probeTime, serviceTime float64) {
	latency := latency(entry, e) + probeTime
	crossRegion := e.instance.Place.Region != entry.place.Region
	if now > warmupSeconds {
		out.total++
		if crossRegion {
			out.crossRegion++
		}
	}
	c := &entry.candidates[k]
	c.Unanswered++
	c.Sent++
	t.schedule(now+latency, func(arrived float64) {
		e.submit(arrived, func(started float64) {
			if now > warmupSeconds {
				out.firstTokenTimes = append(out.firstTokenTimes, started-now+latency-probeTime+seconds(baseFirstTokenTime))
			}
			t.schedule(started+serviceTime, func(ended float64) {
				e.finish(ended)
				c.Unanswered--
				c.Answered++
			})
		})
	})
}

// meanHerdShare returns the largest share of a window's requests that one server got, averaged
// over the windows with at least 5 requests.
func meanHerdShare(windows map[int]map[int]int) float64 {
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

func actualLoad(e *fakeEngine) float64 { return float64(e.running+len(e.queue)) / float64(e.slots) }

var serverPolicies = []struct {
	name   string
	policy serverPolicy
}{
	{"random", func(_ *fakeEntry, engines []*fakeEngine, _ picker.Input, r *rand.Rand) int {
		return r.IntN(len(engines))
	}},
	{"round robin", func(e *fakeEntry, engines []*fakeEngine, _ picker.Input, _ *rand.Rand) int {
		e.nextEngine++
		return e.nextEngine % len(engines)
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
			u := actualLoad(e) + 1e-6*r.Float64()
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
		return engineIndex(engines, picker.Nearest{}.Decide(in).Instance.Instance)
	}},
}

// Servers measures the choice of the backend server when load reports arrive late.
func Servers(scale Scale) Section {
	s := Section{
		Title: "Backend server choice",
		Method: fmt.Sprintf("%d entries and %d servers of %d slots in 4 failure domains and 2 regions, Poisson arrivals at %.0f%% load for %.0f s, lognormal service times, load reports %v late every %v.",
			serverEntries, serverEngines, serverSlots, 100*serverLoad, serverSeconds*float64(scale), reportDelay, reportInterval),
	}
	results := map[string]serverResult{}
	p95 := map[string]float64{}
	var baselines, herdShares, crossShares []string
	for _, p := range serverPolicies {
		probes := 0
		if p.name == "router" {
			probes = picker.MaxProbes
		}
		res := runServers(p.policy, probes, serverLoad, max(120, serverSeconds*float64(scale)), 1)
		results[p.name] = res
		p95[p.name] = quantile(res.firstTokenTimes, 0.95)
		if p.name != "router" {
			baselines = append(baselines, fmt.Sprintf("%s %.3f s", p.name, p95[p.name]))
			herdShares = append(herdShares, fmt.Sprintf("%s %.2f", p.name, res.herdShare))
			crossShares = append(crossShares, fmt.Sprintf("%s %.0f%%", p.name, 100*float64(res.crossRegion)/float64(res.total)))
		}
	}
	res := results["router"]
	ratio := p95["router"] / p95["perfect knowledge"]
	s.Rows = []Row{
		{Subject: "95th percentile of the first-token time", Target: "at most 1.15 times perfect knowledge", Baseline: strings.Join(baselines, ", "), Measured: fmt.Sprintf("%.3f s (ratio %.2f)", p95["router"], ratio), Met: ratio <= 1.15},
		{Subject: "largest share of one server in 100 ms", Target: "no herding: at most 1.2 times random", Baseline: strings.Join(herdShares, ", "), Measured: fmt.Sprintf("%.2f", res.herdShare), Met: res.herdShare <= 1.2*results["random"].herdShare},
		{Subject: "requests that cross a region", Target: "only where they pay: under random", Baseline: strings.Join(crossShares, ", "), Measured: fmt.Sprintf("%.1f%%", 100*float64(res.crossRegion)/float64(res.total)), Met: res.crossRegion < results["random"].crossRegion/4},
	}
	return s
}

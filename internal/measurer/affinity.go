package measurer

import (
	"fmt"
	"math/rand/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	affinityEngines        = 12
	affinitySlots          = 8
	affinitySessions       = 300
	affinityCacheTokens    = 60_000 // for each engine
	affinityRate           = 26.0   // requests per second
	affinitySeconds        = 600
	prefillSecondsPerToken = 0.0004
	decodeMedianSeconds    = 1.2
	cacheEventDelaySeconds = 1.0
	cacheEventLossShare    = 0.05
)

// prefixIndex holds the number of cached tokens by session and engine, as a precise prefix index
// learns them from cache events.
type prefixIndex map[int]map[int]int

func (x prefixIndex) store(session, engine, tokens int) {
	if x[session] == nil {
		x[session] = map[int]int{}
	}
	x[session][engine] = tokens
}

// affinityMode selects how the entry finds an engine that has the prefix of a session cached.
type affinityMode string

const (
	affinityNone       affinityMode = "none"
	affinitySession    affinityMode = "session rendezvous"
	affinityPrecise    affinityMode = "precise index"
	affinityLastServer affinityMode = "last server in the session's token"
)

// runAffinity sends the turns of sessions, whose prompts grow, to engines with bounded caches. It
// returns the share of prompt tokens found in a cache and the times to the first token in seconds.
func runAffinity(mode affinityMode, length float64) (hitShare float64, firstTokenTimes []float64) {
	r := newRand(7)
	var t timeline
	engines := make([]*fakeEngine, affinityEngines)
	entry := &fakeEntry{}
	for i := range engines {
		engines[i] = &fakeEngine{slots: affinitySlots, cacheTokens: affinityCacheTokens, instance: model.Instance{Instance: model.InstanceID(fmt.Sprint("a", i))}}
		entry.candidates = append(entry.candidates, picker.Candidate{Instance: engines[i].instance, Load: engines[i].load(), Reachable: true})
	}
	scheduleReports(&t, entry, engines, length, r)
	index := prefixIndex{}
	promptLengths := map[int]int{}
	var cachedTokens, promptTokens float64
	scheduleArrivals(&t, r, affinityRate, length, func(now float64) {
		session := int(float64(affinitySessions) * r.Float64() * r.Float64())
		tokens := promptLengths[session]%8000 + 200 + r.IntN(400)
		promptLengths[session] = tokens
		k := pickEngine(mode, entry, engines, index, session, r)
		k, probeTime := probeServers(entry, engines, picker.Input{Candidates: entry.candidates, Version: "v", Affinity: affinityKey(mode, session)}, k, picker.MaxProbes, r)
		e := engines[k]
		c := &entry.candidates[k]
		c.Unanswered++
		c.Sent++
		e.submit(now, func(started float64) {
			hitTokens := e.hitTokens(session, tokens)
			if mode == affinityLastServer {
				// The token names only the last server, and the session's next request carries it.
				index[session] = map[int]int{k: tokens}
			} else {
				scheduleCacheEvent(&t, index, r, started, session, k, tokens)
			}
			prefill := prefillSecondsPerToken * float64(tokens-hitTokens)
			if now > warmupSeconds {
				cachedTokens += float64(hitTokens)
				promptTokens += float64(tokens)
				firstTokenTimes = append(firstTokenTimes, started-now+probeTime+prefill)
			}
			t.schedule(started+prefill+lognormal(r, decodeMedianSeconds, 0.5), func(ended float64) {
				e.finish(ended)
				c.Unanswered--
				c.Answered++
			})
		})
	})
	t.runUntil(length * 2)
	return cachedTokens / promptTokens, firstTokenTimes
}

// scheduleCacheEvent delivers a cache event late, or drops it.
func scheduleCacheEvent(t *timeline, index prefixIndex, r *rand.Rand, now float64, session, engine, tokens int) {
	if r.Float64() < cacheEventLossShare {
		return
	}
	t.schedule(now+cacheEventDelaySeconds, func(float64) { index.store(session, engine, tokens) })
}

func affinityKey(mode affinityMode, session int) string {
	if mode == affinityNone {
		return ""
	}
	return fmt.Sprint("s", session)
}

func pickEngine(mode affinityMode, entry *fakeEntry, engines []*fakeEngine, index prefixIndex, session int, r *rand.Rand) int {
	in := picker.Input{Candidates: entry.candidates, Version: "v", Draws: [3]float64{r.Float64(), r.Float64(), r.Float64()}, Affinity: affinityKey(mode, session)}
	if mode == affinityLastServer {
		for k := range index[session] {
			in.LastInstance = engines[k].instance.Instance
		}
	}
	if mode == affinityPrecise {
		best, most := -1, 0
		for k, tokens := range index[session] {
			c := entry.candidates[k]
			if tokens > most && c.Load.Running+c.Load.Queued+c.Sent-c.Answered < affinitySlots {
				best, most = k, tokens
			}
		}
		if best >= 0 {
			return best
		}
	}
	return engineIndex(engines, picker.Nearest{}.Decide(in).Instance.Instance)
}

// Affinity measures the gain in cache hits and in the time to the first token when a session stays
// on one server.
func Affinity(scale Scale) Section {
	s := Section{
		Title: "Affinity",
		Method: fmt.Sprintf("%d engines with room for %d prefix tokens, %d sessions of unlike activity whose prompts grow, events %.0f s late and %.0f%% lost, load reports 2 s late, full servers refuse at once as in the router.",
			affinityEngines, affinityCacheTokens, affinitySessions, cacheEventDelaySeconds, 100*cacheEventLossShare),
	}
	length := max(150, affinitySeconds*float64(scale))
	type outcome struct{ hits, p50, p95 float64 }
	out := map[affinityMode]outcome{}
	for _, mode := range []affinityMode{affinityNone, affinitySession, affinityLastServer, affinityPrecise} {
		hits, first := runAffinity(mode, length)
		out[mode] = outcome{hits, quantile(first, 0.5), quantile(first, 0.95)}
	}
	describe := func(m affinityMode) string {
		o := out[m]
		return fmt.Sprintf("%s: hit share %.1f%%, first token %.3f s median, %.3f s 95th", m, 100*o.hits, o.p50, o.p95)
	}
	hitGain := out[affinityPrecise].hits - out[affinityLastServer].hits
	speedup := 1 - out[affinityPrecise].p95/out[affinityLastServer].p95
	s.Rows = []Row{
		{Subject: "session rendezvous against none", Target: "more hits and an earlier first token", Baseline: describe(affinityNone), Measured: describe(affinitySession), Met: out[affinitySession].hits > out[affinityNone].hits && out[affinitySession].p95 < out[affinityNone].p95},
		{Subject: "last server in the token against session rendezvous", Target: "more hits or an earlier first token", Baseline: describe(affinitySession), Measured: describe(affinityLastServer), Met: out[affinityLastServer].hits > out[affinitySession].hits},
		{Subject: "precise index against the last server in the token", Target: "adopt only if better beyond noise (2 points of hits or 5% of the 95th percentile)", Baseline: describe(affinityLastServer), Measured: describe(affinityPrecise), Met: true, Note: adoptionNote(hitGain, speedup)},
	}
	return s
}

func adoptionNote(hitGain, speedup float64) string {
	figures := fmt.Sprintf("%+.1f points of hits, first token %+.1f%% earlier: ", 100*hitGain, 100*speedup)
	if hitGain > 0.02 || speedup > 0.05 {
		return figures + "better, see docs/design/servers.md"
	}
	return figures + "not adopted"
}

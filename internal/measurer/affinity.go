package measurer

import (
	"fmt"
	"math/rand/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	affinityEngines  = 12
	affinitySlots    = 8
	affinitySessions = 300
	affinityMemory   = 60_000
	affinityRate     = 26.0
	affinitySeconds  = 600
	prefillPerToken  = 0.0004
	decodeMedian     = 1.2
	eventLate        = 1.0
	eventLost        = 0.05
)

// indexed is what a precise prefix index believes: which engine has how much of a session.
type indexed map[int]map[int]int

func (x indexed) store(session, engine, tokens int) {
	if x[session] == nil {
		x[session] = map[int]int{}
	}
	x[session][engine] = tokens
}

// affinityMode is how requests of a session find their cache.
type affinityMode string

const (
	affinityNone    affinityMode = "none"
	affinitySession affinityMode = "session rendezvous"
	affinityPrecise affinityMode = "precise index"
	affinityHint    affinityMode = "last server in the session's token"
)

// runAffinity sends turns of growing sessions to engines with bounded caches.
func runAffinity(mode affinityMode, length float64) (hits float64, first []float64) {
	r := newRand(7)
	var t timeline
	engines := make([]*fakeEngine, affinityEngines)
	entry := &fakeEntry{}
	for i := range engines {
		engines[i] = &fakeEngine{slots: affinitySlots, memory: affinityMemory, instance: model.Instance{Instance: model.InstanceID(fmt.Sprint("a", i))}}
		entry.candidates = append(entry.candidates, picker.Candidate{Instance: engines[i].instance, Load: engines[i].load(), Reachable: true})
	}
	reports(&t, entry, engines, length, r)
	index := indexed{}
	length2 := map[int]int{}
	var cachedTokens, allTokens float64
	arrivals(&t, r, affinityRate, length, func(now float64) {
		session := int(float64(affinitySessions) * r.Float64() * r.Float64())
		tokens := length2[session]%8000 + 200 + r.IntN(400)
		length2[session] = tokens
		k := affinityPick(mode, entry, engines, index, session, r)
		k, spent := probe(entry, engines, picker.Input{Candidates: entry.candidates, Version: "v", Affinity: affinityName(mode, session)}, k, picker.MaxProbes, r)
		e := engines[k]
		c := &entry.candidates[k]
		c.Unanswered++
		c.Sent++
		e.submit(now, func(started float64) {
			hit := e.hit(session, tokens)
			if mode == affinityHint {
				index[session] = map[int]int{k: tokens}
			} else {
				learnIndex(&t, index, r, started, session, k, tokens)
			}
			prefill := prefillPerToken * float64(tokens-hit)
			if now > warmup {
				cachedTokens += float64(hit)
				allTokens += float64(tokens)
				first = append(first, started-now+spent+prefill)
			}
			t.add(started+prefill+lognormal(r, decodeMedian, 0.5), func(ended float64) {
				e.finish(ended)
				c.Unanswered--
				c.Answered++
			})
		})
	})
	t.runUntil(length * 2)
	return cachedTokens / allTokens, first
}

// learnIndex delivers a cache event late, or loses it.
func learnIndex(t *timeline, index indexed, r *rand.Rand, now float64, session, engine, tokens int) {
	if r.Float64() < eventLost {
		return
	}
	t.add(now+eventLate, func(float64) { index.store(session, engine, tokens) })
}

func affinityName(mode affinityMode, session int) string {
	if mode == affinityNone {
		return ""
	}
	return fmt.Sprint("s", session)
}

func affinityPick(mode affinityMode, entry *fakeEntry, engines []*fakeEngine, index indexed, session int, r *rand.Rand) int {
	in := picker.Input{Candidates: entry.candidates, Version: "v", Draws: [3]float64{r.Float64(), r.Float64(), r.Float64()}, Affinity: affinityName(mode, session)}
	if mode == affinityHint {
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
	return indexOfEngine(engines, picker.Nearest{}.Decide(in).Instance.Instance)
}

// Affinity measures what keeping a session on one server is worth.
func Affinity(scale Scale) Section {
	s := Section{
		Title: "Affinity",
		How: fmt.Sprintf("%d engines with room for %d prefix tokens, %d sessions of unlike activity whose prompts grow, events %.0f s late and %.0f%% lost, load reports 2 s late, full servers refuse at once as in the router.",
			affinityEngines, affinityMemory, affinitySessions, eventLate, 100*eventLost),
	}
	length := max(150, affinitySeconds*float64(scale))
	type outcome struct{ hits, p50, p95 float64 }
	out := map[affinityMode]outcome{}
	for _, mode := range []affinityMode{affinityNone, affinitySession, affinityHint, affinityPrecise} {
		hits, first := runAffinity(mode, length)
		out[mode] = outcome{hits, quantile(first, 0.5), quantile(first, 0.95)}
	}
	text := func(m affinityMode) string {
		o := out[m]
		return fmt.Sprintf("%s: hit share %.1f%%, first token %.3f s median, %.3f s 95th", m, 100*o.hits, o.p50, o.p95)
	}
	gain := out[affinityPrecise].hits - out[affinityHint].hits
	faster := 1 - out[affinityPrecise].p95/out[affinityHint].p95
	s.Rows = []Row{
		{What: "session rendezvous against none", Target: "more hits and an earlier first token", Baseline: text(affinityNone), Measured: text(affinitySession), Met: out[affinitySession].hits > out[affinityNone].hits && out[affinitySession].p95 < out[affinityNone].p95},
		{What: "last server in the token against session rendezvous", Target: "more hits or an earlier first token", Baseline: text(affinitySession), Measured: text(affinityHint), Met: out[affinityHint].hits > out[affinitySession].hits},
		{What: "precise index against the last server in the token", Target: "adopt only if better beyond noise (2 points of hits or 5% of the 95th percentile)", Baseline: text(affinityHint), Measured: text(affinityPrecise), Met: true, Note: adoption(gain, faster)},
	}
	return s
}

func adoption(gain, faster float64) string {
	words := fmt.Sprintf("%+.1f points of hits, first token %+.1f%% earlier: ", 100*gain, 100*faster)
	if gain > 0.02 || faster > 0.05 {
		return words + "better, see docs/design/servers.md"
	}
	return words + "not adopted"
}

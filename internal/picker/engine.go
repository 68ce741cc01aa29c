package picker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/cacher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// regionWaitPenalty is added for an engine in another region: reaching it costs two round
	// trips, and transferring the bytes costs as much as prefilling a prompt.
	regionWaitPenalty = 120 * time.Millisecond
	// domainWaitPenalty is added for an engine in another failure domain of the own region.
	domainWaitPenalty = 5 * time.Millisecond
	// fullBatchWait is added for a full batch, and proportionally less for a partly filled one,
	// because running requests slow down the prefill of a prompt.
	fullBatchWait = 600 * time.Millisecond
	// coldStartWait is added for an engine that is still slow after its start.
	coldStartWait = 300 * time.Millisecond
	// smallestModelShare is the share of a region's engines that is reserved for the smallest
	// models, which do a quarter of the work.
	smallestModelShare = 0.25
	// smallestOnUnreservedWait and largerOnReservedWait are added where models of the other size
	// run. A batch is as slow as its slowest model: a small model in a batch of large ones is slowed
	// down itself, a large model in a batch of small ones slows down all of them.
	smallestOnUnreservedWait = 300 * time.Millisecond
	largerOnReservedWait     = 900 * time.Millisecond
	// waitTolerance is the gain in wait below which the engine that comes earlier in the rendezvous
	// order is kept, because other entries send prompts with the same prefix to it.
	waitTolerance = 20 * time.Millisecond
)

// Engine is the state of a model engine as known to an entry.
type Engine struct {
	Server model.BackendServer
	// Backlog is the prefill time of the prompts that were sent and not answered yet.
	Backlog time.Duration
	// Busy is the number of requests that run or wait.
	Busy int
	// Tokens is the number of tokens that these requests hold, with the output still to come.
	Tokens model.Tokens
	// CachedTokens is the number of the prompt's tokens that the engine holds, as far as the entry knows.
	CachedTokens model.Tokens
	// Slowdown stretches the prefill of the backlog and the prompt.
	Slowdown Slowdown
	// RoundTrip is the connect time to the engine's failure domain, 0 if it is not known.
	RoundTrip time.Duration
	// Limited is true if the engine takes only a limited number of requests a second.
	Limited bool
}

// EngineInput is the input to the choice of an engine.
type EngineInput struct {
	Engines []Engine
	Self    model.Place
	// Prefixes holds the prefixes of the prompt that other requests share, the shortest first.
	Prefixes []Prefix
	// LastKey identifies the whole prompt, whose last segment belongs to the request or its session.
	LastKey cacher.Key
	// SmallestModel is true if the smallest of several models is to run, LargerModel if a larger
	// one is. With neither, no engines are reserved.
	SmallestModel, LargerModel bool
	// PromptTokens is the length of the whole prompt, PrefillTime its prefill time.
	PromptTokens model.Tokens
	PrefillTime  time.Duration
	// Tokens is what the request would hold at an engine, KVCapacity what one of the engines can hold; 0 is unknown.
	Tokens, KVCapacity model.Tokens
	Excluded           map[model.BackendID]bool
	// Barred engines must not get the request, even if all others are excluded.
	Barred map[model.BackendID]bool
	Now    time.Time
}

// EngineChoice is the chosen engine, if one was found, with the values behind the choice.
type EngineChoice struct {
	Server model.BackendServer
	Found  bool
	// CachedTokens is the number of the prompt's tokens that the engine is expected to hold.
	CachedTokens model.Tokens
	// Wait is the estimated time to the first token.
	Wait time.Duration
	// Busy is the number of requests that run or wait there.
	Busy int
	// Utilisation is the share of batch slots in use at the own region's engines for this model size.
	Utilisation float64
	Eligible    int
}

// EarliestFirstToken picks the engine with the shortest estimated time to the first token.
type EarliestFirstToken struct{}

// Decide estimates each engine's wait from its backlog, its batch, its prefix cache and its
// distance. It is made for prompts of very different lengths that share long parts: a long prompt
// delays all prompts behind it, and prefilling a shared part again delays them as well.
func (EarliestFirstToken) Decide(in EngineInput) EngineChoice {
	best := EngineChoice{}
	var bestCost time.Duration
	reserved := reservedEngines(in)
	memoryLimit := lowestMemoryRank(in)
	busy, slots := 0, 0
	// Entries without cache information agree, because the order is the same at all.
	for _, r := range rankEngines(in, reserved) {
		e := in.Engines[r.index]
		if !in.isEligible(&e) {
			continue
		}
		best.Eligible++
		mismatch := in.isMismatch(&e, reserved)
		e.CachedTokens = max(e.CachedTokens, r.assumed)
		if !mismatch && e.Server.Place.Region == in.Self.Region {
			busy += e.Busy
			slots += e.Server.Slots
		}
		if memoryRank(e.Tokens, in.Tokens, in.KVCapacity) > memoryLimit {
			continue
		}
		wait := expectedWait(e, in)
		switch {
		case mismatch && in.SmallestModel:
			wait += smallestOnUnreservedWait
		case mismatch:
			wait += largerOnReservedWait
		}
		cost := wait - in.savedForOthers(e.CachedTokens)
		if !best.Found || cost < bestCost-waitTolerance {
			bestCost = cost
			best.Server, best.Found, best.CachedTokens, best.Wait, best.Busy = e.Server, true, e.CachedTokens, wait, e.Busy
		}
	}
	best.Utilisation = float64(busy) / float64(max(slots, 1))
	return best
}

// reservedEngines returns the engines of each region that are reserved for the smallest models.
// The choice depends only on the names of the available engines, so that entries that see the same
// engines make the same choice.
func reservedEngines(in EngineInput) map[model.BackendID]bool {
	if !in.SmallestModel && !in.LargerModel {
		return nil
	}
	regions := map[model.RegionID][]model.BackendID{}
	for _, e := range in.Engines {
		if e.Server.State == model.BackendReady && !in.Excluded[e.Server.Backend] {
			r := e.Server.Place.Region
			regions[r] = append(regions[r], e.Server.Backend)
		}
	}
	reserved := map[model.BackendID]bool{}
	for _, ids := range regions {
		slices.SortFunc(ids, func(a, b model.BackendID) int {
			return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
		})
		for _, id := range ids[:int(math.Round(smallestModelShare*float64(len(ids))))] {
			reserved[id] = true
		}
	}
	return reserved
}

func expectedWait(e Engine, in EngineInput) time.Duration {
	prefill := e.Backlog + in.PrefillTime - in.CachedTime(e.CachedTokens)
	wait := e.Slowdown.Stretch(prefill) + time.Duration(float64(fullBatchWait)*float64(e.Busy)/float64(max(e.Server.Slots, 1)))
	if e.Server.ColdRemaining > 0 {
		wait += coldStartWait
	}
	return wait + distanceWait(e.Server.Place, in.Self, e.RoundTrip)
}

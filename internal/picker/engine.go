package picker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// regionWait is the wait beyond which an engine of another region is asked: its way costs
	// two round trips, its bytes cost as much as reading a prompt.
	regionWait = 120 * time.Millisecond
	// domainWait is the same for another failure domain of the own region.
	domainWait = 5 * time.Millisecond
	// batchWait is added for a full batch: running requests slow the reading of a prompt.
	batchWait = 600 * time.Millisecond
	// coldWait is added for an engine that is still slow after its start.
	coldWait = 300 * time.Millisecond
	// smallShare is the part of a region's engines that is left to the smallest models: they do a
	// quarter of the work.
	smallShare = 0.25
	// mixedSmall and mixedLarge are added where a model of the other size runs: a batch is as slow
	// as its slowest model, so that a small one suffers itself, and a large one makes all others
	// suffer.
	mixedSmall = 300 * time.Millisecond
	mixedLarge = 900 * time.Millisecond
	// nearWait is a difference that is not worth leaving the place for where others look for
	// the same memory.
	nearWait = 20 * time.Millisecond
)

// Engine is one model engine as an entry sees it.
type Engine struct {
	Server model.BackendServer
	// Backlog is the time that prompts which were sent and not answered yet take to read.
	Backlog time.Duration
	// Busy is the number of requests that run or wait.
	Busy int
	// PrefixCached reports that the shared parts of the prompt were read there lately.
	PrefixCached bool
}

// EngineInput is everything that the choice of an engine reads.
type EngineInput struct {
	Engines []Engine
	Self    model.Place
	// PrefixKey names the shared parts of the prompt with the model; empty if there are none.
	PrefixKey string
	// SmallestModel tells that the smallest of several models is to run, LargerModel that a larger one is. With
	// neither, all engines are alike.
	SmallestModel, LargerModel bool
	// PrefillTime is the time to read the whole prompt, SharedPrefillTime that for its shared parts.
	PrefillTime, SharedPrefillTime time.Duration
	Excluded                       map[model.BackendID]bool
}

// EngineChoice is the chosen engine, or none, with the figures that decided.
type EngineChoice struct {
	Server       model.BackendServer
	Found        bool
	PrefixCached bool
	// Wait is the expected time to the first token.
	Wait time.Duration
	// Busy is the number of requests that run or wait there.
	Busy int
	// Utilisation is the filled part of the batches of the region's engines for this size of model.
	Utilisation float64
	Eligible    int
}

// EarliestFirstToken picks the engine that has the first token earliest.
type EarliestFirstToken struct{}

// Decide weighs the prompts in front, the batch, the memory kept there and the distance. It
// answers prompts of very unlike length of which much is shared: a long one holds up all that
// come after it, and reading a shared part once more holds up others.
func (EarliestFirstToken) Decide(in EngineInput) EngineChoice {
	best := EngineChoice{}
	var at time.Duration
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Compare(xxhash.Sum64String(in.PrefixKey+"\x00"+string(b.Server.Backend)), xxhash.Sum64String(in.PrefixKey+"\x00"+string(a.Server.Backend)))
	})
	home := false
	small := smallEngines(in)
	busy, slots := 0, 0
	for _, e := range engines {
		if e.Server.State != model.BackendReady || in.Excluded[e.Server.Backend] {
			continue
		}
		best.Eligible++
		mixed := in.SmallestModel && !small[e.Server.Backend] || in.LargerModel && small[e.Server.Backend]
		if !home && !mixed && (in.LargerModel || e.Server.Place.Region == in.Self.Region) {
			// Others send prompts with the same parts there as well.
			home, e.PrefixCached = true, in.PrefixKey != ""
		}
		if !mixed && e.Server.Place.Region == in.Self.Region {
			busy += e.Busy
			slots += e.Server.Slots
		}
		wait := expected(e, in)
		switch {
		case mixed && in.SmallestModel:
			wait += mixedSmall
		case mixed:
			wait += mixedLarge
		}
		// The engines come in rendezvous order, so that entries which know of no memory agree.
		if !best.Found || wait < at-nearWait {
			at = wait
			best.Server, best.Found, best.PrefixCached, best.Wait, best.Busy = e.Server, true, e.PrefixCached, wait, e.Busy
		}
	}
	best.Utilisation = float64(busy) / float64(max(slots, 1))
	return best
}

// smallEngines returns the engines of each region that are left to the smallest models; all
// entries derive the same ones.
func smallEngines(in EngineInput) map[model.BackendID]bool {
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
	small := map[model.BackendID]bool{}
	for _, ids := range regions {
		slices.SortFunc(ids, func(a, b model.BackendID) int {
			return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
		})
		for _, id := range ids[:int(math.Round(smallShare*float64(len(ids))))] {
			small[id] = true
		}
	}
	return small
}

func expected(e Engine, in EngineInput) time.Duration {
	wait := e.Backlog + in.PrefillTime + time.Duration(float64(batchWait)*float64(e.Busy)/float64(max(e.Server.Slots, 1)))
	if e.PrefixCached {
		wait -= in.SharedPrefillTime
	}
	if e.Server.Cold > 0 {
		wait += coldWait
	}
	return wait + byDistance(e.Server.Place, in.Self, domainWait, regionWait)
}

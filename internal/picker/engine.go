package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// regionWait is the wait beyond which an engine of another region is asked: its way costs
	// two round trips, its bytes cost as much as reading a prompt.
	regionWait = 400 * time.Millisecond
	// domainWait is the same for another failure domain of the own region.
	domainWait = 5 * time.Millisecond
	// batchWait is added for a full batch: running requests slow the reading of a prompt.
	batchWait = 600 * time.Millisecond
	// coldWait is added for an engine that is still slow after its start.
	coldWait = 300 * time.Millisecond
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
	// Kept reports that the shared parts of the prompt were read there lately.
	Kept bool
}

// EngineInput is everything that the choice of an engine reads.
type EngineInput struct {
	Engines []Engine
	Self    model.Place
	// Memory names the shared parts of the prompt with the model; empty if there are none.
	Memory string
	// Read is the time to read the whole prompt, Shared that for its shared parts.
	Read, Shared time.Duration
	Excluded     map[model.BackendID]bool
	Now          time.Time
}

// EngineChoice is the chosen engine, or none, with the figures that decided.
type EngineChoice struct {
	Server model.BackendServer
	Found  bool
	Kept   bool
	// Wait is the expected time to the first token.
	Wait time.Duration
	Open int
}

// Earliest picks the engine that has the first token earliest.
type Earliest struct{}

// Decide weighs the prompts in front, the batch, the memory kept there and the distance. It
// answers prompts of very unlike length of which much is shared: a long one holds up all that
// come after it, and reading a shared part once more holds up others.
func (Earliest) Decide(in EngineInput) EngineChoice {
	best := EngineChoice{}
	var at time.Duration
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Compare(xxhash.Sum64String(in.Memory+"\x00"+string(b.Server.Backend)), xxhash.Sum64String(in.Memory+"\x00"+string(a.Server.Backend)))
	})
	home := false
	for _, e := range engines {
		if e.Server.State != model.BackendReady || in.Excluded[e.Server.Backend] {
			continue
		}
		best.Open++
		if !home && e.Server.Place.Region == in.Self.Region {
			// Others send prompts with the same parts there as well.
			home, e.Kept = true, in.Memory != ""
		}
		wait := expected(e, in)
		// The engines come in rendezvous order, so that entries which know of no memory agree.
		if !best.Found || wait < at-nearWait {
			at = wait
			best.Server, best.Found, best.Kept, best.Wait = e.Server, true, e.Kept, wait
		}
	}
	return best
}

func expected(e Engine, in EngineInput) time.Duration {
	wait := e.Backlog + in.Read + time.Duration(float64(batchWait)*float64(e.Busy)/float64(max(e.Server.Slots, 1)))
	if e.Kept {
		wait -= in.Shared
	}
	if e.Server.Cold > 0 {
		wait += coldWait
	}
	switch {
	case e.Server.Place.Region != in.Self.Region:
		wait += regionWait
	case e.Server.Place.Domain != in.Self.Domain:
		wait += domainWait
	}
	return wait
}

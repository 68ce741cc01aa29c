package measurer

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/cacher"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// prefixPolicy chooses the engines of one entry. choose returns the engine and the tokens that it is expected to hold.
type prefixPolicy interface {
	choose(in picker.EngineInput, p prefixPrompt) (int, model.Tokens)
	sent(p prefixPrompt, s model.BackendServer, busy int, now time.Time)
	answered(p prefixPrompt, s model.BackendServer, now time.Time)
}

// ignorePrefixes chooses by the waits alone.
type ignorePrefixes struct{}

func (ignorePrefixes) choose(in picker.EngineInput, _ prefixPrompt) (int, model.Tokens) {
	choice := picker.EarliestFirstToken{}.Decide(in)
	return indexOf(in, choice.Server.Backend), choice.CachedTokens
}

func (ignorePrefixes) sent(prefixPrompt, model.BackendServer, int, time.Time) {}

func (ignorePrefixes) answered(prefixPrompt, model.BackendServer, time.Time) {}

// prefixHash sends all prompts with the same shared segments to the same engine.
type prefixHash struct{ ignorePrefixes }

func (prefixHash) choose(in picker.EngineInput, p prefixPrompt) (int, model.Tokens) {
	best, most := 0, uint64(0)
	for k, e := range in.Engines {
		if h := xxhash.Sum64String(sharedKey(p) + string(e.Server.Backend)); h >= most {
			best, most = k, h
		}
	}
	return best, sharedTokens(p)
}

// previousPolicy is the policy before the segments of engines were modelled: an entry remembers for 15 s that it sent all
// shared segments of a prompt to an engine, and assumes that the first one in rendezvous order holds them.
type previousPolicy struct {
	sentAt map[string]time.Time
}

const previousLifetime = 15 * time.Second

func (o *previousPolicy) choose(in picker.EngineInput, p prefixPrompt) (int, model.Tokens) {
	const tolerance, fullBatchWait = 20 * time.Millisecond, 600 * time.Millisecond
	key := sharedKey(p)
	engines := slices.Clone(in.Engines)
	slices.SortFunc(engines, func(a, b picker.Engine) int {
		return cmp.Compare(xxhash.Sum64String(key+"\x00"+string(b.Server.Backend)), xxhash.Sum64String(key+"\x00"+string(a.Server.Backend)))
	})
	best, bestWait, held := -1, time.Duration(0), model.Tokens(0)
	for i, e := range engines {
		at, ok := o.sentAt[key+string(e.Server.Backend)]
		cached := model.Tokens(0)
		if key != "" && (i == 0 || ok && in.Now.Sub(at) < previousLifetime) {
			cached = sharedTokens(p)
		}
		wait := e.Backlog + in.PrefillTime - in.CachedTime(cached) + time.Duration(float64(fullBatchWait)*float64(e.Busy)/float64(e.Server.Slots))
		if best < 0 || wait < bestWait-tolerance {
			best, bestWait, held = i, wait, cached
		}
	}
	return indexOf(in, engines[best].Server.Backend), held
}

func (o *previousPolicy) sent(prefixPrompt, model.BackendServer, int, time.Time) {}

func (o *previousPolicy) answered(p prefixPrompt, s model.BackendServer, now time.Time) {
	o.sentAt[sharedKey(p)+string(s.Backend)] = now
}

// segmentPolicy is the policy of the forwarder.
type segmentPolicy struct {
	cacher   *cacher.Cacher
	capacity model.Tokens
}

func (o *segmentPolicy) choose(in picker.EngineInput, p prefixPrompt) (int, model.Tokens) {
	picker.DescribePrefixes(&in, o.cacher, p.chain)
	choice := picker.EarliestFirstToken{}.Decide(in)
	return indexOf(in, choice.Server.Backend), choice.CachedTokens
}

func (o *segmentPolicy) sent(p prefixPrompt, s model.BackendServer, busy int, now time.Time) {
	o.cacher.Observe(p.chain, 0, now)
	o.cacher.Send(o.engine(s, busy), p.chain, now)
}

func (o *segmentPolicy) answered(p prefixPrompt, s model.BackendServer, now time.Time) {
	o.cacher.Answered(o.engine(s, 0), p.chain, now)
}

func (o *segmentPolicy) engine(s model.BackendServer, busy int) cacher.Engine {
	return cacher.Engine{Lifetime: s.Lifetime(), Capacity: o.capacity, Busy: busy}
}

func indexOf(in picker.EngineInput, id model.BackendID) int {
	return slices.IndexFunc(in.Engines, func(e picker.Engine) bool { return e.Server.Backend == id })
}

func sharedKey(p prefixPrompt) string {
	if p.chain.Shared == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(p.chain.Segments[p.chain.Shared-1].Key), 36)
}

func sharedTokens(p prefixPrompt) model.Tokens {
	sum := model.Tokens(0)
	for _, s := range p.chain.Segments[:p.chain.Shared] {
		sum += s.Tokens
	}
	return sum
}

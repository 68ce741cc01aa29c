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
	// holderSlots is the part of an engine's slots that the longest shared prefix of a prompt may bring to one holder. The
	// rest is room for other prefixes, so that the waits can balance the engines.
	holderSlots = 0.25
	// innerHolderShare is the part of an engine's mean number of requests that a shorter prefix may bring to one holder.
	// All longer prefixes are placed on its holders, so that a prefix that an eighth of the requests have must have all
	// engines for holders. Above 0.15, the replay of many first segments loses balance; at 0.1, it loses saved tokens.
	innerHolderShare = 0.125
	// savedBonus is what it is worth to other prompts if tokens are not read again, as a part of the time saved: an engine
	// that reads a third of the time has half a prompt on average that waits behind the one that it reads. The segments
	// that a second copy displaces come on top.
	savedBonus = 0.5
	// holderWarmUp is the time after its start in which an engine takes over the prefixes that it is to hold, one after
	// another. An engine reads as many tokens as it can hold in about this time.
	holderWarmUp = 30 * time.Second
)

// Prefix is a part of a prompt from its start that other requests share.
type Prefix struct {
	Key cacher.Key
	// Tokens is the number of tokens from the start of the prompt to the end of the prefix.
	Tokens model.Tokens
	// Share is the share of the model's requests that has the prefix.
	Share float64
}

// DescribePrefixes adds what is known of a prompt's segments to the input, after its engines and its time.
func DescribePrefixes(in *EngineInput, known *cacher.Cacher, chain cacher.Chain) {
	if len(chain.Segments) == 0 {
		return
	}
	in.LastKey = chain.Segments[len(chain.Segments)-1].Key
	tokens := model.Tokens(0)
	for i, share := range known.Shares(chain, in.Now) {
		tokens += chain.Segments[i].Tokens
		in.Prefixes = append(in.Prefixes, Prefix{Key: chain.Segments[i].Key, Tokens: tokens, Share: share})
	}
	lifetimes := make([]model.ServerLifetime, len(in.Engines))
	for i := range in.Engines {
		lifetimes[i] = in.Engines[i].Server.Lifetime()
	}
	for i, cached := range known.Cached(chain, lifetimes, in.Now) {
		in.Engines[i].CachedTokens = cached
	}
}

// rankedEngine is an engine in the order in which engines with about the same wait are preferred.
type rankedEngine struct {
	index int
	hash  uint64
	// holder is true if entries send the longest shared prefix to the engine.
	holder bool
	// assumed is the number of prompt tokens that the engine has in its cache because other entries send their prompts
	// there as well.
	assumed model.Tokens
}

// rankEngines orders the engines. Every entry gets the same order for the same shared prefix and the same engines, so
// that they agree on the holders of a prefix without messages.
//
// It is made for prompts of which many share a first segment, some a second one, and few a session. A first segment is
// often so popular that one holder would be overloaded, while a document is best read by one engine only. So each prefix
// has as many holders as its load asks for, and those of a longer prefix are some of the holders of the
// shorter one, which have read its start. A prefix that gets more popular keeps its holders and gets more.
func rankEngines(in EngineInput, reserved map[model.BackendID]bool) []rankedEngine {
	out := make([]rankedEngine, len(in.Engines))
	if len(in.Prefixes) == 0 {
		var buf [64]byte
		for i := range in.Engines {
			out[i] = rankedEngine{index: i, hash: xxhash.Sum64(append(append(buf[:0], 0), in.Engines[i].Server.Backend...))}
		}
		slices.SortFunc(out, compareRanks)
		return out
	}
	names := make([]uint64, len(in.Engines))
	for i := range in.Engines {
		names[i] = xxhash.Sum64String(string(in.Engines[i].Server.Backend))
	}
	assumeHolders(in, reserved, names, out)
	longest := in.Prefixes[len(in.Prefixes)-1].Key
	for i := range out {
		key := longest
		if out[i].holder {
			// Sessions are spread over the holders, and each stays at one.
			key = in.LastKey
		}
		out[i].index, out[i].hash = i, mix(uint64(key)^names[i])
	}
	slices.SortFunc(out, compareRanks)
	return out
}

func compareRanks(a, b rankedEngine) int {
	if a.holder != b.holder {
		if a.holder {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.hash, a.hash)
}

// assumeHolders sets the holders and the tokens that they are assumed to hold.
func assumeHolders(in EngineInput, reserved map[model.BackendID]bool, names []uint64, out []rankedEngine) {
	holders := make([]int, 0, len(in.Engines))
	for i := range in.Engines {
		if mayHold(&in.Engines[i], in, reserved) {
			holders = append(holders, i)
		}
	}
	engines := len(holders)
	busy, slots := 0, 0
	for _, i := range holders {
		busy += in.Engines[i].Busy
		slots += in.Engines[i].Server.Slots
	}
	utilisation := float64(busy) / float64(max(slots, 1))
	hashes := make([]uint64, 0, engines)
	for depth, p := range in.Prefixes {
		holders = slices.DeleteFunc(holders, func(i int) bool { return !isWarmFor(&in.Engines[i].Server, p.Key, names[i], in.Now) })
		hashes = hashes[:0]
		for _, i := range holders {
			hashes = append(hashes, mix(uint64(p.Key)^names[i]))
		}
		longest := depth == len(in.Prefixes)-1
		count := p.Share * float64(engines) / innerHolderShare
		if longest {
			count = p.Share * float64(engines) * utilisation / holderSlots
		}
		least := nthLargest(hashes, max(1, int(math.Ceil(count))))
		holders = slices.DeleteFunc(holders, func(i int) bool { return mix(uint64(p.Key)^names[i]) < least })
		for _, i := range holders {
			out[i].assumed, out[i].holder = p.Tokens, longest
		}
	}
}

// mayHold reports whether entries send shared prefixes to an engine. Each region has holders of its own for the smallest
// model. The entries of all regions share those of larger models.
func mayHold(e *Engine, in EngineInput, reserved map[model.BackendID]bool) bool {
	if !in.isEligible(e) || in.isMismatch(e, reserved) || e.Limited {
		return false
	}
	return in.LargerModel || e.Server.Place.Region == in.Self.Region
}

// isWarmFor reports whether an engine has started long enough ago to hold a prefix. Prefixes move to a new engine one
// after another, so that it is not overloaded with prompts that it must read whole.
func isWarmFor(s *model.BackendServer, k cacher.Key, name uint64, now time.Time) bool {
	if s.ColdRemaining > 0 {
		return false
	}
	if s.StartUnixMilli == 0 || now.IsZero() {
		return true
	}
	age := now.Sub(time.UnixMilli(s.StartUnixMilli))
	if age >= holderWarmUp || age < 0 {
		return true
	}
	moved := float64(mix(uint64(k)+name)) / math.MaxUint64
	return moved < float64(age)/float64(holderWarmUp)
}

// nthLargest returns the nth largest number, or above all if there are none.
func nthLargest(numbers []uint64, n int) uint64 {
	switch {
	case len(numbers) == 0:
		return math.MaxUint64
	case n >= len(numbers):
		return slices.Min(numbers)
	case n == 1:
		return slices.Max(numbers)
	}
	slices.Sort(numbers)
	return numbers[len(numbers)-n]
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// isEligible reports whether an engine may get the request.
func (in EngineInput) isEligible(e *Engine) bool {
	return e.Server.State == model.BackendReady && !in.Excluded[e.Server.Backend] && !in.Barred[e.Server.Backend]
}

// isMismatch reports whether an engine is meant for models of the other size.
func (in EngineInput) isMismatch(e *Engine, reserved map[model.BackendID]bool) bool {
	return in.SmallestModel && !reserved[e.Server.Backend] || in.LargerModel && reserved[e.Server.Backend]
}

// CachedTime returns the part of the prefill time that cached tokens save.
func (in EngineInput) CachedTime(cached model.Tokens) time.Duration {
	if in.PromptTokens <= 0 {
		return 0
	}
	return time.Duration(float64(in.PrefillTime) * float64(min(cached, in.PromptTokens)) / float64(in.PromptTokens))
}

// savedForOthers returns what it is worth to other prompts that an engine need not read the cached tokens.
func (in EngineInput) savedForOthers(cached model.Tokens) time.Duration {
	return time.Duration(savedBonus * float64(in.CachedTime(cached)))
}

package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/cacher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// replayGossip is how often entries learn of each other's open work.
	replayGossip = 100 * time.Millisecond
	// replayAnswer is how long an answer is written after its first token if its kind does not say.
	replayAnswer = 1500 * time.Millisecond
	replaySlots  = 48
)

// replayLoad is a load on engines that many entries share. Prompts of a kind have one of a number of shared prefixes,
// the first of which are the most frequent ones.
type replayLoad struct {
	Name             string
	Seed             uint64
	Entries, Engines int
	Rate             float64
	Length           time.Duration
	Kinds            []struct {
		Share           float64
		Prefill, Shared time.Duration
		Prefixes        int
		// Tokens is what a request holds until its answer ends, after the time Answer.
		Tokens model.Tokens
		Answer time.Duration
	}
	KVCapacity model.Tokens
	// Engines are slowed by a factor for a time, again and again.
	SlowEvery, SlowFor time.Duration
	SlowFactor         float64
	// MaxBusiest bounds the work of the busiest engine, as a multiple of the mean.
	MaxBusiest float64
	// MaxFull bounds the tokens that an engine holds, as a multiple of the capacity.
	MaxFull float64
}

type replayJob struct {
	entry             int
	estimate          time.Duration
	firstToken, endAt time.Duration
	slowed            bool
	tokens            model.Tokens
}

type replayResult struct {
	waits []time.Duration
	// busiest is the largest amount of work that an engine got, as a multiple of the mean.
	busiest float64
	// fullest is the largest number of tokens that an engine held, as a multiple of the capacity.
	fullest float64
}

func (r replayResult) quantile(q float64) time.Duration {
	return r.waits[int(q*float64(len(r.waits)-1))]
}

// isSlowed reports whether engine k is slowed at a time, and when that changes.
func (l replayLoad) isSlowed(k int, at time.Duration) (bool, time.Duration) {
	if l.SlowEvery == 0 {
		return false, math.MaxInt64
	}
	phase := (at + time.Duration(k)*l.SlowEvery*7/time.Duration(l.Engines)) % l.SlowEvery
	if phase < l.SlowFor {
		return true, at + l.SlowFor - phase
	}
	return false, at + l.SlowEvery - phase
}

// process returns when engine k ends work that it begins at a time.
func (l replayLoad) process(k int, at, work time.Duration) time.Duration {
	for {
		slowed, until := l.isSlowed(k, at)
		factor := 1.0
		if slowed {
			factor = l.SlowFactor
		}
		if took := time.Duration(float64(work) * factor); took <= until-at {
			return at + took
		}
		work -= time.Duration(float64(until-at) / factor)
		at = until
	}
}

// replay plays a load. Each entry knows its own open work, that of the others at the last gossip, and, with figures, the
// speeds that its own answers reported.
func replay(l replayLoad, figures bool) replayResult {
	r := rand.New(rand.NewPCG(l.Seed, l.Seed))
	start := time.Unix(1000, 0)
	servers := make([]model.BackendServer, l.Engines)
	for k := range servers {
		servers[k] = model.BackendServer{Backend: model.BackendID(fmt.Sprint("engine-", k)), Slots: replaySlots, State: model.BackendReady}
	}
	index := map[model.BackendID]int{}
	for k, s := range servers {
		index[s.Backend] = k
	}
	free, work := make([]time.Duration, l.Engines), make([]time.Duration, l.Engines)
	waiting, running := make([][]replayJob, l.Engines), make([][]replayJob, l.Engines)
	cached := make([]map[string]bool, l.Engines)
	type view struct {
		backlog time.Duration
		busy    int
		tokens  model.Tokens
	}
	own, told := make([][]view, l.Entries), make([][]view, l.Entries)
	sum := make([]view, l.Engines)
	speeds := make([][]SpeedEstimate, l.Entries)
	known := make([]map[string]bool, l.Entries)
	for e := range own {
		own[e], told[e], speeds[e], known[e] = make([]view, l.Engines), make([]view, l.Engines), make([]SpeedEstimate, l.Engines), map[string]bool{}
	}
	advance := func(now time.Duration) {
		for k := range waiting {
			for len(waiting[k]) > 0 && waiting[k][0].firstToken <= now {
				j := waiting[k][0]
				waiting[k] = waiting[k][1:]
				own[j.entry][k].backlog -= j.estimate
				if figures {
					percent := 100
					if j.slowed {
						percent = int(100 * l.SlowFactor)
					}
					speeds[j.entry][k].Report(percent, start.Add(j.firstToken))
				}
			}
			running[k] = slices.DeleteFunc(running[k], func(j replayJob) bool {
				if j.endAt > now {
					return false
				}
				own[j.entry][k].busy--
				own[j.entry][k].tokens -= j.tokens
				return true
			})
		}
	}
	var out replayResult
	gossipAt := time.Duration(0)
	for now := time.Duration(0); now < l.Length; now += time.Duration(r.ExpFloat64() / l.Rate * float64(time.Second)) {
		for gossipAt <= now {
			advance(gossipAt)
			clear(sum)
			for e := range own {
				copy(told[e], own[e])
				for k, v := range own[e] {
					sum[k] = view{sum[k].backlog + v.backlog, sum[k].busy + v.busy, sum[k].tokens + v.tokens}
				}
			}
			gossipAt += replayGossip
		}
		advance(now)
		entry, draw, kind := r.IntN(l.Entries), r.Float64(), l.Kinds[0]
		for _, kind = range l.Kinds {
			if draw -= kind.Share; draw < 0 {
				break
			}
		}
		// Tokens of a prompt count in microseconds of its prefill.
		shared := model.Tokens(kind.Shared.Microseconds())
		in := EngineInput{PrefillTime: kind.Prefill, PromptTokens: model.Tokens(kind.Prefill.Microseconds()), Tokens: kind.Tokens, KVCapacity: l.KVCapacity}
		prefixKey := ""
		if kind.Prefixes > 0 {
			prefixKey = fmt.Sprint("prefix-", kind.Shared, int(math.Pow(float64(kind.Prefixes), r.Float64())))
			in.Prefixes = []Prefix{{Key: cacher.Key(xxhash.Sum64String(prefixKey)), Tokens: shared, Share: kind.Share / float64(kind.Prefixes)}}
		}
		for k, s := range servers {
			v, o := own[entry][k], told[entry][k]
			held := model.Tokens(0)
			if known[entry][prefixKey+string(s.Backend)] {
				held = shared
			}
			in.Engines = append(in.Engines, Engine{
				Server: s, Backlog: max(v.backlog+sum[k].backlog-o.backlog, 0), Busy: max(v.busy+sum[k].busy-o.busy, 0), Tokens: max(v.tokens+sum[k].tokens-o.tokens, 0),
				CachedTokens: held, Slowdown: speeds[entry][k].At(start.Add(now)),
			})
		}
		k := index[EarliestFirstToken{}.Decide(in).Server.Backend]
		j := replayJob{entry: entry, estimate: kind.Prefill, tokens: kind.Tokens}
		prefill := kind.Prefill
		if prefixKey != "" {
			if in.Engines[k].CachedTokens > 0 {
				j.estimate -= kind.Shared
			}
			if cached[k] == nil {
				cached[k] = map[string]bool{}
			}
			if cached[k][prefixKey] {
				prefill -= kind.Shared
			}
			cached[k][prefixKey], known[entry][prefixKey+string(servers[k].Backend)] = true, true
		}
		free[k] = l.process(k, max(free[k], now), prefill)
		work[k] += prefill
		j.firstToken, j.endAt = free[k], free[k]+max(kind.Answer, replayAnswer)
		j.slowed, _ = l.isSlowed(k, free[k])
		own[entry][k].backlog += j.estimate
		own[entry][k].busy++
		own[entry][k].tokens += j.tokens
		waiting[k], running[k] = append(waiting[k], j), append(running[k], j)
		held := model.Tokens(0)
		for _, j := range running[k] {
			held += j.tokens
		}
		out.fullest = max(out.fullest, float64(held)/float64(max(l.KVCapacity, 1)))
		out.waits = append(out.waits, free[k]-now)
	}
	slices.Sort(out.waits)
	total := time.Duration(0)
	for _, w := range work {
		total += w
	}
	out.busiest = float64(slices.Max(work)) * float64(l.Engines) / float64(total)
	return out
}

package measurer

import (
	_ "embed" // for the loads
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/bramleyhinge/bramleyhinge/internal/cacher"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

//go:embed testdata/prefixes.yaml
var prefixLoadFile []byte

// prefixLoad describes a seeded sequence of prompts. A prompt has a head segment, a document and a segment of its session.
type prefixLoad struct {
	Name    string
	Seed    uint64
	Entries int
	Engines int
	// Rate is the number of prompts per second, Seconds the length of the sequence.
	Rate, Seconds float64
	Capacity      model.Tokens
	// Heads and Documents are drawn with Zipf-like popularity: the nth one has a weight of n to the power of -Exponent.
	// Hot is the share of the prompts that have the first document instead.
	Heads, Documents int
	Exponent, Hot    float64
	// Segments is false if prompts name no segments.
	Segments                                          bool
	HeadTokens, DocumentTokens, OwnTokens, OutputTime float64
	// Turns is the mean number of turns of a session, Pause the mean time between them.
	Turns, Pause float64
	// Restarts is the share of the engines that start again at half time.
	Restarts float64
}

func prefixLoads() ([]prefixLoad, error) {
	var loads []prefixLoad
	if err := yaml.UnmarshalWithOptions(prefixLoadFile, &loads, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("read the loads of prefixes: %w", err)
	}
	return loads, nil
}

const (
	prefixReadTime = 50 * time.Microsecond // per prompt token
	prefixSlots    = 48
	prefixExchange = 0.1 // seconds between the work messages of entries
)

// prefixPrompt is one prompt of the sequence.
type prefixPrompt struct {
	chain  cacher.Chain
	tokens model.Tokens
	entry  int
}

// prefixOutcome is the result of a policy on a load.
type prefixOutcome struct {
	// Saved is the share of all prompt tokens that engines did not read, Imbalance the work of the engine with the most
	// work as a multiple of the mean. Work is reading and, by its share of the slots, writing.
	Saved, Imbalance float64
	// Most is the work of that engine in seconds.
	Most float64
	// First is the 95th percentile of the time to the first token in seconds.
	First float64
	// Choices holds the chosen engines in order.
	Choices []int
	// Cost is the mean time of a decision with the look-ups that it needs.
	Cost time.Duration
}

// prefixEngine reads prompts one after another and holds the least recently used segments within its capacity.
type prefixEngine struct {
	server   model.BackendServer
	held     map[cacher.Key]heldSegment
	tokens   model.Tokens
	uses     int
	freeAt   float64
	running  int
	work     float64
	capacity model.Tokens
}

type heldSegment struct {
	tokens model.Tokens
	use    int
}

// read returns the number of tokens of a prompt that the engine must read, and holds its segments.
func (e *prefixEngine) read(p prefixPrompt) model.Tokens {
	left := p.tokens
	for _, s := range p.chain.Segments {
		if _, ok := e.held[s.Key]; !ok {
			break
		}
		left -= s.Tokens
	}
	// The last segment is used first, so that a segment is never older than those behind it.
	for i := len(p.chain.Segments) - 1; i >= 0; i-- {
		s := p.chain.Segments[i]
		if _, ok := e.held[s.Key]; !ok {
			e.tokens += s.Tokens
		}
		e.uses++
		e.held[s.Key] = heldSegment{s.Tokens, e.uses}
	}
	for e.tokens > e.capacity {
		oldest, found := cacher.Key(0), false
		for k, h := range e.held {
			if !found || h.use < e.held[oldest].use {
				oldest, found = k, true
			}
		}
		e.tokens -= e.held[oldest].tokens
		delete(e.held, oldest)
	}
	return left
}

// prefixReplay replays a load through one policy.
type prefixReplay struct {
	load    prefixLoad
	t       timeline
	r       *rand.Rand
	engines []*prefixEngine
	entries []*prefixEntry
	out     prefixOutcome
	first   []float64
	saved   float64
	asked   float64
}

// runPrefixes replays a load through a policy for each entry.
func runPrefixes(load prefixLoad, scale Scale, policy func() prefixPolicy) prefixOutcome {
	load.Seconds *= float64(scale)
	r := rand.New(rand.NewPCG(load.Seed, 1))
	p := &prefixReplay{load: load, r: r}
	for i := range load.Engines {
		p.engines = append(p.engines, &prefixEngine{
			capacity: load.Capacity, held: map[cacher.Key]heldSegment{},
			server: model.BackendServer{Backend: model.BackendID(fmt.Sprint("engine-", i)), Slots: prefixSlots, State: model.BackendReady, Place: model.Place{Region: "r"}, StartUnixMilli: 1},
		})
	}
	for range load.Entries {
		p.entries = append(p.entries, newPrefixEntry(policy(), load.Engines))
	}
	for at := 0.0; at < load.Seconds; at += prefixExchange {
		p.t.schedule(at, func(float64) { exchangeWork(p.entries) })
	}
	if load.Restarts > 0 {
		p.t.schedule(load.Seconds/2, p.restart)
	}
	scheduleArrivals(&p.t, r, load.Rate/load.Turns, load.Seconds, p.startSession)
	p.t.runUntil(load.Seconds)
	return p.summarise()
}

func (p *prefixReplay) restart(now float64) {
	for _, e := range p.engines[:int(p.load.Restarts*float64(len(p.engines)))] {
		e.server.StartUnixMilli = at(now).UnixMilli()
		e.held, e.tokens = map[cacher.Key]heldSegment{}, 0
	}
}

// startSession schedules the turns of a session. Each reaches another entry.
func (p *prefixReplay) startSession(now float64) {
	document := drawZipf(p.r, p.load.Documents, p.load.Exponent)
	if p.r.Float64() < p.load.Hot {
		document = 0
	}
	head := drawZipf(p.r, p.load.Heads, p.load.Exponent)
	session := p.r.Uint64()
	prompt := prefixPrompt{chain: cacher.NewChain("m"), tokens: model.Tokens(p.load.HeadTokens + p.load.DocumentTokens + p.load.OwnTokens)}
	if p.load.Segments {
		prompt.chain.Add(fmt.Sprint("head", head), model.Tokens(p.load.HeadTokens), true)
		prompt.chain.Add(fmt.Sprint("document", document), model.Tokens(p.load.DocumentTokens), true)
		prompt.chain.Add(fmt.Sprint("session", session), model.Tokens(p.load.OwnTokens), false)
	}
	for turn := now; ; turn += p.r.ExpFloat64() * p.load.Pause {
		prompt.entry = p.r.IntN(len(p.entries))
		sent, output := prompt, p.load.OutputTime*(0.5+p.r.Float64())
		p.t.schedule(turn, func(now float64) { p.send(sent, output, now) })
		if p.r.Float64() < 1/p.load.Turns {
			return
		}
	}
}

func (p *prefixReplay) send(prompt prefixPrompt, output, now float64) {
	entry := p.entries[prompt.entry]
	in := entry.input(p.engines, prompt, at(now))
	began := time.Now()
	k, cached := entry.policy.choose(in, prompt)
	p.out.Cost += time.Since(began)
	p.out.Choices = append(p.out.Choices, k)
	e := p.engines[k]
	expected := in.PrefillTime - in.CachedTime(cached)
	entry.open[k].Unanswered++
	entry.open[k].Backlog += expected
	server := e.server
	entry.policy.sent(prompt, server, in.Engines[k].Busy, at(now))

	uncached := e.read(prompt)
	p.saved += float64(prompt.tokens - uncached)
	p.asked += float64(prompt.tokens)
	reading := (prefixReadTime * time.Duration(uncached)).Seconds()
	e.freeAt = max(e.freeAt, now) + reading
	e.running++
	e.work += reading + output/prefixSlots
	p.first = append(p.first, e.freeAt-now)
	p.t.schedule(e.freeAt, func(head float64) {
		entry.open[k].Backlog -= expected
		entry.policy.answered(prompt, server, at(head))
	})
	p.t.schedule(e.freeAt+output, func(float64) {
		e.running--
		entry.open[k].Unanswered--
	})
}

func (p *prefixReplay) summarise() prefixOutcome {
	most, sum := 0.0, 0.0
	for _, e := range p.engines {
		most, sum = max(most, e.work), sum+e.work
	}
	p.out.Most = most
	p.out.Saved, p.out.Imbalance, p.out.First = p.saved/p.asked, most*float64(len(p.engines))/sum, quantile(p.first, 0.95)
	p.out.Cost /= time.Duration(max(len(p.out.Choices), 1))
	return p.out
}

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// drawZipf draws a number below n; the weight of k is (k+1) to the power of -exponent.
func drawZipf(r *rand.Rand, n int, exponent float64) int {
	// The inverse of the integral of the weights is close enough to their sum.
	u := r.Float64()
	if exponent == 1 {
		return min(int(math.Pow(float64(n+1), u))-1, n-1)
	}
	e := 1 - exponent
	return min(int(math.Pow(1+u*(math.Pow(float64(n+1), e)-1), 1/e))-1, n-1)
}

// prefixEntry is an entry with its policy and its open work at each engine.
type prefixEntry struct {
	policy prefixPolicy
	open   []prefixWork
	// told is what the entry said last, others the sum of what the others said.
	told, others []prefixWork
}

type prefixWork struct {
	Unanswered int
	Backlog    time.Duration
}

func newPrefixEntry(policy prefixPolicy, engines int) *prefixEntry {
	return &prefixEntry{policy: policy, open: make([]prefixWork, engines), told: make([]prefixWork, engines), others: make([]prefixWork, engines)}
}

// exchangeWork tells each entry the open work of the others.
func exchangeWork(entries []*prefixEntry) {
	sums := make([]prefixWork, len(entries[0].open))
	for _, e := range entries {
		copy(e.told, e.open)
		for k, w := range e.told {
			sums[k].Unanswered += w.Unanswered
			sums[k].Backlog += w.Backlog
		}
	}
	for _, e := range entries {
		for k, w := range e.told {
			e.others[k] = prefixWork{sums[k].Unanswered - w.Unanswered, sums[k].Backlog - w.Backlog}
		}
	}
}

func (e *prefixEntry) input(engines []*prefixEngine, p prefixPrompt, now time.Time) picker.EngineInput {
	in := picker.EngineInput{Self: model.Place{Region: "r"}, PromptTokens: p.tokens, PrefillTime: prefixReadTime * time.Duration(p.tokens), Now: now}
	for k, engine := range engines {
		in.Engines = append(in.Engines, picker.Engine{Server: engine.server, Backlog: e.open[k].Backlog + e.others[k].Backlog, Busy: e.open[k].Unanswered + e.others[k].Unanswered})
	}
	return in
}

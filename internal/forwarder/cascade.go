package forwarder

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/hasher"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxModelWaitAge is the age up to which a wait is reused. Choosing an engine for each model of each request would
	// multiply what a choice costs, and the open work of other entries counts for as long.
	maxModelWaitAge = 500 * time.Millisecond
	// maxModelWaits bounds the table of waits, which is emptied when it is full: plans have few services.
	maxModelWaits = 256
	// neverAnswers is the expected time of an answer that no engine can give. It is beyond all deadlines.
	neverAnswers = 24 * time.Hour
)

// callCascade is what the cascade decided for a call.
type callCascade struct {
	keys  chooser.CascadeKeys
	start chooser.StartChoice
	step  chooser.StepChoice
}

// MarshalZerologObject logs the inputs of the last decision.
func (c callCascade) MarshalZerologObject(e *zerolog.Event) {
	e.Bool("learned", c.start.Learned).Bool("explored", c.start.Explored).Float64("smallest", c.start.Suffices).
		Float64("loss", c.start.Loss).Float64("smallest_loss", c.start.SmallestLoss).
		Bool("trial", c.step.Trial).Float64("suffices", c.step.Suffices)
}

// newCascade returns the cascade of an entry. Its seed differs from that of other entries.
func newCascade(cfg Config) *chooser.AdaptiveCascade {
	cfg.Cascade.Seed = xxhash.Sum64String(string(cfg.Settings.Instance))
	return chooser.NewAdaptiveCascade(cfg.Cascade)
}

// chooseFirst returns the model that answers a call first. A caller's resumed stream begins as by chooser.Cascade: its
// beginning may come from another entry, which has learned other things.
func (f *Forwarder) chooseFirst(c *call, now time.Time) model.ModelID {
	models := c.route.Models
	c.cascade.keys = chooser.NewCascadeKeys(chooser.CascadeRequest{
		Route: c.route.Route, Organisation: c.org, Session: c.session, Rank: f.cascade.RankClass(c.rank),
		PromptTokens: model.Tokens(c.prompt.tokens), Models: models,
	})
	first := f.cascade.First(models)
	switch {
	case !isRetryable(c):
		// A weak answer could not be replaced by a larger model's.
		first = models[len(models)-1]
	case f.usesLearned(c, now):
		c.cascade.start = f.cascade.Start(f.cascadeInput(c, "start", now), now)
		first = c.cascade.start.Model
	}
	f.cfg.Meter.Count("starts/"+string(c.route.Route)+"/"+string(first), 1)
	if c.cascade.start.Explored {
		f.cfg.Meter.Count("explored/"+string(c.route.Route), 1)
	}
	return first
}

// CascadeBroadcasts returns what other entries may learn from this entry's answers since the last message.
func (f *Forwarder) CascadeBroadcasts(now time.Time) [][]byte { return f.cascade.Broadcasts(now) }

// OnCascadeBroadcast learns from the answers of another entry.
func (f *Forwarder) OnCascadeBroadcast(b []byte, now time.Time) { f.cascade.OnBroadcast(b, now) }

// usesLearned reports whether a call's models may be compared by what was learned.
func (f *Forwarder) usesLearned(c *call, now time.Time) bool {
	return c.service.Engine != nil && c.lastEvent == "" && f.cascade.Learned(c.cascade.keys, len(c.route.Models), now)
}

// chooseNext decides whether an answer is dropped and which model is asked instead. The choice is that of an engine for the
// largest model.
func (f *Forwarder) chooseNext(c *call, in chooser.EscalationInput, choice picker.EngineChoice, now time.Time) chooser.StepChoice {
	f.cascade.Observe(c.cascade.keys, slices.Index(c.route.Models, c.model), in.Confidence, c.rank, c.escalated, now)
	if !f.usesLearned(c, now) {
		next, why := f.cascade.Escalate(in)
		c.cascade.step = chooser.StepChoice{Next: next, Reason: why, Suffices: -1}
	} else {
		ci := f.cascadeInput(c, "step"+strconv.Itoa(c.sent), now)
		ci.RetryAllowed, ci.Utilisation, ci.Trial = in.RetryAllowed, choice.Utilisation, c.cascade.step.Trial
		last := &ci.Options[len(ci.Options)-1]
		last.Wait, last.Answer = choice.Wait, in.AnswerDuration
		c.cascade.step = f.cascade.Next(in, ci, now)
	}
	if c.cascade.step.Next != "" {
		f.cfg.Meter.Count("dropped/"+string(c.route.Route)+"/"+string(c.model), 1)
	}
	if c.cascade.step.Trial {
		f.cfg.Meter.Count("trials/"+string(c.route.Route), 1)
	}
	return c.cascade.step
}

// cascadeInput gathers what the models of a call cost now. The purpose separates the random numbers of a call.
func (f *Forwarder) cascadeInput(c *call, purpose string, now time.Time) chooser.CascadeInput {
	in := chooser.CascadeInput{
		Keys: c.cascade.keys, Rank: c.rank, Attempts: c.attemptsLeft(),
		RetryAllowed: f.retryBudget.CanRetry(c.service.Service, retryReserveRatio, now),
		TimeLeft:     f.timeLeft(c, now), Elapsed: now.Sub(c.start), LatencyTarget: c.route.LatencyTarget,
		Draw:    hasher.ToUnitInterval(string(f.cfg.Settings.Instance) + "\x00" + c.id + "\x00" + purpose),
		Options: make([]chooser.ModelOption, 0, len(c.route.Models)),
	}
	for _, m := range c.route.Models {
		wait := f.modelWait(c, m, now)
		o := chooser.ModelOption{Model: m, Cost: c.service.Engine.Costs[m], Answer: neverAnswers}
		if wait.found {
			whole, shared := f.speeds.estimatePrefill(m, c.service.Engine, c.prompt)
			o.Wait = wait.queue + whole - shared
			o.Answer = o.Wait + f.speeds.estimateAnswer(m, c.service.Engine, c.prompt.outputTokens)
		}
		in.Options = append(in.Options, o)
		in.Utilisation = wait.utilisation
	}
	return in
}

// modelWait is what prompts wait for at the engine that was chosen for a model last, apart from their own prefill.
type modelWait struct {
	at    time.Time
	found bool
	queue time.Duration
	// utilisation is that of the region's engines for models of the same size.
	utilisation float64
}

// modelWaitKey identifies the engines of a service for the smallest models or for the larger ones.
type modelWaitKey struct {
	service model.ServiceID
	larger  bool
}

// modelWaits holds the last waits. The load is the comparison of models for each request, which needs no newer waits than
// the choices of engines for other requests give.
type modelWaits struct {
	mu    sync.Mutex
	waits map[modelWaitKey]modelWait
}

func newModelWaits() *modelWaits { return &modelWaits{waits: map[modelWaitKey]modelWait{}} }

func (w *modelWaits) find(key modelWaitKey, now time.Time) (modelWait, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wait, ok := w.waits[key]
	return wait, ok && now.Sub(wait.at) < maxModelWaitAge
}

// observe records the wait from the choice of an engine for a model of a call.
func (w *modelWaits) observe(c *call, m model.ModelID, choice picker.EngineChoice, in picker.EngineInput, now time.Time) modelWait {
	prefill := in.PrefillTime
	if choice.PrefixCached {
		prefill -= in.SharedPrefillTime
	}
	wait := modelWait{at: now, found: choice.Found, queue: max(choice.Wait-prefill, 0), utilisation: choice.Utilisation}
	if len(c.route.Models) < 2 {
		return wait
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waits) >= maxModelWaits {
		clear(w.waits)
	}
	w.waits[modelWaitKeyOf(c, m)] = wait
	return wait
}

func modelWaitKeyOf(c *call, m model.ModelID) modelWaitKey {
	return modelWaitKey{service: c.service.Service, larger: m != c.route.Models[0]}
}

// modelWait returns the wait for a model, from the last choice of an engine for one of its size or, if that is too old,
// from a new one.
func (f *Forwarder) modelWait(c *call, m model.ModelID, now time.Time) modelWait {
	if wait, ok := f.modelWaits.find(modelWaitKeyOf(c, m), now); ok {
		return wait
	}
	choice, in := f.chooseEngine(c, m, f.candidates(c, now), now)
	return f.modelWaits.observe(c, m, choice, in, now)
}

// confidence returns the confidence in percent that an answer states, -1 if it states none. A text that is no percentage
// counts as none, and nothing is learned from it.
func (f *Forwarder) confidence(rep *reply) int {
	text := rep.Header.Get(f.cfg.Names.Confidence)
	if text == "" {
		return -1
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= 100) {
		f.cfg.Meter.Count("confidence/unreadable", 1)
		f.unreadableConfidence.Do(func() {
			f.cfg.Log.Warn().Str("backend", string(rep.peer.server.Backend)).Str("value", text).
				Msg("forwarder: the confidence of an answer is no percentage and counts as none; further ones are only counted")
		})
		return -1
	}
	return int(v)
}

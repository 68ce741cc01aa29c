package forwarder

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// pickBackend chooses the backend server for the next attempt, among those that may get a request by what they said of
// themselves, and counts the request there.
func (f *Forwarder) pickBackend(c *call, now time.Time) (*peer, bool) {
	candidates := f.candidates(c, now)
	for {
		s, ok := f.pickCandidate(c, candidates, now)
		if !ok {
			return nil, false
		}
		// Before the request counts at the server: a refusal must not use up its limit, or the trial after its rest.
		if c.notAdmitted = f.admit(c, now); c.notAdmitted != nil {
			return nil, false
		}
		// Another request, or an answer, may have barred the server after the choice.
		if f.cfg.Announcements.Take(s, now) {
			return f.peers.get(s, now), true
		}
	}
}

func (f *Forwarder) pickCandidate(c *call, candidates []model.BackendServer, now time.Time) (model.BackendServer, bool) {
	if c.service.Engine != nil {
		return f.pickEngine(c, candidates, now)
	}
	return f.pickPlain(c, candidates, now)
}

// refuseBarred returns the refusal of a request whose backend servers all rest, or have used up the limits that they
// named or what cold ones tolerate, or which none of them may run, or nil if there is another reason why none was chosen.
func (f *Forwarder) refuseBarred(c *call, now time.Time) *model.Refusal {
	candidates := f.candidates(c, now)
	if refusal := f.refuseIneligible(c, len(candidates)); refusal != nil {
		return refusal
	}
	wait, bar := f.earliest(candidates, now)
	if wait == 0 {
		return nil
	}
	if bar.Cold {
		f.cfg.Meter.Count("cold/refused", 1)
		return model.Refuse(model.KindOverload, "all backend servers that may run the request are cold and get as many requests as they tolerate: try again later").
			WithRetry(restRetryAfter(wait, rand.Float64()))
	}
	if bar.Resting {
		f.cfg.Meter.Count("rests/refused", 1)
		return model.Refuse(model.KindOverload, "all backend servers that may run the request asked for rest or used up their limits: try again later").
			WithRetry(restRetryAfter(wait, rand.Float64()))
	}
	f.cfg.Meter.Count("limits/refused", 1)
	return model.Refuse(model.KindOverload, "all backend servers that may run the request have named limits, which are used up: try again later").
		WithRetry(max(minRetry, time.Duration((1+rand.Float64())*float64(wait))))
}

// maxRestReturn is the time over which callers return after the earliest end of a rest.
const maxRestReturn = 500 * time.Millisecond

// restRetryAfter returns when a caller may return whose request must wait for the end of a rest; random in [0, 1) adds
// jitter, so that callers do not return together.
func restRetryAfter(wait time.Duration, random float64) time.Duration {
	return max(minRetry, wait+time.Duration(random*float64(min(wait, maxRestReturn))))
}

// earliest returns the time until the first of some backend servers may get a request, 0 if one may now or there is
// none, and what bars that one.
func (f *Forwarder) earliest(servers []model.BackendServer, now time.Time) (wait time.Duration, bar limiter.Permission) {
	for i, s := range servers {
		p := f.cfg.Announcements.Check(s, now)
		if p.Wait <= 0 {
			return 0, limiter.Permission{}
		}
		if i == 0 || p.Wait < wait {
			wait, bar = p.Wait, p
		}
	}
	return wait, bar
}

// retryAfterTurnedAway returns when a caller may return whose request a backend server turned away. The rest that the
// server asked for is its own: others may be free.
func (f *Forwarder) retryAfterTurnedAway(c *call, fail *failure, now time.Time) time.Duration {
	if !fail.resting {
		return max(fail.retry, minRetry)
	}
	wait, _ := f.earliest(f.eligible(c, now), now)
	return restRetryAfter(wait, rand.Float64())
}

// candidates returns the backend servers that are eligible for the next attempt.
func (f *Forwarder) candidates(c *call, now time.Time) []model.BackendServer {
	return slices.DeleteFunc(f.eligible(c, now), func(s model.BackendServer) bool { return c.tried[s.Backend] })
}

func (f *Forwarder) pickPlain(c *call, servers []model.BackendServer, now time.Time) (model.BackendServer, bool) {
	in := picker.DirectInput{Self: f.cfg.Settings.Place, Draw: rand.Float64(), Excluded: map[model.BackendID]bool{}, Barred: map[model.BackendID]bool{}}
	for _, s := range servers {
		if !f.cfg.Announcements.Check(s, now).Allowed() {
			in.Barred[s.Backend] = true
			continue
		}
		b, excluded := f.peers.get(s, now).asBackend(s, f.remoteWork(s.Backend, now), now)
		b.RoundTrip = f.distances.roundTrip(s.Place, now)
		in.Excluded[s.Backend] = excluded
		in.Backends = append(in.Backends, b)
	}
	if allExcluded(in.Excluded) {
		clear(in.Excluded)
	}
	choice := decidePlain(c, in)
	if !choice.Found {
		return model.BackendServer{}, false
	}
	c.prefillTime, c.inFlight, c.expected = 0, choice.Busy, c.route.LatencyTarget
	c.crowding = f.plainCrowding(choice, in, now)
	f.cfg.Log.Info().Str("request", c.id).Str("backend", string(choice.Server.Backend)).Str("version", string(choice.Server.Version)).
		Float64("load", choice.Load).Int("open", choice.Eligible).Int("sent", c.sent).Msg("forwarder: placed")
	return choice.Server, true
}

// decidePlain picks one of the backend servers of a plain service.
func decidePlain(c *call, in picker.DirectInput) picker.DirectChoice {
	if turn, on := c.versions.Concentrate(); on {
		return picker.Concentrated{Turn: turn}.Decide(in)
	}
	return picker.LeastLoaded{}.Decide(in)
}

// chooseEngine chooses the engine for the call's prompt if model m answers.
func (f *Forwarder) chooseEngine(c *call, m model.ModelID, servers []model.BackendServer, now time.Time) (picker.EngineChoice, picker.EngineInput) {
	in := picker.EngineInput{Self: f.cfg.Settings.Place, PromptTokens: model.Tokens(c.prompt.tokens), Excluded: map[model.BackendID]bool{}, Barred: map[model.BackendID]bool{}, Now: now}
	in.PrefillTime = f.speeds.estimatePrefill(m, c.service.Engine, c.prompt)
	in.Tokens, in.KVCapacity = c.heldTokens(), c.service.Engine.KVCapacity
	if len(c.route.Models) > 1 {
		in.SmallestModel = m == c.route.Models[0]
		in.LargerModel = !in.SmallestModel
	}
	for _, s := range servers {
		e, excluded := f.peers.get(s, now).asEngine(s, f.remoteWork(s.Backend, now), now)
		e.RoundTrip = f.distances.roundTrip(s.Place, now)
		permission := f.cfg.Announcements.Check(s, now)
		e.Limited = permission.Limited
		if !permission.Allowed() {
			in.Barred[s.Backend] = true
		} else {
			in.Excluded[s.Backend] = excluded
		}
		in.Engines = append(in.Engines, e)
	}
	picker.DescribePrefixes(&in, f.cacher, c.chain(m))
	if allExcluded(in.Excluded) {
		clear(in.Excluded)
	}
	return picker.EarliestFirstToken{}.Decide(in), in
}

func (f *Forwarder) pickEngine(c *call, servers []model.BackendServer, now time.Time) (model.BackendServer, bool) {
	choice, in := f.chooseEngine(c, c.model, servers, now)
	f.modelWaits.observe(c, c.model, choice, in, now)
	if !choice.Found {
		return model.BackendServer{}, false
	}
	c.prefillTime = in.PrefillTime - in.CachedTime(choice.CachedTokens)
	c.uncachedTokens = max(c.prompt.tokens-int(choice.CachedTokens), 0)
	c.inFlight = choice.Busy
	c.crowding = f.engineCrowding(choice, in, now)
	c.expected = choice.Wait + f.speeds.estimateAnswer(c.model, c.service.Engine, c.prompt.outputTokens)
	c.uncontended = choice.Wait-c.prefillTime < uncontendedWait
	f.cfg.Log.Info().Str("request", c.id).Str("backend", string(choice.Server.Backend)).Str("version", string(choice.Server.Version)).
		Str("model", string(c.model)).Str("session", c.session).Dur("wait", choice.Wait).Dur("read", c.prefillTime).Int("kept", int(choice.CachedTokens)).
		Int("busy", choice.Busy).Float64("fill", choice.Utilisation).Int("tokens", c.prompt.tokens).Int("open", choice.Eligible).Int("sent", c.sent).
		Msg("forwarder: placed")
	return choice.Server, true
}

// remoteWork returns the open work of other entries at a backend server.
func (f *Forwarder) remoteWork(b model.BackendID, now time.Time) gossiper.OpenWork {
	if f.cfg.RemoteWork == nil {
		return gossiper.OpenWork{}
	}
	return f.cfg.RemoteWork(b, now)
}

// uncontendedWait is the wait below which a prompt is assumed not to queue for prefill.
const uncontendedWait = 100 * time.Millisecond

// allExcluded reports whether the breakers of all backend servers are open. All may then be tried, since
// any of them may recover first.
func allExcluded(excluded map[model.BackendID]bool) bool {
	for _, out := range excluded {
		if !out {
			return false
		}
	}
	return true
}

package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/gossiper"
	"github.com/bramleyhinge/bramleyhinge/internal/picker"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// pick chooses the backend server of the next attempt.
func (f *Forwarder) pick(c *call, now time.Time) (*peer, bool) {
	open := f.open(c, now)
	if c.service.Engine != nil {
		return f.pickEngine(c, open, now)
	}
	return f.pickPlain(c, open, now)
}

// open returns the backend servers that may get the call's next attempt.
func (f *Forwarder) open(c *call, now time.Time) []model.BackendServer {
	servers := f.cfg.Platform.Servers(c.service.Service, now)
	versions := f.cfg.Versions.Choose(VersionRequest{Service: c.service.Service, Session: c.session, Request: c.id, Servers: servers}, now)
	open := make([]model.BackendServer, 0, len(servers))
	for _, s := range servers {
		if versions.Allows(s.Version) && !c.tried[s.Backend] && s.State == model.BackendReady {
			open = append(open, s)
		}
	}
	return open
}

func (f *Forwarder) pickPlain(c *call, servers []model.BackendServer, now time.Time) (*peer, bool) {
	in := picker.DirectInput{Self: f.cfg.Settings.Place, Draw: rand.Float64(), Excluded: map[model.BackendID]bool{}}
	for _, s := range servers {
		b, cut := f.peers.get(s, now).view(s, f.others(s.Backend, now), now)
		in.Excluded[s.Backend] = cut
		in.Backends = append(in.Backends, b)
	}
	if allCut(in.Excluded) {
		clear(in.Excluded)
	}
	choice := picker.LeastLoaded{}.Decide(in)
	if !choice.Found {
		return nil, false
	}
	c.read, c.busy = 0, choice.Busy
	f.cfg.Log.Info().Str("request", c.id).Str("backend", string(choice.Server.Backend)).Str("version", string(choice.Server.Version)).
		Float64("load", choice.Load).Int("open", choice.Eligible).Int("sent", c.sent).Msg("forwarder: placed")
	return f.peers.get(choice.Server, now), true
}

// weighEngines returns the engine that the call's prompt should go to with a model.
func (f *Forwarder) weighEngines(c *call, m model.ModelID, servers []model.BackendServer, now time.Time) (picker.EngineChoice, picker.EngineInput) {
	in := picker.EngineInput{Self: f.cfg.Settings.Place, PrefixKey: c.memory(m), Excluded: map[model.BackendID]bool{}}
	in.PrefillTime, in.SharedPrefillTime = f.speeds.times(m, c.service.Engine, c.prompt)
	if len(c.route.Models) > 1 {
		in.SmallestModel = m == c.route.Models[0]
		in.LargerModel = !in.SmallestModel
	}
	for _, s := range servers {
		e, cut := f.peers.get(s, now).engine(s, in.PrefixKey, f.others(s.Backend, now), now)
		in.Excluded[s.Backend] = cut
		in.Engines = append(in.Engines, e)
	}
	if allCut(in.Excluded) {
		clear(in.Excluded)
	}
	return picker.EarliestFirstToken{}.Decide(in), in
}

func (f *Forwarder) pickEngine(c *call, servers []model.BackendServer, now time.Time) (*peer, bool) {
	choice, in := f.weighEngines(c, c.model, servers, now)
	if !choice.Found {
		return nil, false
	}
	c.read, c.unread = in.PrefillTime, c.prompt.tokens
	if choice.PrefixCached {
		c.read, c.unread = in.PrefillTime-in.SharedPrefillTime, c.prompt.tokens-c.prompt.sharedTokens
	}
	c.busy = choice.Busy
	c.alone = choice.Wait-c.read < aloneWait
	f.cfg.Log.Info().Str("request", c.id).Str("backend", string(choice.Server.Backend)).Str("version", string(choice.Server.Version)).
		Str("model", string(c.model)).Str("session", c.session).Dur("wait", choice.Wait).Dur("read", c.read).Bool("kept", choice.PrefixCached).
		Int("busy", choice.Busy).Float64("fill", choice.Utilisation).Int("tokens", c.prompt.tokens).Int("open", choice.Eligible).Int("sent", c.sent).
		Msg("forwarder: placed")
	return f.peers.get(choice.Server, now), true
}

// others returns what other entries have open at a backend server.
func (f *Forwarder) others(b model.BackendID, now time.Time) gossiper.OpenWork {
	if f.cfg.RemoteWork == nil {
		return gossiper.OpenWork{}
	}
	return f.cfg.RemoteWork(b, now)
}

// aloneWait is the wait under which a prompt is taken to be read at once.
const aloneWait = 100 * time.Millisecond

// allCut reports whether breakers keep all backend servers out; then any may be the first to
// be back.
func allCut(excluded map[model.BackendID]bool) bool {
	for _, cut := range excluded {
		if !cut {
			return false
		}
	}
	return true
}

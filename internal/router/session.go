package router

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/signer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// newSession asks for a session token in the answer.
const newSession = "new"

// pinSession finds the version that a session is pinned to. A token carries it; a bare
// session id has it in the ledger.
func (e *Entry) pinSession(c *call, now time.Time) *model.Refusal {
	switch {
	case c.session == "":
		return nil
	case c.session == newSession:
		c.sessionID = model.SessionID(ulid.Make().String())
		return nil
	case signer.IsToken(c.session):
		return e.pinToken(c, now)
	}
	c.sessionID = model.SessionID(c.session)
	if v, ok := e.pins.get(recorder.PinKey(c.service, c.org().Organisation, c.sessionID), now); ok {
		c.pinned = v
	}
	return nil
}

func (e *Entry) pinToken(c *call, now time.Time) *model.Refusal {
	t, err := e.cfg.Signer.Verify(c.ctx, c.session, c.org().Organisation, c.service, now)
	if err != nil {
		var refusal *model.Refusal
		if errors.As(err, &refusal) {
			return refusal
		}
		return model.Refuse(model.KindBadSession, "the session token is not genuine: start a new session")
	}
	c.sessionID, c.pinned, c.hint = t.Session, t.Version, t.Agent
	return nil
}

// isBare reports whether the caller named the session itself and carries no token.
func (c *call) isBare() bool {
	return c.sessionID != "" && c.session != newSession && !signer.IsToken(c.session)
}

// keepPin records the version of a bare session before its first answer. The first record
// wins, so two entries at once agree. A session that its document moves to another version
// gets a pin of its own for that version.
func (e *Entry) keepPin(c *call, d *chooser.Decision) *model.Refusal {
	if !c.isBare() || c.pinned == d.Version {
		return nil
	}
	key := recorder.PinKey(c.service, c.org().Organisation, c.sessionID)
	if c.pinned != "" {
		key += model.RecordKey("/after/" + string(c.pinned))
	}
	o, err := e.cfg.Records.Commit(c.ctx, model.Record{Kind: model.RecordPin, Key: key, Request: c.id, Pin: &model.Pin{Version: d.Version}})
	if err != nil {
		c.note(explainer.Step{What: "pin failed", Why: err.Error()})
		return model.Refuse(model.KindUnavailable, "the session cannot be recorded now: try again, or carry a session token").WithRetry(2 * time.Second)
	}
	if o.Record.Pin == nil {
		return model.Refuse(model.KindInternal, "the ledger keeps no version for the session: start a new session")
	}
	pinned := o.Record.Pin.Version
	e.pins.put(key, pinned, time.Now().Add(c.doc().Session.TTL))
	if pinned == d.Version {
		c.pinned = pinned
		return nil
	}
	return e.followPin(c, d, pinned)
}

// followPin takes the version that another request of the session recorded first.
func (e *Entry) followPin(c *call, d *chooser.Decision, v model.VersionID) *model.Refusal {
	c.pinned = v
	next, _ := e.decide(c, time.Now())
	if next.Refusal != nil {
		return next.Refusal
	}
	*d = next
	return e.keepPin(c, d)
}

// token returns a fresh session token for the answer, or "" if the caller asked for none.
func (e *Entry) token(c *call, v model.VersionID) string {
	if c.sessionID == "" || v == "" || c.isBare() {
		return ""
	}
	expires := time.Now().Add(c.doc().Session.TTL).Unix()
	t, err := e.cfg.Signer.Sign(signer.Token{
		Organisation: c.org().Organisation, Service: c.service, Version: v, Session: c.sessionID, Expires: expires, Agent: c.served,
	})
	if err != nil {
		e.cfg.Log.Warn().Err(err).Str("request", string(c.id)).Msg("session: no token could be signed")
		return ""
	}
	return t
}

const (
	pinShards    = 16
	maxCachedPin = 4096
)

// pinCache remembers pins of bare sessions, which never change once recorded.
type pinCache struct {
	shards [pinShards]struct {
		mu   sync.Mutex
		pins map[model.RecordKey]cachedPin
	}
}

type cachedPin struct {
	version model.VersionID
	until   time.Time
}

func pinShard(key model.RecordKey) int { return int(xxhash.Sum64String(string(key)) % pinShards) }

func newPinCache() *pinCache {
	p := &pinCache{}
	for i := range p.shards {
		p.shards[i].pins = map[model.RecordKey]cachedPin{}
	}
	return p
}

func (p *pinCache) get(key model.RecordKey, now time.Time) (model.VersionID, bool) {
	s := &p.shards[pinShard(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	pin, ok := s.pins[key]
	return pin.version, ok && now.Before(pin.until)
}

// put stores a pin; a full shard forgets all of its pins, which the ledger still has.
func (p *pinCache) put(key model.RecordKey, v model.VersionID, until time.Time) {
	s := &p.shards[pinShard(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pins) >= maxCachedPin {
		clear(s.pins)
	}
	s.pins[key] = cachedPin{v, until}
}

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

// newSessionValue in the session header asks for a new session, whose token the answer carries.
const newSessionValue = "new"

// resolveSession finds the version that the session is pinned to: a token carries it; for a bare
// session id the ledger keeps it, and the entry caches it.
func (e *Entry) resolveSession(c *call, now time.Time) *model.Refusal {
	switch {
	case c.session == "":
		return nil
	case c.session == newSessionValue:
		c.sessionID = model.SessionID(ulid.Make().String())
		return nil
	case signer.IsToken(c.session):
		return e.resolveToken(c, now)
	}
	c.sessionID = model.SessionID(c.session)
	if v, ok := e.pins.get(recorder.PinKey(c.service, c.org().Organisation, c.sessionID), now); ok {
		c.pinned = v
	}
	return nil
}

func (e *Entry) resolveToken(c *call, now time.Time) *model.Refusal {
	t, err := e.cfg.Signer.Verify(c.ctx, c.session, c.org().Organisation, c.service, now)
	if err != nil {
		var refusal *model.Refusal
		if errors.As(err, &refusal) {
			return refusal
		}
		return model.Refuse(model.KindBadSession, "the session token is not genuine: start a new session")
	}
	c.sessionID, c.pinned, c.preferredAgent = t.Session, t.Version, t.Agent
	return nil
}

// hasBareSession reports whether the caller sent a session id of its own instead of a token.
func (c *call) hasBareSession() bool {
	return c.sessionID != "" && c.session != newSessionValue && !signer.IsToken(c.session)
}

// recordPin records the version of a bare session in the ledger before its first answer. The
// first record wins, so two entries that record at the same time agree. A session that the
// document moves to another version gets a separate pin for that version.
func (e *Entry) recordPin(c *call, d *chooser.Decision) *model.Refusal {
	if !c.hasBareSession() || c.pinned == d.Version {
		return nil
	}
	key := recorder.PinKey(c.service, c.org().Organisation, c.sessionID)
	if c.pinned != "" {
		key += model.RecordKey("/after/" + string(c.pinned))
	}
	o, err := e.cfg.Records.Commit(c.ctx, model.Record{Kind: model.RecordPin, Key: key, Request: c.id, Pin: &model.Pin{Version: d.Version}})
	if err != nil {
		c.explain(explainer.Step{Decision: "pin failed", Reason: err.Error()})
		return model.Refuse(model.KindPlatformUnavailable, "the session cannot be recorded now: try again, or carry a session token").WithRetry(2 * time.Second)
	}
	if o.Record.Pin == nil {
		return model.Refuse(model.KindInternal, "the ledger keeps no version for the session: start a new session")
	}
	pinned := o.Record.Pin.Version
	e.pins.put(key, pinned, time.Now().Add(c.document().Session.TTL))
	if pinned == d.Version {
		c.pinned = pinned
		return nil
	}
	return e.adoptPin(c, d, pinned)
}

// adoptPin switches to the version that another request of the session recorded first.
func (e *Entry) adoptPin(c *call, d *chooser.Decision, v model.VersionID) *model.Refusal {
	c.pinned = v
	next, _ := e.chooseVersion(c, time.Now())
	if next.Refusal != nil {
		return next.Refusal
	}
	*d = next
	return e.recordPin(c, d)
}

// sessionToken returns a new session token for the answer, or "" if the caller asked for none.
func (e *Entry) sessionToken(c *call, v model.VersionID) string {
	if c.sessionID == "" || v == "" || c.hasBareSession() {
		return ""
	}
	expires := time.Now().Add(c.document().Session.TTL).Unix()
	t, err := e.cfg.Signer.Sign(signer.Token{
		Organisation: c.org().Organisation, Service: c.service, Version: v, Session: c.sessionID, Expires: expires, Agent: c.lastAgent,
	})
	if err != nil {
		e.cfg.Log.Warn().Err(err).Str("request", string(c.id)).Msg("session: signing the session token failed")
		return ""
	}
	return t
}

const (
	pinShardCount   = 16
	maxPinsPerShard = 4096
)

// pinCache caches the pins of bare sessions, which never change once recorded.
type pinCache struct {
	shards [pinShardCount]struct {
		mu   sync.Mutex
		pins map[model.RecordKey]cachedPin
	}
}

type cachedPin struct {
	version model.VersionID
	expires time.Time
}

func pinShardIndex(key model.RecordKey) int {
	return int(xxhash.Sum64String(string(key)) % pinShardCount)
}

func newPinCache() *pinCache {
	p := &pinCache{}
	for i := range p.shards {
		p.shards[i].pins = map[model.RecordKey]cachedPin{}
	}
	return p
}

func (p *pinCache) get(key model.RecordKey, now time.Time) (model.VersionID, bool) {
	s := &p.shards[pinShardIndex(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	pin, ok := s.pins[key]
	return pin.version, ok && now.Before(pin.expires)
}

// put stores a pin. It clears a full shard first; the ledger still has those pins.
func (p *pinCache) put(key model.RecordKey, v model.VersionID, expires time.Time) {
	s := &p.shards[pinShardIndex(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pins) >= maxPinsPerShard {
		clear(s.pins)
	}
	s.pins[key] = cachedPin{v, expires}
}

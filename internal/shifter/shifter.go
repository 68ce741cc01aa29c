// Package shifter moves a service's requests from one version to another by a roll-out order.
//
// Entries do not talk to each other: the stage of a roll-out is an object in the store that
// the first entry whose time has come moves on by a conditional write.
package shifter

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/forwarder"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// tick is how often stages are looked at.
	tick = 100 * time.Millisecond
	// writePause spaces an entry's writes for one roll-out while the store refuses them.
	writePause = 500 * time.Millisecond
)

// Belief is what a Shifter must know of the platform.
type Belief interface {
	Order(s model.ServiceID) (model.RolloutOrder, bool)
	Orders() []model.RolloutOrder
	Mark(key string) (storer.Object, bool)
	Servers(s model.ServiceID, now time.Time) []model.BackendServer
}

// Store is the part of the store that a Shifter writes to.
type Store interface {
	storer.Reporter
	Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error)
}

// Config configures a Shifter.
type Config struct {
	Self  model.InstanceID
	State Belief
	Store Store
	// SharedKind is the kind of object that holds the stages.
	SharedKind string
	// OrderKey and EncodeStatus speak to the store about an order.
	OrderKey     func(model.ServiceID) string
	EncodeStatus func(model.RolloutStatus, model.VersionID) ([]byte, error)
	// Exposure is the part of a service's requests that a bad version may get in an order's time.
	Exposure float64
	Log      zerolog.Logger
}

// Shifter decides which version of a service gets a request.
type Shifter struct {
	cfg Config

	mu    sync.Mutex
	rolls map[model.ServiceID]*roll
	// versions tells when each version of a service was first seen.
	versions map[model.ServiceID]map[model.VersionID]time.Time
}

// roll is one roll-out as this entry sees it.
type roll struct {
	order model.RolloutOrder
	// base is the version that served before.
	base     model.VersionID
	schedule schedule
	stage    stage
	// marked is the revision of the stored stage that was read last.
	marked model.Revision
	// since is when the stage was first seen, elapsed the part of the order's time that was over then.
	since   time.Time
	elapsed time.Duration
	judge   *judge
	bad     bool
	reason  string
	// news is the evidence that the other entries were not told yet.
	news evidence
	// next is the earliest time of the next write.
	next time.Time
	// busy is set while a write is under way.
	busy bool
}

// mark is the stored stage of a roll-out.
type mark struct {
	// Order is the revision at which the order was written, which tells orders apart.
	Order   model.Revision  `json:"order"`
	Version model.VersionID `json:"version"`
	Stage   stage           `json:"stage"`
	// Elapsed is the part of the order's time that was over at the stage's begin, for entries that did
	// not see the order come.
	Elapsed time.Duration `json:"elapsed"`
}

// New returns a shifter.
func New(cfg Config) *Shifter {
	return &Shifter{cfg: cfg, rolls: map[model.ServiceID]*roll{}, versions: map[model.ServiceID]map[model.VersionID]time.Time{}}
}

// same reports whether two orders ask for the same move.
func same(a, b model.RolloutOrder) bool { return a.Created == b.Created && a.Version == b.Version }

// roll returns the service's roll-out, if there is one.
func (s *Shifter) roll(service model.ServiceID, now time.Time) *roll {
	o, ok := s.cfg.State.Order(service)
	if !ok {
		delete(s.rolls, service)
		return nil
	}
	if o.Within <= 0 {
		o.Within = defaultWithin
	}
	r := s.rolls[service]
	if r == nil || !same(r.order, o) {
		r = &roll{since: now, judge: newJudge(), schedule: scheduleOf(o.Within, s.cfg.Exposure)}
		s.rolls[service] = r
		m, _, _ := s.mark(o)
		r.base = baseOf(baseInput{order: o, servers: s.cfg.State.Servers(service, now), last: m.Version, stage: m.Stage})
		s.cfg.Log.Info().Str("service", string(service)).Str("version", string(o.Version)).Str("base", string(r.base)).Msg("shifter: roll-out begins")
	}
	r.order = o
	if stored, ok := s.cfg.State.Mark(s.markKey(service)); !ok || stored.Revision == r.marked {
		return r
	}
	m, revision, ok := s.mark(o)
	r.marked = revision
	if ok && m.Stage > r.stage && m.Stage <= stageAll {
		r.stage, r.elapsed, r.since = m.Stage, max(m.Elapsed, r.over(now)), now
		s.cfg.Log.Info().Str("service", string(service)).Str("version", string(o.Version)).Int("stage", int(r.stage)).
			Float64("share", r.schedule.share(r.stage, true)).Dur("elapsed", r.elapsed).Msg("shifter: stage")
	}
	return r
}

// over returns the part of the order's time that is over.
func (r *roll) over(now time.Time) time.Duration { return r.elapsed + now.Sub(r.since) }

func (s *Shifter) markKey(service model.ServiceID) string {
	return s.cfg.SharedKind + "/shift." + string(service)
}

// mark returns the stored stage of an order and its revision.
func (s *Shifter) mark(o model.RolloutOrder) (mark, model.Revision, bool) {
	stored, ok := s.cfg.State.Mark(s.markKey(o.Service))
	if !ok {
		return mark{}, 0, false
	}
	var m mark
	if err := json.Unmarshal(stored.Value, &m); err != nil {
		s.cfg.Log.Error().Err(err).Str("service", string(o.Service)).Msg("shifter: stored stage cannot be read and is replaced")
		return mark{}, stored.Revision, false
	}
	return m, stored.Revision, m.Order == o.Created && m.Version == o.Version
}

// Choose returns the versions that may get a request.
func (s *Shifter) Choose(ask forwarder.VersionRequest, now time.Time) forwarder.VersionChoice {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.roll(ask.Service, now)
	first := s.firstSeen(ask.Service, ask.Servers, now)
	if r == nil {
		return chooseUnordered(ask.Servers, first, now)
	}
	return choose(chooseInput{order: r.order, base: r.base, schedule: r.schedule, stage: r.stage, bad: r.bad, ask: ask})
}

// firstSeen notes new versions; those that were there when a service was first asked for have no time.
func (s *Shifter) firstSeen(service model.ServiceID, servers []model.BackendServer, now time.Time) map[model.VersionID]time.Time {
	known := s.versions[service]
	if known == nil && len(servers) > 0 {
		known, now = map[model.VersionID]time.Time{}, time.Time{}
		s.versions[service] = known
	}
	for _, b := range servers {
		if _, ok := known[b.Version]; !ok {
			known[b.Version] = now
		}
	}
	return known
}

// Observe takes an outcome of a version.
func (s *Shifter) Observe(o forwarder.Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rolls[o.Service]
	if r == nil || r.bad {
		return
	}
	if o.Version != r.order.Version {
		r.judge.control(o)
		return
	}
	e := r.judge.weigh(o, r.stage < stageAll)
	r.news.add(e)
	s.weigh(r, e, now)
}

// weigh takes evidence on a roll-out's version; the lock is held.
func (s *Shifter) weigh(r *roll, e evidence, now time.Time) {
	v := r.judge.observe(e)
	if !v.Bad || r.bad || r.order.Reported == r.order.Version && r.order.State == model.RolloutCompleted {
		return
	}
	r.bad, r.reason, r.next = true, v.Reason, now
	s.cfg.Log.Warn().Str("service", string(r.order.Service)).Str("version", string(r.order.Version)).Str("reason", v.Reason).Float64("level", v.Level).
		Int("seen", r.judge.guard.Seen()).Int("stage", int(r.stage)).Msg("shifter: the version is bad and gets nothing more")
}

// news is the evidence on a roll-out's version that one entry tells the others. Each entry alone
// sees too little of a version that gets few requests.
type news struct {
	Service model.ServiceID `json:"service"`
	Version model.VersionID `json:"version"`
	Order   model.Revision  `json:"order"`
	evidence
}

// Broadcasts returns the evidence that was not told yet.
func (s *Shifter) Broadcasts() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]byte
	for service, r := range s.rolls {
		if r.news.Tally.Requests+r.news.Pace.Requests == 0 || r.stage >= stageAll && r.news.Tally.Failures == 0 {
			// At full share each entry sees enough; only failures are worth a message.
			continue
		}
		b, err := json.Marshal(news{Service: service, Version: r.order.Version, Order: r.order.Created, evidence: r.news})
		r.news = evidence{}
		if err != nil {
			s.cfg.Log.Error().Err(err).Str("service", string(service)).Msg("shifter: evidence cannot be encoded and is not told")
			continue
		}
		out = append(out, b)
	}
	return out
}

// OnBroadcast takes evidence of another entry.
func (s *Shifter) OnBroadcast(b []byte, now time.Time) {
	var n news
	if err := json.Unmarshal(b, &n); err != nil {
		s.cfg.Log.Debug().Err(err).Msg("shifter: evidence of another entry cannot be read")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rolls[n.Service]; r != nil && r.order.Version == n.Version && r.order.Created == n.Order {
		s.weigh(r, n.evidence, now)
	}
}

// Run moves roll-outs on until the context ends.
func (s *Shifter) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, o := range s.cfg.State.Orders() {
				s.advance(ctx, o.Service, now)
			}
		}
	}
}

// deed is what an entry writes for a roll-out.
type deed string

// Deeds.
const (
	deedNone     deed = ""
	deedBegin    deed = "begin"
	deedStage    deed = "stage"
	deedComplete deed = "complete"
	deedRevert   deed = "revert"
)

// due returns what is to be written for a roll-out at a time.
func due(r *roll, self model.InstanceID, now time.Time) deed {
	done := r.order.Reported == r.order.Version
	if done && (r.order.State == model.RolloutCompleted || r.order.State == model.RolloutReverted) || r.busy || now.Before(r.next) {
		return deedNone
	}
	if r.bad {
		return deedRevert
	}
	wait := turn(self, r.stage, r.order.Within)
	switch {
	case now.Sub(r.since) < wait:
		return deedNone
	case !done || r.order.State != model.RolloutRunning:
		return deedBegin
	case r.over(now) < r.schedule.next(r.stage)+wait:
		return deedNone
	case r.stage < stageAll:
		return deedStage
	case r.elapsed > r.order.Within-2*tick && now.Sub(r.since) < leastDrain:
		return deedNone
	}
	return deedComplete
}

func (s *Shifter) advance(ctx context.Context, service model.ServiceID, now time.Time) {
	s.mu.Lock()
	r := s.roll(service, now)
	if r == nil {
		s.mu.Unlock()
		return
	}
	d := due(r, s.cfg.Self, now)
	if d == deedNone {
		s.mu.Unlock()
		return
	}
	r.busy, r.next = true, now.Add(writePause)
	order, reason := r.order, r.reason
	next := mark{Order: order.Created, Version: order.Version, Stage: r.stage + 1, Elapsed: r.over(now)}
	s.mu.Unlock()
	go func() {
		err := s.write(ctx, d, order, next)
		s.mu.Lock()
		r.busy = false
		s.mu.Unlock()
		log := s.cfg.Log.Info()
		if err != nil {
			log = s.cfg.Log.Warn().Err(err)
		}
		log.Str("service", string(service)).Str("version", string(order.Version)).Str("deed", string(d)).Int("stage", int(next.Stage-1)).
			Int64("revision", int64(order.Revision)).Str("reason", reason).Msg("shifter: wrote")
	}()
}

func (s *Shifter) write(ctx context.Context, d deed, o model.RolloutOrder, next mark) error {
	if d == deedStage {
		_, expect, _ := s.mark(o)
		b, err := json.Marshal(next)
		if err != nil {
			return fmt.Errorf("encode the stage of %s: %w", o.Service, err)
		}
		_, err = s.cfg.Store.Put(ctx, s.markKey(o.Service), b, expect)
		return err
	}
	state := map[deed]model.RolloutStatus{
		deedBegin: model.RolloutRunning, deedComplete: model.RolloutCompleted, deedRevert: model.RolloutReverted,
	}[d]
	b, err := s.cfg.EncodeStatus(state, o.Version)
	if err != nil {
		return err
	}
	_, err = s.cfg.Store.Report(ctx, s.cfg.OrderKey(o.Service), b, o.Revision)
	return err
}

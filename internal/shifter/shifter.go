// Package shifter moves a service's requests from one version to another as a roll-out order demands.
//
// The stage of a roll-out is an object in the store. When the next stage is due, the first entry
// whose delay has passed advances the stage by a conditional write.
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
	// checkInterval is the time between checks for due stages.
	checkInterval = 100 * time.Millisecond
	// writeRetryPause is the time between an entry's writes for one roll-out while the store refuses them.
	writeRetryPause = 500 * time.Millisecond
	// maxElapsed bounds the time after which a stored stage can begin.
	maxElapsed = 365 * 24 * time.Hour
)

// PlatformState is the entry's local copy of the platform's state, as far as a Shifter reads it.
type PlatformState interface {
	Order(s model.ServiceID) (model.RolloutOrder, bool)
	Orders() []model.RolloutOrder
	SharedObject(key string) (storer.Object, bool)
	Servers(s model.ServiceID, now time.Time) []model.BackendServer
}

// Store is the part of the store that a Shifter writes to.
type Store interface {
	storer.Reporter
	Put(ctx context.Context, key string, value []byte, expect model.Revision) (model.Revision, error)
}

// Config configures a Shifter.
type Config struct {
	Self          model.InstanceID
	PlatformState PlatformState
	Store         Store
	// SharedKind is the kind of the stored objects that hold the stages.
	SharedKind string
	// OrderKey returns the key of a service's order, and EncodeStatus the stored form of its status.
	OrderKey     func(model.ServiceID) string
	EncodeStatus func(model.RolloutStatus, model.VersionID) ([]byte, error)
	// Exposure is the largest part of a service's requests, within an order's duration, that a bad version
	// may get.
	Exposure float64
	// Members returns the number of other entries that get the evidence of this one; nil if there are none.
	Members func() int
	Log     zerolog.Logger
}

// Shifter decides which version of a service gets a request.
type Shifter struct {
	cfg Config

	mu sync.Mutex
	// exposure is the bound for roll-outs that begin from now on.
	exposure float64
	rollouts map[model.ServiceID]*rollout
	// firstSeen holds when each version of a service was first seen.
	firstSeen map[model.ServiceID]map[model.VersionID]time.Time
}

// rollout is this entry's state of one roll-out.
type rollout struct {
	order model.RolloutOrder
	// previous is the version that served before.
	previous model.VersionID
	schedule schedule
	stage    stage
	// stageRevision is the revision of the stored stage that was read last, and storedStage that stage. It is behind
	// the stage only if the store has lost it.
	stageRevision model.Revision
	storedStage   stage
	// decided is the result that was reported for the order; a store that came back from a copy may lack it.
	decided model.RolloutStatus
	// stageSeen is when the stage was first seen, elapsed the time since the order at that moment.
	stageSeen time.Time
	elapsed   time.Duration
	evaluator *evaluator
	bad       bool
	reason    string
	// report is the evidence that was not yet sent to the other entries, and reported when they were sent some.
	report   evidence
	reported time.Time
	// uncleared is set while too little was seen of the version, which gets all requests, to complete it.
	uncleared bool
	// next is the earliest time of the next write.
	next time.Time
	// busy is set while a write is in progress.
	busy bool
}

// storedStage is the stage of a roll-out as it is stored.
type storedStage struct {
	// Order is the revision at which the order was written; it distinguishes orders of one version.
	Order   model.Revision  `json:"order"`
	Version model.VersionID `json:"version"`
	Stage   stage           `json:"stage"`
	// Elapsed is the time from the order to the start of the stage, for entries that did not see the order
	// arrive.
	Elapsed time.Duration `json:"elapsed"`
}

// New returns a shifter.
func New(cfg Config) *Shifter {
	return &Shifter{
		cfg: cfg, exposure: cfg.Exposure, rollouts: map[model.ServiceID]*rollout{}, firstSeen: map[model.ServiceID]map[model.VersionID]time.Time{},
	}
}

// SetExposure changes the exposure bound for roll-outs that begin later.
func (s *Shifter) SetExposure(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exposure = share
}

// sameOrder reports whether a and b are the same order for the same version.
func sameOrder(a, b model.RolloutOrder) bool { return a.Created == b.Created && a.Version == b.Version }

// isRestored reports whether next is the known order as a store that came back from a copy has it, or as the operator
// wrote it there again. Its revisions tell nothing about that, since they are given out again.
func isRestored(known, next model.RolloutOrder) bool {
	return known.Version == next.Version && next.Created.Era() > known.Created.Era()
}

// rollout returns the service's roll-out, updated from its order and its stored stage, or nil if there
// is none; the lock is held.
func (s *Shifter) rollout(service model.ServiceID, now time.Time) *rollout {
	o, ok := s.cfg.PlatformState.Order(service)
	if !ok {
		delete(s.rollouts, service)
		return nil
	}
	if o.Duration <= 0 {
		o.Duration = defaultDuration
	}
	r := s.rollouts[service]
	if r != nil && isRestored(r.order, o) {
		r.stageRevision, r.storedStage, r.next = 0, 0, now.Add(restateDelay(s.cfg.Self))
		s.cfg.Log.Info().Str("service", string(service)).Str("version", string(o.Version)).Int("stage", int(r.stage)).Bool("bad", r.bad).
			Str("state", string(r.decided)).Msg("shifter: roll-out goes on after a restore of the store")
	} else if r == nil || !sameOrder(r.order, o) {
		r = &rollout{stageSeen: now, evaluator: newEvaluator(), schedule: newSchedule(o.Duration, s.exposure)}
		s.rollouts[service] = r
		m, _, _ := s.storedStage(o)
		r.previous = previousVersion(previousInput{order: o, servers: s.cfg.PlatformState.Servers(service, now), lastOrdered: m.Version, stage: m.Stage})
		s.cfg.Log.Info().Str("service", string(service)).Str("version", string(o.Version)).Str("base", string(r.previous)).Msg("shifter: roll-out begins")
	}
	r.order = o
	if o.Reported == o.Version && (o.State == model.RolloutCompleted || o.State == model.RolloutReverted) {
		r.decided = o.State
	}
	if stored, ok := s.cfg.PlatformState.SharedObject(s.stageKey(service)); !ok || stored.Revision == r.stageRevision {
		return r
	}
	m, revision, ok := s.storedStage(o)
	r.stageRevision, r.storedStage = revision, 0
	if ok {
		r.storedStage = m.Stage
	}
	if ok && m.Stage > r.stage && m.Stage <= stageFull {
		if m.Stage == stageCanary {
			r.evaluator.beginCanary()
		}
		r.stage, r.elapsed, r.stageSeen = m.Stage, max(m.Elapsed, r.elapsedAt(now)), now
		s.cfg.Log.Info().Str("service", string(service)).Str("version", string(o.Version)).Int("stage", int(r.stage)).
			Float64("share", r.schedule.share(r.stage, true)).Dur("elapsed", r.elapsed).Msg("shifter: roll-out stage changed")
	}
	return r
}

// decidedOrder returns the order with its result, also if the store has lost it.
func (r *rollout) decidedOrder() model.RolloutOrder {
	o := r.order
	if r.decided != "" {
		o.State, o.Reported = r.decided, o.Version
	}
	return o
}

// elapsedAt returns the time since the order.
func (r *rollout) elapsedAt(now time.Time) time.Duration { return r.elapsed + now.Sub(r.stageSeen) }

func (s *Shifter) stageKey(service model.ServiceID) string {
	return s.cfg.SharedKind + "/shift." + string(service)
}

// storedStage returns the stored stage and its revision, and whether it belongs to the order.
func (s *Shifter) storedStage(o model.RolloutOrder) (storedStage, model.Revision, bool) {
	stored, ok := s.cfg.PlatformState.SharedObject(s.stageKey(o.Service))
	if !ok {
		return storedStage{}, 0, false
	}
	var m storedStage
	err := json.Unmarshal(stored.Value, &m)
	if err == nil && (m.Stage < 0 || m.Stage > stageFull || m.Elapsed < 0 || m.Elapsed > maxElapsed) {
		err = fmt.Errorf("stage %d after %v is none of a roll-out", m.Stage, m.Elapsed)
	}
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("service", string(o.Service)).Msg("shifter: stored stage cannot be read and is replaced")
		return storedStage{}, stored.Revision, false
	}
	return m, stored.Revision, m.Order == o.Created && m.Version == o.Version
}

// Choose returns the versions that may get a request.
func (s *Shifter) Choose(req forwarder.VersionRequest, now time.Time) forwarder.VersionChoice {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollout(req.Service, now)
	first := s.noteFirstSeen(req.Service, req.Servers, now)
	if r == nil {
		return chooseWithoutOrder(req.Servers, first, now)
	}
	return chooseVersions(chooseInput{
		order: r.decidedOrder(), previous: r.previous, schedule: r.schedule, stage: r.stage, bad: r.bad,
		uncleared: r.uncleared, inStage: now.Sub(r.stageSeen), req: req,
	})
}

// noteFirstSeen records when versions are first seen. Versions that are present at the first request for
// a service get the zero time.
func (s *Shifter) noteFirstSeen(service model.ServiceID, servers []model.BackendServer, now time.Time) map[model.VersionID]time.Time {
	known := s.firstSeen[service]
	if known == nil && len(servers) > 0 {
		known, now = map[model.VersionID]time.Time{}, time.Time{}
		s.firstSeen[service] = known
	}
	for _, b := range servers {
		if _, ok := known[b.Version]; !ok {
			known[b.Version] = now
		}
	}
	return known
}

// Observe records an outcome of a version.
func (s *Shifter) Observe(o forwarder.Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[o.Service]
	if r == nil || r.bad || r.decided != "" {
		return
	}
	var e evidence
	if o.Version == r.order.Version {
		e = r.evaluator.evidenceFrom(o, r.stage < stageFull)
	} else {
		e = r.evaluator.controlEvidence(o)
	}
	r.report.add(e)
	s.addEvidence(r, e, now)
}

// addEvidence adds evidence on a roll-out's version and marks the version as bad if the verdict says so; the
// lock is held.
func (s *Shifter) addEvidence(r *rollout, e evidence, now time.Time) {
	v := r.evaluator.observe(e)
	if !v.Bad || r.bad || r.decided == model.RolloutCompleted {
		return
	}
	r.bad, r.reason, r.next = true, v.Reason, now
	s.cfg.Log.Warn().Str("service", string(r.order.Service)).Str("version", string(r.order.Version)).Str("reason", v.Reason).Float64("level", v.Level).
		Int("seen", r.evaluator.seen(faultFailure)).Int("stage", int(r.stage)).Msg("shifter: new version is faulty and gets no more requests")
}

// Run advances roll-outs until the context ends.
func (s *Shifter) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, o := range s.cfg.PlatformState.Orders() {
				s.advance(ctx, o.Service, now)
			}
		}
	}
}

// action is what an entry writes to the store for a roll-out.
type action string

// Actions, as the log names them.
const (
	actionNone     action = ""
	actionBegin    action = "begin"
	actionStage    action = "stage"
	actionComplete action = "complete"
	actionRevert   action = "revert"
	// actionRestate writes a stage again that the store has lost.
	actionRestate action = "restate"
)

// dueAction returns what the entry must write for a roll-out at a time.
func dueAction(r *rollout, self model.InstanceID, now time.Time) action {
	done := r.order.Reported == r.order.Version
	if done && (r.order.State == model.RolloutCompleted || r.order.State == model.RolloutReverted) || r.busy || now.Before(r.next) {
		return actionNone
	}
	switch {
	case r.decided == model.RolloutCompleted:
		return actionComplete
	case r.bad || r.decided == model.RolloutReverted:
		return actionRevert
	case r.stage > r.storedStage:
		return actionRestate
	}
	wait := writeDelay(self, r.stage, r.order.Duration)
	switch {
	case now.Sub(r.stageSeen) < wait:
		return actionNone
	case !done || r.order.State != model.RolloutRunning:
		return actionBegin
	case r.elapsedAt(now) < r.schedule.next(r.stage)+wait:
		return actionNone
	}
	suspect := r.evaluator.verdict().Level >= holdLevel
	waits := r.elapsedAt(now) < r.schedule.next(r.stage)+time.Duration(maxHold*float64(r.order.Duration))
	switch {
	case r.stage == stageSessionless:
		return actionStage
	case suspect && waits:
		return actionNone
	case r.stage == stageCanary:
		return actionStage
	case suspect:
		return actionRevert
	case waits && r.uncleared:
		return actionNone
	case r.elapsed > r.order.Duration-2*checkInterval && now.Sub(r.stageSeen) < minDrain:
		return actionNone
	}
	return actionComplete
}

// checkCleared notes whether enough was seen of a version that gets all requests; the lock is held.
func (s *Shifter) checkCleared(r *rollout, now time.Time) {
	if r.bad || r.decided != "" || r.stage < stageFull {
		r.uncleared = false
		return
	}
	where, seen, uncleared := r.evaluator.uncleared()
	if uncleared != r.uncleared {
		s.cfg.Log.Info().Str("service", string(r.order.Service)).Str("version", string(r.order.Version)).Bool("cleared", !uncleared).Str("why", where.String()).Int("seen", seen).
			Float64("level", r.evaluator.verdict().Level).Dur("elapsed", r.elapsedAt(now)).Msg("shifter: checked whether enough was seen of the new version")
	}
	r.uncleared = uncleared
}

func (s *Shifter) advance(ctx context.Context, service model.ServiceID, now time.Time) {
	s.mu.Lock()
	r := s.rollout(service, now)
	if r == nil {
		s.mu.Unlock()
		return
	}
	s.checkCleared(r, now)
	d := dueAction(r, s.cfg.Self, now)
	if d == actionNone {
		s.mu.Unlock()
		return
	}
	if d == actionRevert && !r.bad {
		r.bad, r.reason = true, "a suspicion against it did not end"
	}
	r.busy, r.next = true, now.Add(writeRetryPause)
	order, reason, verdict := r.order, r.reason, r.evaluator.verdict()
	requests, streams := r.evaluator.seen(faultFailure), r.evaluator.seen(faultStream)
	next, current := storedStage{Order: order.Created, Version: order.Version, Stage: r.stage + 1, Elapsed: r.elapsedAt(now)}, r.stage
	if d == actionRestate {
		next.Stage = current
	}
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
		log.Str("service", string(service)).Str("version", string(order.Version)).Str("deed", string(d)).Int("stage", int(current)).
			Int64("revision", order.Revision.Change()).Uint32("era", uint32(order.Revision.Era())).Str("reason", reason).Float64("level", verdict.Level).Str("why", verdict.Reason).
			Int("seen", requests).Int("streams", streams).Msg("shifter: roll-out write finished")
	}()
}

func (s *Shifter) write(ctx context.Context, d action, o model.RolloutOrder, next storedStage) error {
	if d == actionStage || d == actionRestate {
		_, expect, _ := s.storedStage(o)
		b, err := json.Marshal(next)
		if err != nil {
			return fmt.Errorf("encode the stage of %s: %w", o.Service, err)
		}
		_, err = s.cfg.Store.Put(ctx, s.stageKey(o.Service), b, expect)
		return err
	}
	state := map[action]model.RolloutStatus{
		actionBegin: model.RolloutRunning, actionComplete: model.RolloutCompleted, actionRevert: model.RolloutReverted,
	}[d]
	b, err := s.cfg.EncodeStatus(state, o.Version)
	if err != nil {
		return err
	}
	_, err = s.cfg.Store.Report(ctx, s.cfg.OrderKey(o.Service), b, o.Revision)
	return err
}

package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/acceptor"
	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxFailedDials limits the failed connection attempts of one request.
	maxFailedDials = 4
	// minHeadTimeout is the shortest wait for the head of an answer before another backend server is tried.
	// The slowest answers of an unloaded plain service take a third of it.
	minHeadTimeout = time.Second
	// engineHeadTimeoutTargets is the wait for an engine's first token, as a multiple of the route's target.
	// Prefill on another engine does not help if engines are slow under load; a dead one is detected
	// by its connection.
	engineHeadTimeoutTargets = 3
	// stoppingRetry is when a caller may return that an entry refused because it stops: another entry serves
	// it at once.
	stoppingRetry = 50 * time.Millisecond
	// retryReserveRatio is the part of the retry budget's ratio that escalations to a larger model leave for
	// retries after failures.
	retryReserveRatio = 0.15
)

// serve handles one request until it is answered or refused.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c := newCall(r, f.cfg.Names.Request, now)
	// Registered first, so that it runs after all else that was taken for the request is given back.
	defer f.answerPanic(w, c)
	f.awaitPlan(r.Context())
	if f.isStopping() {
		w.Header().Set("Connection", "close")
	}
	release, refusal := f.readRequest(c, w, r, now)
	defer func() {
		// The connections are closed by now, so that writes end.
		c.writes.Wait()
		release()
	}()
	if refusal != nil {
		f.refuse(w, c, refusal)
		return
	}
	if refusal := f.passBan(r.Context(), c, now); refusal != nil {
		f.refuse(w, c, refusal)
		return
	}
	defer func() { f.returnUnsentTrial(c, time.Now()) }()
	ctx, cancel := f.running.Context(r.Context(), c.deadline)
	defer cancel()
	limitWrites(w, c.deadline)
	f.retryBudget.CountRequest(c.service.Service, now)
	f.runAttempts(ctx, c, w)
}

// runAttempts sends the request to backend servers until an answer is delivered, or refuses it.
func (f *Forwarder) runAttempts(ctx context.Context, c *call, w http.ResponseWriter) {
	out := newAnswerWriter(ctx, c, w)
	var left error
	last := model.Refuse(model.KindNoBackend, "no backend server is ready").WithRetry(time.Second)
	for {
		now := time.Now()
		p, ok := f.pickAttempt(c, now)
		if !ok {
			if c.notAdmitted != nil {
				last = c.notAdmitted
			} else if refusal := f.refuseBarred(c, now); refusal != nil && c.sent == 0 && c.failedDials == 0 {
				last = refusal
			}
			break
		}
		if !c.delivered && !c.escalated && !f.canFinish(c, now) {
			last = model.Refuse(model.KindLeaving, "the entry stops before an answer would be complete: send the request again").WithRetry(stoppingRetry)
			break
		}
		fail := f.tryBackend(ctx, c, p, out, now)
		if fail == nil {
			return
		}
		if left = nil; fail.kind == failureLeft && time.Now().Before(c.deadline) && !acceptor.IsCut(ctx) {
			left = fail.cause
		}
		refusal, retry := f.handleFailure(ctx, c, p, fail)
		if refusal != nil {
			last = mergeRefusals(last, refusal)
		}
		if !retry {
			break
		}
	}
	if left == nil && callerLeft(ctx) {
		left = context.Cause(ctx)
	}
	if left != nil {
		f.cfg.Meter.Count("left/"+string(c.route.Route), 1)
		f.cfg.Log.Info().Str("request", c.id).Str("last", c.lastEvent).Int("sent", c.sent).Dur("took", time.Since(c.start)).
			AnErr("cause", left).Bool("stopping", f.isStopping()).Msg("forwarder: the caller left")
		out.abort()
	}
	if c.delivered {
		f.recordBreakOff(c, last)
		out.abort()
	}
	if c.mayHaveRun && last.Run == model.RunNo {
		// The reason why it is not sent again does not know of earlier attempts.
		last = last.WithRun(model.RunUnknown)
	}
	f.refuse(w, c, last)
}

// tryBackend sends the request to a backend server and delivers its answer.
func (f *Forwarder) tryBackend(ctx context.Context, c *call, p *peer, out *answerWriter, now time.Time) *failure {
	p.startRequest(c.prefillTime, c.heldTokens(), now)
	c.attemptStart, c.attempt = now, p.startAttempt(c)
	prefillTime := c.prefillTime
	removeBacklog := sync.OnceFunc(func() { p.removeBacklog(prefillTime) })
	// A panic must not leave the request counted at the server, which would look fuller for good.
	fail := &failure{kind: failureBroken, cause: errPanicked}
	defer func() {
		removeBacklog()
		p.finishAttempt(c.attempt, time.Now())
		p.endAttempt(c.attempt, fail, time.Now())
	}()
	rep, outcome := f.exchange(ctx, c, p, f.headTimeout(c))
	if removeBacklog(); outcome == nil {
		p.recordCachedPrefix(c.prefixKey(c.model), time.Now())
		f.takeShare(c, time.Now())
		f.observeHold(c, time.Now())
		outcome = f.deliver(ctx, c, rep, out)
	}
	fail = outcome
	return outcome
}

// errEscalated means that an answer was discarded in favour of a larger model's answer.
var errEscalated = errors.New("the answer was dropped to escalate to a larger model")

// handleFailure records a failed attempt and decides whether to make another one.
func (f *Forwarder) handleFailure(ctx context.Context, c *call, p *peer, fail *failure) (*model.Refusal, bool) {
	now := time.Now()
	if errors.Is(fail.cause, errEscalated) {
		// The smaller model ran, so no later refusal may claim that the request did not run.
		c.mayHaveRun = true
		refusal := f.refuseBanned(c, now)
		return refusal, refusal == nil
	}
	if fail.kind == failureBroken {
		go f.confirmCrash(p)
	}
	if fail.kind == failureSilent {
		// The connection may have fallen silent, and others with it.
		c.needsNewConn = true
		f.cfg.Meter.Count("connections/distrusted", p.closeIdleSince(c.attemptStart))
	}
	if f.redial(c, p, fail, now) {
		return nil, true
	}
	backendFault := false
	switch fail.kind {
	case failureUnreached:
		c.failedDials++
		f.recordCrash(p, fail.cause, now)
		backendFault = !errors.Is(fail.cause, errRetryBudgetSpent)
	case failureBroken, failureFailed, failureSilent:
		c.mayHaveRun, backendFault = true, !fail.heldUp
	}
	switch {
	case fail.heldUp:
		f.cfg.Meter.Count("attempts/held_up", 1)
		f.cfg.Log.Info().Str("request", c.id).Str("backend", string(p.server.Backend)).AnErr("cause", fail.cause).
			Msg("forwarder: the answer broke off after its caller held it up")
	case backendFault:
		breakerOpen := p.failed(fail.kind == failureUnreached, now)
		if fail.kind == failureFailed {
			f.observeOutcome(c, p, true, now)
		}
		f.cfg.Meter.Count("attempts_failed/"+string(fail.kind), 1)
		f.cfg.Log.Warn().Str("request", c.id).Str("backend", string(p.server.Backend)).Str("fate", string(fail.kind)).AnErr("cause", fail.cause).
			Bool("breaker", breakerOpen).Msg("forwarder: attempt failed")
	case fail.kind != failureLeft:
		f.cfg.Log.Info().Str("request", c.id).Str("backend", string(p.server.Backend)).Str("fate", string(fail.kind)).AnErr("cause", fail.cause).
			Msg("forwarder: attempt did not run")
	}
	c.tried[p.server.Backend] = true
	refusal := f.failureRefusal(ctx, c, fail)
	if ctx.Err() != nil || !now.Before(c.deadline) || errors.Is(fail.cause, errRetryBudgetSpent) {
		return refusal, false
	}
	if fail.kind == failureUnreached {
		return refusal, c.failedDials < maxFailedDials
	}
	if c.sent >= c.route.Attempts || c.mayHaveRun && !isRetryable(c) || c.unresumable {
		return refusal, false
	}
	if banned := f.refuseBanned(c, now); banned != nil {
		return banned, false
	}
	return refusal, true
}

// redial reports whether the request is sent to the same backend server again because a reused idle
// connection was dropped. This is no new attempt, since the request reaches no other server, but it draws on the retry
// budget.
func (f *Forwarder) redial(c *call, p *peer, fail *failure, now time.Time) bool {
	if !fail.dropped || c.redialled || !isRetryable(c) || !f.retryBudget.TakeRetry(c.service.Service, now) {
		return false
	}
	c.needsNewConn, c.redialled, c.mayHaveRun, c.sameAgain = true, true, true, p
	f.cfg.Meter.Count("connections/dropped", 1)
	f.cfg.Log.Info().Str("request", c.id).Str("backend", string(p.server.Backend)).AnErr("cause", fail.cause).
		Msg("forwarder: an idle connection was dropped, sending on a new one")
	return true
}

// pickAttempt chooses the backend server for the next attempt: the same one again after its idle connection was
// dropped, if it may still get the request. Any other server is a new attempt, which the route must allow.
func (f *Forwarder) pickAttempt(c *call, now time.Time) (*peer, bool) {
	p := c.sameAgain
	c.sameAgain = nil
	if p == nil {
		return f.pickBackend(c, now)
	}
	candidates := f.candidates(c, now)
	same := slices.IndexFunc(candidates, func(s model.BackendServer) bool { return peerKeyOf(s) == peerKeyOf(p.server) })
	if same >= 0 && f.cfg.Announcements.Take(candidates[same], now) {
		c.sent--
		return p, true
	}
	c.tried[p.server.Backend] = true
	if c.sent >= c.route.Attempts {
		return nil, false
	}
	return f.pickBackend(c, now)
}

// failureRefusal returns the refusal for a failed attempt; it states whether the request may have run.
func (f *Forwarder) failureRefusal(ctx context.Context, c *call, fail *failure) *model.Refusal {
	run := model.RunNo
	if c.mayHaveRun {
		run = model.RunUnknown
	}
	switch {
	case acceptor.IsCut(ctx):
		if c.sent > 0 {
			run = model.RunUnknown
		}
		return model.Refuse(model.KindLeaving, "the entry stopped before the answer was complete").WithRun(run).WithRetry(stoppingRetry)
	case ctx.Err() != nil && c.sent > 0, fail.kind == failureSilent && !time.Now().Before(c.deadline):
		return model.Refuse(model.KindDeadline, "no answer came in time: allow more time").WithRun(model.RunUnknown)
	case fail.kind == failureNotRun || fail.kind == failureMisdirected || fail.kind == failureUnreached:
		return model.Refuse(model.KindBusy, "the backend server did not run the request: %v", fail.cause).WithRun(run).WithRetry(f.retryAfterTurnedAway(c, fail, time.Now()))
	case c.mayHaveRun:
		return model.Refuse(model.KindBrokenAnswer, "the backend server's answer broke off: send the request again if it may run twice").WithRun(model.RunUnknown)
	}
	return model.Refuse(model.KindNoBackend, "no backend server could be reached: try again").WithRun(run).WithRetry(minRetry)
}

// mergeRefusals returns the refusal that is true of the whole request: one that may have run stays so.
func mergeRefusals(earlier, later *model.Refusal) *model.Refusal {
	if earlier.Run != model.RunNo && later.Run == model.RunNo {
		return earlier
	}
	return later
}

// headTimeout returns how long an attempt may wait for the head of its answer if another attempt is possible then.
func (f *Forwarder) headTimeout(c *call) time.Duration {
	if c.service.Engine != nil {
		return engineHeadTimeoutTargets * c.route.LatencyTarget
	}
	return max(c.route.LatencyTarget, minHeadTimeout)
}

// observeOutcome records an answer for version selection. A request that fails wherever it runs tells of its version
// only once.
func (f *Forwarder) observeOutcome(c *call, p *peer, failed bool, now time.Time) {
	if failed && c.failedAt[p.server.Version] {
		return
	}
	if failed {
		if c.failedAt == nil {
			c.failedAt = map[model.VersionID]bool{}
		}
		c.failedAt[p.server.Version] = true
	}
	o := f.outcome(c, p, failed, now)
	f.cfg.Versions.Observe(o, now)
	f.observeSpeed(o, p, now)
}

func (f *Forwarder) outcome(c *call, p *peer, failed bool, now time.Time) Outcome {
	return Outcome{
		Service: c.service.Service, Backend: p.server.Backend, Version: p.server.Version, Route: c.route.Route,
		Model: c.model, InFlight: c.inFlight, Utilisation: float64(c.inFlight+1) / float64(max(p.server.Slots, 1)),
		Engine: c.service.Engine != nil, Failed: failed, TimeToHead: now.Sub(c.attemptStart),
	}
}

// escalate decides whether to discard an answer and ask a larger model, and sets that model on the call.
func (f *Forwarder) escalate(c *call, rep *reply) bool {
	// The answer of a service without engines tells nothing of the models, and no larger one can be asked there.
	if c.delivered || len(c.route.Models) == 0 || c.service.Engine == nil || !rep.isSuccess() {
		return false
	}
	confidence := f.confidence(rep)
	now := time.Now()
	f.observeOutcome(c, rep.peer, false, now)
	if c.uncontended {
		f.speeds.observeHead(c.model, c.service.Engine, c.uncachedTokens, now.Sub(c.attemptStart))
	}
	larger := c.route.Models[len(c.route.Models)-1]
	choice, engines := f.chooseEngine(c, larger, f.candidates(c, now), now)
	f.modelWaits.observe(c, larger, choice, engines, now)
	step := f.chooseNext(c, chooser.EscalationInput{
		Models: c.route.Models, Ran: c.model, Confidence: confidence, Rank: c.rank,
		Attempts:       c.attemptsLeft(),
		RetryAllowed:   choice.Found && f.retryBudget.CanRetry(c.service.Service, retryReserveRatio, now),
		Utilisation:    choice.Utilisation,
		AnswerDuration: choice.Wait + f.speeds.estimateAnswer(larger, c.service.Engine, c.prompt.outputTokens),
		TimeLeft:       f.timeLeft(c, now),
		Late:           now.Add(choice.Wait).Sub(c.start) > c.route.LatencyTarget,
	}, choice, now)
	f.cfg.Log.Info().Str("request", c.id).Str("model", string(c.model)).Int("confidence", confidence).Str("next", string(step.Next)).Str("why", step.Reason).
		Float64("fill", choice.Utilisation).Dur("wait", choice.Wait).Str("backend", string(rep.peer.server.Backend)).Dur("head", now.Sub(c.attemptStart)).
		Int("rank", c.rank).EmbedObject(c.cascade).
		Msg("forwarder: decided whether to escalate to a larger model")
	if step.Next == "" {
		return false
	}
	f.cfg.Meter.Count("steps/"+string(c.route.Route), 1)
	c.model, c.escalated = step.Next, true
	return true
}

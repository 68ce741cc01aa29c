package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// suspectWindow is how long after its end an attempt is still a suspect if its backend server crashes. It
	// covers answers that were dropped and callers that left.
	suspectWindow = time.Second
	// provenEvents is the number of events of a stream after which the request did not crash its backend server
	// by beginning an answer.
	provenEvents = 3
	// maxParts is the number of parts of a prompt that are tracked; maxPartBytes is the length from which the name
	// of a part is replaced by a hash.
	maxParts, maxPartBytes = 64, 40
)

// attempt is a request that was sent to a backend server and has not got a proven answer. endedAt is zero while it
// runs.
type attempt struct {
	call    *call
	endedAt time.Time
	// finished is set once the attempt no longer counts as open work of its backend server.
	finished bool
}

// computeTraits returns the properties of the request that may crash backend servers.
func (c *call) computeTraits() []model.Trait {
	parts := c.prompt.parts[:min(len(c.prompt.parts), maxParts)]
	out := make([]model.Trait, 0, len(parts)+1)
	for i, part := range parts {
		if len(part) > maxPartBytes {
			part = strconv.FormatUint(xxhash.Sum64String(part), 16)
		}
		out = append(out, model.Trait{ID: model.TraitID("part." + strings.ToLower(part)), Depth: i})
	}
	return append(out, model.Trait{ID: model.TraitID("request." + strconv.FormatUint(c.fingerprint, 16)), Depth: model.WholeRequest})
}

// startAttempt makes the call's request a suspect of crashes until its answer is proven.
func (p *peer) startAttempt(c *call) *attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &attempt{call: c}
	p.unproven = append(p.unproven, a)
	return a
}

// removeAttempt removes an attempt from the suspects and reports whether it was one.
func (p *peer) removeAttempt(a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.unproven, a)
	if i < 0 {
		return false
	}
	p.unproven = slices.Delete(p.unproven, i, i+1)
	return true
}

// endAttempt records the end of an attempt. It stays a suspect for a while unless the backend server is known to
// have survived it.
func (p *peer) endAttempt(a *attempt, fail *failure, now time.Time) {
	if fail == nil || !fail.mayHaveCrashed() {
		p.removeAttempt(a)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.endedAt = now
}

// mayHaveCrashed reports whether the backend server may have crashed on the request.
func (e *failure) mayHaveCrashed() bool {
	switch e.kind {
	case failureUnreached, failureMisdirected, failureFailed:
		return false
	case failureNotRun:
		return errors.Is(e.cause, errEscalated)
	}
	return true
}

// dropOldAttempts removes the attempts that ended too long ago to be suspects. The caller holds the lock.
func (p *peer) dropOldAttempts(now time.Time) {
	p.unproven = slices.DeleteFunc(p.unproven, func(a *attempt) bool { return !a.endedAt.IsZero() && now.Sub(a.endedAt) > suspectWindow })
}

// hasSuspects reports whether a crash of the backend server at now would have suspects.
func (p *peer) hasSuspects(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropOldAttempts(now)
	return len(p.unproven) > 0
}

// takeSuspects removes and returns the attempts that may have caused a crash of the backend server at now.
func (p *peer) takeSuspects(now time.Time) []*attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropOldAttempts(now)
	out := p.unproven
	p.unproven = nil
	return out
}

// proveAttempt records that the call's backend server survived the begin of its answer.
func (f *Forwarder) proveAttempt(c *call, p *peer, now time.Time) {
	if p.removeAttempt(c.attempt) {
		f.cfg.Quarantine.RecordProven(c.traits, now)
	}
}

// confirmCrash dials a backend server whose answer broke off and records a crash only if the server refuses the
// connection: a lost answer or a reset connection alone is no crash.
func (f *Forwarder) confirmCrash(p *peer) {
	if !p.hasSuspects(time.Now()) || f.isEvacuated(p.server, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	cn, err := dial(ctx, p.server.Address)
	now := time.Now()
	if err != nil {
		p.failed(true, now)
		f.recordCrash(p, err, now)
		return
	}
	cn.idleSince, cn.usableUntil = now, now.Add(defaultKeepAlive)
	p.putIdleConn(cn)
}

// recordCrash records a crash of a backend server that could not be dialled, unless the network may be the reason.
func (f *Forwarder) recordCrash(p *peer, dialError error, now time.Time) {
	if !errors.Is(dialError, syscall.ECONNREFUSED) {
		return
	}
	if f.cfg.Announcements.Cold != nil {
		f.cfg.Announcements.Cold.Suspect(p.server.Lifetime(), f.coldStart(p.server), now)
	}
	var traits []model.Trait
	// The request that was sent last is the likeliest: the server had borne the others for a while.
	for _, a := range slices.Backward(p.takeSuspects(now)) {
		f.cfg.Meter.Count("crashes/"+string(a.call.route.Route), 1)
		f.cfg.Log.Warn().Str("request", a.call.id).Str("backend", string(p.server.Backend)).Str("fingerprint", strconv.FormatUint(a.call.fingerprint, 16)).
			Str("parts", strings.Join(a.call.prompt.parts, ",")).AnErr("cause", dialError).Msg("forwarder: a backend server crashed while it ran the request")
		traits = append(traits, a.call.traits...)
	}
	f.cfg.Quarantine.RecordCrash(p.server.Lifetime(), traits, now)
}

// errUnframedEnd means that an answer without a length and without chunks ended before its first event: its
// backend server may have crashed.
var errUnframedEnd = errors.New("the connection closed before the first event of the stream")

// isUnframed reports whether the body of an answer ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// refuseBanned returns the refusal of a request that has a banned trait, or nil.
func (f *Forwarder) refuseBanned(c *call, now time.Time) *model.Refusal {
	if !f.cfg.Quarantine.IsBanned(c.traits, now) {
		return nil
	}
	run := model.RunNo
	if c.mayHaveRun {
		run = model.RunUnknown
	}
	return model.Refuse(model.KindQuarantined, "the request, or a part of its prompt, crashed the backend servers that ran it: change it").WithRun(run)
}

// trialPoll is how often a request looks whether the ban of one of its traits is over while that is being tried, and
// maxAwaitingTrial how many requests do so at a time: each holds its body.
const (
	trialPoll        = 50 * time.Millisecond
	maxAwaitingTrial = 64
)

// passBan returns the refusal of a request that has a banned trait, or nil if there is none, if the request is tried, or if
// the ban ends within moments since another one is.
func (f *Forwarder) passBan(ctx context.Context, c *call, now time.Time) *model.Refusal {
	refusal := f.refuseBanned(c, now)
	if refusal == nil || f.claimTrial(ctx, c, now) {
		return nil
	}
	defer f.awaitingTrial.Add(-1)
	if f.awaitingTrial.Add(1) > maxAwaitingTrial {
		return refusal
	}
	for ; refusal != nil && f.cfg.Quarantine.IsTried(c.traits, now) && now.Before(c.deadline) && !f.isStopping(); now = time.Now() {
		pauser.Pause(ctx, trialPoll)
		if ctx.Err() != nil {
			return refusal
		}
		refusal = f.refuseBanned(c, time.Now())
	}
	return refusal
}

// claimTrial reports whether a banned request is sent all the same, to one backend server. It goes out on a new connection,
// since one that was dropped while it was idle would leave open whether the server got it.
func (f *Forwarder) claimTrial(ctx context.Context, c *call, now time.Time) bool {
	// A server that crashed may still be listed, and another one may have its address by now.
	for _, s := range f.candidates(c, now) {
		c.tried[s.Backend] = f.cfg.Quarantine.HasCrashed(s.Lifetime(), now)
	}
	if len(f.candidates(c, now)) == 0 || f.isStopping() || !f.cfg.Quarantine.ClaimTrial(ctx, c.traits, now) {
		clear(c.tried)
		return false
	}
	c.trial, c.needsNewConn = true, true
	f.cfg.Log.Warn().Str("request", c.id).Str("fingerprint", strconv.FormatUint(c.fingerprint, 16)).Str("parts", strings.Join(c.prompt.parts, ",")).
		Msg("forwarder: a banned request is sent to one backend server, to find out whether it crashes it")
	return true
}

// returnUnsentTrial gives a trial back that reached no backend server.
func (f *Forwarder) returnUnsentTrial(c *call, now time.Time) {
	if c.trial && c.sent == 0 {
		f.cfg.Quarantine.ReturnTrial(c.traits, now)
	}
}

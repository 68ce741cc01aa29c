package router

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/bramleyhinge/bramleyhinge/internal/acceptor"
	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// requestParser finds the service of a call and parses the rest of its request.
type requestParser func(c *call, access []watcher.Access) *model.Refusal

// handleCompletion handles a completions call.
func (e *Entry) handleCompletion(req *restful.Request, resp *restful.Response) {
	e.serve(resp.ResponseWriter, req.Request, func(c *call, access []watcher.Access) *model.Refusal {
		return c.parseCompletion(req.Request, access)
	})
}

// handlePlain handles a call to a plain service, one that runs no model.
func (e *Entry) handlePlain(req *restful.Request, resp *restful.Response) {
	service := model.ServiceID(req.PathParameter("service"))
	path := withLeadingSlash(req.PathParameter("path"))
	e.serve(resp.ResponseWriter, req.Request, func(c *call, access []watcher.Access) *model.Refusal {
		return c.parsePlain(req.Request, access, service, path)
	})
}

// serve handles a call up to its answer or refusal.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, parse requestParser) {
	access, refusal := e.authenticate(r)
	if refusal != nil {
		e.writeRefusal(w, refusal)
		return
	}
	c, release, refusal := e.newCall(w, r)
	if refusal == nil {
		defer release()
		refusal = parse(c, access)
	}
	if refusal != nil {
		e.writeRefusal(w, c.refusal(refusal))
		return
	}
	ctx, stop := e.running.Context(c.ctx, c.deadline)
	defer stop()
	c.ctx = ctx
	c.explanation = e.newExplanation(c)
	refusal = e.admitAndRun(c, w)
	if refusal != nil && acceptor.IsCut(ctx) {
		refusal = model.Refuse(model.KindLeaving, "the instance stopped before the answer was complete").WithRun(refusal.Run).WithRetry(leavingRetry)
	}
	e.finishCall(c, w, refusal)
}

// leavingRetry is when a caller may return whose request a stop ended: another instance serves it.
const leavingRetry = 50 * time.Millisecond

func (e *Entry) newExplanation(c *call) *explainer.Record {
	rec := &explainer.Record{
		Request:      c.id,
		Instance:     e.cfg.Self.Instance,
		Organisation: c.org().Organisation,
		Service:      c.service,
		Revision:     c.access.Service.Revision,
		Start:        c.start,
	}
	e.explanations.Put(rec)
	return rec
}

func (e *Entry) finishCall(c *call, w http.ResponseWriter, refusal *model.Refusal) {
	org, class := c.org().Organisation, c.class.Class
	e.cfg.Meter.ObserveRequestDuration(org, class, time.Since(c.start))
	log := e.cfg.Log.With().Str("request", string(c.id)).Str("organisation", string(org)).Str("service", string(c.service)).Logger()
	if refusal == nil {
		c.explanation.Finish("answered")
		e.cfg.Meter.Count("answered", 1)
		log.Debug().Dur("took", time.Since(c.start)).Msg("entry: answered")
		return
	}
	c.explanation.Finish("refused: " + string(refusal.Kind))
	log.Info().Str("kind", string(refusal.Kind)).Str("run", string(refusal.Run)).Msg("entry: refused")
	e.writeRefusal(w, c.refusal(refusal))
}

// admitAndRun checks the quarantine, the lease, the ledger's backlog and the limits, then runs
// the call.
func (e *Entry) admitAndRun(c *call, w http.ResponseWriter) *model.Refusal {
	now := time.Now()
	if now.Before(e.cfg.Watcher.Catalogue().Quarantine.Banned[c.fingerprint]) {
		return model.Refuse(model.KindQuarantined, "the request crashed backend servers: change it before sending it again")
	}
	if refusal := e.cfg.Watcher.CheckLease(c.ctx, c.service); refusal != nil {
		return refusal
	}
	if e.cfg.Records.QueueFull() {
		return model.Refuse(model.KindPlatformUnavailable, "too many usage lines wait for the platform: try again later").WithRetry(5 * time.Second)
	}
	key := limiter.Key{Service: c.service, Organisation: c.org().Organisation}
	if refusal := e.limits.Admit(key, c.org(), e.evenGrant(key, c.org()), now); refusal != nil {
		return refusal
	}
	defer e.limits.Release(key)
	if c.document().Kind == model.KindPlain {
		return e.runPlain(c, w)
	}
	if refusal := e.resolveSession(c, now); refusal != nil {
		return refusal
	}
	return e.runModel(c, w)
}

// evenGrant returns this entry's even share of an organisation's limits, which holds without a
// grant from the service's owner. An organisation without a concurrency limit gets this
// instance's bound, so that no single caller holds all of it.
func (e *Entry) evenGrant(key limiter.Key, o model.Organisation) model.Grant {
	rows := e.cfg.Watcher.View().Entries()
	n := max(len(rows), 1)
	share := model.Grant{Rate: o.Rate / model.Rate(n), Share: 1 / model.Share(n), Concurrency: e.cfg.Settings.Limits.OrganisationConcurrency}
	if o.Concurrency > 0 {
		ids := make([]model.InstanceID, len(rows))
		for i, row := range rows {
			ids[i] = row.Instance
		}
		share.Concurrency = limiter.EvenSplitInt(o.Concurrency, string(key.Service)+"/"+string(key.Organisation)+"/", e.cfg.Self.Instance, ids)
	}
	return share
}

// chooseVersion draws random numbers and lets the policy choose the version to run.
func (e *Entry) chooseVersion(c *call, now time.Time) (chooser.Decision, model.Quality) {
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	estimates, target := e.estimator.Estimates(key, c.document(), c.org().Target, c.estimateInputTokens())
	d := chooser.Cheapest{}.Decide(chooser.Input{
		Document:     c.document(),
		Organisation: c.org(),
		Model:        c.model,
		Pinned:       c.pinned,
		Stream:       c.stream || c.key != "",
		Rollout:      c.access.Service.Rollout,
		Excluded:     e.outcomes.excluded(c.service, now),
		Estimates:    estimates,
		Target:       target,
		Mix:          rand.Float64(),
		Explore:      rand.Float64(),
		Share:        rand.Float64(),
	})
	c.explain(explainer.Step{Decision: "version " + string(d.Version), Reason: d.Reason, Alternatives: d.Alternatives})
	return d, target
}

// runModel chooses a version and runs the call. An agent with a newer document may refuse a
// version that this entry still allows; the entry then fetches the newer document and chooses
// once more.
func (e *Entry) runModel(c *call, w http.ResponseWriter) *model.Refusal {
	pinned := c.pinned
	refusal := e.chooseAndRun(c, w)
	if refusal == nil || refusal.Kind != model.KindWithdrawn || refusal.Run != model.RunNo || pinned != "" {
		return refusal
	}
	if !e.refreshDocument(c) {
		return refusal
	}
	next := e.chooseAndRun(c, w)
	if next != nil && next.Kind == model.KindUnknownModel {
		// The caller named the withdrawn version, so the first refusal is more specific.
		return refusal
	}
	return next
}

// refreshDocument switches the call to the newest document and reports whether there is a newer
// one.
func (e *Entry) refreshDocument(c *call) bool {
	if !e.cfg.Watcher.CatchUp(c.ctx, c.service, c.access.Service.Revision+1) {
		return false
	}
	s := e.cfg.Watcher.Catalogue().Services[c.service]
	if s.Document == nil {
		return false
	}
	org, ok := s.Document.FindOrganisation(c.org().Organisation)
	if !ok {
		return false
	}
	c.access = watcher.Access{Service: s, Organisation: org}
	c.explain(explainer.Step{Decision: "caught up", Reason: "an agent knows a newer document"})
	return true
}

func (e *Entry) chooseAndRun(c *call, w http.ResponseWriter) *model.Refusal {
	d, _ := e.chooseVersion(c, time.Now())
	if d.Refusal != nil {
		return d.Refusal
	}
	if refusal := e.recordPin(c, &d); refusal != nil {
		return refusal
	}
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	e.estimator.RecordDecision(key, d, c.org().Target)
	if c.key != "" {
		return e.runClaimed(c, d, w)
	}
	if c.stream {
		return e.runStream(c, d, w)
	}
	return e.runBuffered(c, d, w)
}

// usageKey returns the key of the request's usage record. It is the same for all steps, whether
// an entry or an agent queues the record.
func (c *call) usageKey() model.RecordKey { return recorder.UsageKey(c.id) }

func (c *call) step(v model.VersionID) step {
	return step{version: v, pinned: c.pinned == v && v != "", usageKey: c.usageKey()}
}

// answerHeaders returns a function that sets the headers of an answer from version v.
func (e *Entry) answerHeaders(c *call, v model.VersionID) func(h http.Header) {
	return func(h http.Header) {
		h.Set(headerRequest, string(c.id))
		if version, ok := c.document().FindVersion(v); ok {
			h.Set(headerModel, string(version.Model))
			h.Set(headerVersion, string(v))
		}
		if sessionToken := e.sessionToken(c, v); sessionToken != "" {
			h.Set(headerSession, sessionToken)
		}
	}
}

// runStream passes a stream on as it arrives. Only estimates choose its version, since parts
// that the caller has seen cannot be replaced by a second answer.
func (e *Entry) runStream(c *call, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	timer := streamTimer{meter: e.cfg.Meter, org: c.org().Organisation, class: c.class.Class, last: c.start}
	out := newStreamSink(w, e.answerHeaders(c, d.Version), func() { timer.recordPart(time.Now()) })
	res, refusal := e.runWithRetries(c, c.step(d.Version), out)
	e.recordOutcome(c, d.Version, refusal, timer.first)
	if refusal != nil {
		if out.hasWritten() {
			c.explanation.Finish("broken: " + string(refusal.Kind))
			e.cfg.Meter.Count("refused/"+string(refusal.Kind), 1)
			out.abort(c.refusal(refusal))
		}
		return refusal
	}
	if err := out.finish(); err != nil {
		e.cfg.Log.Debug().Err(err).Str("request", string(c.id)).Msg("entry: caller left before the closing event")
	}
	e.recordUsage(c, []completedStep{{d.Version, res}})
	return nil
}

// runBuffered buffers the answer until it is complete and, in a cascade, runs the second version
// if the first answer's rating is too low.
func (e *Entry) runBuffered(c *call, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	out := &bufferSink{}
	start := time.Now()
	res, refusal := e.runWithRetries(c, c.step(d.Version), out)
	e.recordOutcome(c, d.Version, refusal, time.Since(start))
	if refusal != nil {
		return refusal
	}
	ran := []completedStep{{d.Version, res}}
	version := d.Version
	if d.Second != "" {
		if better, second := e.escalate(c, d, out); second != nil {
			out, version = better, d.Second
			ran = append(ran, completedStep{d.Second, second})
		}
	} else {
		e.queueRating(c, d, out.body.String())
	}
	e.writeAnswer(c, w, version, out.fullAnswer())
	e.recordUsage(c, ran)
	return nil
}

// escalate rates the first answer and runs the second version if the rating is too low. It
// returns nil if the first answer is to be used, also when the second version fails.
func (e *Entry) escalate(c *call, d chooser.Decision, first *bufferSink) (*bufferSink, *stepResult) {
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	rating, err := e.rater.rate(c.ctx, c.id, d.Version, first.body.String())
	if err != nil {
		c.explain(explainer.Step{Decision: "cascade stops", Reason: "the rating service does not answer"})
		return nil, nil
	}
	e.estimator.RecordFirstRating(key, d.Version, rating)
	e.outcomes.addRating(c.service, d.Version, rating)
	e.queueRepeatRating(c, key, d.Version, first.body.String(), rating)
	if rating >= d.EscalateBelow {
		c.explain(explainer.Step{Decision: "cascade stops", Reason: "the first answer rates " + strconv.FormatFloat(float64(rating), 'f', 2, 64)})
		e.estimator.ReplaceExpected(key, e.estimator.ExpectedQuality(key, d.Version, rating), d.Expected)
		return nil, nil
	}
	c.explain(explainer.Step{Decision: "cascade steps up to " + string(d.Second), Reason: "the first answer rates " + strconv.FormatFloat(float64(rating), 'f', 2, 64)})
	out := &bufferSink{}
	start := time.Now()
	res, refusal := e.runWithRetries(c, c.step(d.Second), out)
	e.recordOutcome(c, d.Second, refusal, time.Since(start))
	if refusal != nil {
		return nil, nil
	}
	d.Expected = e.estimator.RecordEscalation(key, d.Version, d.Second, rating, d.Expected, float64(d.Prior))
	e.queueSecondRating(c, d, rating, out.body.String())
	return out, res
}

func (e *Entry) runPlain(c *call, w http.ResponseWriter) *model.Refusal {
	if c.key != "" && !c.idempotent {
		return e.runClaimed(c, chooser.Decision{}, w)
	}
	out := &bufferSink{}
	res, refusal := e.runWithRetries(c, c.step(""), out)
	if refusal != nil {
		return refusal
	}
	e.writeAnswer(c, w, "", out.fullAnswer())
	e.recordUsage(c, []completedStep{{"", res}})
	return nil
}

// fullAnswer returns the buffered answer with its body, whatever its size.
func (s *bufferSink) fullAnswer() *model.Answer {
	return &model.Answer{Status: s.status, Type: s.contentType, Body: s.body.Bytes(), BodyKept: true}
}

func (e *Entry) writeAnswer(c *call, w http.ResponseWriter, v model.VersionID, a *model.Answer) {
	e.answerHeaders(c, v)(w.Header())
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		e.cfg.Log.Debug().Err(err).Str("request", string(c.id)).Msg("entry: caller left before its answer")
	}
}

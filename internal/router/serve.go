package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/bramleyhinge/bramleyhinge/internal/chooser"
	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// reader finds the service of a call and reads the rest of its request.
type reader func(c *call, access []watcher.Access) *model.Refusal

func (e *Entry) model(req *restful.Request, resp *restful.Response) {
	e.serve(resp.ResponseWriter, req.Request, func(c *call, access []watcher.Access) *model.Refusal {
		return c.readModel(req.Request, access)
	})
}

func (e *Entry) plain(req *restful.Request, resp *restful.Response) {
	service := model.ServiceID(req.PathParameter("service"))
	path := joinPath(req.PathParameter("path"))
	e.serve(resp.ResponseWriter, req.Request, func(c *call, access []watcher.Access) *model.Refusal {
		return c.readPlain(req.Request, access, service, path)
	})
}

// serve takes a call from its first byte to its answer or refusal.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, read reader) {
	access, refusal := e.authenticate(r)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	c, release, refusal := e.newCall(w, r)
	if refusal == nil {
		defer release()
		refusal = read(c, access)
	}
	if refusal != nil {
		e.refuse(w, c.refusal(refusal))
		return
	}
	ctx, stop := context.WithDeadline(c.ctx, c.deadline)
	defer stop()
	c.ctx = ctx
	c.record = e.newRecord(c)
	refusal = e.admitted(c, w)
	e.conclude(c, w, refusal)
}

func (e *Entry) newRecord(c *call) *explainer.Record {
	rec := &explainer.Record{
		Request:      c.id,
		Instance:     e.cfg.Self.Instance,
		Organisation: c.org().Organisation,
		Service:      c.service,
		Revision:     c.access.Service.Revision,
		Start:        c.start,
	}
	e.ring.Put(rec)
	return rec
}

func (e *Entry) conclude(c *call, w http.ResponseWriter, refusal *model.Refusal) {
	org, class := c.org().Organisation, c.class.Class
	e.cfg.Meter.Whole(org, class, time.Since(c.start))
	log := e.cfg.Log.With().Str("request", string(c.id)).Str("organisation", string(org)).Str("service", string(c.service)).Logger()
	if refusal == nil {
		c.record.Finish("answered")
		e.cfg.Meter.Count("answered", 1)
		log.Debug().Dur("took", time.Since(c.start)).Msg("entry: answered")
		return
	}
	c.record.Finish("refused: " + string(refusal.Kind))
	log.Info().Str("kind", string(refusal.Kind)).Str("run", string(refusal.Run)).Msg("entry: refused")
	e.refuse(w, c.refusal(refusal))
}

// admitted applies the checks that come before any work: quarantine, lease, limits, ledger.
func (e *Entry) admitted(c *call, w http.ResponseWriter) *model.Refusal {
	now := time.Now()
	if now.Before(e.cfg.Watcher.Catalogue().Quarantine.Banned[c.fingerprint]) {
		return model.Refuse(model.KindQuarantined, "the request crashed backend servers: change it before sending it again")
	}
	if refusal := e.cfg.Watcher.Gate(c.ctx, c.service); refusal != nil {
		return refusal
	}
	if e.cfg.Records.Full() {
		return model.Refuse(model.KindUnavailable, "too many usage lines wait for the platform: try again later").WithRetry(5 * time.Second)
	}
	key := limiter.Key{Service: c.service, Organisation: c.org().Organisation}
	if refusal := e.limits.Admit(key, c.org(), e.evenShare(key, c.org()), now); refusal != nil {
		return refusal
	}
	defer e.limits.Release(key)
	if c.doc().Kind == model.KindPlain {
		return e.runPlain(c, w)
	}
	if refusal := e.pinSession(c, now); refusal != nil {
		return refusal
	}
	return e.runModel(c, w)
}

// evenShare is this entry's part of an organisation's limits without the owner's word. One
// without a concurrency has this instance's bound, so that no caller holds all of it.
func (e *Entry) evenShare(key limiter.Key, o model.Organisation) model.Grant {
	rows := e.cfg.Watcher.View().Entries()
	n := max(len(rows), 1)
	share := model.Grant{Rate: o.Rate / model.Rate(n), Share: 1 / model.Share(n), Concurrency: e.cfg.Settings.Limits.Organisation}
	if o.Concurrency > 0 {
		ids := make([]model.InstanceID, len(rows))
		for i, row := range rows {
			ids[i] = row.Instance
		}
		share.Concurrency = limiter.EvenSplitInt(o.Concurrency, string(key.Service)+"/"+string(key.Organisation)+"/", e.cfg.Self.Instance, ids)
	}
	return share
}

// decide draws the random numbers and asks the policy.
func (e *Entry) decide(c *call, now time.Time) (chooser.Decision, model.Quality) {
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	estimates, target := e.estimator.Estimates(key, c.doc(), c.org().Target, c.inputTokens())
	d := chooser.Cheapest{}.Decide(chooser.Input{
		Document:     c.doc(),
		Organisation: c.org(),
		Model:        c.model,
		Pinned:       c.pinned,
		Stream:       c.stream || c.key != "",
		Rollout:      c.access.Service.Rollout,
		Excluded:     e.tallies.excluded(c.service, now),
		Estimates:    estimates,
		Target:       target,
		Mix:          rand.Float64(),
		Explore:      rand.Float64(),
		Share:        rand.Float64(),
	})
	c.note(explainer.Step{What: "version " + string(d.Version), Why: d.Why, Alternatives: d.Alternatives})
	return d, target
}

// runModel decides and runs. An agent that knows a newer document refuses what this entry
// still allows; the entry then catches up and decides once more.
func (e *Entry) runModel(c *call, w http.ResponseWriter) *model.Refusal {
	pinned := c.pinned
	refusal := e.decideAndRun(c, w)
	if refusal == nil || refusal.Kind != model.KindWithdrawn || refusal.Run != model.RunNo || pinned != "" {
		return refusal
	}
	if !e.catchUp(c) {
		return refusal
	}
	next := e.decideAndRun(c, w)
	if next != nil && next.Kind == model.KindUnknownModel {
		// The withdrawn version was asked for by name, so its refusal says more.
		return refusal
	}
	return next
}

// catchUp takes the newest document for the call, and reports whether it is newer.
func (e *Entry) catchUp(c *call) bool {
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
	c.note(explainer.Step{What: "caught up", Why: "an agent knows a newer document"})
	return true
}

func (e *Entry) decideAndRun(c *call, w http.ResponseWriter) *model.Refusal {
	d, _ := e.decide(c, time.Now())
	if d.Refusal != nil {
		return d.Refusal
	}
	if refusal := e.keepPin(c, &d); refusal != nil {
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

// bill names the usage line of a request, whichever step or entry reports it.
func (c *call) bill() model.RecordKey { return recorder.UsageKey(c.id) }

func (c *call) step(v model.VersionID) step {
	return step{version: v, pinned: c.pinned == v && v != "", bill: c.bill()}
}

// headers sets the answer's headers.
func (e *Entry) headers(c *call, v model.VersionID) func(h http.Header) {
	return func(h http.Header) {
		h.Set(headerRequest, string(c.id))
		if version, ok := c.doc().FindVersion(v); ok {
			h.Set(headerModel, string(version.Model))
			h.Set(headerVersion, string(v))
		}
		if token := e.token(c, v); token != "" {
			h.Set(headerSession, token)
		}
	}
}

// runStream passes a stream on as it comes; only estimates decide, since a stream cannot
// be taken back.
func (e *Entry) runStream(c *call, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	clock := tokenClock{meter: e.cfg.Meter, org: c.org().Organisation, class: c.class.Class, last: c.start}
	out := newStreamSink(w, e.headers(c, d.Version), func() { clock.tick(time.Now()) })
	res, refusal := e.attempts(c, c.step(d.Version), out)
	e.observe(c, d.Version, refusal, clock.first)
	if refusal != nil {
		if out.touched() {
			c.record.Finish("broken: " + string(refusal.Kind))
			e.cfg.Meter.Count("refused/"+string(refusal.Kind), 1)
			out.fail(c.refusal(refusal))
		}
		return refusal
	}
	if err := out.finish(); err != nil {
		e.cfg.Log.Debug().Err(err).Str("request", string(c.id)).Msg("entry: caller left before the closing event")
	}
	e.settleUsage(c, []ranStep{{d.Version, res}})
	return nil
}

// runBuffered holds the answer until it is whole, and steps up to the second version of a
// cascade if the first answer rates too low.
func (e *Entry) runBuffered(c *call, d chooser.Decision, w http.ResponseWriter) *model.Refusal {
	out := &bufferSink{}
	start := time.Now()
	res, refusal := e.attempts(c, c.step(d.Version), out)
	e.observe(c, d.Version, refusal, time.Since(start))
	if refusal != nil {
		return refusal
	}
	ran := []ranStep{{d.Version, res}}
	version := d.Version
	if d.Second != "" {
		if better, second := e.stepUp(c, d, out); second != nil {
			out, version = better, d.Second
			ran = append(ran, ranStep{d.Second, second})
		}
	} else {
		e.rateLater(c, d, out.body.String())
	}
	e.writeAnswer(c, w, version, out.answerWhole())
	e.settleUsage(c, ran)
	return nil
}

// stepUp rates the first answer and runs the second version if the rating is too low. A
// second version that fails leaves the first answer standing.
func (e *Entry) stepUp(c *call, d chooser.Decision, first *bufferSink) (*bufferSink, *outcome) {
	key := chooser.Key{Service: c.service, Organisation: c.org().Organisation}
	rating, err := e.rater.rate(c.ctx, c.id, d.Version, first.body.String())
	if err != nil {
		c.note(explainer.Step{What: "cascade stops", Why: "the rating service does not answer"})
		return nil, nil
	}
	e.estimator.RecordFirstRating(key, d.Version, rating)
	e.tallies.rated(c.service, d.Version, rating)
	e.rateAgain(c, key, d.Version, first.body.String(), rating)
	if rating >= d.EscalateBelow {
		c.note(explainer.Step{What: "cascade stops", Why: "the first answer rates " + strconv.FormatFloat(float64(rating), 'f', 2, 64)})
		e.estimator.ReplaceExpected(key, e.estimator.ExpectedQuality(key, d.Version, rating), d.Expected)
		return nil, nil
	}
	c.note(explainer.Step{What: "cascade steps up to " + string(d.Second), Why: "the first answer rates " + strconv.FormatFloat(float64(rating), 'f', 2, 64)})
	out := &bufferSink{}
	start := time.Now()
	res, refusal := e.attempts(c, c.step(d.Second), out)
	e.observe(c, d.Second, refusal, time.Since(start))
	if refusal != nil {
		return nil, nil
	}
	d.Expected = e.estimator.RecordEscalation(key, d.Version, d.Second, rating, d.Expected, float64(d.Prior))
	e.rateSecond(c, d, rating, out.body.String())
	return out, res
}

func (e *Entry) runPlain(c *call, w http.ResponseWriter) *model.Refusal {
	if c.key != "" && !c.idempotent {
		return e.runClaimed(c, chooser.Decision{}, w)
	}
	out := &bufferSink{}
	res, refusal := e.attempts(c, c.step(""), out)
	if refusal != nil {
		return refusal
	}
	e.writeAnswer(c, w, "", out.answerWhole())
	e.settleUsage(c, []ranStep{{"", res}})
	return nil
}

// answerWhole returns the buffered answer whatever its size.
func (s *bufferSink) answerWhole() *model.Answer {
	return &model.Answer{Status: s.status, Type: s.contentType, Body: s.body.Bytes(), Kept: true}
}

func (e *Entry) writeAnswer(c *call, w http.ResponseWriter, v model.VersionID, a *model.Answer) {
	e.headers(c, v)(w.Header())
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		e.cfg.Log.Debug().Err(err).Str("request", string(c.id)).Msg("entry: caller left before its answer")
	}
}

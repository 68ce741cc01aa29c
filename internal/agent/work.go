package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// envelopeOverheadBytes bounds the size of a work message without its encoded body.
const envelopeOverheadBytes = 64 << 10

func (a *Agent) authenticate(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := model.RequestID(r.Header.Get(messenger.HeaderRequest))
		if !a.secret.VerifyProof(r.Header.Get(messenger.HeaderProof), r.URL.Path, id) {
			http.Error(w, "set the same secret on both instances", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, int64(a.cfg.Settings.Limits.Body)*4/3+envelopeOverheadBytes)
		next(w, r)
	}
}

func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var in T
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, "send a valid message", http.StatusBadRequest)
		return in, false
	}
	return in, true
}

func (a *Agent) serveWork(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeBody[messenger.Work](w, r)
	if !ok {
		return
	}
	if string(in.Request) != r.Header.Get(messenger.HeaderRequest) {
		http.Error(w, "proof is for another request", http.StatusUnauthorized)
		return
	}
	if in.Boot != a.boot {
		f := refusalFrame(model.Refuse(model.KindNoBackend, "the agent was replaced: another one takes the request"))
		f.Request = in.Request
		a.writeReply(w, f)
		return
	}
	run, created := a.runs.findOrCreate(a.baseCtx, in, time.Now())
	if run == nil {
		refusal := model.Refuse(model.KindCancelled, "the request was cancelled before it arrived: send it again if it is still wanted")
		f := refusalFrame(refusal)
		f.Request = in.Request
		a.writeReply(w, f)
		return
	}
	if created {
		go a.execute(run)
	}
	a.streamFrames(w, r, run, 0)
}

func (a *Agent) serveResume(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeBody[messenger.ResumeRequest](w, r)
	if !ok {
		return
	}
	run, ok := a.runs.find(in.Request)
	if !ok || in.Boot != a.boot {
		http.Error(w, "the answer is not kept here", http.StatusNotFound)
		return
	}
	a.streamFrames(w, r, run, max(in.From, 0))
}

func (a *Agent) serveCancel(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeBody[messenger.CancelRequest](w, r)
	if !ok {
		return
	}
	if in.Boot != a.boot {
		// The request went to this agent before it restarted, so its outcome is unknown.
		a.writeReply(w, messenger.CancelReply{Run: model.RunUnknown})
		return
	}
	a.writeReply(w, messenger.CancelReply{Run: a.runs.cancel(in.Request, time.Now())})
}

func (a *Agent) serveAck(w http.ResponseWriter, r *http.Request) {
	in, ok := decodeBody[messenger.AckRequest](w, r)
	if !ok {
		return
	}
	for _, id := range in.Requests {
		a.runs.acknowledge(id)
	}
	a.writeReply(w, messenger.Empty{})
}

func (a *Agent) writeReply(w http.ResponseWriter, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		a.cfg.Log.Debug().Err(err).Msg("agent: entry disconnected before its reply")
	}
}

func (a *Agent) streamFrames(w http.ResponseWriter, r *http.Request, run *run, from int) {
	flusher := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	if err := flusher.Flush(); err != nil {
		return
	}
	err := run.streamFrames(r.Context(), from, func(f messenger.Frame) error {
		if err := enc.Encode(f); err != nil {
			return err
		}
		return flusher.Flush()
	})
	if err != nil {
		a.cfg.Log.Debug().Err(err).Str("request", string(run.work.Request)).Msg("agent: entry disconnected before the end of the answer")
	}
}

// execute checks one request, waits for a slot in the queue and runs the request on the backend
// server.
func (a *Agent) execute(r *run) {
	start := time.Now()
	size := int64(len(r.work.Body))
	if !a.bodyMemory.TryAcquire(size) {
		refusal := model.Refuse(model.KindOverload, "the agent holds as many request bodies as it may: another one takes the request").WithRetry(time.Second)
		r.finish(refusalFrame(refusal), start)
		return
	}
	defer func() {
		r.work.Body = nil
		a.bodyMemory.Release(size)
	}()
	if refusal := a.checkAdmission(r.ctx, &r.work); refusal != nil {
		r.finish(refusalFrame(refusal), time.Now())
		return
	}
	queueRequest := a.queueRequest(&r.work, start)
	if refusal := a.queue.Admit(r.ctx, queueRequest, start); refusal != nil {
		f := refusalFrame(refusal)
		if refusal.Kind == model.KindBusy {
			load := a.currentLoad()
			f.Load = &load
		}
		r.finish(f, time.Now())
		return
	}
	a.publishLoad()
	a.cfg.Meter.ObserveQueueTime(r.work.Organisation, r.work.Class, time.Since(start))
	admittedAt := time.Now()
	usage := a.callBackend(r)
	usage.HoldTime = time.Since(admittedAt)
	a.queue.Release(queueRequest, usage, time.Now())
	a.publishLoad()
}

func (a *Agent) queueRequest(w *messenger.Work, now time.Time) admitter.Request {
	weight := 1.0
	if s := a.cfg.Watcher.Catalogue().Services[w.Service]; s != nil && s.Document != nil {
		if o, ok := s.Document.FindOrganisation(w.Organisation); ok {
			weight = o.Weight
		}
	}
	return admitter.Request{
		Organisation: w.Organisation,
		Weight:       weight,
		Priority:     w.Priority,
		Deadline:     now.Add(w.Budget),
		Exclusive:    w.Suspect || a.isSuspect(w.Fingerprint),
		NoWait:       w.NoWait,
	}
}

// callBackend repeats the admission check, because the document may have changed while the request
// was queued, and then hands the request to the backend server.
func (a *Agent) callBackend(r *run) admitter.Usage {
	if refusal := a.checkAdmission(r.ctx, &r.work); refusal != nil {
		r.finish(refusalFrame(refusal), time.Now())
		return admitter.Usage{}
	}
	if !r.handOver() {
		return admitter.Usage{}
	}
	start := time.Now()
	end, firstByte, refusal := a.backend.call(r)
	usage := admitter.Usage{FirstByte: firstByte, Failed: refusal != nil}
	if refusal == nil {
		if r.work.Stream && end.Output > 1 {
			usage.TokenGap = (time.Since(start) - firstByte) / time.Duration(end.Output-1)
		}
		a.completeRun(r, end)
		return usage
	}
	if refusal.Kind == model.KindBackendFailed && r.ctx.Err() == nil {
		a.awaitCrashCheck(r.work)
	}
	r.finish(refusalFrame(refusal), time.Now())
	return usage
}

func (a *Agent) completeRun(r *run, end *messenger.End) {
	load := a.currentLoad()
	end.Load = &load
	r.mu.Lock()
	r.usage = &model.Usage{
		Organisation: r.work.Organisation,
		Service:      r.work.Service,
		Version:      r.work.Version,
		Input:        end.Input,
		Output:       end.Output,
		Cost:         a.answerCost(&r.work, end),
		CascadeSteps: 1,
	}
	r.mu.Unlock()
	r.finish(messenger.Frame{Kind: messenger.FrameEnd, End: end}, time.Now())
}

func (a *Agent) answerCost(w *messenger.Work, end *messenger.End) model.Money {
	s := a.cfg.Watcher.Catalogue().Services[w.Service]
	if s == nil || s.Document == nil {
		return 0
	}
	v, _ := s.Document.FindVersion(w.Version)
	return v.Input.Cost(end.Input) + v.Output.Cost(end.Output)
}

// checkAdmission is the last check before the backend server. It covers drain, service, lease,
// revision, permission, quarantine, health and loaded version.
func (a *Agent) checkAdmission(ctx context.Context, w *messenger.Work) *model.Refusal {
	if a.draining.Load() {
		return model.Refuse(model.KindLeaving, "this backend server is leaving: another one takes the request")
	}
	if w.Service != a.cfg.Settings.Service {
		return model.Refuse(model.KindUnknownService, "this agent does not serve %s: check the instance list", w.Service)
	}
	if refusal := a.cfg.Watcher.CheckLease(ctx, w.Service); refusal != nil {
		return refusal
	}
	if !a.cfg.Watcher.CatchUp(ctx, w.Service, w.Revision) {
		return model.Refuse(model.KindStaleConfiguration, "this agent cannot reach the request's configuration: another one may").WithRetry(time.Second)
	}
	s := a.cfg.Watcher.Catalogue().Services[w.Service]
	if s == nil || s.Document == nil {
		return model.Refuse(model.KindUnknownService, "service %s has no document: apply one", w.Service)
	}
	if !s.Document.Allows(w.Organisation, w.Version, w.Pinned) {
		return model.Refuse(model.KindWithdrawn, "version %s takes no such work any more: send the request again", w.Version)
	}
	if why := s.Document.BarsPlace(w.Organisation, a.cfg.Settings.Place); why != "" {
		return model.Refuse(model.KindNoBackend, "this backend server may not run the request, %s: another one takes it", why)
	}
	if a.isBanned(w.Fingerprint, time.Now()) {
		return model.Refuse(model.KindQuarantined, "the request crashed backend servers: change it before sending it again")
	}
	if !a.backend.healthy.Load() {
		return model.Refuse(model.KindNoBackend, "the backend server does not answer: another one takes the request").WithRetry(time.Second)
	}
	if s.Document.Kind == model.KindModel && !a.backend.hasLoaded(w.Version) {
		return model.Refuse(model.KindNoBackend, "version %s is not loaded here: another backend server takes the request", w.Version)
	}
	return nil
}

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

// envelopeOverhead is the room of a work envelope beside its encoded body.
const envelopeOverhead = 64 << 10

func (a *Agent) authenticated(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := model.RequestID(r.Header.Get(messenger.HeaderRequest))
		if !a.secret.VerifyProof(r.Header.Get(messenger.HeaderProof), r.URL.Path, id) {
			http.Error(w, "set the same secret on both instances", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, int64(a.cfg.Settings.Limits.Body)*4/3+envelopeOverhead)
		next(w, r)
	}
}

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var in T
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, "send a valid message", http.StatusBadRequest)
		return in, false
	}
	return in, true
}

func (a *Agent) serveWork(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[messenger.Work](w, r)
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
		a.reply(w, f)
		return
	}
	run, fresh := a.runs.begin(a.stop, in, time.Now())
	if run == nil {
		refusal := model.Refuse(model.KindCancelled, "the request was cancelled before it arrived: send it again if it is still wanted")
		f := refusalFrame(refusal)
		f.Request = in.Request
		a.reply(w, f)
		return
	}
	if fresh {
		go a.execute(run)
	}
	a.follow(w, r, run, 0)
}

func (a *Agent) serveResume(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[messenger.ResumeRequest](w, r)
	if !ok {
		return
	}
	run, ok := a.runs.find(in.Request)
	if !ok || in.Boot != a.boot {
		http.Error(w, "the answer is not kept here", http.StatusNotFound)
		return
	}
	a.follow(w, r, run, max(in.From, 0))
}

func (a *Agent) serveCancel(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[messenger.CancelRequest](w, r)
	if !ok {
		return
	}
	if in.Boot != a.boot {
		// An earlier life of this agent had the request; what it did is not known any more.
		a.reply(w, messenger.CancelReply{Run: model.RunUnknown})
		return
	}
	a.reply(w, messenger.CancelReply{Run: a.runs.cancel(in.Request, time.Now())})
}

func (a *Agent) serveAck(w http.ResponseWriter, r *http.Request) {
	in, ok := decode[messenger.AckRequest](w, r)
	if !ok {
		return
	}
	for _, id := range in.Requests {
		a.runs.acknowledge(id)
	}
	a.reply(w, messenger.Empty{})
}

func (a *Agent) reply(w http.ResponseWriter, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		a.cfg.Log.Debug().Err(err).Msg("agent: entry left before its reply")
	}
}

func (a *Agent) follow(w http.ResponseWriter, r *http.Request, run *run, from int) {
	flusher := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	if err := flusher.Flush(); err != nil {
		return
	}
	err := run.follow(r.Context(), from, func(f messenger.Frame) error {
		if err := enc.Encode(f); err != nil {
			return err
		}
		return flusher.Flush()
	})
	if err != nil {
		a.cfg.Log.Debug().Err(err).Str("request", string(run.work.Request)).Msg("agent: entry left before the end")
	}
}

// execute takes one request through the gate, the queue and the backend server.
func (a *Agent) execute(r *run) {
	start := time.Now()
	size := int64(len(r.work.Body))
	if !a.bodies.TryAcquire(size) {
		refusal := model.Refuse(model.KindOverload, "the agent holds as many request bodies as it may: another one takes the request").WithRetry(time.Second)
		r.finish(refusalFrame(refusal), start)
		return
	}
	defer func() {
		r.work.Body = nil
		a.bodies.Release(size)
	}()
	if refusal := a.check(r.ctx, &r.work); refusal != nil {
		r.finish(refusalFrame(refusal), time.Now())
		return
	}
	request := a.request(&r.work, start)
	if refusal := a.queue.Admit(r.ctx, request, start); refusal != nil {
		f := refusalFrame(refusal)
		if refusal.Kind == model.KindBusy {
			load := a.currentLoad()
			f.Load = &load
		}
		r.finish(f, time.Now())
		return
	}
	a.publishLoad()
	a.cfg.Meter.Queued(r.work.Organisation, r.work.Class, time.Since(start))
	begun := time.Now()
	use := a.perform(r)
	use.HoldTime = time.Since(begun)
	a.queue.Release(request, use, time.Now())
	a.publishLoad()
}

func (a *Agent) request(w *messenger.Work, now time.Time) admitter.Request {
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
		Exclusive:    w.Suspect || a.suspected(w.Fingerprint),
		NoWait:       w.NoWait,
	}
}

// perform checks once more, since the document may have changed in the queue, and then
// hands the request to the backend server.
func (a *Agent) perform(r *run) admitter.Usage {
	if refusal := a.check(r.ctx, &r.work); refusal != nil {
		r.finish(refusalFrame(refusal), time.Now())
		return admitter.Usage{}
	}
	if !r.hand() {
		return admitter.Usage{}
	}
	start := time.Now()
	end, first, refusal := a.backend.call(r)
	use := admitter.Usage{FirstByte: first, Failed: refusal != nil}
	if refusal == nil {
		if r.work.Stream && end.Output > 1 {
			use.TokenGap = (time.Since(start) - first) / time.Duration(end.Output-1)
		}
		a.complete(r, end)
		return use
	}
	if refusal.Kind == model.KindBackendFailed && r.ctx.Err() == nil {
		a.inspect(r.work)
	}
	r.finish(refusalFrame(refusal), time.Now())
	return use
}

func (a *Agent) complete(r *run, end *messenger.End) {
	load := a.currentLoad()
	end.Load = &load
	r.mu.Lock()
	r.usage = &model.Usage{
		Organisation: r.work.Organisation,
		Service:      r.work.Service,
		Version:      r.work.Version,
		Input:        end.Input,
		Output:       end.Output,
		Cost:         a.cost(&r.work, end),
		CascadeSteps: 1,
	}
	r.mu.Unlock()
	r.finish(messenger.Frame{Kind: messenger.FrameEnd, End: end}, time.Now())
}

func (a *Agent) cost(w *messenger.Work, end *messenger.End) model.Money {
	s := a.cfg.Watcher.Catalogue().Services[w.Service]
	if s == nil || s.Document == nil {
		return 0
	}
	v, _ := s.Document.FindVersion(w.Version)
	return v.Input.Cost(end.Input) + v.Output.Cost(end.Output)
}

// check is the gate at the backend server: lease, revision, state, permission, quarantine.
func (a *Agent) check(ctx context.Context, w *messenger.Work) *model.Refusal {
	if a.leaving.Load() {
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
	if a.banned(w.Fingerprint, time.Now()) {
		return model.Refuse(model.KindQuarantined, "the request crashed backend servers: change it before sending it again")
	}
	if !a.backend.healthy.Load() {
		return model.Refuse(model.KindNoBackend, "the backend server does not answer: another one takes the request").WithRetry(time.Second)
	}
	if s.Document.Kind == model.KindModel && !a.backend.serves(w.Version) {
		return model.Refuse(model.KindNoBackend, "version %s is not loaded here: another backend server takes the request", w.Version)
	}
	return nil
}

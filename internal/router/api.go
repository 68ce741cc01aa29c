package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Headers of the callers' API.
const (
	headerKey      = "Idempotency-Key"
	headerSession  = "Bramleyhinge-Session"
	headerDeadline = "Bramleyhinge-Deadline"
	headerPriority = "Bramleyhinge-Priority"
	headerRequest  = "Bramleyhinge-Request"
	headerModel    = "Bramleyhinge-Model"
	headerVersion  = "Bramleyhinge-Version"
	headerReplayed = "Bramleyhinge-Replayed"
)

// Handler serves the callers' API.
func (e *Entry) Handler() http.Handler {
	ws := new(restful.WebService)
	ws.Route(ws.POST("/v1/chat/completions").To(e.model))
	ws.Route(ws.POST("/v1/completions").To(e.model))
	ws.Route(ws.GET("/v1/models").To(e.listModels))
	ws.Route(ws.GET("/healthz").To(e.health))
	ws.Route(ws.GET("/readyz").To(e.readiness))
	ws.Route(ws.GET("/metrics").To(e.metrics))
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		ws.Route(ws.Method(method).Path("/services/{service}/{path:*}").To(e.plain))
	}
	container := restful.NewContainer()
	container.DoNotRecover(true)
	container.Add(ws)
	return container
}

func (e *Entry) health(_ *restful.Request, resp *restful.Response) {
	resp.WriteHeader(http.StatusOK)
}

func (e *Entry) readiness(_ *restful.Request, resp *restful.Response) {
	if !e.Ready(time.Now()) {
		resp.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	resp.WriteHeader(http.StatusOK)
}

func (e *Entry) metrics(_ *restful.Request, resp *restful.Response) {
	e.gauges()
	resp.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := e.cfg.Meter.WriteText(resp.ResponseWriter); err != nil {
		e.cfg.Log.Debug().Err(err).Msg("entry: metrics reader left")
	}
}

// modelRow is one row of the model list.
type modelRow struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) listModels(req *restful.Request, resp *restful.Response) {
	access, refusal := e.authenticate(req.Request)
	if refusal != nil {
		e.refuse(resp.ResponseWriter, refusal)
		return
	}
	rows := []modelRow{}
	for _, a := range access {
		d := a.Service.Document
		if d.Kind != model.KindModel {
			continue
		}
		rows = append(rows, modelRow{ID: string(d.Service), Object: "model", OwnedBy: string(d.Service)})
		for _, v := range a.Organisation.Versions {
			if d.Allows(a.Organisation.Organisation, v, false) {
				rows = append(rows, modelRow{ID: string(v), Object: "model", OwnedBy: string(d.Service)})
			}
		}
	}
	writeJSON(resp.ResponseWriter, http.StatusOK, map[string]any{"object": "list", "data": rows})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that left gets no answer; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// errorBody is the one JSON shape of refusals; retry is in seconds.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind    model.RefusalKind `json:"kind"`
	Message string            `json:"message"`
	Run     model.Run         `json:"run"`
	Retry   float64           `json:"retry,omitempty"`
	Request model.RequestID   `json:"request,omitempty"`
}

func detail(r *model.Refusal) errorBody {
	return errorBody{errorDetail{Kind: r.Kind, Message: r.Message, Run: r.Run, Retry: r.Retry.Seconds(), Request: r.Request}}
}

// refuse writes a refusal that comes before a call exists.
func (e *Entry) refuse(w http.ResponseWriter, r *model.Refusal) {
	e.cfg.Meter.Count("refused/"+string(r.Kind), 1)
	if r.Retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(r.Retry.Seconds()))))
	}
	if r.Request != "" {
		w.Header().Set(headerRequest, string(r.Request))
	}
	writeJSON(w, r.Status(), detail(r))
}

func bearer(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

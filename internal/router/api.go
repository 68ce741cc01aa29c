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

// Request and answer headers of the callers' API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerSession        = "Bramleyhinge-Session"
	headerDeadline       = "Bramleyhinge-Deadline"
	headerPriority       = "Bramleyhinge-Priority"
	headerRequest        = "Bramleyhinge-Request"
	headerModel          = "Bramleyhinge-Model"
	headerVersion        = "Bramleyhinge-Version"
	headerReplayed       = "Bramleyhinge-Replayed"
)

// Handler serves the callers' API.
func (e *Entry) Handler() http.Handler {
	ws := new(restful.WebService)
	ws.Route(ws.POST("/v1/chat/completions").To(e.handleCompletion))
	ws.Route(ws.POST("/v1/completions").To(e.handleCompletion))
	ws.Route(ws.GET("/v1/models").To(e.handleModelList))
	ws.Route(ws.GET("/healthz").To(e.handleHealth))
	ws.Route(ws.GET("/readyz").To(e.handleReadiness))
	ws.Route(ws.GET("/metrics").To(e.handleMetrics))
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		ws.Route(ws.Method(method).Path("/services/{service}/{path:*}").To(e.handlePlain))
	}
	container := restful.NewContainer()
	container.DoNotRecover(true)
	container.Add(ws)
	return container
}

func (e *Entry) handleHealth(_ *restful.Request, resp *restful.Response) {
	resp.WriteHeader(http.StatusOK)
}

func (e *Entry) handleReadiness(_ *restful.Request, resp *restful.Response) {
	if !e.Ready(time.Now()) {
		resp.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	resp.WriteHeader(http.StatusOK)
}

func (e *Entry) handleMetrics(_ *restful.Request, resp *restful.Response) {
	e.updateGauges()
	resp.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := e.cfg.Meter.WriteText(resp.ResponseWriter); err != nil {
		e.cfg.Log.Debug().Err(err).Msg("entry: writing the metrics failed")
	}
}

// modelRow is one entry of the answer to GET /v1/models.
type modelRow struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) handleModelList(req *restful.Request, resp *restful.Response) {
	access, refusal := e.authenticate(req.Request)
	if refusal != nil {
		e.writeRefusal(resp.ResponseWriter, refusal)
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
	// An error means that the caller closed the connection, so nobody is left to report it to.
	_ = json.NewEncoder(w).Encode(v)
}

// errorBody is the JSON body of every refusal; retry is in seconds.
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

func newErrorBody(r *model.Refusal) errorBody {
	return errorBody{errorDetail{Kind: r.Kind, Message: r.Message, Run: r.Run, Retry: r.Retry.Seconds(), Request: r.Request}}
}

// writeRefusal counts a refusal and writes it as the answer to the caller.
func (e *Entry) writeRefusal(w http.ResponseWriter, r *model.Refusal) {
	e.cfg.Meter.Count("refused/"+string(r.Kind), 1)
	if r.Retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(r.Retry.Seconds()))))
	}
	if r.Request != "" {
		w.Header().Set(headerRequest, string(r.Request))
	}
	writeJSON(w, r.Status(), newErrorBody(r))
}

func bearerKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

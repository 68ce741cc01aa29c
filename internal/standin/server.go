package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Handler returns the HTTP handler of the platform's API, with POST /faults for the fault switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects", p.serveList)
	mux.HandleFunc("GET /objects/{key...}", p.serveGet)
	mux.HandleFunc("PUT /objects/{key...}", p.servePut)
	mux.HandleFunc("DELETE /objects/{key...}", p.serveDelete)
	mux.HandleFunc("GET /watch", p.serveWatch)
	mux.HandleFunc("GET /instances", p.serveInstances)
	mux.HandleFunc("PUT /instances", p.serveSetInstance)
	mux.HandleFunc("DELETE /instances/{id}", p.serveRemoveInstance)
	mux.HandleFunc("POST /faults", p.serveFaults)
	return mux
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	l, err := p.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResult(w, l, err)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := p.Get(r.Context(), r.PathValue("key"))
	writeResult(w, o, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	var in storer.PutRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, "send value and expect as JSON", http.StatusBadRequest)
		return
	}
	rev, err := p.Put(r.Context(), r.PathValue("key"), in.Value, in.Expect)
	writeResult(w, storer.PutReply{Revision: rev}, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(w, "send expect as a number", http.StatusBadRequest)
		return
	}
	writeResult(w, struct{}{}, p.Delete(r.Context(), r.PathValue("key"), model.Revision(expect)))
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "send from as a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "send wait as a duration", http.StatusBadRequest)
		return
	}
	l, err := p.Watch(r.Context(), r.URL.Query().Get("prefix"), model.Revision(from), wait)
	writeResult(w, l, err)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	list, err := p.Instances(r.Context())
	writeResult(w, list, err)
}

func (p *Platform) serveSetInstance(w http.ResponseWriter, r *http.Request) {
	var i model.Instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, "send an instance as JSON", http.StatusBadRequest)
		return
	}
	p.SetInstance(i)
	writeResult(w, i, nil)
}

func (p *Platform) serveRemoveInstance(w http.ResponseWriter, r *http.Request) {
	p.RemoveInstance(model.InstanceID(r.PathValue("id")))
	writeResult(w, struct{}{}, nil)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "send the switches as JSON", http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeResult(w, f, nil)
}

func writeResult(w http.ResponseWriter, v any, err error) {
	var se *storer.Error
	if !errors.As(err, &se) {
		writeJSON(w, http.StatusOK, v)
		return
	}
	switch se.Kind {
	case storer.KindUnknown:
		abort(w)
	case storer.KindNotFound:
		writeJSON(w, http.StatusNotFound, se)
	case storer.KindConflict:
		writeJSON(w, http.StatusConflict, se)
	case storer.KindCompacted:
		writeJSON(w, http.StatusGone, se)
	case storer.KindTooLarge:
		writeJSON(w, http.StatusRequestEntityTooLarge, se)
	default:
		writeJSON(w, http.StatusServiceUnavailable, se)
	}
}

// abort closes the connection without a response, to simulate a lost one.
func abort(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client disconnected, so nobody is left to report it to.
	_ = json.NewEncoder(w).Encode(v)
}

func readBody(r *http.Request) []byte {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	return b
}

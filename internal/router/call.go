package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// call is one caller's request on its way through the entry.
type call struct {
	ctx         context.Context
	id          model.RequestID
	start       time.Time
	deadline    time.Time
	service     model.ServiceID
	access      watcher.Access
	class       model.Class
	key         model.IdempotencyKey
	idempotent  bool
	session     string
	sessionID   model.SessionID
	pinned      model.VersionID
	hint        model.InstanceID
	served      model.InstanceID
	model       string
	stream      bool
	method      string
	path        string
	contentType string
	body        []byte
	fields      map[string]json.RawMessage
	fingerprint model.Fingerprint
	suspect     bool
	record      *explainer.Record
}

func (c *call) doc() *model.Document { return c.access.Service.Document }

func (c *call) org() model.Organisation { return c.access.Organisation }

func (c *call) note(s explainer.Step) { c.record.Add(time.Now(), s) }

// refusal returns r with the request's id.
func (c *call) refusal(r *model.Refusal) *model.Refusal {
	out := *r
	out.Request = c.id
	return &out
}

const maxKeyLength = 255

func (e *Entry) authenticate(r *http.Request) ([]watcher.Access, *model.Refusal) {
	key := bearer(r)
	if key == "" {
		return nil, model.Refuse(model.KindUnauthorized, "no key was sent: add the header Authorization: Bearer KEY")
	}
	access := e.cfg.Watcher.Catalogue().Authenticate(key)
	if len(access) == 0 && !e.cfg.Watcher.Ready() {
		return nil, model.Refuse(model.KindStale, "this instance is starting: try again").WithRetry(time.Second)
	}
	if len(access) == 0 {
		return nil, model.Refuse(model.KindUnauthorized, "the key opens no service: check it with the service's team")
	}
	return access, nil
}

// newCall reads what all calls have in common. The caller must call release, which is nil
// only with a refusal.
func (e *Entry) newCall(w http.ResponseWriter, r *http.Request) (c *call, release func(), refusal *model.Refusal) {
	now := time.Now()
	c = &call{
		id:          model.RequestID(ulid.Make().String()),
		start:       now,
		key:         model.IdempotencyKey(r.Header.Get(headerKey)),
		session:     r.Header.Get(headerSession),
		method:      r.Method,
		path:        r.URL.Path,
		contentType: r.Header.Get("Content-Type"),
	}
	if len(c.key) > maxKeyLength || len(c.session) > 4*maxKeyLength {
		return c, nil, model.Refuse(model.KindBadRequest, "the idempotency key or session is too long: use at most %d characters", maxKeyLength)
	}
	size := int64(e.cfg.Settings.Limits.Body)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if !e.bodies.TryAcquire(size) {
		return c, nil, model.Refuse(model.KindOverload, "this instance holds as many request bodies as it may: try again, another instance may have room").WithRetry(time.Second)
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		e.bodies.Release(size)
		return c, nil, refusal
	}
	c.body = body
	limit := e.cfg.Settings.Limits.Time
	c.deadline = now.Add(limit)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	c.ctx = ctx
	return c, func() { cancel(); e.bodies.Release(size) }, nil
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *model.Refusal) {
	limit := int64(e.cfg.Settings.Limits.Body)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, model.Refuse(model.KindTooLarge, "the body is over %d bytes: send less", limit)
	}
	if err != nil {
		return nil, model.Refuse(model.KindIncomplete, "the body did not arrive whole: send the request again")
	}
	return body, nil
}

// fingerprintOf recognises the same request when it is sent again.
func fingerprintOf(service model.ServiceID, method, path string, body []byte) model.Fingerprint {
	h := xxhash.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", service, method, path)
	h.Write(body)
	return model.Fingerprint(h.Sum64())
}

// setClass applies the class's deadline and the caller's own, whichever ends first.
func (c *call) setClass(class model.Class, r *http.Request) *model.Refusal {
	c.class = class
	c.deadline = earlier(c.deadline, c.start.Add(class.Deadline))
	if text := r.Header.Get(headerDeadline); text != "" {
		d, err := model.ParseDuration(text)
		if err != nil {
			return model.Refuse(model.KindBadRequest, "header %s: %v", headerDeadline, err)
		}
		c.deadline = earlier(c.deadline, c.start.Add(d))
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// priority reads the caller's wish, which the document caps.
func priority(r *http.Request, cap model.Priority) (model.Priority, *model.Refusal) {
	p := model.Priority(r.Header.Get(headerPriority))
	switch p {
	case "":
		p = model.PriorityNormal
	case model.PriorityHigh, model.PriorityNormal, model.PriorityBatch:
	default:
		return "", model.Refuse(model.KindBadRequest, "header %s must be high, normal or batch", headerPriority)
	}
	if p.Rank() < cap.Rank() {
		return cap, nil
	}
	return p, nil
}

// completionFields is the part of a completions request that the router reads.
type completionFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// readModel parses a completions request and finds its service. A model that the
// organisation may not use is answered like one that does not exist.
func (c *call) readModel(r *http.Request, access []watcher.Access) *model.Refusal {
	var f completionFields
	if err := json.Unmarshal(c.body, &f); err != nil {
		return model.Refuse(model.KindBadRequest, "the body is not a valid JSON request: check model and stream")
	}
	if err := json.Unmarshal(c.body, &c.fields); err != nil {
		return model.Refuse(model.KindBadRequest, "the body is not a JSON object")
	}
	c.model, c.stream = f.Model, f.Stream
	for _, a := range access {
		if a.Service.Document.Kind == model.KindModel && opens(a, f.Model) {
			c.take(a)
			break
		}
	}
	if c.service == "" {
		return model.Refuse(model.KindUnknownModel, "model %q is not known here: see GET /v1/models", f.Model)
	}
	p, refusal := priority(r, c.org().Priority)
	if refusal != nil {
		return refusal
	}
	c.idempotent = c.key == ""
	return c.setClass(c.doc().ClassFor(p), r)
}

func (c *call) take(a watcher.Access) {
	c.access = a
	c.service = a.Service.Document.Service
	c.fingerprint = fingerprintOf(c.service, c.method, c.path, c.body)
}

// opens reports whether the organisation reaches a model name in the service.
func opens(a watcher.Access, name string) bool {
	d := a.Service.Document
	if name == string(d.Service) {
		return true
	}
	for _, v := range d.Versions {
		named := string(v.Version) == name || string(v.Model) == name
		if named && slices.Contains(a.Organisation.Versions, v.Version) && v.State != model.StateWithdrawn {
			return true
		}
	}
	return false
}

// readPlain finds the service and route of a plain call.
func (c *call) readPlain(r *http.Request, access []watcher.Access, service model.ServiceID, path string) *model.Refusal {
	for _, a := range access {
		if a.Service.Document.Service == service && a.Service.Document.Kind == model.KindPlain {
			c.path = path
			c.take(a)
		}
	}
	if c.service == "" {
		return model.Refuse(model.KindUnknownRoute, "service %q is not known here: check the path", service)
	}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
		c.fingerprint = fingerprintOf(c.service, c.method, c.path, c.body)
	}
	route := c.doc().FindRoute(c.method, path)
	c.idempotent = route.Idempotent
	if route.Class != "" {
		return c.setClass(c.doc().FindClass(route.Class), r)
	}
	p, refusal := priority(r, c.org().Priority)
	if refusal != nil {
		return refusal
	}
	return c.setClass(c.doc().ClassFor(p), r)
}

// bodyFor returns the body with the version as its model, and usage asked of streams.
func (c *call) bodyFor(v model.VersionID) ([]byte, error) {
	if c.fields == nil {
		return c.body, nil
	}
	name, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode version: %w", err)
	}
	fields := make(map[string]json.RawMessage, len(c.fields)+1)
	for k, f := range c.fields {
		fields[k] = f
	}
	fields["model"] = name
	if c.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(fields)
}

// inputTokens estimates the prompt's tokens from its bytes.
func (c *call) inputTokens() int { return len(c.body) / 4 }

// affinityKey keeps requests of one session, or with one long prefix, together.
func (c *call) affinityKey() string {
	if c.sessionID != "" {
		return string(c.org().Organisation) + "/" + string(c.sessionID)
	}
	if len(c.body) < minPrefix {
		return ""
	}
	return fmt.Sprintf("%x", xxhash.Sum64(c.body[:minPrefix]))
}

// minPrefix is the shortest common beginning, in bytes, that is worth a cache hit.
const minPrefix = 1024

func dice() [3]float64 { return [3]float64{rand.Float64(), rand.Float64(), rand.Float64()} }

// joinPath returns a path with one leading slash.
func joinPath(rest string) string { return "/" + strings.TrimPrefix(rest, "/") }

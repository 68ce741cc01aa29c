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

// call holds the state of one caller's request while the entry handles it.
type call struct {
	ctx        context.Context
	id         model.RequestID
	start      time.Time
	deadline   time.Time
	service    model.ServiceID
	access     watcher.Access
	class      model.Class
	key        model.IdempotencyKey
	idempotent bool
	// regions are those of the route of a plain service.
	regions        model.Regions
	session        string
	sessionID      model.SessionID
	pinned         model.VersionID
	preferredAgent model.InstanceID
	lastAgent      model.InstanceID
	model          string
	stream         bool
	method         string
	path           string
	contentType    string
	body           []byte
	bodyFields     map[string]json.RawMessage
	fingerprint    model.Fingerprint
	suspect        bool
	explanation    *explainer.Record
}

func (c *call) document() *model.Document { return c.access.Service.Document }

func (c *call) org() model.Organisation { return c.access.Organisation }

func (c *call) explain(s explainer.Step) { c.explanation.Add(time.Now(), s) }

// refusal returns a copy of r that carries the request's id.
func (c *call) refusal(r *model.Refusal) *model.Refusal {
	out := *r
	out.Request = c.id
	return &out
}

const maxKeyLength = 255

func (e *Entry) authenticate(r *http.Request) ([]watcher.Access, *model.Refusal) {
	key := bearerKey(r)
	if key == "" {
		return nil, model.Refuse(model.KindUnauthorized, "no key was sent: add the header Authorization: Bearer KEY")
	}
	access := e.cfg.Watcher.Catalogue().Authenticate(key)
	if len(access) == 0 && !e.cfg.Watcher.Ready() {
		return nil, model.Refuse(model.KindStaleConfiguration, "this instance is starting: try again").WithRetry(time.Second)
	}
	if len(access) == 0 {
		return nil, model.Refuse(model.KindUnauthorized, "the key opens no service: check it with the service's team")
	}
	return access, nil
}

// newCall reads the parts of a request that model and plain calls share. The caller must call
// release, which is nil only if there is a refusal.
func (e *Entry) newCall(w http.ResponseWriter, r *http.Request) (c *call, release func(), refusal *model.Refusal) {
	now := time.Now()
	c = &call{
		id:          model.RequestID(ulid.Make().String()),
		start:       now,
		key:         model.IdempotencyKey(r.Header.Get(headerIdempotencyKey)),
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
	if !e.bodyBytes.TryAcquire(size) {
		return c, nil, model.Refuse(model.KindOverload, "this instance holds as many request bodies as it may: try again, another instance may have room").WithRetry(time.Second)
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		e.bodyBytes.Release(size)
		return c, nil, refusal
	}
	c.body = body
	limit := e.cfg.Settings.Limits.RequestTimeout
	c.deadline = now.Add(limit)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	c.ctx = ctx
	return c, func() { cancel(); e.bodyBytes.Release(size) }, nil
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *model.Refusal) {
	limit := int64(e.cfg.Settings.Limits.Body)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, model.Refuse(model.KindTooLarge, "the body is over %d bytes: send less", limit)
	}
	if err != nil {
		return nil, model.Refuse(model.KindIncompleteBody, "the body did not arrive whole: send the request again")
	}
	return body, nil
}

// requestFingerprint returns a hash that is equal for a request that is sent again.
func requestFingerprint(service model.ServiceID, method, path string, body []byte) model.Fingerprint {
	h := xxhash.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", service, method, path)
	h.Write(body)
	return model.Fingerprint(h.Sum64())
}

// setClass sets the class and limits the deadline to the class's and to the caller's own.
func (c *call) setClass(class model.Class, r *http.Request) *model.Refusal {
	c.class = class
	c.deadline = earlierTime(c.deadline, c.start.Add(class.Deadline))
	if text := r.Header.Get(headerDeadline); text != "" {
		d, err := model.ParseDuration(text)
		if err != nil {
			return model.Refuse(model.KindBadRequest, "header %s: %v", headerDeadline, err)
		}
		c.deadline = earlierTime(c.deadline, c.start.Add(d))
	}
	return nil
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// requestPriority returns the priority that the caller asks for, limited to cap, the highest that
// the document allows the organisation.
func requestPriority(r *http.Request, cap model.Priority) (model.Priority, *model.Refusal) {
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

// completionFields holds the fields of a completions request that the router reads.
type completionFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// parseCompletion parses a completions request and finds its service. A model that the
// organisation may not use gets the same refusal as one that does not exist.
func (c *call) parseCompletion(r *http.Request, access []watcher.Access) *model.Refusal {
	var f completionFields
	if err := json.Unmarshal(c.body, &f); err != nil {
		return model.Refuse(model.KindBadRequest, "the body is not a valid JSON request: check model and stream")
	}
	if err := json.Unmarshal(c.body, &c.bodyFields); err != nil {
		return model.Refuse(model.KindBadRequest, "the body is not a JSON object")
	}
	c.model, c.stream = f.Model, f.Stream
	for _, a := range access {
		if a.Service.Document.Kind == model.KindModel && allowsModel(a, f.Model) {
			c.setAccess(a)
			break
		}
	}
	if c.service == "" {
		return model.Refuse(model.KindUnknownModel, "model %q is not known here: see GET /v1/models", f.Model)
	}
	p, refusal := requestPriority(r, c.org().Priority)
	if refusal != nil {
		return refusal
	}
	c.idempotent = c.key == ""
	return c.setClass(c.document().ClassFor(p), r)
}

func (c *call) setAccess(a watcher.Access) {
	c.access = a
	c.service = a.Service.Document.Service
	c.fingerprint = requestFingerprint(c.service, c.method, c.path, c.body)
}

// allowsModel reports whether the organisation may use a service, version or model of that name.
func allowsModel(a watcher.Access, name string) bool {
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

// parsePlain finds the service and route of a plain call and sets its class.
func (c *call) parsePlain(r *http.Request, access []watcher.Access, service model.ServiceID, path string) *model.Refusal {
	for _, a := range access {
		if a.Service.Document.Service == service && a.Service.Document.Kind == model.KindPlain {
			c.path = path
			c.setAccess(a)
		}
	}
	if c.service == "" {
		return model.Refuse(model.KindUnknownService, "service %q is not known here: check the path", service)
	}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
		c.fingerprint = requestFingerprint(c.service, c.method, c.path, c.body)
	}
	route := c.document().FindRoute(c.method, path)
	c.idempotent, c.regions = route.Idempotent, route.Regions
	if route.Class != "" {
		return c.setClass(c.document().FindClass(route.Class), r)
	}
	p, refusal := requestPriority(r, c.org().Priority)
	if refusal != nil {
		return refusal
	}
	return c.setClass(c.document().ClassFor(p), r)
}

// encodeBody returns the body with the version as its model; a stream also asks for its usage.
func (c *call) encodeBody(v model.VersionID) ([]byte, error) {
	if c.bodyFields == nil {
		return c.body, nil
	}
	name, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode version: %w", err)
	}
	bodyFields := make(map[string]json.RawMessage, len(c.bodyFields)+1)
	for k, f := range c.bodyFields {
		bodyFields[k] = f
	}
	bodyFields["model"] = name
	if c.stream {
		bodyFields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(bodyFields)
}

// estimateInputTokens estimates the number of prompt tokens as a quarter of the body's bytes.
func (c *call) estimateInputTokens() int { return len(c.body) / 4 }

// affinityKey returns a key that is equal for requests of one session or with one long prefix,
// so that they go to the same backend server and find its cache filled.
func (c *call) affinityKey() string {
	if c.sessionID != "" {
		return string(c.org().Organisation) + "/" + string(c.sessionID)
	}
	if len(c.body) < minPrefixBytes {
		return ""
	}
	return fmt.Sprintf("%x", xxhash.Sum64(c.body[:minPrefixBytes]))
}

// minPrefixBytes is the shortest common prefix that is worth a cache hit.
const minPrefixBytes = 1024

func randomDraws() [3]float64 { return [3]float64{rand.Float64(), rand.Float64(), rand.Float64()} }

func withLeadingSlash(rest string) string { return "/" + strings.TrimPrefix(rest, "/") }

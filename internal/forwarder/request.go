package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/acceptor"
	"github.com/bramleyhinge/bramleyhinge/internal/hasher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// defaultTimeout applies to a request without a time limit whose route has no timeout.
	defaultTimeout = 60 * time.Second
	// defaultBodyBytes limits a body if the plan sets no limit.
	defaultBodyBytes = 1 << 20
	// bodyWait is how long a request waits for body memory.
	bodyWait = time.Second
)

// call is one request of a caller and the state of its attempts.
type call struct {
	id       string
	start    time.Time
	deadline time.Time
	plan     *model.Plan
	route    *model.PlanRoute
	service  model.PlanService
	org      model.OrganisationID
	rank     int
	method   string
	uri      string
	host     string
	// hostName and path are what routes are found by.
	hostName, path string
	header         http.Header
	body           []byte
	prompt         prompt
	model          model.ModelID
	// session is the id that related requests share.
	session     string
	fingerprint uint64
	// traits are the properties of the request that may crash backend servers.
	traits []model.Trait
	// trial is set if the request is banned and was sent all the same, to one backend server only.
	trial bool
	// prefillTime is the estimated prefill time of the prompt at the current backend server; uncontended means
	// that the prompt does not have to wait for others.
	prefillTime time.Duration
	uncontended bool
	// expected is how long the answer is expected to take from now on, at the current backend server.
	expected time.Duration
	// versions is the last choice of versions, failedAt holds those that answered with an error.
	versions VersionChoice
	failedAt map[model.VersionID]bool
	// inFlight is the number of running and waiting requests at that backend server when it was chosen.
	inFlight int
	// crowding is what was known of the places when that backend server was chosen.
	crowding crowding
	// notAdmitted is the refusal of a request that was not sent although a backend server may get it.
	notAdmitted *model.Refusal
	// share is the call's place among those of its service.
	share shareClaim
	// uncachedTokens is the number of prompt tokens that are not in its cache.
	uncachedTokens int
	// needsNewConn requests a new connection after an idle one was dropped or was silent; redialled is set once the
	// request was sent to the same backend server again for that reason, which sameAgain holds until then.
	needsNewConn, redialled bool
	sameAgain               *peer
	// escalated is set once an answer was dropped for a larger model's, which was expected to end in time.
	escalated bool
	cascade   callCascade
	// outwaited is set once an attempt went on for longer than a backend server may be silent.
	outwaited bool
	// attemptStart is when the current attempt started.
	attemptStart time.Time
	attempt      *attempt
	// sent counts the attempts that were sent, failedDials the backend servers that could not be reached.
	sent, failedDials int
	tried             map[model.BackendID]bool
	// ineligible counts the backend servers that the last choice left out because of where they are.
	ineligible ineligible
	// mayHaveRun is set once the request may have run.
	mayHaveRun bool
	// lastEvent is the id of the last event that the caller has, from this answer or by its own statement.
	lastEvent string
	// answered is set once an answer or a refusal was begun, delivered once part of the answer was written to the caller.
	answered, delivered bool
	// unresumable is set once the caller has a part of an answer that no other attempt can continue.
	unresumable bool
	// unchunked is set if the caller's version of HTTP has no chunks.
	unchunked bool
	// writes counts the writes of the request that have not ended: they use its body.
	writes sync.WaitGroup
}

// prompt describes a request's prompt, as given by its headers.
type prompt struct {
	tokens int
	// outputTokens is the expected number of tokens in the answer.
	outputTokens int
	// sharedPrefix identifies the longest prefix that other requests share, sharedTokens is its length.
	sharedPrefix string
	sharedTokens int
	// parts lists the ids of the parts that other requests may share, in order.
	parts []string
}

// newCall returns the state of a request that arrived at now; requestHeader names the header with its id.
func newCall(r *http.Request, requestHeader string, now time.Time) *call {
	return &call{
		id: r.Header.Get(requestHeader), start: now, method: r.Method, uri: r.RequestURI, host: r.Host, unchunked: !r.ProtoAtLeast(1, 1),
		tried: map[model.BackendID]bool{},
	}
}

// readRequest validates a call's request and reads its body; release frees the memory reserved for the body.
func (f *Forwarder) readRequest(c *call, w http.ResponseWriter, r *http.Request, now time.Time) (release func(), refusal *model.Refusal) {
	release = func() {}
	c.plan = f.cfg.PlatformState.Plan()
	if c.plan == nil || !f.isReady() {
		// Without the roll-outs and bans of the lists, versions that are not due and banned requests would pass.
		return release, model.Refuse(model.KindStaleConfiguration, "no plan is known yet, or a list was not read yet: try again").WithRetry(time.Second)
	}
	c.hostName, c.path = stripPort(r.Host), r.URL.Path
	route, ok := c.plan.FindRoute(c.hostName, c.path)
	if !ok {
		return release, f.refuseUnlessStale(model.Refuse(model.KindUnknownService, "no route of host %q begins path %q", r.Host, r.URL.Path))
	}
	c.route = route
	if refusal := f.authorise(c, r); refusal != nil {
		return release, refusal
	}
	service, ok := c.plan.Services[f.pickService(c, r)]
	if !ok {
		return release, model.Refuse(model.KindNoBackend, "route %q names a service that the plan does not have", route.Route).WithRetry(time.Second)
	}
	c.service = service
	c.setDeadline(r.Header.Get(f.cfg.Names.TimeLeft))
	c.header = f.forwardedHeaders(r.Header)
	c.prompt = parsePrompt(r.Header.Get(f.cfg.Names.Prefix), r.Header.Get(f.cfg.Names.Usage))
	if n, err := strconv.Atoi(r.Header.Get(f.cfg.Names.LengthHint)); err == nil && n > 0 {
		c.prompt.outputTokens = n
	}
	c.session = r.Header.Get(f.cfg.Names.Session)
	c.lastEvent = r.Header.Get(f.cfg.Names.LastEventID)
	if len(route.Models) > 0 {
		c.model = f.chooseFirst(c, now)
	}
	release, refusal = f.readBody(c, w, r)
	c.fingerprint = c.computeFingerprint()
	c.traits = c.computeTraits()
	return release, refusal
}

// refuseUnlessStale returns refusal, which is final, if the plan is fresh, and one that asks for a retry otherwise.
func (f *Forwarder) refuseUnlessStale(refusal *model.Refusal) *model.Refusal {
	if fresh, _ := f.cfg.PlatformState.KeysFresh(f.cfg.Clock()); !fresh {
		return model.Refuse(model.KindStaleConfiguration, "the plan is too old to refuse for good: try again").WithRetry(time.Second)
	}
	return refusal
}

// authorise checks the request's key and sets the call's organisation and rank.
func (f *Forwarder) authorise(c *call, r *http.Request) *model.Refusal {
	c.rank = c.route.Rank
	if c.plan.Open || c.route.Public {
		return nil
	}
	if fresh, age := f.cfg.PlatformState.KeysFresh(f.cfg.Clock()); !fresh {
		return model.Refuse(model.KindStaleConfiguration, "keys were last confirmed %v ago, or another entry has a newer plan: try another entry", age.Round(time.Millisecond)).WithRetry(staleRetryAfter(rand.Float64()))
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	holder, ok := c.plan.Keys[model.HashKey(strings.TrimSpace(key))]
	if !ok || !strings.EqualFold(scheme, f.cfg.Names.Scheme) {
		return model.Refuse(model.KindUnauthorized, "the key is not known: use a key of the plan")
	}
	c.org = holder.Organisation
	if holder.Rank >= 0 {
		c.rank = holder.Rank
	}
	return nil
}

// staleRetryDelay is the mean retry delay that a caller gets from an entry that lost the store. The retry
// usually reaches another entry, which may still have it; waiting for the end of the outage would only
// help if all entries lost it.
const staleRetryDelay = time.Second

// staleRetryAfter returns the retry delay of a refusal for stale state; random in [0, 1) adds jitter, so
// that callers do not return together.
func staleRetryAfter(random float64) time.Duration {
	return staleRetryDelay*3/4 + time.Duration(random*float64(staleRetryDelay)/2)
}

// pickService picks one of the route's services by the request's id, so that retries reach the same one.
func (f *Forwarder) pickService(c *call, r *http.Request) model.ServiceID {
	shares := c.route.Split
	if len(shares) == 1 {
		return shares[0].Service
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	at := hasher.ToUnitInterval(r.Header.Get(f.cfg.Names.Request)) * sum
	for _, s := range shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[len(shares)-1].Service
}

func (c *call) setDeadline(timeLeft string) {
	d := defaultTimeout
	if ms, err := strconv.ParseFloat(timeLeft, 64); err == nil && ms >= 0 && ms < 1e9 {
		d = time.Duration(ms * float64(time.Millisecond))
	}
	if c.route.Timeout > 0 {
		d = min(d, c.route.Timeout)
	}
	c.deadline = c.start.Add(d)
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Proxy-Authorization": true, "Proxy-Authenticate": true,
}

// forwardedHeaders returns the headers that are sent on to the backend server.
func (f *Forwarder) forwardedHeaders(in http.Header) http.Header {
	out := make(http.Header, len(in))
	named := map[string]bool{}
	for _, v := range in["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range in {
		if hopByHop[name] || named[name] && name != http.CanonicalHeaderKey(f.cfg.Names.Request) || f.reserved[name] || name == "Authorization" {
			continue
		}
		out[name] = values
	}
	return out
}

// parsePrompt parses the parts and the size of a prompt; values that do not parse count as unknown.
func parsePrompt(prefix, usage string) prompt {
	var p prompt
	parts := strings.Split(prefix, ",")
	for _, part := range parts[:len(parts)-1] {
		name, n, _ := strings.Cut(strings.TrimSpace(part), ":")
		p.sharedPrefix = name
		p.parts = append(p.parts, name)
		if tokens, err := strconv.Atoi(n); err == nil {
			p.sharedTokens += max(tokens, 0)
		}
	}
	in, out, _ := strings.Cut(usage, ",")
	if n, err := strconv.Atoi(strings.TrimSpace(in)); err == nil {
		p.tokens = max(n, 0)
	}
	if n, err := strconv.Atoi(strings.TrimSpace(out)); err == nil {
		p.outputTokens = max(n, 0)
	}
	return p
}

// readBody reads the whole body, so that retries can send it again. A body that is not whole by the request's deadline is
// refused, since it holds memory for bodies.
func (f *Forwarder) readBody(c *call, w http.ResponseWriter, r *http.Request) (func(), *model.Refusal) {
	limit := int64(c.plan.Limits.Body)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength == 0 || r.Body == nil {
		return func() {}, nil
	}
	if r.ContentLength > limit {
		return func() {}, model.Refuse(model.KindTooLarge, "the body is over %d bytes: send a smaller one", limit)
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	reserved = min(reserved, int64(f.cfg.Settings.Memory)/bodyMemoryDivisor)
	ctx, cancel := context.WithTimeout(r.Context(), bodyWait)
	defer cancel()
	if err := f.bodies.Acquire(ctx, reserved); err != nil {
		return func() {}, model.Refuse(model.KindOverload, "too many bodies are held: try again").WithRetry(time.Second)
	}
	// An error means that the connection is closed, which the read reports.
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if size := int64(len(body)); size < reserved {
		f.bodies.Release(reserved - size)
		reserved = size
	}
	release := func() { f.bodies.Release(reserved) }
	if int64(len(body)) > limit {
		return release, model.Refuse(model.KindTooLarge, "the body is over %d bytes: send a smaller one", limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The caller may be slow, or the entry was suspended while the body lay in its socket.
		return release, model.Refuse(model.KindDeadline, "the body did not come whole in time").WithRetry(minRetry)
	}
	if err != nil {
		return release, model.Refuse(model.KindIncompleteBody, "the body did not come whole: %v", err)
	}
	// The connection is read on, to notice when its caller leaves.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	return release, nil
}

// attemptsLeft returns how many more backend servers may run the request: none after the first if it must run once, or is
// a trial.
func (c *call) attemptsLeft() int {
	left := c.route.Attempts - c.sent
	if c.trial || !isRetryable(c) {
		left = min(left, 1-c.sent)
	}
	return max(left, 0)
}

// computeFingerprint returns a hash of the method, host, path, organisation and body.
func (c *call) computeFingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{c.method, c.host, c.uri, string(c.org)} {
		// Writing to a hash cannot fail.
		_, _ = d.WriteString(part + "\x00")
	}
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// prefixKey identifies the shared prefix in the cache of an engine that runs model m.
func (c *call) prefixKey(m model.ModelID) string {
	if c.prompt.sharedPrefix == "" {
		return ""
	}
	return c.prompt.sharedPrefix + "\x00" + string(m)
}

// stripPort removes the port from a Host header.
func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// callerLeft reports whether the context ended because the caller disconnected.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !acceptor.IsCut(ctx)
}

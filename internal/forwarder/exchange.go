package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/internal/dialer"
	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// failureKind classifies an attempt at a backend server that produced no answer to forward.
type failureKind string

// Kinds of failed attempts.
const (
	// failureUnreached: the request was never sent.
	failureUnreached failureKind = "unreached"
	// failureNotRun: the backend server says that it did not run the request.
	failureNotRun failureKind = "not_run"
	// failureMisdirected: another backend server has the address; the request did not run.
	failureMisdirected failureKind = "elsewhere"
	// failureBroken: the connection broke or the answer was invalid; the request may have run.
	failureBroken failureKind = "broken"
	// failureFailed: the backend server ran the request and answered with an error.
	failureFailed failureKind = "failed"
	// failureSilent: no answer arrived before the timeout; the request may have run.
	failureSilent failureKind = "silent"
	// failureLeft: the caller disconnected or the request's deadline passed.
	failureLeft failureKind = "left"
)

// failure describes an attempt that produced no answer to forward.
type failure struct {
	kind  failureKind
	cause error
	// retry is when the backend server wants the request again, resting whether it turned this entry away for so long.
	retry   time.Duration
	resting bool
	// dropped means that a reused idle connection was closed as soon as the request was sent.
	dropped bool
	// heldUp means that the caller read so slowly that the backend server may have cut the answer off for it.
	heldUp bool
}

// Error returns the kind of failure and its cause.
func (e *failure) Error() string { return fmt.Sprintf("%s: %v", e.kind, e.cause) }

var (
	errForeignAnswer = errors.New("the answer belongs to another request")
	errNoRequestID   = errors.New("the answer on a reused connection names no request")
	errUnsealed      = errors.New("the answer lacks the backend server's seal")
	errNoRefusal     = errors.New("the answer says not run, but it is no refusal")
	errEncoded       = errors.New("the answer is encoded, which the request did not ask for")
)

// reply is the head of an answer whose body has not been read yet.
type reply struct {
	*http.Response
	conn    *conn
	peer    *peer
	sending *sending
	// part is what is held of the head, or of an event.
	part   *heldPart
	stop   func() bool
	sealed bool
}

// droppedConnWindow is the time within which a write to a dropped connection fails: two round trips between
// regions.
const droppedConnWindow = 60 * time.Millisecond

// maxForeignAnswers is the number of late answers to other requests that are skipped on a connection.
const maxForeignAnswers = 2

// exchange sends the request and waits at most headTimeout for the head of the answer.
func (f *Forwarder) exchange(ctx context.Context, c *call, p *peer, headTimeout time.Duration) (*reply, *failure) {
	now := time.Now()
	cn, err := f.connect(ctx, p, c.route.RetryPolicy, c.needsNewConn, now)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &failure{kind: failureLeft, cause: ctx.Err()}
		}
		return nil, &failure{kind: failureUnreached, cause: err}
	}
	c.sent++
	if c.sent > 1 && !f.retryBudget.TakeRetry(c.service.Service, now) {
		p.putIdleConn(cn)
		c.sent--
		return nil, &failure{kind: failureUnreached, cause: errRetryBudgetSpent}
	}
	stop := context.AfterFunc(ctx, cn.close)
	sending := newSending(cn.Conn, c.body, headTimeout)
	cn.sending = sending
	rep := &reply{conn: cn, peer: p, stop: stop, sending: sending, part: f.parts.newPart(cn.close)}
	head := f.requestHead(c, p, now)
	c.writes.Go(func() { sending.send(cn.Conn, head, c.body) })
	until := now.Add(headTimeout)
	if until.After(c.deadline) {
		until = c.deadline
	}
	cn.extend = func() bool { return f.extendWait(c, rep, p, time.Now()) }
	if err := cn.SetReadDeadline(until); err != nil {
		rep.closeConn()
		return nil, &failure{kind: failureBroken, cause: err}
	}
	if fail := f.readHead(ctx, c, rep); fail != nil {
		rep.closeConn()
		return nil, fail
	}
	return rep, nil
}

var errRetryBudgetSpent = errors.New("the budget of repeats is used up")

// readHead reads answers until it finds the one to this request, and validates its head.
func (f *Forwarder) readHead(ctx context.Context, c *call, rep *reply) *failure {
	n := f.cfg.Names
	for foreign := 0; ; foreign++ {
		resp, err := rep.conn.readResponse(c.method, rep.part)
		if err != nil {
			fail := classifyError(ctx, err)
			// A reused connection that breaks at once was most likely dropped while it was idle. This is not
			// certain, so the request is sent again only if it may run twice.
			fail.dropped = rep.conn.reused && fail.kind == failureBroken && !rep.conn.answered() && foreign == 0 && time.Since(c.attemptStart) < droppedConnWindow
			return fail
		}
		rep.Response = resp
		id := resp.Header.Get(n.Request)
		unnamed := id == "" && (rep.conn.reused || foreign > 0)
		f.observeAnnouncement(rep, !unnamed && (id == "" || id == c.id), time.Now())
		if id != "" && id != c.id {
			if foreign >= maxForeignAnswers {
				return &failure{kind: failureBroken, cause: errForeignAnswer}
			}
			f.cfg.Log.Warn().Str("request", c.id).Str("other", id).Str("backend", string(rep.peer.server.Backend)).
				Msg("forwarder: skipped a late answer to another request")
			if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, bufferedBodyBytes)); err != nil {
				return classifyError(ctx, err)
			} else if n == bufferedBodyBytes {
				return &failure{kind: failureBroken, cause: errForeignAnswer}
			}
			rep.conn.late = true
			continue
		}
		if unnamed {
			// Without an id, this may be a late copy of an earlier answer on the connection.
			return &failure{kind: failureBroken, cause: errNoRequestID}
		}
		return f.checkHead(rep)
	}
}

// observeAnnouncement records what a backend server says of itself in an answer. An answer that is not to this request
// may be a late copy: its load, limit or rest may be old, but a server that leaves does not take that back.
func (f *Forwarder) observeAnnouncement(rep *reply, matched bool, now time.Time) {
	if rep.StatusCode == http.StatusMisdirectedRequest {
		// Another backend server answered.
		return
	}
	n := limiter.Announcement{Leaving: rep.Header.Get(f.cfg.Names.Leaving) != ""}
	if matched {
		if load := rep.Header.Get(f.cfg.Names.Load); load != "" {
			f.observeLoad(rep.peer, load, now)
		}
		f.readLimit(rep, &n)
		n.Rest, n.RestKnown = f.readRest(rep), true
	}
	f.cfg.Announcements.Observe(rep.peer.server.Lifetime(), n, now)
}

// readLimit adds the limit that an answer names, or that it names none. Only the answer to a request that ran lifts a
// limit.
func (f *Forwarder) readLimit(rep *reply, n *limiter.Announcement) {
	value := rep.Header.Get(f.cfg.Names.Limit)
	if value == "" {
		n.LimitKnown = rep.Header.Get(f.cfg.Names.Seal) != ""
		return
	}
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil || !(rate >= 0 && rate <= maxServerLimit) {
		f.cfg.Log.Warn().Str("backend", string(rep.peer.server.Backend)).Str("limit", value).Msg("forwarder: the limit that a backend server names cannot be read")
		return
	}
	n.Limit, n.LimitNamed = model.Rate(rate), true
}

// readRest returns the rest that an answer asks for which turns the request away, or 0.
func (f *Forwarder) readRest(rep *reply) time.Duration {
	value := rep.Header.Get("Retry-After")
	if rep.StatusCode != http.StatusServiceUnavailable || value == "" {
		return 0
	}
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || !(s >= 0) {
		f.cfg.Log.Warn().Str("backend", string(rep.peer.server.Backend)).Str("rest", value).Msg("forwarder: the rest that a backend server asks for cannot be read")
		return 0
	}
	return time.Duration(min(s, maxRestSeconds) * float64(time.Second))
}

// maxRestSeconds is the longest rest that is told apart from longer ones.
const maxRestSeconds = 86400

// maxServerLimit is the highest limit that is taken for one, in requests a second.
const maxServerLimit = 1e6

func (f *Forwarder) checkHead(rep *reply) *failure {
	n := f.cfg.Names
	h := rep.Header
	rep.sealed = h.Get(n.Seal) != ""
	switch {
	case rep.StatusCode == http.StatusMisdirectedRequest:
		return &failure{kind: failureMisdirected, cause: errors.New("another backend server has the address")}
	case h.Get(n.NotRun) != "" && rep.StatusCode < http.StatusBadRequest:
		return &failure{kind: failureBroken, cause: errNoRefusal}
	case h.Get(n.NotRun) != "":
		return &failure{kind: failureNotRun, cause: fmt.Errorf("status %d, not run", rep.StatusCode), retry: parseRetryAfter(h), resting: rep.StatusCode == http.StatusServiceUnavailable}
	case h.Get("Content-Encoding") != "":
		return &failure{kind: failureBroken, cause: errEncoded}
	case !rep.sealed && rep.StatusCode < http.StatusMultipleChoices:
		return &failure{kind: failureBroken, cause: errUnsealed}
	}
	return nil
}

func classifyError(ctx context.Context, err error) *failure {
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		return &failure{kind: failureLeft, cause: ctx.Err()}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &failure{kind: failureSilent, cause: err}
	}
	return &failure{kind: failureBroken, cause: err}
}

func parseRetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s < 0 || s > 3600 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// requestHead returns the request line and headers.
func (f *Forwarder) requestHead(c *call, p *peer, now time.Time) []byte {
	n := f.cfg.Names
	h := c.header.Clone()
	h.Set(n.ExpectedBackend, string(p.server.Backend))
	if c.org != "" {
		h.Set(n.Organisation, string(c.org))
	}
	h.Set(n.TimeLeft, strconv.FormatInt(max(c.deadline.Sub(now).Milliseconds(), 1), 10))
	if c.service.Engine != nil {
		h.Set(n.Priority, strconv.Itoa(admitter.PromptRank(promptRankInput(c))))
	}
	if c.model != "" {
		h.Set(n.Model, string(c.model))
	}
	if c.delivered && c.lastEvent != "" {
		h.Set(n.LastEventID, c.lastEvent)
	}
	if len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut || c.method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	var b bytes.Buffer
	b.Grow(1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.uri, c.host)
	// Writing to a buffer cannot fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// closeConn closes the connection, which also cancels the request at the backend server.
func (r *reply) closeConn() {
	r.stop()
	if tc, ok := r.conn.Conn.(interface{ SetLinger(int) error }); ok && r.sending.long {
		// What the backend server has not read would be kept for minutes. An error means that the connection is closed.
		_ = tc.SetLinger(0)
	}
	r.conn.close()
}

// releaseIfWhole releases the connection if the whole body was read and closes it otherwise.
func (r *reply) releaseIfWhole(whole bool, now time.Time) {
	if !whole {
		r.closeConn()
		return
	}
	r.releaseConn(now)
}

// releaseConn returns the connection to the idle pool after the whole body was read, if it is reusable.
func (r *reply) releaseConn(now time.Time) {
	if !r.stop() {
		return
	}
	select {
	case <-r.sending.done:
		if r.sending.err != nil {
			r.conn.close()
			return
		}
	default:
		// The answer arrived before the request was fully sent: another request must not follow the
		// unsent rest.
		r.closeConn()
		return
	}
	keep := keepAliveTime(r.Header)
	if r.Close || keep <= 0 || r.conn.late || r.conn.r.Buffered() > 0 || isUnframed(r.Response) {
		r.conn.close()
		return
	}
	err := r.conn.SetReadDeadline(time.Time{})
	if err == nil && r.sending.long {
		err = dialer.SetUnacked(r.conn.Conn, dialer.Unacked)
	}
	if err != nil {
		r.conn.close()
		return
	}
	r.conn.idleSince, r.conn.usableUntil, r.conn.extend, r.conn.sending = now, now.Add(keep), nil, nil
	r.peer.putIdleConn(r.conn)
}

// keepAliveTime returns how long an idle connection may be reused.
func keepAliveTime(h http.Header) time.Duration {
	const field = "timeout="
	v := h.Get("Keep-Alive")
	i := bytes.Index([]byte(v), []byte(field))
	if i < 0 {
		return defaultKeepAlive
	}
	digits := v[i+len(field):]
	n := 0
	for n < len(digits) && digits[n] >= '0' && digits[n] <= '9' {
		n++
	}
	s, err := strconv.Atoi(digits[:n])
	if err != nil {
		return defaultKeepAlive
	}
	return time.Duration(s)*time.Second - keepAliveMargin
}

// promisesNotRun reports whether a status promises that the request did not run. An answer with such a
// status that lacks the not-run header must not be forwarded.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isSuccess reports whether the answer has a 2xx status.
func (r *reply) isSuccess() bool { return r.StatusCode >= 200 && r.StatusCode < 300 }

// isRetryable reports whether a request that may have run can be sent again.
func isRetryable(c *call) bool {
	return c.route.RetryPolicy == model.RetryIdempotent || c.route.RetryPolicy == model.RetryResume
}

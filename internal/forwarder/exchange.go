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
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// fate tells how an attempt at a backend server ended without an answer to pass on.
type failureKind string

// Fates of an attempt.
const (
	// failureUnreached: the request was never sent.
	failureUnreached failureKind = "unreached"
	// failureNotRun: the backend server says that it did not run the request.
	failureNotRun failureKind = "not_run"
	// failureElsewhere: another backend server has the address; the request did not run.
	failureElsewhere failureKind = "elsewhere"
	// failureBroken: the connection broke or brought no proper answer; the request may have run.
	failureBroken failureKind = "broken"
	// failureFailed: the backend server ran the request and answered with a failure.
	failureFailed failureKind = "failed"
	// failureSilent: no answer came in the time that was allowed; the request may have run.
	failureSilent failureKind = "silent"
	// failureLeft: the caller left or the request's time was over.
	failureLeft failureKind = "left"
)

// failure is an attempt without an answer to pass on.
type failure struct {
	kind  failureKind
	cause error
	retry time.Duration
	// dropped means that a connection that had idled was closed as soon as it was used again.
	dropped bool
}

// Error names the fate and its cause.
func (e *failure) Error() string { return fmt.Sprintf("%s: %v", e.kind, e.cause) }

var (
	errForeignAnswer = errors.New("the answer belongs to another request")
	errUnsealed      = errors.New("the answer lacks the backend server's seal")
	errEncoded       = errors.New("the answer is encoded, which the request did not ask for")
)

// reply is the head of an answer whose body is still to be read.
type reply struct {
	*http.Response
	conn      *conn
	peer      *peer
	writeDone <-chan error
	stop      func() bool
	sealed    bool
}

// dropLimit is the time within which a dropped connection shows itself: two round trips between
// regions.
const droppedConnWindow = 60 * time.Millisecond

// maxForeign is the number of late answers to other requests that are skipped on a connection.
const maxForeignAnswers = 2

// exchange sends the request and reads the head of the answer, waiting at most patience for it.
func (f *Forwarder) exchange(ctx context.Context, c *call, p *peer, headTimeout time.Duration) (*reply, *failure) {
	now := time.Now()
	cn, err := f.connect(ctx, p, c.route.Repeat, c.needsNewConn, now)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &failure{kind: failureLeft, cause: ctx.Err()}
		}
		return nil, &failure{kind: failureUnreached, cause: err}
	}
	c.sent++
	if c.sent > 1 && !f.retryBudget.TakeRepeat(c.service.Service, now) {
		p.putIdleConn(cn)
		c.sent--
		return nil, &failure{kind: failureUnreached, cause: errRetryBudgetSpent}
	}
	stop := context.AfterFunc(ctx, cn.close)
	rep := &reply{conn: cn, peer: p, stop: stop}
	writeDone := make(chan error, 1)
	rep.writeDone = writeDone
	head := f.requestHead(c, p, now)
	go func() {
		_, err := cn.Write(append(head, c.body...))
		writeDone <- err
	}()
	until := now.Add(headTimeout)
	if until.After(c.deadline) {
		until = c.deadline
	}
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

// readHead reads answers until the one to this request comes, and checks it.
func (f *Forwarder) readHead(ctx context.Context, c *call, rep *reply) *failure {
	n := f.cfg.Names
	for foreign := 0; ; foreign++ {
		resp, err := http.ReadResponse(rep.conn.r, &http.Request{Method: c.method})
		if err != nil {
			fail := classifyError(ctx, err)
			// A connection that idled and breaks at once was most likely dropped before; a request
			// that may run twice is sent again even if it was not.
			fail.dropped = rep.conn.reused && fail.kind == failureBroken && foreign == 0 && time.Since(c.attemptStart) < droppedConnWindow
			return fail
		}
		rep.Response = resp
		if load := resp.Header.Get(n.Load); load != "" {
			rep.peer.recordLoad(load, time.Now())
		}
		if id := resp.Header.Get(n.RequestID); id != "" && id != c.id {
			if foreign >= maxForeignAnswers {
				return &failure{kind: failureBroken, cause: errForeignAnswer}
			}
			f.cfg.Log.Warn().Str("request", c.id).Str("other", id).Str("backend", string(rep.peer.server.Backend)).
				Msg("forwarder: skipped a late answer to another request")
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return classifyError(ctx, err)
			}
			rep.conn.usableUntil = time.Time{}
			continue
		}
		return f.checkHead(rep)
	}
}

func (f *Forwarder) checkHead(rep *reply) *failure {
	n := f.cfg.Names
	h := rep.Header
	rep.sealed = h.Get(n.Seal) != ""
	switch {
	case rep.StatusCode == http.StatusMisdirectedRequest:
		return &failure{kind: failureElsewhere, cause: errors.New("another backend server has the address")}
	case h.Get(n.NotRun) != "":
		return &failure{kind: failureNotRun, cause: fmt.Errorf("status %d, not run", rep.StatusCode), retry: parseRetryAfter(h)}
	case h.Get("Content-Encoding") != "":
		return &failure{kind: failureBroken, cause: errEncoded}
	case !rep.sealed && rep.StatusCode < http.StatusMultipleChoices:
		return &failure{kind: failureBroken, cause: errUnsealed}
	case rep.StatusCode < http.StatusOK:
		return &failure{kind: failureBroken, cause: fmt.Errorf("status %d is no answer", rep.StatusCode)}
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

// requestHead returns the request line and headers, ready for the body.
func (f *Forwarder) requestHead(c *call, p *peer, now time.Time) []byte {
	n := f.cfg.Names
	h := c.header.Clone()
	h.Set(n.ExpectedBackend, string(p.server.Backend))
	if c.org != "" {
		h.Set(n.Organisation, string(c.org))
	}
	h.Set(n.TimeLeft, strconv.FormatInt(max(c.deadline.Sub(now).Milliseconds(), 1), 10))
	if c.service.Engine != nil {
		large := len(c.route.Models) > 1 && c.model == c.route.Models[len(c.route.Models)-1]
		h.Set(n.Priority, strconv.Itoa(admitter.PromptRank(admitter.PromptRankInput{LargestModel: large, PromptTokens: c.prompt.tokens})))
	}
	if c.model != "" {
		h.Set(n.Model, string(c.model))
	}
	if c.answerStarted && c.lastEvent != "" {
		h.Set(n.LastEventID, c.lastEvent)
	}
	if len(c.body) > 0 || c.method == http.MethodPost || c.method == http.MethodPut || c.method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	var b bytes.Buffer
	b.Grow(1024 + len(c.body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.uri, c.host)
	// Writing to a buffer cannot fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// drop closes the connection, which also stops the work at the backend server.
func (r *reply) closeConn() {
	r.stop()
	r.conn.close()
}

// finish gives the connection back after the whole body was read, if it may be used again.
func (r *reply) releaseConn(now time.Time) {
	if !r.stop() {
		return
	}
	select {
	case err := <-r.writeDone:
		if err != nil {
			r.conn.close()
			return
		}
	default:
		// The answer came before the request was read: the rest of the request must not be
		// followed by another one.
		r.conn.close()
		return
	}
	keep := keepAliveTime(r.Header)
	if r.Close || keep <= 0 || r.conn.r.Buffered() > 0 || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		r.conn.close()
		return
	}
	if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
		r.conn.close()
		return
	}
	r.conn.idleSince, r.conn.usableUntil = now, now.Add(keep)
	r.peer.putIdleConn(r.conn)
}

// keepFor returns how long an idle connection may be used again.
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

// promised reports whether a status promises that the request has not run; a backend server's
// answer without the mark of not having run must not be passed on with such a status.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// success reports whether the backend server answered with success.
func (r *reply) isSuccess() bool { return r.StatusCode >= 200 && r.StatusCode < 300 }

// repeatable reports whether a request that may have run can be sent once more.
func isRetryable(c *call) bool {
	return c.route.Repeat == model.RepeatSafe || c.route.Repeat == model.RepeatResume
}

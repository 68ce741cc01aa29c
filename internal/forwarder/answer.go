package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/acceptor"
	"github.com/bramleyhinge/bramleyhinge/internal/splitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minRetry is the shortest retry delay that a refusal gives to callers.
	minRetry = 200 * time.Millisecond
	// bufferedBodyBytes is the size up to which an answer is read completely before any of it is forwarded.
	bufferedBodyBytes = 256 << 10
	// minSilenceLimit is the shortest silence after which a stream is resumed on another backend server, if one may.
	minSilenceLimit = 2 * time.Second
	// silenceGapFactor is the tolerated silence as a multiple of the gap between events that the route allows.
	silenceGapFactor = 2
)

// maxUnsizedBytes is the size up to which an answer without a length is forwarded. A backend server in trouble
// may send bytes without end.
const maxUnsizedBytes = 16 << 20

var errBodyTooLong = errors.New("the body of the answer has no length and does not end")

// answerWriter writes an answer to the caller; started is set once the status line, with status, is written.
type answerWriter struct {
	w       http.ResponseWriter
	call    *call
	started bool
	status  int
	// heldUp is how long writes of the current attempt's answer have waited for the caller, err the error of the last one.
	heldUp time.Duration
	err    error
	// resetOnClose sets whether closing the caller's connection resets it; nil unless the caller knows no chunks.
	resetOnClose func(on bool)
}

// newAnswerWriter returns a writer of the answer to a call.
func newAnswerWriter(ctx context.Context, c *call, w http.ResponseWriter) *answerWriter {
	out := &answerWriter{w: w, call: c}
	if c.unchunked {
		// Such a caller takes an answer without a length for complete if its connection is closed without a reset.
		out.resetOnClose = func(on bool) { acceptor.ResetOnClose(ctx, on) }
	}
	return out
}

// complete marks an answer as complete after its last byte.
func (o *answerWriter) complete() {
	if o.resetOnClose == nil {
		return
	}
	// An error means that the caller left.
	if http.NewResponseController(o.w).Flush() == nil {
		o.resetOnClose(false)
	}
}

// abort closes the caller's connection, so that a partial answer does not look complete.
func (*answerWriter) abort() { panic(http.ErrAbortHandler) }

// writeHead forwards the status and headers of an answer.
func (o *answerWriter) writeHead(rep *reply, length int64) {
	o.call.answered = true
	h := o.w.Header()
	for name, values := range rep.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	switch {
	case length >= 0:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	case o.resetOnClose != nil:
		o.resetOnClose(true)
	}
	o.w.WriteHeader(rep.StatusCode)
	o.started, o.status = true, rep.StatusCode
}

// isContinuedBy reports whether an answer to a resumed request has the status and the type of the answer whose
// beginning was written. An answer without events may name no type.
func (o *answerWriter) isContinuedBy(rep *reply) bool {
	got, want := rep.Header.Get("Content-Type"), o.w.Header().Get("Content-Type")
	return rep.StatusCode == o.status && (got == "" || want == "" || mediaType(got) == mediaType(want))
}

// mediaType returns a content type without its parameters.
func mediaType(contentType string) string {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// deliver forwards an answer to the caller. After a failure, another attempt may be possible.
func (f *Forwarder) deliver(ctx context.Context, c *call, rep *reply, out *answerWriter) *failure {
	out.heldUp = 0
	if f.escalate(c, rep) {
		rep.peer.succeeded()
		rep.closeConn()
		return &failure{kind: failureNotRun, cause: errEscalated}
	}
	if c.delivered && !out.isContinuedBy(rep) {
		rep.closeConn()
		return &failure{kind: failureFailed, cause: fmt.Errorf("the backend server answered status %d and type %q to a resumed stream", rep.StatusCode, rep.Header.Get("Content-Type"))}
	}
	if c.route.Stream && rep.isSuccess() {
		return f.deliverStream(ctx, c, rep, out)
	}
	return f.deliverBody(ctx, c, rep, out)
}

// deliverBody forwards an answer that is not a stream.
func (f *Forwarder) deliverBody(ctx context.Context, c *call, rep *reply, out *answerWriter) *failure {
	if err := rep.conn.SetReadDeadline(c.deadline); err != nil {
		rep.closeConn()
		return &failure{kind: failureBroken, cause: err}
	}
	body, whole, err := f.readAhead(rep)
	defer f.answers.release(cap(body))
	if err != nil {
		rep.closeConn()
		return classifyError(ctx, err)
	}
	failed := rep.StatusCode >= http.StatusInternalServerError
	if failed {
		c.mayHaveRun = true
		if f.shouldRetryFailed(c) {
			rep.releaseIfWhole(whole, time.Now())
			return &failure{kind: failureFailed, cause: errors.New("the backend server answered status " + strconv.Itoa(rep.StatusCode))}
		}
	}
	now := time.Now()
	f.recordOutcome(c, rep, failed, now)
	if !failed {
		f.proveAttempt(c, rep.peer, now)
	}
	if promisesNotRun(rep.StatusCode) || !rep.sealed {
		// The status would promise that the request did not run, which no backend server has confirmed.
		c.mayHaveRun = true
		rep.releaseIfWhole(whole, now)
		f.refuse(out.w, c, model.Refuse(model.KindBackendFailed, "the backend server failed with status %d", rep.StatusCode).WithRun(model.RunUnknown))
		return nil
	}
	if !whole {
		return f.deliverLongBody(ctx, c, rep, out, body)
	}
	rep.releaseConn(now)
	// The backend server has done its work, however long the caller takes.
	rep.peer.finishAttempt(c.attempt, now)
	out.writeHead(rep, int64(len(body)))
	_, err = out.Write(body)
	f.recordCompletion(c, rep, now, err)
	return nil
}

// deliverLongBody forwards an answer that exceeds the buffer while it is being received.
func (f *Forwarder) deliverLongBody(ctx context.Context, c *call, rep *reply, out *answerWriter, buffered []byte) *failure {
	out.writeHead(rep, rep.ContentLength)
	c.delivered, c.unresumable = true, true
	var rest io.Reader = rep.Body
	if rep.ContentLength < 0 {
		rest = io.LimitReader(rest, maxUnsizedBytes)
	}
	f.answers.hold(copyBufferBytes)
	defer f.answers.release(copyBufferBytes)
	n, err := io.CopyBuffer(out, io.MultiReader(bytes.NewReader(buffered), rest), make([]byte, copyBufferBytes))
	if err == nil && rep.ContentLength < 0 && n >= maxUnsizedBytes {
		err = errBodyTooLong
	}
	if err != nil {
		rep.closeConn()
		return out.broken(classifyError(ctx, err))
	}
	out.complete()
	now := time.Now()
	rep.releaseConn(now)
	f.recordCompletion(c, rep, now, nil)
	return nil
}

// shouldRetryFailed reports whether a failed answer should be retried rather than forwarded.
func (f *Forwarder) shouldRetryFailed(c *call) bool {
	return isRetryable(c) && c.sent < c.route.Attempts && f.retryBudget.CanRetry(c.service.Service, 0, time.Now())
}

// recordOutcome records an answer for the breaker and for version selection.
func (f *Forwarder) recordOutcome(c *call, rep *reply, failed bool, now time.Time) {
	if failed {
		rep.peer.failed(false, now)
	} else {
		rep.peer.succeeded()
	}
	f.observeOutcome(c, rep.peer, failed, now)
}

// deliverStream forwards events as they arrive. When the stream breaks off, the next attempt resumes it
// after the last event that the caller received.
func (f *Forwarder) deliverStream(ctx context.Context, c *call, rep *reply, out *answerWriter) *failure {
	rep.part.cut = func() {
		rep.conn.close()
		out.cutWrites()
	}
	defer func() { _ = rep.part.resize(0, time.Now()) }()
	events := splitter.NewHolding(rep.Body, func(n int) error { return rep.part.resize(n, time.Now()) })
	silenceLimit := max(minSilenceLimit, silenceGapFactor*c.route.MaxEventGap)
	resumed, awaitingFirst, received, delivered := c.delivered, !c.delivered, 0, 0
	lastID := ""
	// The pace of the backend server is measured without the time in which the caller holds the stream up.
	streamStart := time.Now()
	lastData := streamStart
	for {
		// The last event was held until its caller had taken it.
		if err := rep.part.resize(0, time.Now()); err != nil {
			rep.closeConn()
			return out.broken(&failure{kind: failureBroken, cause: err})
		}
		until := lastData.Add(silenceLimit)
		if until.After(c.deadline) {
			until = c.deadline
		}
		err := rep.conn.SetReadDeadline(until)
		var event []byte
		if err == nil {
			event, err = events.Next()
		}
		if rep.part.isLost() {
			err = errPartMemory
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			rep.closeConn()
			return out.broken(classifyError(ctx, err))
		}
		if !splitter.IsEvent(event) {
			rep.closeConn()
			return &failure{kind: failureBroken, cause: errNoEvent}
		}
		// Comments do not count: a stalled backend server may go on sending them.
		hasData := len(splitter.Data(event)) > 0
		if hasData {
			lastData = time.Now()
			if received++; received == provenEvents {
				f.proveAttempt(c, rep.peer, lastData)
			}
		}
		if awaitingFirst {
			f.recordOutcome(c, rep, false, time.Now())
			f.cfg.Meter.ObserveTimeToFirstEvent(c.org, model.ClassID(c.route.Route), time.Since(c.start))
			awaitingFirst = false
		}
		id := eventID(event)
		if id != "" {
			lastID = id
		}
		if resumed && hasData && !c.hasPosition(id) && string(splitter.Data(event)) != splitter.Done {
			rep.closeConn()
			return &failure{kind: failureBroken, cause: errNoPosition}
		}
		if skip, err := c.checkEventOrder(id); err != nil {
			rep.closeConn()
			return &failure{kind: failureBroken, cause: err}
		} else if skip {
			continue
		}
		if !out.started {
			out.writeHead(rep, -1)
		}
		c.delivered = true
		// Whether such an event comes again after a resume could not be told.
		c.unresumable = c.unresumable || hasData && id == ""
		if delivered++; delivered == paceEvents {
			f.recordEventInterval(c, rep, delivered, time.Since(streamStart)-out.heldUp, time.Now())
		}
		if id != "" {
			c.lastEvent = id
		}
		f.answers.hold(cap(event))
		err = out.writeEvent(event)
		f.answers.release(cap(event))
		if rep.part.isLost() {
			err = errPartMemory
		}
		if err != nil {
			rep.closeConn()
			return &failure{kind: failureLeft, cause: err}
		}
		if hasData {
			// The time of writing to a slow caller is no silence of the backend server.
			lastData = time.Now()
		}
	}
	now := time.Now()
	if received == 0 && isUnframed(rep.Response) {
		rep.closeConn()
		return &failure{kind: failureBroken, cause: errUnframedEnd}
	}
	if c.isAfter(lastID) {
		rep.closeConn()
		return &failure{kind: failureBroken, cause: errEndsBefore}
	}
	f.proveAttempt(c, rep.peer, now)
	if !out.started {
		out.writeHead(rep, -1)
	}
	out.complete()
	rep.releaseConn(now)
	took := now.Sub(streamStart) - out.heldUp
	if delivered < paceEvents {
		f.recordEventInterval(c, rep, delivered, took, now)
	}
	if delivered > 1 && c.service.Engine != nil {
		f.speeds.observeEventInterval(c.model, took/time.Duration(delivered-1))
	}
	f.recordCompletion(c, rep, now, nil)
	return nil
}

// paceEvents is the number of events after which the interval between events is reported. Reporting at the
// end of the stream would be too late for slow versions, whose streams take longest.
const paceEvents = 8

// recordEventInterval reports the mean interval between a stream's first events, or between all if it has fewer.
func (f *Forwarder) recordEventInterval(c *call, rep *reply, events int, took time.Duration, now time.Time) {
	if events < 2 {
		return
	}
	o := f.outcome(c, rep.peer, false, now)
	o.TimeToHead, o.EventInterval = 0, took/time.Duration(events-1)
	f.cfg.Versions.Observe(o, now)
	f.observeSpeed(o, rep.peer, now)
	f.cfg.Meter.ObserveEventInterval(c.org, model.ClassID(c.route.Route), o.EventInterval)
}

var (
	errNoEvent      = errors.New("the stream contains text that is no event")
	errNoPosition   = errors.New("an event of the resumed stream has no id to follow the last event")
	errMissingEvent = errors.New("an event of the stream is missing")
	errEndsBefore   = errors.New("the resumed stream ends before the last event that the caller has")
)

func (f *Forwarder) recordCompletion(c *call, rep *reply, now time.Time, err error) {
	f.cfg.Meter.ObserveRequestDuration(c.org, model.ClassID(c.route.Route), now.Sub(c.start))
	f.cfg.Meter.Count("answered/"+string(c.route.Route), 1)
	f.cfg.Log.Info().Str("request", c.id).Str("route", string(c.route.Route)).Str("organisation", string(c.org)).Int("status", rep.StatusCode).
		Str("model", string(c.model)).Int("sent", c.sent).Dur("took", now.Sub(c.start)).AnErr("cause", err).Msg("forwarder: ended")
}

func (f *Forwarder) recordBreakOff(c *call, refusal *model.Refusal) {
	f.cfg.Meter.Count("cut/"+string(refusal.Kind), 1)
	f.cfg.Log.Warn().Str("request", c.id).Str("route", string(c.route.Route)).Str("kind", string(refusal.Kind)).Str("last", c.lastEvent).
		Int("sent", c.sent).Dur("took", time.Since(c.start)).Msg("forwarder: the answer broke off midway")
}

// refuse writes a refusal; its status promises that the request did not run only if that is certain.
func (f *Forwarder) refuse(w http.ResponseWriter, c *call, r *model.Refusal) {
	status := r.Status()
	if r.Kind == model.KindQuarantined {
		// A crash alone does not prove that the request is malformed, so the caller gets no client error.
		status = http.StatusServiceUnavailable
	}
	if r.Run != model.RunNo && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	if r.Kind == model.KindDeadline && r.Run == model.RunNo {
		status = http.StatusServiceUnavailable
	}
	f.cfg.Meter.Count("refused/"+string(r.Kind), 1)
	f.cfg.Meter.Count(admissionMetric("refused_by_rank", string(r.Kind), c.rank), 1)
	route := ""
	if c.route != nil {
		route = string(c.route.Route)
	}
	f.cfg.Log.Info().Str("request", c.id).Str("route", route).Str("organisation", string(c.org)).Str("kind", string(r.Kind)).
		Str("run", string(r.Run)).Int("status", status).Int("sent", c.sent).Dur("took", time.Since(c.start)).Str("why", r.Message).
		Dur("retry", r.Retry).Msg("forwarder: refused")
	h := w.Header()
	h.Set(f.cfg.Names.Request, c.id)
	h.Set("Content-Type", "application/json")
	if r.Retry > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(r.Retry.Seconds(), 'f', 2, 64))
	}
	body := *r
	body.Request = model.RequestID(c.id)
	// A refusal is a plain struct, so encoding cannot fail.
	b, _ := json.Marshal(body)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	limitWrites(w, time.Now())
	c.answered = true
	w.WriteHeader(status)
	if _, err := w.Write(b); err != nil {
		f.cfg.Log.Debug().Err(err).Str("request", c.id).Msg("forwarder: the caller left before the refusal")
	}
}

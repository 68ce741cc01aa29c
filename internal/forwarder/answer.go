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
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/splitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minRetry is the shortest time that a refusal tells callers to wait.
	minRetry = 200 * time.Millisecond
	// wholeBody is the size up to which an answer is read whole before any of it is passed on.
	bufferedBodyBytes = 256 << 10
	// leastSilence is the shortest silence after which a stream goes on elsewhere.
	minSilenceLimit = 2 * time.Second
	// gapFactor is the silence in pauses that the caller accepts.
	silenceGapFactor = 2
)

// writer passes an answer to the caller; started is set with its first byte.
type answerWriter struct {
	w       http.ResponseWriter
	started bool
}

// abort cuts the caller's connection, so that a partial answer does not look whole.
func (*answerWriter) abort() { panic(http.ErrAbortHandler) }

// head passes the status and headers of an answer on.
func (o *answerWriter) writeHead(rep *reply, length int64) {
	h := o.w.Header()
	for name, values := range rep.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	o.w.WriteHeader(rep.StatusCode)
	o.started = true
}

// deliver passes an answer on. A failure means that another attempt may be made.
func (f *Forwarder) deliver(ctx context.Context, c *call, rep *reply, out *answerWriter) *failure {
	if f.escalate(c, rep) {
		rep.peer.recordSuccess()
		rep.closeConn()
		return &failure{kind: failureNotRun, cause: errEscalated}
	}
	if c.answerStarted && !rep.isSuccess() {
		// The caller has a part of a successful answer, which a failure cannot end.
		rep.closeConn()
		return &failure{kind: failureFailed, cause: fmt.Errorf("the backend server answered status %d to a stream that goes on", rep.StatusCode)}
	}
	if c.route.Stream && rep.isSuccess() {
		return f.deliverStream(ctx, c, rep, out)
	}
	return f.deliverBody(ctx, c, rep, out)
}

// deliverWhole passes an answer with a body that is no stream.
func (f *Forwarder) deliverBody(ctx context.Context, c *call, rep *reply, out *answerWriter) *failure {
	if err := rep.conn.SetReadDeadline(c.deadline); err != nil {
		rep.closeConn()
		return &failure{kind: failureBroken, cause: err}
	}
	body, err := io.ReadAll(io.LimitReader(rep.Body, bufferedBodyBytes))
	if err != nil {
		rep.closeConn()
		return classifyError(ctx, err)
	}
	failed := rep.StatusCode >= http.StatusInternalServerError
	if failed {
		c.mayHaveRun = true
		if f.shouldRetryFailed(c) {
			rep.releaseConn(time.Now())
			return &failure{kind: failureFailed, cause: errors.New("the backend server answered status " + strconv.Itoa(rep.StatusCode))}
		}
	}
	now := time.Now()
	f.recordAnswer(c, rep, failed, now)
	if promisesNotRun(rep.StatusCode) || !rep.sealed {
		// The status would promise that the request did not run, which nobody said.
		c.mayHaveRun = true
		rep.releaseConn(now)
		f.refuse(out.w, c, model.Refuse(model.KindBackendFailed, "the backend server failed with status %d", rep.StatusCode).WithRun(model.RunUnknown))
		return nil
	}
	if len(body) == bufferedBodyBytes {
		return f.deliverLongBody(ctx, c, rep, out, body)
	}
	rep.releaseConn(now)
	out.writeHead(rep, int64(len(body)))
	_, err = out.w.Write(body)
	f.recordAnswered(c, rep, now, err)
	return nil
}

// deliverLong passes a long answer on as it comes.
func (f *Forwarder) deliverLongBody(ctx context.Context, c *call, rep *reply, out *answerWriter, buffered []byte) *failure {
	out.writeHead(rep, rep.ContentLength)
	c.answerStarted = true
	if _, err := io.Copy(out.w, io.MultiReader(bytes.NewReader(buffered), rep.Body)); err != nil {
		rep.closeConn()
		return classifyError(ctx, err)
	}
	now := time.Now()
	rep.releaseConn(now)
	f.recordAnswered(c, rep, now, nil)
	return nil
}

// again reports whether a failed answer is better followed by another attempt.
func (f *Forwarder) shouldRetryFailed(c *call) bool {
	return isRetryable(c) && c.sent < c.route.Attempts && f.retryBudget.CanRepeat(c.service.Service, 0, time.Now())
}

// observe learns from an answer.
func (f *Forwarder) recordAnswer(c *call, rep *reply, failed bool, now time.Time) {
	if failed {
		rep.peer.recordFailure(false, now)
	} else {
		rep.peer.recordSuccess()
	}
	f.cfg.Versions.Observe(f.outcome(c, rep.peer, failed, now), now)
}

// deliverStream passes events on as they come. When the stream breaks off, it goes on
// elsewhere after the last event that the caller has.
func (f *Forwarder) deliverStream(ctx context.Context, c *call, rep *reply, out *answerWriter) *failure {
	events := splitter.New(rep.Body)
	rc := http.NewResponseController(out.w)
	silence := max(minSilenceLimit, silenceGapFactor*c.route.Gap)
	first, passed := !c.answerStarted, 0
	began := time.Now()
	for {
		until := time.Now().Add(silence)
		if until.After(c.deadline) {
			until = c.deadline
		}
		err := rep.conn.SetReadDeadline(until)
		var event []byte
		if err == nil {
			event, err = events.Next()
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			rep.closeConn()
			return classifyError(ctx, err)
		}
		if first {
			f.recordAnswer(c, rep, false, time.Now())
			f.cfg.Meter.First(c.org, model.ClassID(c.route.Route), time.Since(c.start))
			first = false
		}
		id := eventID(event)
		if skip, err := c.checkEventOrder(id); err != nil {
			rep.closeConn()
			return &failure{kind: failureBroken, cause: err}
		} else if skip {
			continue
		}
		if !out.started {
			out.writeHead(rep, -1)
		}
		c.answerStarted = true
		if passed++; passed == paceEvents {
			f.recordEventInterval(c, rep, passed, time.Since(began), time.Now())
		}
		if id != "" {
			c.lastEvent = id
		}
		if _, err := out.w.Write(event); err != nil {
			rep.closeConn()
			return &failure{kind: failureLeft, cause: err}
		}
		if err := rc.Flush(); err != nil {
			rep.closeConn()
			return &failure{kind: failureLeft, cause: err}
		}
	}
	now := time.Now()
	if !out.started {
		out.writeHead(rep, -1)
	}
	rep.releaseConn(now)
	if passed < paceEvents {
		f.recordEventInterval(c, rep, passed, now.Sub(began), now)
	}
	if passed > 1 {
		f.speeds.observeEventInterval(c.model, now.Sub(began)/time.Duration(passed-1))
	}
	f.recordAnswered(c, rep, now, nil)
	return nil
}

// paceEvents is the number of events after which the pace of a stream is told. A slow version's
// streams end too late to tell of it.
const paceEvents = 8

// paced tells the pace of a stream's first events, or of all if it has fewer.
func (f *Forwarder) recordEventInterval(c *call, rep *reply, events int, took time.Duration, now time.Time) {
	if events < 2 {
		return
	}
	o := f.outcome(c, rep.peer, false, now)
	o.TimeToHead, o.EventInterval = 0, took/time.Duration(events-1)
	f.cfg.Versions.Observe(o, now)
	f.cfg.Meter.Between(c.org, model.ClassID(c.route.Route), o.EventInterval)
}

var errMissingEvent = errors.New("an event of the stream is missing")

// checkEventOrder checks that an event comes after the last one: events that the caller has are
// skipped, and a gap is an error.
func (c *call) checkEventOrder(id string) (skip bool, err error) {
	last, err := strconv.ParseInt(c.lastEvent, 10, 64)
	if err != nil {
		// The caller named no event, so any may be the first.
		return false, nil
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false, nil
	}
	switch {
	case n <= last:
		return true, nil
	case n > last+1:
		return false, errMissingEvent
	}
	return false, nil
}

// eventID returns the id of an event, or nothing.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

func (f *Forwarder) recordAnswered(c *call, rep *reply, now time.Time, err error) {
	f.cfg.Meter.Whole(c.org, model.ClassID(c.route.Route), now.Sub(c.start))
	f.cfg.Meter.Count("answered/"+string(c.route.Route), 1)
	f.cfg.Log.Info().Str("request", c.id).Str("route", string(c.route.Route)).Str("organisation", string(c.org)).Int("status", rep.StatusCode).
		Str("model", string(c.model)).Int("sent", c.sent).Dur("took", now.Sub(c.start)).AnErr("cause", err).Msg("forwarder: ended")
}

func (f *Forwarder) recordBreakOff(c *call, why *model.Refusal) {
	f.cfg.Meter.Count("cut/"+string(why.Kind), 1)
	f.cfg.Log.Warn().Str("request", c.id).Str("route", string(c.route.Route)).Str("kind", string(why.Kind)).Str("last", c.lastEvent).
		Int("sent", c.sent).Dur("took", time.Since(c.start)).Msg("forwarder: the answer broke off midway")
}

// refuse answers with a refusal whose status says truly whether the request may have run.
func (f *Forwarder) refuse(w http.ResponseWriter, c *call, r *model.Refusal) {
	status := r.Status()
	if r.Kind == model.KindQuarantined {
		// The caller is not told that the request is malformed: nothing but a crash speaks against it.
		status = http.StatusServiceUnavailable
	}
	if r.Run != model.RunNo && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	if r.Kind == model.KindDeadline && r.Run == model.RunNo {
		status = http.StatusServiceUnavailable
	}
	f.cfg.Meter.Count("refused/"+string(r.Kind), 1)
	route := ""
	if c.route != nil {
		route = string(c.route.Route)
	}
	f.cfg.Log.Info().Str("request", c.id).Str("route", route).Str("organisation", string(c.org)).Str("kind", string(r.Kind)).
		Str("run", string(r.Run)).Int("status", status).Int("sent", c.sent).Dur("took", time.Since(c.start)).Str("why", r.Message).
		Dur("retry", r.Retry).Msg("forwarder: refused")
	h := w.Header()
	h.Set(f.cfg.Names.RequestID, c.id)
	h.Set("Content-Type", "application/json")
	if r.Retry > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(r.Retry.Seconds(), 'f', 2, 64))
	}
	body := *r
	body.Request = model.RequestID(c.id)
	// A refusal is a plain struct, so encoding cannot fail.
	b, _ := json.Marshal(body)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	if _, err := w.Write(b); err != nil {
		f.cfg.Log.Debug().Err(err).Str("request", c.id).Msg("forwarder: the caller left before the refusal")
	}
}

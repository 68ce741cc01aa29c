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
type fate string

// Fates of an attempt.
const (
	// fateUnreached: the request was never sent.
	fateUnreached fate = "unreached"
	// fateNotRun: the backend server says that it did not run the request.
	fateNotRun fate = "not_run"
	// fateElsewhere: another backend server has the address; the request did not run.
	fateElsewhere fate = "elsewhere"
	// fateBroken: the connection broke or brought no proper answer; the request may have run.
	fateBroken fate = "broken"
	// fateFailed: the backend server ran the request and answered with a failure.
	fateFailed fate = "failed"
	// fateSilent: no answer came in the time that was allowed; the request may have run.
	fateSilent fate = "silent"
	// fateLeft: the caller left or the request's time was over.
	fateLeft fate = "left"
)

// failure is an attempt without an answer to pass on.
type failure struct {
	fate  fate
	cause error
	retry time.Duration
	// dropped means that a connection that had idled was closed as soon as it was used again.
	dropped bool
}

// Error names the fate and its cause.
func (e *failure) Error() string { return fmt.Sprintf("%s: %v", e.fate, e.cause) }

var (
	errSurplus  = errors.New("the answer belongs to another request")
	errUnsealed = errors.New("the answer lacks the backend server's seal")
	errEncoded  = errors.New("the answer is encoded, which the request did not ask for")
)

// reply is the head of an answer whose body is still to be read.
type reply struct {
	*http.Response
	conn    *conn
	peer    *peer
	written <-chan error
	stop    func() bool
	sealed  bool
}

// dropLimit is the time within which a dropped connection shows itself: two round trips between
// regions.
const dropLimit = 60 * time.Millisecond

// maxForeign is the number of late answers to other requests that are skipped on a connection.
const maxForeign = 2

// exchange sends the request and reads the head of the answer, waiting at most patience for it.
func (f *Forwarder) exchange(ctx context.Context, c *call, p *peer, patience time.Duration) (*reply, *failure) {
	now := time.Now()
	cn, err := f.connect(ctx, p, c.route.Repeat, c.anew, now)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &failure{fate: fateLeft, cause: ctx.Err()}
		}
		return nil, &failure{fate: fateUnreached, cause: err}
	}
	c.sent++
	if c.sent > 1 && !f.repeats.TakeRepeat(c.service.Service, now) {
		p.put(cn)
		c.sent--
		return nil, &failure{fate: fateUnreached, cause: errNoRepeat}
	}
	stop := context.AfterFunc(ctx, cn.close)
	rep := &reply{conn: cn, peer: p, stop: stop}
	written := make(chan error, 1)
	rep.written = written
	head := f.requestHead(c, p, now)
	go func() {
		_, err := cn.Write(append(head, c.body...))
		written <- err
	}()
	until := now.Add(patience)
	if until.After(c.deadline) {
		until = c.deadline
	}
	if err := cn.SetReadDeadline(until); err != nil {
		rep.drop()
		return nil, &failure{fate: fateBroken, cause: err}
	}
	if fail := f.readHead(ctx, c, rep); fail != nil {
		rep.drop()
		return nil, fail
	}
	return rep, nil
}

var errNoRepeat = errors.New("the budget of repeats is used up")

// readHead reads answers until the one to this request comes, and checks it.
func (f *Forwarder) readHead(ctx context.Context, c *call, rep *reply) *failure {
	n := f.cfg.Names
	for foreign := 0; ; foreign++ {
		resp, err := http.ReadResponse(rep.conn.r, &http.Request{Method: c.method})
		if err != nil {
			fail := broken(ctx, err)
			// A connection that idled and breaks at once was most likely dropped before; a request
			// that may run twice is sent again even if it was not.
			fail.dropped = rep.conn.reused && fail.fate == fateBroken && foreign == 0 && time.Since(c.began) < dropLimit
			return fail
		}
		rep.Response = resp
		if load := resp.Header.Get(n.Load); load != "" {
			rep.peer.report(load, time.Now())
		}
		if id := resp.Header.Get(n.Request); id != "" && id != c.id {
			if foreign >= maxForeign {
				return &failure{fate: fateBroken, cause: errSurplus}
			}
			f.cfg.Log.Warn().Str("request", c.id).Str("other", id).Str("backend", string(rep.peer.server.Backend)).
				Msg("forwarder: skipped a late answer to another request")
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return broken(ctx, err)
			}
			rep.conn.until = time.Time{}
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
		return &failure{fate: fateElsewhere, cause: errors.New("another backend server has the address")}
	case h.Get(n.NotRun) != "":
		return &failure{fate: fateNotRun, cause: fmt.Errorf("status %d, not run", rep.StatusCode), retry: retryAfter(h)}
	case h.Get("Content-Encoding") != "":
		return &failure{fate: fateBroken, cause: errEncoded}
	case !rep.sealed && rep.StatusCode < http.StatusMultipleChoices:
		return &failure{fate: fateBroken, cause: errUnsealed}
	case rep.StatusCode < http.StatusOK:
		return &failure{fate: fateBroken, cause: fmt.Errorf("status %d is no answer", rep.StatusCode)}
	}
	return nil
}

func broken(ctx context.Context, err error) *failure {
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		return &failure{fate: fateLeft, cause: ctx.Err()}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &failure{fate: fateSilent, cause: err}
	}
	return &failure{fate: fateBroken, cause: err}
}

func retryAfter(h http.Header) time.Duration {
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
	if c.passed && c.lastEvent != "" {
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
func (r *reply) drop() {
	r.stop()
	r.conn.close()
}

// finish gives the connection back after the whole body was read, if it may be used again.
func (r *reply) finish(now time.Time) {
	if !r.stop() {
		return
	}
	select {
	case err := <-r.written:
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
	keep := keepFor(r.Header)
	if r.Close || keep <= 0 || r.conn.r.Buffered() > 0 || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		r.conn.close()
		return
	}
	if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
		r.conn.close()
		return
	}
	r.conn.since, r.conn.until = now, now.Add(keep)
	r.peer.put(r.conn)
}

// keepFor returns how long an idle connection may be used again.
func keepFor(h http.Header) time.Duration {
	const field = "timeout="
	v := h.Get("Keep-Alive")
	i := bytes.Index([]byte(v), []byte(field))
	if i < 0 {
		return defaultKeep
	}
	digits := v[i+len(field):]
	n := 0
	for n < len(digits) && digits[n] >= '0' && digits[n] <= '9' {
		n++
	}
	s, err := strconv.Atoi(digits[:n])
	if err != nil {
		return defaultKeep
	}
	return time.Duration(s)*time.Second - keepMargin
}

// promised reports whether a status promises that the request has not run; a backend server's
// answer without the mark of not having run must not be passed on with such a status.
func promised(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// success reports whether the backend server answered with success.
func (r *reply) success() bool { return r.StatusCode >= 200 && r.StatusCode < 300 }

// repeatable reports whether a request that may have run can be sent once more.
func repeatable(c *call) bool {
	return c.route.Repeat == model.RepeatSafe || c.route.Repeat == model.RepeatResume
}

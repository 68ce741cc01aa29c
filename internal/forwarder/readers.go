package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lateWriteTime is how long after a request's deadline, or after a refusal, its caller may still take what is
	// written. An answer that is ready is delivered although it is late; a segment that is lost is sent again within a
	// second.
	lateWriteTime = 2 * time.Second
	// holdUpTime is for how long writes to a caller may wait in all until a backend server may cut the answer off: it
	// does so after some seconds in which nothing is read.
	holdUpTime = time.Second
	// firstReadBytes is what is read of an answer without asking for memory.
	firstReadBytes = 16 << 10
	// copyBufferBytes is the buffer of an answer that is forwarded while it is being received.
	copyBufferBytes = 32 << 10
	// answerMemoryDivisor limits what is read ahead of answers to the configured memory divided by it.
	answerMemoryDivisor = 8
)

// heldMemory counts the bytes that are held for callers. What must be held is counted in any case; what is read ahead
// beyond that is bounded.
type heldMemory struct {
	limit int64
	used  atomic.Int64
}

func (h *heldMemory) hold(n int) { h.used.Add(int64(n)) }

func (h *heldMemory) release(n int) { h.used.Add(-int64(n)) }

// tryHold holds n bytes and returns true if the limit allows it.
func (h *heldMemory) tryHold(n int) bool {
	if h.used.Add(int64(n)) <= h.limit {
		return true
	}
	h.release(n)
	return false
}

// readAhead reads the body of an answer until its end, or until it holds bufferedBodyBytes or what the memory for
// answers allows. The capacity of what it returns is held, also with an error.
func (f *Forwarder) readAhead(rep *reply) (body []byte, whole bool, err error) {
	size := firstReadBytes
	if rep.ContentLength >= 0 && rep.ContentLength < firstReadBytes {
		// One more byte, so that a body that is too long does not look whole.
		size = int(rep.ContentLength) + 1
	}
	body = make([]byte, 0, size)
	f.answers.hold(size)
	for {
		n, err := rep.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, false, err
		case len(body) < cap(body):
			continue
		}
		size := min(2*cap(body), bufferedBodyBytes)
		if size == cap(body) || !f.answers.tryHold(size-cap(body)) {
			return body, false, nil
		}
		body = append(make([]byte, 0, size), body...)
	}
}

// limitWrites lets writes to a caller fail that have not ended soon after a time.
func limitWrites(w http.ResponseWriter, end time.Time) {
	// An error means that the connection is closed, which the next write reports.
	_ = http.NewResponseController(w).SetWriteDeadline(end.Add(lateWriteTime))
}

// Write implements io.Writer. It records how long the caller holds up the answer, and the error.
func (o *answerWriter) Write(b []byte) (int, error) {
	start := time.Now()
	n, err := o.w.Write(b)
	o.heldUp += time.Since(start)
	o.err = err
	return n, err
}

// writeEvent writes an event to the caller at once.
func (o *answerWriter) writeEvent(event []byte) error {
	if _, err := o.Write(event); err != nil {
		return err
	}
	start := time.Now()
	o.err = http.NewResponseController(o.w).Flush()
	o.heldUp += time.Since(start)
	return o.err
}

// cutWrites ends a write that waits for the caller.
func (o *answerWriter) cutWrites() {
	// An error means that the connection is closed.
	_ = http.NewResponseController(o.w).SetWriteDeadline(time.Now())
}

// broken returns the failure of an answer whose caller has a part of it. A caller that does not take the answer, or
// holds it up until its backend server cuts it off, is no fault of the backend server.
func (o *answerWriter) broken(fail *failure) *failure {
	if o.err != nil {
		return &failure{kind: failureLeft, cause: o.err}
	}
	fail.heldUp = fail.kind == failureBroken && o.heldUp >= holdUpTime
	return fail
}

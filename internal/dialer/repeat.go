package dialer

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Repetition is a call that is made again, on a new connection, when the peer is silent for too long. An
// acknowledgement comes from the peer's kernel, or from whatever stands between; only an answer proves that the process
// that must give it still serves the connection.
type Repetition[T any] struct {
	// Limit is the time within which the answer must begin, Gap the time within which it must go on.
	Limit, Gap time.Duration
	// Call makes the call, and calls progress for each part of the answer.
	Call func(ctx context.Context, progress func()) (T, error)
	// Again makes it again; nil for a call that must not be repeated, which is waited for.
	Again func(ctx context.Context) (T, error)
	// OnSilence is called once if the peer is silent, before the repetition. It has to see to it that the repetition
	// goes out on a new connection.
	OnSilence func()
}

// Do makes the call and returns the answer that comes first. A peer that is only slow may still answer the first call;
// if the repetition fails, so does the call, since no new connection works either.
func (r Repetition[T]) Do(ctx context.Context) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		answer T
		err    error
		again  bool
	}
	ended := make(chan outcome, 2)
	parts := make(chan struct{}, 1)
	progress := func() {
		select {
		case parts <- struct{}{}:
		default:
		}
	}
	go func() {
		answer, err := r.Call(ctx, progress)
		ended <- outcome{answer: answer, err: err}
	}()
	timer := time.NewTimer(r.Limit)
	defer timer.Stop()
	silent := false
	for {
		select {
		case o := <-ended:
			if o.err != nil && silent && r.Again != nil && !o.again {
				// The first connection ended; the repetition goes on.
				continue
			}
			return o.answer, o.err
		case <-parts:
			if !silent {
				timer.Reset(r.Gap)
			}
		case <-timer.C:
			silent = true
			r.OnSilence()
			if r.Again == nil {
				continue
			}
			go func() {
				answer, err := r.Again(ctx)
				ended <- outcome{answer: answer, err: err, again: true}
			}()
		}
	}
}

// TooLongError reports an answer that is longer than its caller keeps.
type TooLongError struct {
	// Limit is the longest answer, in bytes.
	Limit int
}

// Error returns a message with the limit.
func (e *TooLongError) Error() string { return fmt.Sprintf("the answer is over %d bytes", e.Limit) }

// ReadAll reads the body of an answer of at most limit bytes and calls progress for each part of it. It returns a *TooLongError
// if the body is longer.
func ReadAll(body io.Reader, limit int, progress func()) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(&progressReader{r: body, progress: progress}, int64(limit)+1))
	if len(b) > limit {
		return nil, &TooLongError{Limit: limit}
	}
	return b, err
}

type progressReader struct {
	r        io.Reader
	progress func()
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.progress()
	}
	return n, err
}

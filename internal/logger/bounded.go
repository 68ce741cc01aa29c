package logger

import (
	"errors"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// maxBufferedLines is the number of lines buffered for a slow reader: 1.2 MB at about 300 bytes
	// a line.
	maxBufferedLines = 4096
	// flushInterval is how often buffered lines are written.
	flushInterval = 10 * time.Millisecond
	// closeTimeout is how long Close waits for the reader to take the last lines.
	closeTimeout = 200 * time.Millisecond
)

// BoundedWriter drops lines instead of blocking when its buffer is full.
type BoundedWriter struct{ diode.Writer }

// NewBoundedWriter returns a writer whose Write never blocks: it drops lines that do not fit into its buffer.
// Once w accepts lines again, it passes the number of dropped lines to onLost and logs it.
func NewBoundedWriter(w io.Writer, onLost func(n int)) BoundedWriter {
	direct := zerolog.New(w).With().Timestamp().Logger()
	return BoundedWriter{diode.NewWriter(w, maxBufferedLines, flushInterval, func(n int) {
		onLost(n)
		direct.Warn().Int("lost", n).Msg("logger: lines were lost")
	})}
}

var errCloseTimeout = errors.New("the last lines of the log were not read in time")

// Close flushes the buffered lines; after closeTimeout it gives up and returns an error.
func (b BoundedWriter) Close() error { return b.CloseWithin(closeTimeout) }

// CloseWithin is Close with a shorter time-out.
func (b BoundedWriter) CloseWithin(timeout time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- b.Writer.Close() }()
	t := time.NewTimer(min(timeout, closeTimeout))
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return errCloseTimeout
	}
}

package logger

import (
	"errors"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// boundedLines is the number of lines that wait for a slow reader; at about 300 bytes a line
	// they hold 1.2 MB.
	boundedLines = 4096
	// boundedPoll is how often waiting lines are written.
	boundedPoll = 10 * time.Millisecond
	// closeWait is how long the end of a process waits for its last lines to be read.
	closeWait = 200 * time.Millisecond
)

// bounded is a writer that never blocks.
type bounded struct{ diode.Writer }

// NewBoundedWriter returns a writer that never blocks: lines beyond those that may wait are lost. Lost is told
// their number, and a line tells it once the log is read again.
func NewBoundedWriter(w io.Writer, lost func(n int)) io.WriteCloser {
	direct := zerolog.New(w).With().Timestamp().Logger()
	return bounded{diode.NewWriter(w, boundedLines, boundedPoll, func(n int) {
		lost(n)
		direct.Warn().Int("lost", n).Msg("logger: lines were lost")
	})}
}

// errUnread tells that the last lines were not read in time.
var errUnread = errors.New("the last lines of the log were not read in time")

// Close writes what waits, as far as it is read soon.
func (b bounded) Close() error {
	done := make(chan error, 1)
	go func() { done <- b.Writer.Close() }()
	t := time.NewTimer(closeWait)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return errUnread
	}
}

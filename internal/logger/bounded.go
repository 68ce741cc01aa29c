package logger

import (
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// boundedLines is the number of lines that wait for a slow reader; at about 300 bytes a line
	// they hold 1.2 MB.
	boundedLines = 4096
	// boundedPoll is how often waiting lines are written.
	boundedPoll = 10 * time.Millisecond
)

// Bounded returns a writer that never blocks: lines beyond those that may wait are lost, and
// lost is told their number.
func Bounded(w io.Writer, lost func(n int)) io.WriteCloser {
	return diode.NewWriter(w, boundedLines, boundedPoll, func(n int) { lost(n) })
}

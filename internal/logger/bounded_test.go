package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockingWriter blocks each Write until the channel open is closed.
type blockingWriter struct {
	open chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

func (g *blockingWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(b)
}

func (g *blockingWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.String()
}

// floodLines exceeds the number of lines that the writer buffers.
const floodLines = 20 * maxBufferedLines

// TestBlockedReader checks that a log without a reader delays neither logging nor the end of the process.
func TestBlockedReader(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	w := NewBoundedWriter(g, func(int) {})
	log := zerolog.New(w)
	began := time.Now()
	for range floodLines {
		log.Info().Msg("line")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("%d lines took %v while the reader was blocked", floodLines, took)
	}
	began = time.Now()
	if err := w.Close(); err == nil {
		t.Error("closing a log that nobody reads returned no error")
	}
	if took := time.Since(began); took > closeTimeout+time.Second {
		t.Errorf("closing took %v, want at most %v", took, closeTimeout)
	}
	close(g.open)
}

// TestLostLinesAreReported checks that dropped lines are counted, and that a line reports their number once
// the log is read again.
func TestLostLinesAreReported(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	var mu sync.Mutex
	lost := 0
	w := NewBoundedWriter(g, func(n int) {
		mu.Lock()
		defer mu.Unlock()
		lost += n
	})
	log := zerolog.New(w)
	for range floodLines {
		log.Info().Msg("line")
	}
	close(g.open)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !strings.Contains(g.text(), `"message":"logger: lines were lost"`); time.Sleep(5 * time.Millisecond) {
		log.Info().Msg("line")
	}
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if reported := strings.Contains(g.text(), `"message":"logger: lines were lost"`); lost == 0 || !reported {
		t.Errorf("lost %d lines, reported in a line: %v", lost, reported)
	}
}

package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// gate is a reader of the log that takes nothing until it is opened.
type gate struct {
	open chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(b)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.String()
}

// flood is more lines than may wait.
const flood = 20 * boundedLines

// TestBlockedReader checks that a log that nobody reads delays neither lines nor the end of the process.
func TestBlockedReader(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := NewBoundedWriter(g, func(int) {})
	log := zerolog.New(w)
	began := time.Now()
	for range flood {
		log.Info().Msg("line")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("%d lines took %v beside a blocked reader", flood, took)
	}
	began = time.Now()
	if err := w.Close(); err == nil {
		t.Error("closing a log that is not read gives no error")
	}
	if took := time.Since(began); took > closeWait+time.Second {
		t.Errorf("closing took %v, want at most %v", took, closeWait)
	}
	close(g.open)
}

// TestLostLinesAreTold checks that lines which are left out are counted, and said in a line once the
// log is read again.
func TestLostLinesAreTold(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	var mu sync.Mutex
	lost := 0
	w := NewBoundedWriter(g, func(n int) {
		mu.Lock()
		defer mu.Unlock()
		lost += n
	})
	log := zerolog.New(w)
	for range flood {
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
	if told := strings.Contains(g.text(), `"message":"logger: lines were lost"`); lost == 0 || !told {
		t.Errorf("lost %d lines, told in a line: %v", lost, told)
	}
}

package forwarder

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// priorRead is the time in which the largest model is taken to read a token until its
	// answers tell; those of smaller models follow their cost.
	priorRead = 50 * time.Microsecond
	// speedTokens is the size from which on a prompt tells the speed of reading.
	speedTokens = 1500
	// slowerWeight and fasterWeight smooth the speed. Slow answers count less, since prompts of
	// other entries may have been in front.
	slowerWeight = 0.01
	fasterWeight = 0.1
	// turnaround is the part of a time to an answer's head that is not spent on reading.
	turnaround = 40 * time.Millisecond
)

// speeds learns how fast models read prompts.
type speeds struct {
	mu sync.Mutex
	// reads is the time in which a model reads a token.
	reads map[model.ModelID]time.Duration
	// writes is the time between the events of a model's stream.
	writes map[model.ModelID]time.Duration
}

func newSpeeds() *speeds {
	return &speeds{reads: map[model.ModelID]time.Duration{}, writes: map[model.ModelID]time.Duration{}}
}

// priorWrite is the time between events that is assumed before a stream was seen.
const priorWrite = 100 * time.Millisecond

// wrote takes the mean time between the events of a whole stream.
func (s *speeds) wrote(m model.ModelID, between time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.writes[m]
	if !ok {
		known = between
	}
	s.writes[m] = known + time.Duration(writeWeight*float64(between-known))
}

// writeWeight smooths the time between events.
const writeWeight = 0.1

// answer returns how long the model's answer of a number of tokens takes after its first event.
func (s *speeds) answer(m model.ModelID, e *model.PlanEngine, output int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	between, ok := s.writes[m]
	if !ok {
		between = priorWrite
	}
	return between * time.Duration(output/max(e.Stride, 1))
}

// times returns how long the model reads a prompt and the shared parts of it.
func (s *speeds) times(m model.ModelID, e *model.PlanEngine, p prompt) (whole, shared time.Duration) {
	s.mu.Lock()
	read, ok := s.reads[m]
	s.mu.Unlock()
	if !ok {
		read = prior(m, e)
	}
	return read * time.Duration(p.tokens), read * time.Duration(p.sharedTokens)
}

func prior(m model.ModelID, e *model.PlanEngine) time.Duration {
	dearest := 0.0
	for _, cost := range e.Costs {
		dearest = max(dearest, cost)
	}
	cost, ok := e.Costs[m]
	if !ok || dearest == 0 {
		return priorRead
	}
	return time.Duration(float64(priorRead) * cost / dearest)
}

// observe takes the time to the head of an answer to a prompt that did not wait.
func (s *speeds) observe(m model.ModelID, e *model.PlanEngine, tokens int, head time.Duration) {
	if tokens < speedTokens {
		return
	}
	read := max(head-turnaround, 0) / time.Duration(tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.reads[m]
	if !ok {
		known = prior(m, e)
	}
	weight := slowerWeight
	if read < known {
		weight = fasterWeight
	}
	s.reads[m] = known + time.Duration(weight*float64(read-known))
}

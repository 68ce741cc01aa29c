package forwarder

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// priorRead is the time in which the largest model is taken to read a token until its
	// answers tell; those of smaller models follow their cost.
	defaultReadTime = 50 * time.Microsecond
	// speedTokens is the size from which on a prompt tells the speed of reading.
	minSampleTokens = 1500
	// slowerWeight and fasterWeight smooth the speed. Slow answers count less, since prompts of
	// other entries may have been in front.
	slowerWeight = 0.01
	fasterWeight = 0.1
	// turnaround is the part of a time to an answer's head that is not spent on reading.
	headOverhead = 40 * time.Millisecond
)

// speeds learns how fast models read prompts.
type modelSpeeds struct {
	mu sync.Mutex
	// reads is the time in which a model reads a token.
	readTimes map[model.ModelID]time.Duration
	// writes is the time between the events of a model's stream.
	eventIntervals map[model.ModelID]time.Duration
}

func newModelSpeeds() *modelSpeeds {
	return &modelSpeeds{readTimes: map[model.ModelID]time.Duration{}, eventIntervals: map[model.ModelID]time.Duration{}}
}

// priorWrite is the time between events that is assumed before a stream was seen.
const defaultEventInterval = 100 * time.Millisecond

// wrote takes the mean time between the events of a whole stream.
func (s *modelSpeeds) observeEventInterval(m model.ModelID, between time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.eventIntervals[m]
	if !ok {
		known = between
	}
	s.eventIntervals[m] = known + time.Duration(eventIntervalWeight*float64(between-known))
}

// writeWeight smooths the time between events.
const eventIntervalWeight = 0.1

// answer returns how long the model's answer of a number of tokens takes after its first event.
func (s *modelSpeeds) estimateAnswer(m model.ModelID, e *model.PlanEngine, output int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	between, ok := s.eventIntervals[m]
	if !ok {
		between = defaultEventInterval
	}
	return between * time.Duration(output/max(e.Stride, 1))
}

// times returns how long the model reads a prompt and the shared parts of it.
func (s *modelSpeeds) estimateRead(m model.ModelID, e *model.PlanEngine, p prompt) (whole, shared time.Duration) {
	s.mu.Lock()
	read, ok := s.readTimes[m]
	s.mu.Unlock()
	if !ok {
		read = priorReadTime(m, e)
	}
	return read * time.Duration(p.tokens), read * time.Duration(p.sharedTokens)
}

func priorReadTime(m model.ModelID, e *model.PlanEngine) time.Duration {
	maxCost := 0.0
	for _, cost := range e.Costs {
		maxCost = max(maxCost, cost)
	}
	cost, ok := e.Costs[m]
	if !ok || maxCost == 0 {
		return defaultReadTime
	}
	return time.Duration(float64(defaultReadTime) * cost / maxCost)
}

// observe takes the time to the head of an answer to a prompt that did not wait.
func (s *modelSpeeds) observeHead(m model.ModelID, e *model.PlanEngine, tokens int, head time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	read := max(head-headOverhead, 0) / time.Duration(tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.readTimes[m]
	if !ok {
		known = priorReadTime(m, e)
	}
	weight := slowerWeight
	if read < known {
		weight = fasterWeight
	}
	s.readTimes[m] = known + time.Duration(weight*float64(read-known))
}

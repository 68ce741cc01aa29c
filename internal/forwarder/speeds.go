package forwarder

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// defaultPrefillTime is the assumed time per prompt token of the largest model until its answers are observed;
	// smaller models scale by their cost.
	defaultPrefillTime = 50 * time.Microsecond
	// minSampleTokens is the smallest uncached prompt, in tokens, whose answer counts as a sample of the prefill time.
	minSampleTokens = 1500
	// slowerWeight and fasterWeight smooth the prefill time. Slow samples count less, because prompts of other
	// entries may have been queued ahead.
	slowerWeight = 0.01
	fasterWeight = 0.1
	// headOverhead is the part of the time to the head of an answer that is not spent on prefill.
	headOverhead = 40 * time.Millisecond
)

// speeds estimates how fast models prefill prompts and generate answers.
type speeds struct {
	mu sync.Mutex
	// prefillTimes holds the time per prompt token of each model.
	prefillTimes map[model.ModelID]time.Duration
	// eventIntervals holds the time between the events of each model's streams.
	eventIntervals map[model.ModelID]time.Duration
}

func newSpeeds() *speeds {
	return &speeds{prefillTimes: map[model.ModelID]time.Duration{}, eventIntervals: map[model.ModelID]time.Duration{}}
}

// defaultEventInterval is the assumed time between events before a stream was observed.
const defaultEventInterval = 100 * time.Millisecond

// observeEventInterval adds a sample: the mean time between the events of a complete stream.
func (s *speeds) observeEventInterval(m model.ModelID, between time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	average, ok := s.eventIntervals[m]
	if !ok {
		average = between
	}
	s.eventIntervals[m] = average + time.Duration(eventIntervalWeight*float64(between-average))
}

// eventIntervalWeight smooths the time between events.
const eventIntervalWeight = 0.1

// estimateAnswer returns how long the model takes to write output tokens after its first event.
func (s *speeds) estimateAnswer(m model.ModelID, e *model.PlanEngine, output int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	between, ok := s.eventIntervals[m]
	if !ok {
		between = defaultEventInterval
	}
	return between * time.Duration(output/max(e.TokensPerEvent, 1))
}

// estimatePrefill returns the prefill time of the whole prompt.
func (s *speeds) estimatePrefill(m model.ModelID, e *model.PlanEngine, p prompt) time.Duration {
	s.mu.Lock()
	perToken, ok := s.prefillTimes[m]
	s.mu.Unlock()
	if !ok {
		perToken = priorPrefillTime(m, e)
	}
	return perToken * time.Duration(p.tokens)
}

func priorPrefillTime(m model.ModelID, e *model.PlanEngine) time.Duration {
	maxCost := 0.0
	for _, cost := range e.Costs {
		maxCost = max(maxCost, cost)
	}
	cost, ok := e.Costs[m]
	if !ok || maxCost == 0 {
		return defaultPrefillTime
	}
	return time.Duration(float64(defaultPrefillTime) * cost / maxCost)
}

// observeHead adds a sample: the time to the head of an answer to a prompt that did not queue.
func (s *speeds) observeHead(m model.ModelID, e *model.PlanEngine, tokens int, head time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	perToken := max(head-headOverhead, 0) / time.Duration(tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	average, ok := s.prefillTimes[m]
	if !ok {
		average = priorPrefillTime(m, e)
	}
	weight := slowerWeight
	if perToken < average {
		weight = fasterWeight
	}
	s.prefillTimes[m] = average + time.Duration(weight*float64(perToken-average))
}

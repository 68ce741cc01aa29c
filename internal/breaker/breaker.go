// Package breaker bounds retries and takes peers that fail out of the choice for a while.
package breaker

import (
	"sync"
	"time"
)

const (
	// retryShare is the part of first tries that retries may add.
	retryShare = 0.1
	// retryBurst allows retries when little traffic has earned any.
	retryBurst = 20
)

// RetryBudget bounds retries to a share of first tries, so that a failing fleet is not
// loaded further.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget with its burst unspent.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// CountFirstAttempt counts a first try.
func (b *RetryBudget) CountFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// TakeRetry takes one retry from the budget, or reports that none is left.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// breakWeight smooths the rate of failures of one agent.
	breakWeight = 0.2
	// breakRate is the smoothed rate of failures from which an agent gets nothing.
	breakRate = 0.35
	breakFor  = time.Second
	maxBreak  = 4 * time.Second
)

// Breaker is a circuit breaker: it takes an agent that fails too often out of the choice for
// a while. The zero value is closed.
type Breaker struct {
	rate  float64
	times int
	until time.Time
}

// RecordFailure counts a failure. The pause doubles while failures go on, and jitter in [0, 1)
// keeps entries from returning together.
func (b *Breaker) RecordFailure(now time.Time, jitter float64) {
	b.rate += (1 - b.rate) * breakWeight
	if b.rate < breakRate || now.Before(b.until) {
		return
	}
	pause := min(breakFor<<min(b.times, 4), maxBreak)
	b.times++
	b.until = now.Add(pause/2 + time.Duration(jitter*float64(pause/2)))
}

// RecordSuccess counts an answer.
func (b *Breaker) RecordSuccess() {
	b.rate -= b.rate * breakWeight
	if b.rate < breakRate/2 {
		b.times = 0
	}
}

// IsOpen reports whether the agent gets nothing at now.
func (b *Breaker) IsOpen(now time.Time) bool { return now.Before(b.until) }

// Trip opens the breaker at once, for a peer that cannot be reached.
func (b *Breaker) Trip(now time.Time, jitter float64) {
	b.rate = max(b.rate, breakRate)
	b.RecordFailure(now, jitter)
}

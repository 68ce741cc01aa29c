// Package breaker provides a retry budget and a circuit breaker for calls to peers.
package breaker

import (
	"sync"
	"time"
)

const (
	// retryRatio is the fraction of a retry that each first attempt adds to the budget.
	retryRatio = 0.1
	// retryBurst is the initial and largest budget, which allows retries at low traffic too.
	retryBurst = 20
)

// RetryBudget bounds retries to a ratio of first attempts, so that retries do not overload a
// failing fleet.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// CountFirstAttempt adds the fraction of a retry that a first attempt allows.
func (b *RetryBudget) CountFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// TakeRetry takes one retry from the budget and returns true, or returns false if none is left.
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
	// failureRateWeight is the weight of a new result in the moving average of the failure rate.
	failureRateWeight = 0.2
	// openFailureRate is the smoothed failure rate from which the breaker opens.
	openFailureRate = 0.35
	baseOpenTime    = time.Second
	maxOpenTime     = 4 * time.Second
)

// Breaker is a circuit breaker: while it is open, its peer gets no requests because it failed too
// often. The zero value is closed.
type Breaker struct {
	failureRate float64
	openings    int
	openUntil   time.Time
}

// RecordFailure counts a failure and opens the breaker if the failure rate is too high. The open
// time doubles while failures continue; jitter in [0, 1) keeps entries from resuming at the same
// moment.
func (b *Breaker) RecordFailure(now time.Time, jitter float64) {
	b.failureRate += (1 - b.failureRate) * failureRateWeight
	if b.failureRate < openFailureRate || now.Before(b.openUntil) {
		return
	}
	openTime := min(baseOpenTime<<min(b.openings, 4), maxOpenTime)
	b.openings++
	b.openUntil = now.Add(openTime/2 + time.Duration(jitter*float64(openTime/2)))
}

// RecordSuccess counts an answer of the peer.
func (b *Breaker) RecordSuccess() {
	b.failureRate -= b.failureRate * failureRateWeight
	if b.failureRate < openFailureRate/2 {
		b.openings = 0
	}
}

// IsOpen reports whether the breaker is open.
func (b *Breaker) IsOpen(now time.Time) bool { return now.Before(b.openUntil) }

// Trip opens the breaker at once; it is used for a peer that cannot be reached.
func (b *Breaker) Trip(now time.Time, jitter float64) {
	b.failureRate = max(b.failureRate, openFailureRate)
	b.RecordFailure(now, jitter)
}

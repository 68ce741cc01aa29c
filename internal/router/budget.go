package router

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

// First counts a first try.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// Retry takes one retry from the budget, or reports that none is left.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// cutWeight smooths the rate of failures of one agent.
	cutWeight = 0.2
	// cutRate is the smoothed rate of failures from which an agent gets nothing.
	cutRate = 0.35
	cutFor  = time.Second
	maxCut  = 4 * time.Second
)

// Cut takes an agent that fails too often out of the choice for a while. The zero value
// is an agent without failures.
type Cut struct {
	rate  float64
	times int
	until time.Time
}

// Failed counts a failure. The pause doubles while failures go on, and jitter in [0, 1)
// keeps entries from returning together.
func (c *Cut) Failed(now time.Time, jitter float64) {
	c.rate += (1 - c.rate) * cutWeight
	if c.rate < cutRate || now.Before(c.until) {
		return
	}
	pause := min(cutFor<<min(c.times, 4), maxCut)
	c.times++
	c.until = now.Add(pause/2 + time.Duration(jitter*float64(pause/2)))
}

// Succeeded counts an answer.
func (c *Cut) Succeeded() {
	c.rate -= c.rate * cutWeight
	if c.rate < cutRate/2 {
		c.times = 0
	}
}

// Active reports whether the agent gets nothing at now.
func (c *Cut) Active(now time.Time) bool { return now.Before(c.until) }

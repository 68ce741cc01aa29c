package router

import "sync"

const (
	// retryShare is the part of first tries that retries may add.
	retryShare = 0.1
	// retryBurst allows retries when little traffic has earned any.
	retryBurst = 20
)

// retryBudget bounds retries to a share of first tries, so that a failing fleet is not
// loaded further.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// first counts a first try.
func (b *retryBudget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// retry takes one retry from the budget, or reports that none is left.
func (b *retryBudget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package limiter

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// bucketCount is the number of buckets of a window. Retries of a bucket count until the whole
// bucket has left the window.
const bucketCount = 20

// RetryBudget bounds the retries of an entry to a ratio of the requests that it received in the same
// sliding window. Escalations to a larger model and resumed streams count as retries. Entries need
// no coordination: if each of them keeps the ratio, so do all together.
type RetryBudget struct {
	ratio  float64
	window time.Duration

	mu       sync.Mutex
	services map[model.ServiceID]*usage
}

// usage counts a service's requests and retries in a ring of buckets.
type usage struct {
	requests, retries [bucketCount + 1]int
	newest            int64
}

// NewRetryBudget returns a budget without requests. The ratio is that of retries to requests.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: window, services: map[model.ServiceID]*usage{}}
}

// Configure changes the ratio and the window; a changed window discards all counts.
func (r *RetryBudget) Configure(ratio float64, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if window != r.window {
		clear(r.services)
	}
	r.ratio, r.window = ratio, window
}

// CountRequest counts a received request.
func (r *RetryBudget) CountRequest(s model.ServiceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usage(s, now)
	u.requests[u.newest%(bucketCount+1)]++
}

// CanRetry reports whether a retry is allowed under the ratio less reserve. It counts none.
func (r *RetryBudget) CanRetry(s model.ServiceID, reserve float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage(s, now).allowsRetry(r.ratio - reserve)
}

// TakeRetry counts a retry and returns true, or returns false if the ratio does not allow it.
func (r *RetryBudget) TakeRetry(s model.ServiceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usage(s, now)
	if !u.allowsRetry(r.ratio) {
		return false
	}
	u.retries[u.newest%(bucketCount+1)]++
	return true
}

func (u *usage) allowsRetry(ratio float64) bool {
	requests, retries := 0, 0
	for i := range u.requests {
		retries += u.retries[i]
		if int64(i) != (u.newest+1)%(bucketCount+1) {
			// The oldest bucket is partly outside the window, so its requests no longer allow retries.
			requests += u.requests[i]
		}
	}
	return float64(retries+1) <= ratio*float64(requests)
}

// usage returns the service's counts after clearing the buckets that have left the window.
func (r *RetryBudget) usage(s model.ServiceID, now time.Time) *usage {
	newest := now.UnixNano() / int64(r.window/bucketCount)
	u := r.services[s]
	if u == nil {
		u = &usage{newest: newest}
		r.services[s] = u
	}
	if newest-u.newest > bucketCount {
		*u = usage{newest: newest}
	}
	for u.newest < newest {
		u.newest++
		u.requests[u.newest%(bucketCount+1)], u.retries[u.newest%(bucketCount+1)] = 0, 0
	}
	return u
}

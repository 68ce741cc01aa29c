package limiter

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// buckets is the number of parts of a window; a part counts until it has left the window whole.
const buckets = 20

// RepeatBudget holds the requests that an entry sends once more to a share of those that it takes,
// in any window. Entries need not ask each other: if each keeps to its own share, so do all
// together. Retries, cascades and resumed streams draw on this one account.
type RepeatBudget struct {
	ratio  float64
	window time.Duration

	mu       sync.Mutex
	services map[model.ServiceID]*account
}

// account counts a service's requests and repeats in the parts of the window.
type account struct {
	firsts, repeats [buckets + 1]int
	at              int64
}

// NewRepeatBudget returns an account without requests. The ratio is that of repeats to requests.
func NewRepeatBudget(ratio float64, window time.Duration) *RepeatBudget {
	return &RepeatBudget{ratio: ratio, window: window, services: map[model.ServiceID]*account{}}
}

// Configure changes the bound; a changed window starts new accounts.
func (r *RepeatBudget) Configure(ratio float64, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if window != r.window {
		clear(r.services)
	}
	r.ratio, r.window = ratio, window
}

// CountRequest counts a request that was taken.
func (r *RepeatBudget) CountRequest(s model.ServiceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(s, now)
	a.firsts[a.at%(buckets+1)]++
}

// CanRepeat reports whether a repeat would fit, leaving the share that reserve asks for.
func (r *RepeatBudget) CanRepeat(s model.ServiceID, reserve float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account(s, now).fits(r.ratio - reserve)
}

// TakeRepeat counts a repeat, or reports that it does not fit.
func (r *RepeatBudget) TakeRepeat(s model.ServiceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(s, now)
	if !a.fits(r.ratio) {
		return false
	}
	a.repeats[a.at%(buckets+1)]++
	return true
}

func (a *account) fits(ratio float64) bool {
	firsts, repeats := 0, 0
	for i := range a.firsts {
		repeats += a.repeats[i]
		if int64(i) != (a.at+1)%(buckets+1) {
			// The oldest part is partly outside the window: its requests no longer earn.
			firsts += a.firsts[i]
		}
	}
	return float64(repeats+1) <= ratio*float64(firsts)
}

// account returns the service's account with the parts that left the window cleared.
func (r *RepeatBudget) account(s model.ServiceID, now time.Time) *account {
	at := now.UnixNano() / int64(r.window/buckets)
	a := r.services[s]
	if a == nil {
		a = &account{at: at}
		r.services[s] = a
	}
	if at-a.at > buckets {
		*a = account{at: at}
	}
	for a.at < at {
		a.at++
		a.firsts[a.at%(buckets+1)], a.repeats[a.at%(buckets+1)] = 0, 0
	}
	return a
}

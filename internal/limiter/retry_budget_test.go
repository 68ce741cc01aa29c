package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slack is the number of retries that users' sites allow beyond the ratio; the strictest site allows
// 52.
const slack = 52

// TestRetriesStayWithinRatio draws arrivals and retries at several entries and checks the bound that
// users' sites enforce: in every window, all retries together stay within the ratio of the requests of
// that window, of the previous one or of the one half a window earlier, plus the slack.
func TestRetriesStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, step = 10 * time.Second, 100 * time.Millisecond
		ratio := rapid.Float64Range(0.05, 1).Draw(t, "ratio")
		entries := make([]*RetryBudget, rapid.IntRange(1, 5).Draw(t, "entries"))
		for i := range entries {
			entries[i] = NewRetryBudget(ratio, window)
		}
		start := time.Unix(1000, 0)
		const steps = 300
		var requests, retries [steps]int
		for i := range steps {
			now := start.Add(time.Duration(i) * step)
			e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			for range rapid.IntRange(0, 3).Draw(t, "firsts") {
				e.CountRequest("svc", now)
				requests[i]++
			}
			for range rapid.IntRange(0, 6).Draw(t, "wanted") {
				if e.TakeRetry("svc", now) {
					retries[i]++
				}
			}
		}
		const n = int(window / step)
		sum := func(v []int) (s int) {
			for _, x := range v {
				s += x
			}
			return s
		}
		for i := 0; i+n <= steps; i++ {
			allowedBy := max(sum(requests[i:i+n]), sum(requests[max(i-n/2, 0):i+n/2]), sum(requests[max(i-n, 0):i]))
			if got := sum(retries[i : i+n]); float64(got) > ratio*float64(allowedBy)+slack {
				t.Fatalf("%d retries in the window from %d, want at most %.2f of %d requests and %d", got, i, ratio, allowedBy, slack)
			}
		}
	})
}

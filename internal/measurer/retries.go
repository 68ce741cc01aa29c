package measurer

import (
	"fmt"
	"math/rand/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/breaker"
)

const (
	retryServers  = 24
	retrySlots    = 8
	retryService  = 0.5
	retryLoad     = 0.7
	retryFrom     = 30.0
	retryTo       = 60.0
	retrySeconds  = 100.0
	retryAttempts = 3
)

// retryResult is what a fault does to the load on the servers and to the callers.
type retryResult struct {
	amplification float64
	recovered     float64
}

// runRetries fails a failure domain (6 of 24 servers), or lets one server fail half of its
// requests, for a while, and counts tries and answers.
func runRetries(domain, naive bool, seed uint64) retryResult {
	r := newRand(seed)
	var t timeline
	running := make([]int, retryServers)
	budget := breaker.NewRetryBudget()
	breakers := make([]breaker.Breaker, retryServers)
	faulty := func(k int, now float64) bool {
		if now < retryFrom || now > retryTo {
			return false
		}
		if domain {
			return k < retryServers/4
		}
		return k == 0 && r.Float64() < 0.5
	}
	firsts, tries := 0, 0
	answered := make([]int, int(retrySeconds)+1)
	var attempt func(now float64, n int)
	attempt = func(now float64, n int) {
		if now >= retryFrom && now <= retryTo {
			tries++
		}
		k := pickClosed(breakers, running, naive, now, r)
		failed := faulty(k, now) || running[k] >= 2*retrySlots
		if failed {
			if !naive {
				breakers[k].RecordFailure(epoch.Add(span(now)), r.Float64())
			}
			if n < retryAttempts && (naive || budget.TakeRetry()) {
				t.add(now+0.05, func(at float64) { attempt(at, n+1) })
			}
			return
		}
		running[k]++
		slow := max(1, float64(running[k])/retrySlots)
		t.add(now+retryService*slow, func(ended float64) {
			running[k]--
			breakers[k].RecordSuccess()
			answered[min(int(ended), len(answered)-1)]++
		})
	}
	rate := retryLoad * retryServers * retrySlots / retryService
	arrivals(&t, r, rate, retrySeconds, func(now float64) {
		if now >= retryFrom && now <= retryTo {
			firsts++
		}
		budget.CountFirstAttempt()
		attempt(now, 1)
	})
	t.runUntil(retrySeconds)
	out := retryResult{amplification: float64(tries) / float64(firsts), recovered: retrySeconds - retryTo}
	for second := int(retryTo); second < len(answered)-2; second++ {
		if float64(answered[second]) >= 0.95*rate*0.97 {
			out.recovered = float64(second) - retryTo
			break
		}
	}
	return out
}

// pickClosed takes the less loaded of two servers that are not cut off.
func pickClosed(breakers []breaker.Breaker, running []int, naive bool, now float64, r *rand.Rand) int {
	draw := func() int {
		for range 20 {
			k := r.IntN(len(breakers))
			if naive || !breakers[k].IsOpen(epoch.Add(span(now))) {
				return k
			}
		}
		return r.IntN(len(breakers))
	}
	a, b := draw(), draw()
	if running[b] < running[a] {
		return b
	}
	return a
}

// Retries measures the retry budget and the cut-out of failing servers.
func Retries(Scale) Section {
	s := Section{
		Title: "Retries and cut-out",
		How: fmt.Sprintf("%d servers at %.0f%% load; from %.0f s to %.0f s a failure domain of a quarter of them fails, or one server fails half of its requests. Hedged requests are not built.",
			retryServers, 100*retryLoad, retryFrom, retryTo),
	}
	for _, c := range []struct {
		name   string
		domain bool
	}{{"a failure domain is lost", true}, {"one server is half dead", false}} {
		naive, ours := runRetries(c.domain, true, 5), runRetries(c.domain, false, 5)
		s.Rows = append(s.Rows, Row{
			What: c.name, Target: "amplification at most 1.1, 95% of the load answered within 5 s of the end",
			Baseline: fmt.Sprintf("naive retry: amplification %.2f, recovered after %.0f s", naive.amplification, naive.recovered),
			Measured: fmt.Sprintf("amplification %.3f, recovered after %.0f s", ours.amplification, ours.recovered),
			Met:      ours.amplification <= 1.1 && ours.recovered <= 5,
		})
	}
	return s
}

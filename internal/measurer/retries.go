package measurer

import (
	"fmt"
	"math/rand/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/breaker"
)

const (
	retryServers        = 24
	retrySlots          = 8
	retryServiceSeconds = 0.5
	retryLoad           = 0.7 // offered work as a share of all slots
	faultStartSeconds   = 30.0
	faultEndSeconds     = 60.0
	retrySeconds        = 100.0
	retryAttempts       = 3
)

// retryResult holds the attempts per request during the fault, and the seconds from the end of the
// fault until 95% of the load is answered again.
type retryResult struct {
	amplification   float64
	recoverySeconds float64
}

// runRetries simulates a fault between faultStartSeconds and faultEndSeconds: either all servers of
// a failure domain (6 of 24) fail, or one server fails half of its requests. A server with twice as
// many running requests as slots fails further ones. With naive there is no retry budget and no
// breaker.
func runRetries(domainFault, naive bool, seed uint64) retryResult {
	r := newRand(seed)
	var t timeline
	running := make([]int, retryServers)
	budget := breaker.NewRetryBudget()
	breakers := make([]breaker.Breaker, retryServers)
	faulty := func(k int, now float64) bool {
		if now < faultStartSeconds || now > faultEndSeconds {
			return false
		}
		if domainFault {
			return k < retryServers/4
		}
		return k == 0 && r.Float64() < 0.5
	}
	requestsInFault, attemptsInFault := 0, 0
	answered := make([]int, int(retrySeconds)+1)
	var attempt func(now float64, n int)
	attempt = func(now float64, n int) {
		if now >= faultStartSeconds && now <= faultEndSeconds {
			attemptsInFault++
		}
		k := pickServer(breakers, running, naive, now, r)
		failed := faulty(k, now) || running[k] >= 2*retrySlots
		if failed {
			if !naive {
				breakers[k].RecordFailure(epoch.Add(toDuration(now)), r.Float64())
			}
			if n < retryAttempts && (naive || budget.TakeRetry()) {
				t.schedule(now+0.05, func(at float64) { attempt(at, n+1) })
			}
			return
		}
		running[k]++
		slowdownFactor := max(1, float64(running[k])/retrySlots)
		t.schedule(now+retryServiceSeconds*slowdownFactor, func(ended float64) {
			running[k]--
			breakers[k].RecordSuccess()
			answered[min(int(ended), len(answered)-1)]++
		})
	}
	rate := retryLoad * retryServers * retrySlots / retryServiceSeconds
	scheduleArrivals(&t, r, rate, retrySeconds, func(now float64) {
		if now >= faultStartSeconds && now <= faultEndSeconds {
			requestsInFault++
		}
		budget.CountFirstAttempt()
		attempt(now, 1)
	})
	t.runUntil(retrySeconds)
	out := retryResult{amplification: float64(attemptsInFault) / float64(requestsInFault), recoverySeconds: retrySeconds - faultEndSeconds}
	for second := int(faultEndSeconds); second < len(answered)-2; second++ {
		if float64(answered[second]) >= 0.95*rate*0.97 {
			out.recoverySeconds = float64(second) - faultEndSeconds
			break
		}
	}
	return out
}

// pickServer returns the less loaded of two random servers, avoiding those whose breaker is open.
func pickServer(breakers []breaker.Breaker, running []int, naive bool, now float64, r *rand.Rand) int {
	draw := func() int {
		for range 20 {
			k := r.IntN(len(breakers))
			if naive || !breakers[k].IsOpen(epoch.Add(toDuration(now))) {
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

// Retries measures the retry budget and the breakers.
func Retries(Scale) Section {
	s := Section{
		Title: "Retries and cut-out",
		Method: fmt.Sprintf("%d servers at %.0f%% load; from %.0f s to %.0f s a failure domain of a quarter of them fails, or one server fails half of its requests. Hedged requests are not built.",
			retryServers, 100*retryLoad, faultStartSeconds, faultEndSeconds),
	}
	for _, c := range []struct {
		name   string
		domain bool
	}{{"a failure domain is lost", true}, {"one server is half dead", false}} {
		naive, budgeted := runRetries(c.domain, true, 5), runRetries(c.domain, false, 5)
		s.Rows = append(s.Rows, Row{
			Subject: c.name, Target: "amplification at most 1.1, 95% of the load answered within 5 s of the end",
			Baseline: fmt.Sprintf("naive retry: amplification %.2f, recovered after %.0f s", naive.amplification, naive.recoverySeconds),
			Measured: fmt.Sprintf("amplification %.3f, recovered after %.0f s", budgeted.amplification, budgeted.recoverySeconds),
			Met:      budgeted.amplification <= 1.1 && budgeted.recoverySeconds <= 5,
		})
	}
	return s
}

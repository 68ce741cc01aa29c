package measurer

import (
	"fmt"
	"math"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/limiter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	limitEntries         = 8
	limitRate            = 200.0 // requests per second
	limitSeconds         = 120
	limitIntervalSeconds = 1.0
	limitDemandFactor    = 1.5 // arrivals as a multiple of the limit
)

// limitScenario describes how the load of one organisation reaches the entries: the skew of the
// arrivals, whether entries join and leave, and whether half of them cannot reach the owner for
// 20 of every 40 seconds.
type limitScenario struct {
	skew        float64
	churn       bool
	partitioned bool
}

// limitResult holds the admitted share of the limit, and the largest excess over the limit in one
// interval in units of one entry's even share.
type limitResult struct{ used, excess float64 }

// runLimits sends more arrivals than the limit allows to entries that report to one owner. With
// evenSplit the entries do not report, and each admits its even share.
func runLimits(scenario limitScenario, evenSplit bool, length float64) limitResult {
	r := newRand(21)
	key := limiter.Key{Service: "s", Organisation: "o"}
	org := model.Organisation{Organisation: "o", Rate: limitRate}
	live := limitEntries
	limiters := make([]*limiter.Limiter, limitEntries+2)
	for i := range limiters {
		limiters[i] = limiter.New()
	}
	demand := map[model.InstanceID]float64{}
	var admitted, offered, maxExcess float64
	for elapsed := 0.0; elapsed < length; elapsed += limitIntervalSeconds {
		now := epoch.Add(toDuration(elapsed))
		if scenario.churn {
			live = limitEntries + []int{0, -2, 2}[int(elapsed/20)%3]
		}
		partitionedNow := scenario.partitioned && math.Mod(elapsed, 40) >= 20
		if !evenSplit {
			exchangeReports(limiters[:live], demand, key, now, partitionedNow)
		}
		counts := splitArrivals(live, scenario.skew, limitRate*limitDemandFactor*limitIntervalSeconds, r.Float64)
		admittedNow := 0.0
		for i, n := range counts {
			for k := range n {
				at := now.Add(toDuration(limitIntervalSeconds * float64(k) / float64(n)))
				if limiters[i].Admit(key, org, evenGrant(live), at) == nil {
					limiters[i].Release(key)
					admittedNow++
				}
			}
		}
		if elapsed >= 5 {
			admitted += admittedNow
			offered += limitRate * limitIntervalSeconds
			maxExcess = math.Max(maxExcess, (admittedNow-limitRate*limitIntervalSeconds)/(limitRate*limitIntervalSeconds/float64(live)))
		}
	}
	return limitResult{admitted / offered, maxExcess}
}

func evenGrant(live int) model.Grant {
	return model.Grant{Rate: limitRate / model.Rate(live), Concurrency: limitRate}
}

// exchangeReports sends the demand of the entries to the owner and applies the grants of the owner
// to them. While partitioned, every second entry is left out.
func exchangeReports(limiters []*limiter.Limiter, demand map[model.InstanceID]float64, key limiter.Key, now time.Time, partitioned bool) {
	var ids []model.InstanceID
	for i := range limiters {
		ids = append(ids, model.InstanceID(fmt.Sprint("n", i)))
	}
	connected := func(i int) bool { return !partitioned || i%2 == 0 }
	for i, l := range limiters {
		delete(demand, ids[i])
		if connected(i) {
			rates, _ := l.Demand(key.Service, now)
			demand[ids[i]] = float64(rates[key.Organisation])
		}
	}
	grants := limiter.Split(limitRate, ids, demand)
	for i, l := range limiters {
		if connected(i) {
			l.SetGrant(key, model.Grant{Rate: model.Rate(grants[ids[i]])}, now.Add(toDuration(2*limitIntervalSeconds)), now)
		}
	}
}

// splitArrivals divides the arrivals of one interval over the entries: evenly at skew 0, and with
// nearly all at the first entry at skew 1.
func splitArrivals(entries int, skew, total float64, random func() float64) []int {
	weights := make([]float64, entries)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(1-0.9*skew, float64(i))
		sum += weights[i]
	}
	counts := make([]int, entries)
	for i := range counts {
		x := total * weights[i] / sum
		counts[i] = int(x)
		if random() < x-math.Floor(x) {
			counts[i]++
		}
	}
	return counts
}

// Limits measures how an organisation's limit is divided over the entries.
func Limits(scale Scale) Section {
	s := Section{
		Title: "Organisation limits over entries",
		Method: fmt.Sprintf("%d entries, limit %.0f/s, arrivals at %.1f times the limit, reports each second, %.0f s. Excess is over one interval, in even shares of one entry.",
			limitEntries, limitRate, limitDemandFactor, limitSeconds*float64(scale)),
	}
	length := math.Max(60, limitSeconds*float64(scale))
	runs := []struct {
		name        string
		scenario    limitScenario
		partitioned bool
	}{
		{"even arrival", limitScenario{}, false},
		{"skewed arrival", limitScenario{skew: 0.6}, false},
		{"skewed, entries join and leave", limitScenario{skew: 0.6, churn: true}, false},
		{"skewed, half of the entries cannot talk at times", limitScenario{skew: 0.6, partitioned: true}, true},
	}
	for _, c := range runs {
		granted, evenSplit := runLimits(c.scenario, false, length), runLimits(c.scenario, true, length)
		note := ""
		if c.partitioned && granted.used < 0.95 {
			note = "the silent entries' even shares stay reserved, or the limit could be passed"
		}
		s.Rows = append(s.Rows,
			Row{
				Subject: c.name + ": excess", Target: "at most one share of one interval",
				Baseline: fmt.Sprintf("even split %.2f, one central count 0", evenSplit.excess),
				Measured: fmt.Sprintf("%.2f", granted.excess), Met: granted.excess <= 1,
			},
			Row{
				Subject: c.name + ": usable part of the limit", Target: "at least 95%", Note: note,
				Baseline: fmt.Sprintf("even split %.1f%%, one central count 100%% at one call for each request", 100*evenSplit.used),
				Measured: fmt.Sprintf("%.1f%%", 100*granted.used), Met: granted.used >= 0.95,
			})
	}
	return s
}

package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	rolloutRate       = 100 // requests per second
	requestsPerReport = 50  // half a second of requests
	rampRequests      = 2000
	goodRequests      = 1500
	rolloutRequests   = 20_000
	rolloutTrials     = 60
	falseAlarmTrials  = 400
	ratedShare        = 0.5
)

// degradation describes how a version turns bad: by how much its mean rating drops, which share
// of its requests fails in addition, by which share its time to the first token grows (1
// doubles it), and whether it turns bad gradually over rampRequests requests.
type degradation struct {
	name                                      string
	qualityDrop, failureRate, latencyIncrease float64
	gradual                                   bool
}

// sampleOutcome adds the outcome of one request to stats. The severity is the share of the
// degradation that is in effect, from 0 to 1.
func sampleOutcome(kind degradation, severity float64, r *rand.Rand, stats *model.VersionStats) {
	stats.Requests++
	if r.Float64() < 0.003+kind.failureRate*severity {
		stats.Failures++
		return
	}
	log := math.Log(0.2) + 0.4*r.NormFloat64() + math.Log1p(kind.latencyIncrease*severity)
	stats.Timed++
	stats.LogFirstTokenSum += log
	stats.LogFirstTokenSquareSum += log * log
	if r.Float64() < ratedShare {
		stats.AddRating(model.Quality(clampToUnit(0.85 - kind.qualityDrop*severity + 0.12*r.NormFloat64())))
	}
}

// detector decides from the outcomes of the version under roll-out and of the control whether
// the version is bad.
type detector interface {
	observeControl(stats model.VersionStats)
	observe(stats model.VersionStats) bool
}

type guardDetector struct{ *guard.Guard }

func (g guardDetector) observeControl(stats model.VersionStats) { g.ObserveControl(stats) }
func (g guardDetector) observe(stats model.VersionStats) bool   { return g.Observe(stats).Bad }

// thresholdDetector is the baseline. It collects a fixed number of requests and compares them
// with the control by fixed margins, which are wide enough for the same rate of false alarms.
type thresholdDetector struct{ controlStats, versionStats model.VersionStats }

const thresholdWindow = 500

func (d *thresholdDetector) observeControl(stats model.VersionStats) {
	d.controlStats = d.controlStats.Add(stats)
}

func (d *thresholdDetector) observe(stats model.VersionStats) bool {
	d.versionStats = d.versionStats.Add(stats)
	if d.versionStats.Requests < thresholdWindow {
		return false
	}
	version, control := d.versionStats, d.controlStats
	d.versionStats = model.VersionStats{}
	moreFailures := float64(version.Failures)/float64(version.Requests) > float64(control.Failures)/float64(max(control.Requests, 1))+0.02
	lowerRating := version.Quality/float64(max(version.Rated, 1)) < control.Quality/float64(max(control.Rated, 1))-0.04
	slower := version.LogFirstTokenSum/float64(max(version.Timed, 1)) > control.LogFirstTokenSum/float64(max(control.Timed, 1))+0.1
	return moreFailures || lowerRating || slower
}

// exposedRequests returns the number of requests that a version gets from the moment it turns
// bad until the detector reports it, or -1 if the detector does not. The version gets a share of
// all requests and the control the rest. Outcomes arrive in reports, twice a second.
func exposedRequests(d detector, kind degradation, share float64, maxRequests int, r *rand.Rand) int {
	sent, afterTurn := 0, 0
	for sent < maxRequests {
		var version, control model.VersionStats
		for range requestsPerReport {
			if r.Float64() >= share {
				sampleOutcome(degradation{}, 0, r, &control)
				continue
			}
			severity := 0.0
			sent++
			if sent > goodRequests {
				afterTurn++
				severity = 1
				if kind.gradual {
					severity = math.Min(1, float64(afterTurn)/rampRequests)
				}
			}
			sampleOutcome(kind, severity, r, &version)
		}
		d.observeControl(control)
		if version.Requests > 0 && d.observe(version) {
			return afterTurn
		}
	}
	return -1
}

// oracleExposed returns the number of requests after which a likelihood-ratio test, which knows
// when and how the version turns bad, reports it at a rate of one false alarm in 200.
func oracleExposed(kind degradation, r *rand.Rand) float64 {
	logRatio := 0.0
	for n := 1; ; n++ {
		severity := 1.0
		if kind.gradual {
			severity = math.Min(1, float64(n)/rampRequests)
		}
		var stats model.VersionStats
		sampleOutcome(kind, severity, r, &stats)
		bad, good := 0.003+kind.failureRate*severity, 0.003
		if stats.Failures > 0 {
			logRatio += math.Log(bad / good)
		} else {
			logRatio += math.Log((1 - bad) / (1 - good))
		}
		logRatio += gaussianLogRatio(stats.Quality, float64(stats.Rated), 0.85, 0.85-kind.qualityDrop*severity, 0.12)
		logRatio += gaussianLogRatio(stats.LogFirstTokenSum, float64(stats.Timed), math.Log(0.2), math.Log(0.2)+math.Log1p(kind.latencyIncrease*severity), 0.4)
		if logRatio > math.Log(200) {
			return float64(n)
		}
	}
}

// gaussianLogRatio returns the log-likelihood ratio of the mean bad against the mean good for a
// sum of n values.
func gaussianLogRatio(sum, n, good, bad, sigma float64) float64 {
	return (bad - good) / (sigma * sigma) * (sum - n*(good+bad)/2)
}

// Rollouts measures how many requests a version still gets after it turns bad.
func Rollouts(scale Scale) Section {
	s := Section{
		Title: "Roll-out guard",
		Method: fmt.Sprintf("A version turns bad after %d good requests, at once or over %d requests; reports twice a second at %d requests/s, half of the answers rated. Exposed requests: mean of %d trials. The fixed threshold compares each %d requests.",
			goodRequests, rampRequests, rolloutRate, scale.scaleCount(rolloutTrials), thresholdWindow),
	}
	kinds := []degradation{
		{name: "wrong", qualityDrop: 0.3}, {name: "slow", latencyIncrease: 1}, {name: "failing", failureRate: 0.3},
		{name: "wrong by degrees", qualityDrop: 0.3, gradual: true}, {name: "slow by degrees", latencyIncrease: 1, gradual: true}, {name: "failing by degrees", failureRate: 0.3, gradual: true},
	}
	for _, share := range []float64{0.01, 0.5} {
		for i, kind := range kinds {
			s.Rows = append(s.Rows, rolloutRow(scale, kind, share, uint64(i)))
		}
	}
	s.Rows = append(s.Rows, falseAlarmRow(scale))
	return s
}

func rolloutRow(scale Scale, kind degradation, share float64, stream uint64) Row {
	n := scale.scaleCount(rolloutTrials)
	var guarded, threshold, oracle []float64
	undetected := 0
	for i := range n {
		seed := stream*1000 + uint64(i)
		count := exposedRequests(guardDetector{guard.New()}, kind, share, rolloutRequests, newRand(seed))
		if count < 0 {
			undetected++
		}
		guarded = append(guarded, float64(count))
		oracle = append(oracle, oracleExposed(kind, newRand(seed)))
		threshold = append(threshold, float64(exposedRequests(&thresholdDetector{}, kind, share, rolloutRequests, newRand(seed))))
	}
	ratio := mean(guarded) / mean(threshold)
	note := ""
	if kind.gradual && ratio >= 1.0/3 {
		note = "a test that knew the moment and the shape of the change would itself need the oracle's number"
	} else if ratio >= 1.0/3 {
		note = "one report's interval holds that many requests"
	}
	return Row{
		Note:     note,
		Subject:  fmt.Sprintf("%s, at %.0f%% share: exposed requests", kind.name, 100*share),
		Target:   "under a third of the fixed threshold's",
		Baseline: fmt.Sprintf("fixed threshold %.0f, no guard all, oracle %.0f", mean(threshold), mean(oracle)),
		Measured: fmt.Sprintf("%.0f (ratio %.2f, unseen %d)", mean(guarded), ratio, undetected),
		Met:      ratio < 1.0/3 && undetected == 0,
	}
}

func falseAlarmRow(scale Scale) Row {
	n := scale.scaleCount(falseAlarmTrials)
	guardAlarms, thresholdAlarms := 0, 0
	for i := range n {
		if exposedRequests(guardDetector{guard.New()}, degradation{}, 0.5, rolloutRequests, newRand(90_000+uint64(i))) >= 0 {
			guardAlarms++
		}
		if exposedRequests(&thresholdDetector{}, degradation{}, 0.5, rolloutRequests, newRand(90_000+uint64(i))) >= 0 {
			thresholdAlarms++
		}
	}
	return Row{
		Subject: fmt.Sprintf("good roll-outs of %d requests stopped", rolloutRequests), Target: "at most 1 in 200",
		Baseline: fmt.Sprintf("fixed threshold %d of %d", thresholdAlarms, n), Measured: fmt.Sprintf("%d of %d", guardAlarms, n),
		Met: guardAlarms*200 <= n,
	}
}

package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/guard"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	rolloutRate   = 100
	rolloutReport = 50 // requests between two reports: half a second
	rolloutRamp   = 2000
	rolloutQuiet  = 1500
	rolloutLength = 20_000
	rolloutTrials = 60
	rolloutGood   = 400
	rolloutRated  = 0.5
)

// badness is how a version turns bad: at once, or by degrees over a ramp of requests.
type badness struct {
	name              string
	drop, fail, delay float64
	ramp              bool
}

// behaviour draws one request's outcome with a part of the badness in effect.
func behaviour(b badness, part float64, r *rand.Rand, t *model.VersionStats) {
	t.Requests++
	if r.Float64() < 0.003+b.fail*part {
		t.Failures++
		return
	}
	log := math.Log(0.2) + 0.4*r.NormFloat64() + math.Log1p(b.delay*part)
	t.Timed++
	t.LogFirstTokenSum += log
	t.LogFirstTokenSquareSum += log * log
	if r.Float64() < rolloutRated {
		t.AddRating(model.Quality(clamp(0.85 - b.drop*part + 0.12*r.NormFloat64())))
	}
}

// detector is a rule that watches a roll-out.
type detector interface {
	control(t model.VersionStats)
	observe(t model.VersionStats) bool
}

type guardDetector struct{ *guard.Guard }

func (g guardDetector) control(t model.VersionStats)      { g.ObserveControl(t) }
func (g guardDetector) observe(t model.VersionStats) bool { return g.Observe(t).Bad }

// thresholdDetector is the baseline: a fixed number of requests is collected and compared
// with fixed margins, wide enough for the same rate of false alarms.
type thresholdDetector struct{ old, now model.VersionStats }

const thresholdWindow = 500

func (d *thresholdDetector) control(t model.VersionStats) { d.old = d.old.Add(t) }

func (d *thresholdDetector) observe(t model.VersionStats) bool {
	d.now = d.now.Add(t)
	if d.now.Requests < thresholdWindow {
		return false
	}
	n, o := d.now, d.old
	d.now = model.VersionStats{}
	fails := float64(n.Failures)/float64(n.Requests) > float64(o.Failures)/float64(max(o.Requests, 1))+0.02
	drops := n.Quality/float64(max(n.Rated, 1)) < o.Quality/float64(max(o.Rated, 1))-0.04
	slows := n.LogFirstTokenSum/float64(max(n.Timed, 1)) > o.LogFirstTokenSum/float64(max(o.Timed, 1))+0.1
	return fails || drops || slows
}

// exposed returns the requests that a bad version got from its turning until the detector
// saw it, or -1 if it did not. Outcomes arrive twice a second, as reports do.
func exposed(d detector, b badness, share float64, length int, r *rand.Rand) int {
	sent, since := 0, 0
	for sent < length {
		var fresh, old model.VersionStats
		for range rolloutReport {
			if r.Float64() >= share {
				behaviour(badness{}, 0, r, &old)
				continue
			}
			part := 0.0
			sent++
			if sent > rolloutQuiet {
				since++
				part = 1
				if b.ramp {
					part = math.Min(1, float64(since)/rolloutRamp)
				}
			}
			behaviour(b, part, r, &fresh)
		}
		d.control(old)
		if fresh.Requests > 0 && d.observe(fresh) {
			return since
		}
	}
	return -1
}

// oracleExposed is the number of requests after which a likelihood-ratio test that knows
// when and how the version turns bad has evidence for one false alarm in 200.
func oracleExposed(b badness, r *rand.Rand) float64 {
	level := 0.0
	for n := 1; ; n++ {
		part := 1.0
		if b.ramp {
			part = math.Min(1, float64(n)/rolloutRamp)
		}
		var t model.VersionStats
		behaviour(b, part, r, &t)
		bad, good := 0.003+b.fail*part, 0.003
		if t.Failures > 0 {
			level += math.Log(bad / good)
		} else {
			level += math.Log((1 - bad) / (1 - good))
		}
		level += gaussian(t.Quality, float64(t.Rated), 0.85, 0.85-b.drop*part, 0.12)
		level += gaussian(t.LogFirstTokenSum, float64(t.Timed), math.Log(0.2), math.Log(0.2)+math.Log1p(b.delay*part), 0.4)
		if level > math.Log(200) {
			return float64(n)
		}
	}
}

// gaussian is the log-likelihood ratio of the sum of n values for mean bad against good.
func gaussian(sum, n, good, bad, sigma float64) float64 {
	return (bad - good) / (sigma * sigma) * (sum - n*(good+bad)/2)
}

// Rollouts measures how many requests a version that turns bad still gets.
func Rollouts(scale Scale) Section {
	s := Section{
		Title: "Roll-out guard",
		How: fmt.Sprintf("A version turns bad after %d good requests, at once or over %d requests; reports twice a second at %d requests/s, half of the answers rated. Exposed requests: mean of %d trials. The fixed threshold compares each %d requests.",
			rolloutQuiet, rolloutRamp, rolloutRate, scale.of(rolloutTrials), thresholdWindow),
	}
	kinds := []badness{
		{name: "wrong", drop: 0.3}, {name: "slow", delay: 1}, {name: "failing", fail: 0.3},
		{name: "wrong by degrees", drop: 0.3, ramp: true}, {name: "slow by degrees", delay: 1, ramp: true}, {name: "failing by degrees", fail: 0.3, ramp: true},
	}
	for _, share := range []float64{0.01, 0.5} {
		for i, b := range kinds {
			s.Rows = append(s.Rows, rolloutRow(scale, b, share, uint64(i)))
		}
	}
	s.Rows = append(s.Rows, falseAlarms(scale))
	return s
}

func rolloutRow(scale Scale, b badness, share float64, stream uint64) Row {
	n := scale.of(rolloutTrials)
	var ours, fixed, oracle []float64
	unseen := 0
	for i := range n {
		seed := stream*1000 + uint64(i)
		got := exposed(guardDetector{guard.New()}, b, share, rolloutLength, newRand(seed))
		if got < 0 {
			unseen++
		}
		ours = append(ours, float64(got))
		oracle = append(oracle, oracleExposed(b, newRand(seed)))
		fixed = append(fixed, float64(exposed(&thresholdDetector{}, b, share, rolloutLength, newRand(seed))))
	}
	ratio := mean(ours) / mean(fixed)
	note := ""
	if b.ramp && ratio >= 1.0/3 {
		note = "a test that knew the moment and the shape of the change would itself need the oracle's number"
	} else if ratio >= 1.0/3 {
		note = "one report's interval holds that many requests"
	}
	return Row{
		Note:     note,
		What:     fmt.Sprintf("%s, at %.0f%% share: exposed requests", b.name, 100*share),
		Target:   "under a third of the fixed threshold's",
		Baseline: fmt.Sprintf("fixed threshold %.0f, no guard all, oracle %.0f", mean(fixed), mean(oracle)),
		Measured: fmt.Sprintf("%.0f (ratio %.2f, unseen %d)", mean(ours), ratio, unseen),
		Met:      ratio < 1.0/3 && unseen == 0,
	}
}

func falseAlarms(scale Scale) Row {
	n := scale.of(rolloutGood)
	ours, fixed := 0, 0
	for i := range n {
		if exposed(guardDetector{guard.New()}, badness{}, 0.5, rolloutLength, newRand(90_000+uint64(i))) >= 0 {
			ours++
		}
		if exposed(&thresholdDetector{}, badness{}, 0.5, rolloutLength, newRand(90_000+uint64(i))) >= 0 {
			fixed++
		}
	}
	return Row{
		What: fmt.Sprintf("good roll-outs of %d requests stopped", rolloutLength), Target: "at most 1 in 200",
		Baseline: fmt.Sprintf("fixed threshold %d of %d", fixed, n), Measured: fmt.Sprintf("%d of %d", ours, n),
		Met: ours*200 <= n,
	}
}

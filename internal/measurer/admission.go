package measurer

import (
	"fmt"
	"math"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	admissionSeconds  = 200
	admissionBatch    = 32
	admissionMemory   = 48
	admissionMedian   = 0.8
	admissionFirst    = 0.1
	admissionBetween  = 0.017
	admissionMax      = 256
	surgeFactor       = 4
	admissionDeadline = 5 * time.Second
	// Targets of the users' letter.
	firstTarget   = 380 * time.Millisecond
	betweenTarget = 34 * time.Millisecond
)

// admissionClass is one stream of arrivals.
type admissionClass struct {
	name     string
	org      model.OrganisationID
	priority model.Priority
	share    float64
	deadline time.Duration
}

var admissionClasses = []admissionClass{
	{"bookings", "small", model.PriorityHigh, 0.05, admissionDeadline},
	{"reports", "small", model.PriorityHigh, 0.10, admissionDeadline},
	{"large organisation", "large", model.PriorityNormal, 0.55, admissionDeadline},
	{"small organisation", "small", model.PriorityNormal, 0.10, admissionDeadline},
	{"tags", "photo", model.PriorityBatch, 0.20, 10 * time.Minute},
}

// batchEngine is slower for each request the more run at once, while its whole throughput
// still grows; over its memory it evicts and recomputes, and throughput falls.
type batchEngine struct{ running int }

func (e *batchEngine) slowdown() float64 {
	slow := 1 + float64(e.running)/admissionBatch
	if over := float64(e.running) / admissionMemory; over > 1 {
		slow *= over * over
	}
	return slow
}

// admissionResult counts finished work in time by class, and the waits.
type admissionResult struct {
	useful map[string]int
	total  map[string][]float64
	ended  map[string]int
}

// runAdmission drives the queue at a multiple of the engine's capacity.
func runAdmission(limit admitter.LimitConfig, multiple, length float64, surge bool) admissionResult {
	r := newRand(11)
	var t timeline
	q := admitter.NewQueue(admitter.Config{Limit: limit})
	e := &batchEngine{}
	out := admissionResult{useful: map[string]int{}, total: map[string][]float64{}, ended: map[string]int{}}
	// At capacity the time between tokens is at its target.
	capacity := admissionBatch / (2 * admissionMedian * math.Exp(0.08))
	for _, c := range admissionClasses {
		share := c.share
		if c.name == "large organisation" && surge {
			share *= surgeFactor
		}
		arrivals(&t, r, capacity*multiple*share, length, func(now float64) {
			at := epoch.Add(time.Duration(now * float64(time.Second)))
			req := admitter.Request{Organisation: c.org, Weight: 1, Priority: c.priority, Deadline: at.Add(c.deadline)}
			// A refused request does not come back.
			_, _ = q.Enqueue(req, func(refusal *model.Refusal) {
				if refusal == nil {
					startAdmitted(&t, q, e, &out, c, req, now, lognormal(r, admissionMedian, 0.4))
				}
			}, at)
		})
	}
	// Expired requests leave the queue with the next start; the clock runs with the events.
	t.runUntil(length)
	return out
}

func startAdmitted(t *timeline, q *admitter.Queue, e *batchEngine, out *admissionResult, c admissionClass, req admitter.Request, arrived, service float64) {
	started := t.now
	e.running++
	slow := e.slowdown()
	first := admissionFirst * slow
	t.add(started+service*slow, func(ended float64) {
		e.running--
		at := epoch.Add(time.Duration(ended * float64(time.Second)))
		out.ended[c.name]++
		if arrived > 20 {
			took := ended - arrived
			if took <= c.deadline.Seconds() {
				out.useful[c.name]++
			}
			out.total[c.name] = append(out.total[c.name], took)
		}
		q.Release(req, admitter.Usage{HoldTime: span(ended - started), FirstByte: span(first), TokenGap: span(admissionBetween * slow)}, at)
	})
}

func span(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// Admission measures useful work and waits from half to three times the capacity.
func Admission(scale Scale) Section {
	s := Section{
		Title: "Admission",
		How: fmt.Sprintf("One engine whose requests slow each other down (34 ms between tokens at %d, eviction beyond %d), five classes, 5 s deadlines (tags 10 min), %.0f s each.",
			admissionBatch, admissionMemory, admissionSeconds*float64(scale)),
	}
	length := max(60, admissionSeconds*float64(scale))
	adaptive := admitter.LimitConfig{Initial: 16, Min: 1, Max: admissionMax, FirstByteTarget: firstTarget, TokenGapTarget: betweenTarget}
	none := admitter.LimitConfig{Initial: 4096, Min: 4096, Max: 4096}
	fixed := admitter.LimitConfig{Initial: 64, Min: 64, Max: 64}
	full := sum(runAdmission(adaptive, 1, length, false).useful)
	var measured, baseline string
	ratio := 0.0
	for _, m := range []float64{0.5, 1, 1.5, 2, 3} {
		ours := sum(runAdmission(adaptive, m, length, false).useful)
		measured += fmt.Sprintf("%.1f×: %.2f, ", m, float64(ours)/float64(full))
		baseline += fmt.Sprintf("%.1f×: none %.2f fixed %.2f, ", m, float64(sum(runAdmission(none, m, length, false).useful))/float64(full), float64(sum(runAdmission(fixed, m, length, false).useful))/float64(full))
		ratio = float64(ours) / float64(full)
	}
	s.Rows = append(s.Rows, Row{What: "useful throughput, as a ratio to that at capacity", Target: "at least 0.95 at 3 times capacity", Baseline: baseline[:len(baseline)-2], Measured: measured[:len(measured)-2], Met: ratio >= 0.95})
	return admissionWaits(s, adaptive, length)
}

func admissionWaits(s Section, cfg admitter.LimitConfig, length float64) Section {
	calm, storm := runAdmission(cfg, 1, length, false), runAdmission(cfg, 3, length, false)
	for _, name := range []string{"bookings", "reports"} {
		before, after := quantile(calm.total[name], 0.95), quantile(storm.total[name], 0.95)
		s.Rows = append(s.Rows, Row{What: name + ": 95th percentile at 3 times capacity", Target: "at most 1.1 times that at capacity", Baseline: fmt.Sprintf("%.2f s", before), Measured: fmt.Sprintf("%.2f s", after), Met: after <= 1.1*before})
	}
	quiet, surge := runAdmission(cfg, 1, length, false), runAdmission(cfg, 1, length, true)
	before, after := quantile(quiet.total["small organisation"], 0.95), quantile(surge.total["small organisation"], 0.95)
	s.Rows = append(s.Rows,
		Row{What: "small organisation's 95th percentile when a large one sends 4 times as much", Target: "at most 1.10 times", Baseline: fmt.Sprintf("%.2f s without the surge", before), Measured: fmt.Sprintf("%.2f s (ratio %.2f)", after, after/before), Met: after <= 1.1*before},
		Row{What: "tags finished at 3 times capacity", Target: "some, none starves for ever", Baseline: "strict priority 0", Measured: fmt.Sprint(storm.ended["tags"]), Met: storm.ended["tags"] > 0},
	)
	return s
}

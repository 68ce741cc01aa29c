package measurer

import (
	"fmt"
	"math"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/admitter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	admissionSeconds        = 200
	admissionBatchSize      = 32 // running requests at which each takes twice as long
	admissionMemoryRequests = 48 // running requests beyond which the engine evicts
	admissionMedianSeconds  = 0.8
	firstTokenSeconds       = 0.1
	tokenGapSeconds         = 0.017
	admissionMaxLimit       = 256
	surgeFactor             = 4
	admissionDeadline       = 5 * time.Second
	// The users require these latencies.
	firstTokenTarget = 380 * time.Millisecond
	tokenGapTarget   = 34 * time.Millisecond
)

// admissionClass is one stream of arrivals, with its share of all requests.
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

// batchEngine serves each request more slowly the more requests run at once, while its total
// throughput still grows. Beyond admissionMemoryRequests it evicts and recomputes, and
// throughput falls.
type batchEngine struct{ running int }

func (e *batchEngine) slowdown() float64 {
	factor := 1 + float64(e.running)/admissionBatchSize
	if memoryRatio := float64(e.running) / admissionMemoryRequests; memoryRatio > 1 {
		factor *= memoryRatio * memoryRatio
	}
	return factor
}

// admissionResult holds, for each class, the number of requests that finished within their
// deadline, the response times in seconds, and the number of all finished requests.
type admissionResult struct {
	inTime        map[string]int
	responseTimes map[string][]float64
	finished      map[string]int
}

// runAdmission sends arrivals through the admission queue at a multiple of the engine's
// capacity. In a surge the large organisation sends surgeFactor times as many.
func runAdmission(limit admitter.LimitConfig, multiple, length float64, surge bool) admissionResult {
	r := newRand(11)
	var t timeline
	q := admitter.NewQueue(admitter.Config{Limit: limit})
	e := &batchEngine{}
	out := admissionResult{inTime: map[string]int{}, responseTimes: map[string][]float64{}, finished: map[string]int{}}
	// At capacity the gap between tokens is at its target.
	capacity := admissionBatchSize / (2 * admissionMedianSeconds * math.Exp(0.08))
	for _, c := range admissionClasses {
		share := c.share
		if c.name == "large organisation" && surge {
			share *= surgeFactor
		}
		scheduleArrivals(&t, r, capacity*multiple*share, length, func(now float64) {
			at := epoch.Add(time.Duration(now * float64(time.Second)))
			req := admitter.Request{Organisation: c.org, Weight: 1, Priority: c.priority, Deadline: at.Add(c.deadline)}
			// Refused requests are not sent again.
			_, _ = q.Enqueue(req, func(refusal *model.Refusal) {
				if refusal == nil {
					startAdmitted(&t, q, e, &out, c, req, now, lognormal(r, admissionMedianSeconds, 0.4))
				}
			}, at)
		})
	}
	// The queue drops expired requests at the next start; its clock advances with the events.
	t.runUntil(length)
	return out
}

func startAdmitted(t *timeline, q *admitter.Queue, e *batchEngine, out *admissionResult, c admissionClass, req admitter.Request, arrived, serviceTime float64) {
	started := t.now
	e.running++
	slowdownFactor := e.slowdown()
	firstToken := firstTokenSeconds * slowdownFactor
	t.schedule(started+serviceTime*slowdownFactor, func(finished float64) {
		e.running--
		at := epoch.Add(time.Duration(finished * float64(time.Second)))
		out.finished[c.name]++
		if arrived > 20 {
			responseTime := finished - arrived
			if responseTime <= c.deadline.Seconds() {
				out.inTime[c.name]++
			}
			out.responseTimes[c.name] = append(out.responseTimes[c.name], responseTime)
		}
		q.Release(req, admitter.Usage{HoldTime: toDuration(finished - started), FirstByte: toDuration(firstToken), TokenGap: toDuration(tokenGapSeconds * slowdownFactor)}, at)
	})
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func sumCounts(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// Admission measures useful throughput and response times at 0.5 to 3 times the capacity.
func Admission(scale Scale) Section {
	s := Section{
		Title: "Admission",
		Method: fmt.Sprintf("One engine whose requests slow each other down (34 ms between tokens at %d, eviction beyond %d), five classes, 5 s deadlines (tags 10 min), %.0f s each.",
			admissionBatchSize, admissionMemoryRequests, admissionSeconds*float64(scale)),
	}
	length := max(60, admissionSeconds*float64(scale))
	adaptive := admitter.LimitConfig{Initial: 16, Min: 1, Max: admissionMaxLimit, FirstByteTarget: firstTokenTarget, TokenGapTarget: tokenGapTarget}
	unlimited := admitter.LimitConfig{Initial: 4096, Min: 4096, Max: 4096}
	fixed := admitter.LimitConfig{Initial: 64, Min: 64, Max: 64}
	atCapacity := sumCounts(runAdmission(adaptive, 1, length, false).inTime)
	var measured, baseline string
	ratio := 0.0
	for _, multiple := range []float64{0.5, 1, 1.5, 2, 3} {
		useful := sumCounts(runAdmission(adaptive, multiple, length, false).inTime)
		measured += fmt.Sprintf("%.1f×: %.2f, ", multiple, float64(useful)/float64(atCapacity))
		baseline += fmt.Sprintf("%.1f×: none %.2f fixed %.2f, ", multiple, float64(sumCounts(runAdmission(unlimited, multiple, length, false).inTime))/float64(atCapacity), float64(sumCounts(runAdmission(fixed, multiple, length, false).inTime))/float64(atCapacity))
		ratio = float64(useful) / float64(atCapacity)
	}
	s.Rows = append(s.Rows, Row{Subject: "useful throughput, as a ratio to that at capacity", Target: "at least 0.95 at 3 times capacity", Baseline: baseline[:len(baseline)-2], Measured: measured[:len(measured)-2], Met: ratio >= 0.95})
	return addResponseTimeRows(s, adaptive, length)
}

func addResponseTimeRows(s Section, cfg admitter.LimitConfig, length float64) Section {
	atCapacity, overloaded := runAdmission(cfg, 1, length, false), runAdmission(cfg, 3, length, false)
	for _, name := range []string{"bookings", "reports"} {
		before, after := quantile(atCapacity.responseTimes[name], 0.95), quantile(overloaded.responseTimes[name], 0.95)
		s.Rows = append(s.Rows, Row{Subject: name + ": 95th percentile at 3 times capacity", Target: "at most 1.1 times that at capacity", Baseline: fmt.Sprintf("%.2f s", before), Measured: fmt.Sprintf("%.2f s", after), Met: after <= 1.1*before})
	}
	quiet, surge := runAdmission(cfg, 1, length, false), runAdmission(cfg, 1, length, true)
	before, after := quantile(quiet.responseTimes["small organisation"], 0.95), quantile(surge.responseTimes["small organisation"], 0.95)
	s.Rows = append(s.Rows,
		Row{Subject: "small organisation's 95th percentile when a large one sends 4 times as much", Target: "at most 1.10 times", Baseline: fmt.Sprintf("%.2f s without the surge", before), Measured: fmt.Sprintf("%.2f s (ratio %.2f)", after, after/before), Met: after <= 1.1*before},
		Row{Subject: "tags finished at 3 times capacity", Target: "some, none starves for ever", Baseline: "strict priority 0", Measured: fmt.Sprint(overloaded.finished["tags"]), Met: overloaded.finished["tags"] > 0},
	)
	return s
}

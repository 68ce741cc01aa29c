// Package meter counts what a process does and keeps a bounded set of histograms for each
// organisation and class.
package meter

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// maxSeries bounds the histograms, whatever names callers bring.
	maxSeries = 500
	// otherSeries collects what the bound leaves out.
	otherSeries = "other/other"
	// maxValue is the largest value of a histogram: an hour in microseconds.
	maxValue = int64(time.Hour / time.Microsecond)
	// digits is the number of significant digits of a histogram.
	digits = 2
)

// Meter is the metrics registry of one process.
type Meter struct {
	registry metrics.Registry
	mu       sync.Mutex
	series   map[string]bool
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), series: map[string]bool{}}
}

// Count adds to a counter such as "refused/overload".
func (m *Meter) Count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

// SetGauge sets a gauge.
func (m *Meter) SetGauge(name string, v int) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(int64(v))
}

// ObserveQueueTime observes the time that a request waited at an agent.
func (m *Meter) ObserveQueueTime(org model.OrganisationID, class model.ClassID, d time.Duration) {
	m.observe("queue", org, class, d.Microseconds())
}

// ObserveTimeToFirstEvent observes the time to the first token.
func (m *Meter) ObserveTimeToFirstEvent(org model.OrganisationID, class model.ClassID, d time.Duration) {
	m.observe("first", org, class, d.Microseconds())
}

// ObserveEventInterval observes the time between two tokens.
func (m *Meter) ObserveEventInterval(org model.OrganisationID, class model.ClassID, d time.Duration) {
	m.observe("between", org, class, d.Microseconds())
}

// ObserveRequestDuration observes the time of a whole request.
func (m *Meter) ObserveRequestDuration(org model.OrganisationID, class model.ClassID, d time.Duration) {
	m.observe("whole", org, class, d.Microseconds())
}

// ObserveRequestCost observes the cost of a request in millionths of a dollar.
func (m *Meter) ObserveRequestCost(org model.OrganisationID, class model.ClassID, cost model.Money) {
	m.observe("cost", org, class, int64(cost)/1000)
}

func (m *Meter) observe(name string, org model.OrganisationID, class model.ClassID, v int64) {
	key := m.bounded(name, string(org)+"/"+string(class))
	h := m.registry.GetOrRegister(key, func() metrics.Histogram { return metrics.NewHistogram(newSample()) })
	h.(metrics.Histogram).Update(v)
}

func (m *Meter) bounded(name, series string) string {
	key := name + "/" + series
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.series[key] {
		return key
	}
	if len(m.series) >= maxSeries {
		return name + "/" + otherSeries
	}
	m.series[key] = true
	return key
}

// sample backs a go-metrics histogram with an HDR histogram, which keeps all values
// within two significant digits in constant memory.
type sample struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newSample() metrics.Sample {
	return &sample{h: hdrhistogram.New(1, maxValue, digits)}
}

// Clear implements metrics.Sample.
func (s *sample) Clear() { s.mu.Lock(); defer s.mu.Unlock(); s.h.Reset() }

// Count implements metrics.Sample.
func (s *sample) Count() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.TotalCount() }

// Max implements metrics.Sample.
func (s *sample) Max() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.Max() }

// Mean implements metrics.Sample.
func (s *sample) Mean() float64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.Mean() }

// Min implements metrics.Sample.
func (s *sample) Min() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.Min() }

// Percentile implements metrics.Sample.
func (s *sample) Percentile(p float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.h.ValueAtQuantile(p * 100))
}

// Percentiles implements metrics.Sample.
func (s *sample) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = s.Percentile(p)
	}
	return out
}

// Size implements metrics.Sample.
func (s *sample) Size() int { return int(s.Count()) }

// Snapshot implements metrics.Sample. The library's own histogram takes only its own kind
// of snapshot, so readers use the locked sample itself.
func (s *sample) Snapshot() metrics.Sample { return metrics.NilSample{} }

// StdDev implements metrics.Sample.
func (s *sample) StdDev() float64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.StdDev() }

// Sum implements metrics.Sample.
func (s *sample) Sum() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.h.Mean() * float64(s.h.TotalCount()))
}

// Update implements metrics.Sample; values over the range count as its maximum.
func (s *sample) Update(v int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The value was clamped into the range, so recording cannot fail.
	_ = s.h.RecordValue(min(max(v, 1), maxValue))
}

// Values implements metrics.Sample; single values are not kept.
func (s *sample) Values() []int64 { return nil }

// Variance implements metrics.Sample.
func (s *sample) Variance() float64 { d := s.StdDev(); return d * d }

// WriteText writes all metrics in the Prometheus text format.
func (m *Meter) WriteText(w io.Writer) error {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch metric := v.(type) {
		case metrics.Counter:
			lines = append(lines, counterLine(name, metric.Count()))
		case metrics.Gauge:
			lines = append(lines, counterLine(name, metric.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(name, metric)...)
		}
	})
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	if err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// Text returns what WriteText writes.
func (m *Meter) Text() (string, error) {
	var b strings.Builder
	err := m.WriteText(&b)
	return b.String(), err
}

func counterLine(name string, v int64) string {
	metric, label, _ := strings.Cut(name, "/")
	if label == "" {
		return fmt.Sprintf("bramleyhinge_%s %d\n", metric, v)
	}
	return fmt.Sprintf("bramleyhinge_%s{kind=%q} %d\n", metric, label, v)
}

func histogramLines(name string, h metrics.Histogram) []string {
	parts := strings.SplitN(name, "/", 3)
	unit := "microseconds"
	if parts[0] == "cost" {
		unit = "microdollars"
	}
	labels := fmt.Sprintf("organisation=%q,class=%q", parts[1], parts[2])
	metric := fmt.Sprintf("bramleyhinge_%s_%s", parts[0], unit)
	var out []string
	for _, q := range []float64{0.5, 0.95, 0.99} {
		out = append(out, fmt.Sprintf("%s{%s,quantile=\"%g\"} %.0f\n", metric, labels, q, h.Percentile(q)))
	}
	return append(out, fmt.Sprintf("%s_count{%s} %d\n", metric, labels, h.Count()))
}

// Package meter keeps the metrics of a process: counters, gauges, and a bounded number of histograms by
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
	// maxSeries limits the number of histograms, however many organisations and classes there are.
	maxSeries = 500
	// overflowSeries is the organisation and class of the observations beyond maxSeries.
	overflowSeries = "other/other"
	// maxValueMicroseconds is the largest value that a histogram records: one hour.
	maxValueMicroseconds = int64(time.Hour / time.Microsecond)
	// significantDigits is the number of significant decimal digits that a histogram keeps of a value.
	significantDigits = 2
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

// Count adds n to a counter such as "refused/overload".
func (m *Meter) Count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

func (m *Meter) SetGauge(name string, v int) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(int64(v))
}

// ObserveQueueTime records how long a request waited in the queue of an agent.
func (m *Meter) ObserveQueueTime(org model.OrganisationID, class model.ClassID, d time.Duration) {
	m.observe("queue", org, class, d.Microseconds())
}

// ObserveTimeToFirstEvent records the time from a request to the first event of its answer.
func (m *Meter) ObserveTimeToFirstEvent(org model.OrganisationID, class model.ClassID, d time.Duration) {
	m.observe("first", org, class, d.Microseconds())
}

// ObserveEventInterval records the interval between two events of an answer.
func (m *Meter) ObserveEventInterval(org model.OrganisationID, class model.ClassID, d time.Duration) {
	m.observe("between", org, class, d.Microseconds())
}

// ObserveRequestDuration records the duration of a request.
func (m *Meter) ObserveRequestDuration(org model.OrganisationID, class model.ClassID, d time.Duration) {
	m.observe("whole", org, class, d.Microseconds())
}

// ObserveRequestCost records the cost of a request; its histogram is in millionths of a dollar.
func (m *Meter) ObserveRequestCost(org model.OrganisationID, class model.ClassID, cost model.Money) {
	m.observe("cost", org, class, int64(cost)/1000)
}

func (m *Meter) observe(name string, org model.OrganisationID, class model.ClassID, v int64) {
	key := m.seriesKey(name, string(org)+"/"+string(class))
	h := m.registry.GetOrRegister(key, func() metrics.Histogram { return metrics.NewHistogram(newHDRSample()) })
	h.(metrics.Histogram).Update(v)
}

// seriesKey returns the key of a histogram, which is that of overflowSeries if the series is new and maxSeries
// is reached.
func (m *Meter) seriesKey(name, series string) string {
	key := name + "/" + series
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.series[key] {
		return key
	}
	if len(m.series) >= maxSeries {
		return name + "/" + overflowSeries
	}
	m.series[key] = true
	return key
}

// hdrSample backs a go-metrics histogram with an HDR histogram, which counts all values to two significant
// digits in constant memory.
type hdrSample struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHDRSample() metrics.Sample {
	return &hdrSample{h: hdrhistogram.New(1, maxValueMicroseconds, significantDigits)}
}

// Clear implements metrics.Sample.
func (s *hdrSample) Clear() { s.mu.Lock(); defer s.mu.Unlock(); s.h.Reset() }

// Count implements metrics.Sample.
func (s *hdrSample) Count() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.TotalCount() }

// Max implements metrics.Sample.
func (s *hdrSample) Max() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.Max() }

// Mean implements metrics.Sample.
func (s *hdrSample) Mean() float64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.Mean() }

// Min implements metrics.Sample.
func (s *hdrSample) Min() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.Min() }

// Percentile implements metrics.Sample.
func (s *hdrSample) Percentile(p float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.h.ValueAtQuantile(p * 100))
}

// Percentiles implements metrics.Sample.
func (s *hdrSample) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = s.Percentile(p)
	}
	return out
}

// Size implements metrics.Sample.
func (s *hdrSample) Size() int { return int(s.Count()) }

// Snapshot implements metrics.Sample. It returns an empty sample: the histogram of go-metrics accepts only its
// own snapshot type, so readers use the locked sample itself.
func (s *hdrSample) Snapshot() metrics.Sample { return metrics.NilSample{} }

// StdDev implements metrics.Sample.
func (s *hdrSample) StdDev() float64 { s.mu.Lock(); defer s.mu.Unlock(); return s.h.StdDev() }

// Sum implements metrics.Sample.
func (s *hdrSample) Sum() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.h.Mean() * float64(s.h.TotalCount()))
}

// Update implements metrics.Sample; a value outside the range counts as its nearest bound.
func (s *hdrSample) Update(v int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// RecordValue fails only on values outside the range.
	_ = s.h.RecordValue(min(max(v, 1), maxValueMicroseconds))
}

// Values implements metrics.Sample; it returns nil, since an HDR histogram keeps no single values.
func (s *hdrSample) Values() []int64 { return nil }

// Variance implements metrics.Sample.
func (s *hdrSample) Variance() float64 { d := s.StdDev(); return d * d }

// WriteText writes all metrics in the Prometheus text format.
func (m *Meter) WriteText(w io.Writer) error {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch metric := v.(type) {
		case metrics.Counter:
			lines = append(lines, formatValue(name, metric.Count()))
		case metrics.Gauge:
			lines = append(lines, formatValue(name, metric.Value()))
		case metrics.Histogram:
			lines = append(lines, formatHistogram(name, metric)...)
		}
	})
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	if err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// Text returns the output of WriteText.
func (m *Meter) Text() (string, error) {
	var b strings.Builder
	err := m.WriteText(&b)
	return b.String(), err
}

func formatValue(name string, v int64) string {
	metric, label, _ := strings.Cut(name, "/")
	if label == "" {
		return fmt.Sprintf("bramleyhinge_%s %d\n", metric, v)
	}
	return fmt.Sprintf("bramleyhinge_%s{kind=%q} %d\n", metric, label, v)
}

func formatHistogram(name string, h metrics.Histogram) []string {
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

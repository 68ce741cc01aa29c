// Package measurer runs the decision code of the project on seeded arrivals against small fake
// engines, and reports the figures beside baselines and targets.
package measurer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strings"
	"time"
)

// Seed seeds the random numbers of all measurements.
const Seed = 20261204

// Row is one measured figure with its target and its baseline.
type Row struct {
	Subject  string
	Target   string
	Baseline string
	Measured string
	Met      bool
	Note     string
}

// Section holds the rows of one measurement and describes its method.
type Section struct {
	Title  string
	Method string
	Rows   []Row
}

// Scale multiplies the length of measurements: 1 for the published page, less for tests.
type Scale float64

func (s Scale) scaleCount(n int) int { return max(1, int(float64(n)*float64(s))) }

// Write writes sections as Markdown tables.
func Write(w io.Writer, sections []Section) error {
	var b strings.Builder
	for _, s := range sections {
		fmt.Fprintf(&b, "## %s\n\n%s\n\n", s.Title, s.Method)
		b.WriteString("| what | target | baselines | measured | verdict |\n|---|---|---|---|---|\n")
		for _, r := range s.Rows {
			verdict := "met"
			if !r.Met {
				verdict = "**missed**"
			}
			if r.Note != "" {
				verdict += ": " + r.Note
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", r.Subject, r.Target, r.Baseline, r.Measured, verdict)
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return fmt.Errorf("write measurements: %w", err)
	}
	return nil
}

const measurementsHead = `# Measurements

Each decision runs beside its baselines, on the same arrivals, against small fakes of
engines. Regenerate this page with

    go run -buildvcs=true ./cmd/measure > docs/MEASUREMENTS.md

Seed %d. Figures of real time (overhead, platform writes) differ between machines and runs;
all others are the same every time. Made at commit %s.

`

// WriteHead writes the heading of the page, with the commit that the binary was built from.
func WriteHead(w io.Writer) error {
	commit := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = s.Value[:min(12, len(s.Value))]
			}
		}
	}
	if _, err := fmt.Fprintf(w, measurementsHead, Seed, commit); err != nil {
		return fmt.Errorf("write measurements: %w", err)
	}
	return nil
}

func newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(Seed, stream)) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// quantile returns the q-quantile of values, which it sorts.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

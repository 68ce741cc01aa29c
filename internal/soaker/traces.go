package soaker

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/tracer"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	// maxTraces is the number of requests whose traces a report keeps.
	maxTraces = 20
	// tracesFile holds the traces, in the folder of the run.
	tracesFile = "traces.txt"
	clockTime  = "15:04:05.000"
)

// traceViolations returns the traces of the requests that violations name: what their callers and backend servers saw,
// the faults meanwhile, and what the entries logged. It writes them to the folder of the run too.
func (s *soak) traceViolations(found []violation, log *tracer.Log) (traces []string, err error) {
	if len(found) == 0 {
		return nil, nil
	}
	traced := map[string]bool{}
	for _, v := range found {
		if traced[v.Request] || len(traces) >= maxTraces {
			continue
		}
		traced[v.Request] = true
		if text, ok := s.history.trace(v, log); ok {
			traces = append(traces, text)
		}
	}
	err = os.WriteFile(filepath.Join(s.cfg.Dir, tracesFile), []byte(strings.Join(traces, "\n")), 0o600)
	return traces, err
}

func (s *soak) readLogs() (log *tracer.Log, err error) {
	var readers []io.Reader
	for _, e := range s.entries {
		f, openErr := os.Open(e.logFile.Name())
		if openErr != nil {
			return nil, fmt.Errorf("open the log of %s: %w", e.Name, openErr)
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		readers = append(readers, f)
	}
	return tracer.Read(readers...)
}

// trace returns the trace of the request that a violation names, or false if no caller sent it.
func (h history) trace(v violation, log *tracer.Log) (string, bool) {
	i := slices.IndexFunc(h.Records, func(r record) bool { return r.ID == v.Request })
	if i < 0 {
		return "", false
	}
	r := h.Records[i]
	var b strings.Builder
	fmt.Fprintf(&b, "%s: request %s: %s\n", v.Invariant, v.Request, v.Detail)
	fmt.Fprintf(&b, "  %s sent to %s on route %s, %s ended with status %d, whole %v %s\n", r.Sent.UTC().Format(clockTime), r.Entry, r.Route,
		r.Ended.UTC().Format(clockTime), r.Status, r.Complete, r.Err)
	fmt.Fprintf(&b, "  %s begun, first on its connection %v, %s, read after %v with pauses of %v\n", r.Begun.UTC().Format(clockTime), r.Fresh, r.Manner,
		r.Manner.ReadDelay.Round(time.Millisecond), r.Manner.ReadPause)
	for _, a := range h.Arrivals {
		if a.ID == r.ID {
			fmt.Fprintf(&b, "  %s reached %s, ran %v, after event %d\n", a.At.UTC().Format(clockTime), a.Server, a.Ran, a.LastEventID)
		}
	}
	for _, f := range h.Spans {
		if f.From.Before(r.Ended.Add(time.Second)) && f.To.After(r.Sent.Add(-settleTime)) && h.concerns(f, r) {
			fmt.Fprintf(&b, "  %s to %s %s %s\n", f.From.UTC().Format(clockTime), f.To.UTC().Format(clockTime), f.Kind, f.Target)
		}
	}
	if t, ok := log.Trace(r.ID); ok {
		// Writing to a strings.Builder cannot fail.
		_ = t.Write(&b)
	}
	return b.String(), true
}

// concerns reports whether a fault affected the entry of a request, all entries or a backend server that it reached, or is
// an odd entry.
func (h history) concerns(f faultSpan, r record) bool {
	return f.Target == "" || f.Target == r.Entry || f.Kind == oddEntry ||
		slices.ContainsFunc(h.Arrivals, func(a standin.Arrival) bool { return a.ID == r.ID && a.Server == f.Target })
}

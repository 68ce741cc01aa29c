// Package tracer reconstructs from log lines how a request was handled, and groups failed requests by
// cause.
package tracer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the size of the longest log line that is parsed.
const maxLineBytes = 1 << 20

// Line is one line of a structured log.
type Line struct {
	At       time.Time      `json:"at"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Log holds the parsed lines: those that name a request, by request, and the others, which report state
// changes of an instance. Unparsed counts the lines that are not valid log lines.
type Log struct {
	requests      map[string][]Line
	instanceLines []Line
	Unparsed      int
}

// Read parses log lines in JSON and ignores the text before a line's first brace.
func Read(readers ...io.Reader) (*Log, error) {
	l := &Log{requests: map[string][]Line{}}
	for _, r := range readers {
		if err := l.read(bufio.NewReaderSize(r, 64<<10)); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	for _, lines := range l.requests {
		sortLines(lines)
	}
	sortLines(l.instanceLines)
	return l, nil
}

// read parses lines until the end; lines over maxLineBytes count as unparsed.
func (l *Log) read(r *bufio.Reader) error {
	var line []byte
	length := 0
	for {
		part, err := r.ReadSlice('\n')
		length += len(part)
		if length <= maxLineBytes {
			line = append(line, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if length > maxLineBytes {
			l.Unparsed++
		} else if len(bytes.TrimSpace(line)) > 0 {
			l.add(line)
		}
		line, length = line[:0], 0
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// sortLines orders lines by time; lines with equal times keep their order in the log.
func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

func (l *Log) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	var fields map[string]any
	if start < 0 || json.Unmarshal(text[start:], &fields) != nil {
		l.Unparsed++
		return
	}
	line := Line{Message: popString(fields, "message"), Instance: popString(fields, "instance")}
	at, err := time.Parse(time.RFC3339Nano, popString(fields, "time"))
	if err != nil || line.Message == "" {
		l.Unparsed++
		return
	}
	line.At, line.Fields = at, fields
	if request := popString(fields, "request"); request != "" {
		l.requests[request] = append(l.requests[request], line)
		return
	}
	l.instanceLines = append(l.instanceLines, line)
}

// popString removes a field and returns its value, or "" if it is missing or not a string.
func popString(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}

// Trace holds the log lines of a request, and the state changes that its instance logged shortly before
// and while it ran.
type Trace struct {
	Request       string `json:"request"`
	Cause         string `json:"cause"`
	Lines         []Line `json:"lines"`
	InstanceLines []Line `json:"beliefs,omitempty"`
}

// lookback is how long before a request's first line a state change may still explain its outcome.
const lookback = 10 * time.Second

// Trace returns the trace of a request, or false if the log does not name it.
func (l *Log) Trace(request string) (Trace, bool) {
	lines, ok := l.requests[request]
	if !ok {
		return Trace{}, false
	}
	t := Trace{Request: request, Cause: failureCause(lines), Lines: lines}
	first, last := lines[0].At.Add(-lookback), lines[len(lines)-1].At
	backends := map[any]bool{}
	for _, line := range lines {
		if b := line.Fields["backend"]; b != nil {
			backends[b] = true
		}
	}
	for _, line := range l.instanceLines {
		b := line.Fields["backend"]
		if line.Instance == lines[0].Instance && !line.At.Before(first) && !line.At.After(last) && (b == nil || backends[b]) {
			t.InstanceLines = append(t.InstanceLines, line)
		}
	}
	return t, true
}

// FailureGroup counts the failed requests with one cause.
type FailureGroup struct {
	Cause    string   `json:"cause"`
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

// maxExamples is the maximum number of request IDs in FailureGroup.Examples.
const maxExamples = 3

// FailureGroups groups the failed requests by cause, the most frequent cause first.
func (l *Log) FailureGroups() []FailureGroup {
	groups := map[string]*FailureGroup{}
	for _, request := range slices.Sorted(maps.Keys(l.requests)) {
		c := failureCause(l.requests[request])
		if c == "" {
			continue
		}
		g := groups[c]
		if g == nil {
			g = &FailureGroup{Cause: c}
			groups[c] = g
		}
		g.Count++
		if len(g.Examples) < maxExamples {
			g.Examples = append(g.Examples, request)
		}
	}
	out := make([]FailureGroup, 0, len(groups))
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b FailureGroup) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// failureCause returns why a request failed, or "" if its lines report no failure.
func failureCause(lines []Line) string {
	var outcomes []string
	out, sent, closed := "", false, false
	for _, line := range lines {
		switch line.Message {
		case "forwarder: placed":
			sent = true
		case "forwarder: refused", "forwarder: the answer broke off midway", "forwarder: the caller left", "forwarder: ended":
			closed = true
		}
		switch line.Message {
		case "forwarder: attempt failed":
			outcomes = append(outcomes, fmt.Sprint(line.Fields["fate"]))
		case "forwarder: attempt did not run":
			outcomes = append(outcomes, fmt.Sprint(line.Fields["fate"]))
		case "forwarder: refused":
			out = fmt.Sprintf("refused: %v, status %v", line.Fields["kind"], line.Fields["status"])
		case "forwarder: the answer broke off midway":
			out = fmt.Sprintf("cut midway: %v", line.Fields["kind"])
		case "forwarder: the caller left":
			out = "the caller left"
		case "acceptor: the stop closes a connection that is not idle":
			closed, out = true, "cut by the stop of its entry"
		case "acceptor: a request crossed the closing of its idle connection and does not run":
			out = "crossed the closing of its idle connection, not run"
		case "forwarder: ended":
			if status, ok := line.Fields["status"].(float64); ok && status >= 500 {
				out = fmt.Sprintf("the backend server failed, status %v", status)
			}
		}
	}
	if sent && !closed {
		out = "no outcome is logged: its entry ended, or it is still running"
	}
	if out != "" && len(outcomes) > 0 {
		out += ", after " + strings.Join(outcomes, ", ")
	}
	return out
}

// Write writes the trace as text, one log line per line.
func (t Trace) Write(w io.Writer) error {
	c := t.Cause
	if c == "" {
		c = "answered"
	}
	_, err := fmt.Fprintf(w, "request %s: %s\n", t.Request, c)
	lines := slices.Concat(t.Lines, t.InstanceLines)
	sortLines(lines)
	for _, line := range lines {
		if err != nil {
			break
		}
		_, err = fmt.Fprintf(w, "  %s %s %s%s\n", line.At.Format("15:04:05.000"), line.Instance, line.Message, formatFields(line.Fields))
	}
	if err != nil {
		return fmt.Errorf("write the trace: %w", err)
	}
	return nil
}

func formatFields(in map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(in)) {
		if name != "level" {
			fmt.Fprintf(&b, " %s=%v", name, in[name])
		}
	}
	return b.String()
}

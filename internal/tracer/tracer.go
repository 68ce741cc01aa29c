// Package tracer tells the story of a request from log lines, and groups failed requests by
// their cause.
package tracer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLine bounds a log line; longer ones are counted as unread.
const maxLine = 1 << 20

// Line is one line of a structured log.
type Line struct {
	At       time.Time      `json:"at"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Log holds the lines about requests, and the number of lines that could not be read.
type Log struct {
	requests map[string][]Line
	beliefs  []Line
	Unread   int
}

// Read reads log lines; text before a line's first brace is left out.
func Read(readers ...io.Reader) (*Log, error) {
	l := &Log{requests: map[string][]Line{}}
	for _, r := range readers {
		s := bufio.NewScanner(r)
		s.Buffer(make([]byte, 64<<10), maxLine)
		for s.Scan() {
			l.add(s.Bytes())
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	for _, lines := range l.requests {
		sortLines(lines)
	}
	sortLines(l.beliefs)
	return l, nil
}

// sortLines orders lines by time; lines of one instant keep their order in the log.
func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

func (l *Log) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	var fields map[string]any
	if start < 0 || json.Unmarshal(text[start:], &fields) != nil {
		l.Unread++
		return
	}
	line := Line{Message: take(fields, "message"), Instance: take(fields, "instance")}
	at, err := time.Parse(time.RFC3339Nano, take(fields, "time"))
	if err != nil || line.Message == "" {
		l.Unread++
		return
	}
	line.At, line.Fields = at, fields
	if request := take(fields, "request"); request != "" {
		l.requests[request] = append(l.requests[request], line)
		return
	}
	l.beliefs = append(l.beliefs, line)
}

func take(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}

// Story is what the log tells of a request: its own lines, and what its instance came to
// believe meanwhile.
type Story struct {
	Request string `json:"request"`
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"`
	Beliefs []Line `json:"beliefs,omitempty"`
}

// before is how long before a request's first line changes of belief may explain it.
const before = 10 * time.Second

// Trace returns the story of a request, or false if the log does not name it.
func (l *Log) Trace(request string) (Story, bool) {
	lines, ok := l.requests[request]
	if !ok {
		return Story{}, false
	}
	s := Story{Request: request, Cause: cause(lines), Lines: lines}
	first, last := lines[0].At.Add(-before), lines[len(lines)-1].At
	backends := map[any]bool{}
	for _, line := range lines {
		if b := line.Fields["backend"]; b != nil {
			backends[b] = true
		}
	}
	for _, line := range l.beliefs {
		b := line.Fields["backend"]
		if line.Instance == lines[0].Instance && !line.At.Before(first) && !line.At.After(last) && (b == nil || backends[b]) {
			s.Beliefs = append(s.Beliefs, line)
		}
	}
	return s, true
}

// Group is a number of failed requests with the same cause.
type Group struct {
	Cause    string   `json:"cause"`
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

// examples is the number of requests that a group names.
const examples = 3

// FailureGroups returns the failed requests by cause, the most frequent first.
func (l *Log) FailureGroups() []Group {
	groups := map[string]*Group{}
	for _, request := range slices.Sorted(maps.Keys(l.requests)) {
		c := cause(l.requests[request])
		if c == "" {
			continue
		}
		g := groups[c]
		if g == nil {
			g = &Group{Cause: c}
			groups[c] = g
		}
		g.Count++
		if len(g.Examples) < examples {
			g.Examples = append(g.Examples, request)
		}
	}
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause)) })
	return out
}

// cause names why a request failed; it is empty for one that was answered.
func cause(lines []Line) string {
	var fates []string
	out := ""
	for _, line := range lines {
		switch line.Message {
		case "forwarder: attempt failed":
			fates = append(fates, fmt.Sprint(line.Fields["fate"]))
		case "forwarder: attempt did not run":
			fates = append(fates, fmt.Sprint(line.Fields["fate"]))
		case "forwarder: refused":
			out = fmt.Sprintf("refused: %v, status %v", line.Fields["kind"], line.Fields["status"])
		case "forwarder: the answer broke off midway":
			out = fmt.Sprintf("cut midway: %v", line.Fields["kind"])
		case "forwarder: the caller left":
			out = "the caller left"
		case "forwarder: ended":
			if status, ok := line.Fields["status"].(float64); ok && status >= 500 {
				out = fmt.Sprintf("the backend server failed, status %v", status)
			}
		}
	}
	if out != "" && len(fates) > 0 {
		out += ", after " + strings.Join(fates, ", ")
	}
	return out
}

// Write writes a story for people.
func (s Story) Write(w io.Writer) error {
	c := s.Cause
	if c == "" {
		c = "answered"
	}
	_, err := fmt.Fprintf(w, "request %s: %s\n", s.Request, c)
	lines := slices.Concat(s.Lines, s.Beliefs)
	sortLines(lines)
	for _, line := range lines {
		if err != nil {
			break
		}
		_, err = fmt.Fprintf(w, "  %s %s %s%s\n", line.At.Format("15:04:05.000"), line.Instance, line.Message, fields(line.Fields))
	}
	if err != nil {
		return fmt.Errorf("write the story: %w", err)
	}
	return nil
}

func fields(in map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(in)) {
		if name != "level" {
			fmt.Fprintf(&b, " %s=%v", name, in[name])
		}
	}
	return b.String()
}

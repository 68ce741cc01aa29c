package tracer

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTraces reads a log and compares the failure groups and the traces with a golden file.
func TestTraces(t *testing.T) {
	b, err := os.ReadFile("testdata/log.txt")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/want.txt")
	if err != nil {
		t.Fatal(err)
	}
	l, err := Read(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for _, g := range l.FailureGroups() {
		fmt.Fprintln(&got, g.Count, g.Cause, g.Examples)
	}
	fmt.Fprintln(&got, "unread", l.Unparsed)
	for _, request := range []string{"r1", "r2", "r3"} {
		tr, ok := l.Trace(request)
		if !ok {
			t.Fatalf("no trace of request %s", request)
		}
		if err := tr.Write(&got); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("groups and traces (-want +got):\n%s", diff)
	}
	if _, ok := l.Trace("r9"); ok {
		t.Error("got a trace of a request that the log does not name")
	}
}

// TestLongLine checks that a line which is too long costs only itself.
func TestLongLine(t *testing.T) {
	line := `{"time":"2026-12-04T10:00:00Z","instance":"e1","request":"r1","message":"forwarder: refused","kind":"busy","status":503}`
	l, err := Read(strings.NewReader(line + "\n" + strings.Repeat("x", maxLineBytes+1) + "\n" + strings.ReplaceAll(line, "r1", "r2")))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int{2, 1}, []int{len(l.requests), l.Unparsed}); diff != "" {
		t.Errorf("requests and unparsed lines (-want +got):\n%s", diff)
	}
}

// TestRequestWithoutOutcome checks that a request whose entry ended before its answer counts as failed.
func TestRequestWithoutOutcome(t *testing.T) {
	l, err := Read(strings.NewReader(`{"time":"2026-12-04T10:00:00Z","instance":"e1","request":"r1","message":"forwarder: placed","backend":"b1"}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []FailureGroup{{Cause: "no outcome is logged: its entry ended, or it is still running", Count: 1, Examples: []string{"r1"}}}
	if diff := cmp.Diff(want, l.FailureGroups()); diff != "" {
		t.Errorf("groups (-want +got):\n%s", diff)
	}
}

func FuzzRead(f *testing.F) {
	b, err := os.ReadFile("testdata/log.txt")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := Read(bytes.NewReader(b))
		if err != nil {
			return
		}
		for request := range l.requests {
			tr, _ := l.Trace(request)
			if err := tr.Write(&bytes.Buffer{}); err != nil {
				t.Fatal(err)
			}
		}
		l.FailureGroups()
	})
}

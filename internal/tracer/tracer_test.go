package tracer

import (
	"bytes"
	"fmt"
	"os"
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

package tracer

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStories reads a log and compares groups and stories with a golden file.
func TestStories(t *testing.T) {
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
	fmt.Fprintln(&got, "unread", l.Unread)
	for _, request := range []string{"r1", "r2", "r3"} {
		s, ok := l.Trace(request)
		if !ok {
			t.Fatalf("no story of %s", request)
		}
		if err := s.Write(&got); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("stories (-want +got):\n%s", diff)
	}
	if _, ok := l.Trace("r9"); ok {
		t.Error("a story of a request that the log does not name")
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
			s, _ := l.Trace(request)
			if err := s.Write(&bytes.Buffer{}); err != nil {
				t.Fatal(err)
			}
		}
		l.FailureGroups()
	})
}

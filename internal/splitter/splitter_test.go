package splitter

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
)

// TestStreams splits streams from a file and compares the data of their events, one per line, or "no event" for
// other text.
func TestStreams(t *testing.T) {
	a, err := txtar.ParseFile("testdata/streams.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(a.Files); i += 2 {
		in, want := a.Files[i], a.Files[i+1]
		t.Run(in.Name, func(t *testing.T) {
			var got bytes.Buffer
			s := New(bytes.NewReader(bytes.TrimSuffix(in.Data, []byte("EOF\n"))))
			for {
				event, err := s.Next()
				if err != nil {
					got.WriteString(err.Error() + "\n")
					break
				}
				if !IsEvent(event) {
					got.WriteString("no event\n")
					continue
				}
				got.Write(append(Data(event), '\n'))
			}
			if diff := cmp.Diff(string(want.Data), got.String()); diff != "" {
				t.Errorf("events differ (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzSplitter checks that the events are consecutive parts of the stream, unchanged and complete.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("event: x\r\ndata: a\r\ndata: b\r\n\r\n"))
	f.Add([]byte("\n\n\ndata: a"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		s := New(bytes.NewReader(stream))
		var whole []byte
		for {
			event, err := s.Next()
			if err != nil {
				if errors.Is(err, io.EOF) && len(bytes.TrimSpace(stream[len(whole):])) > 0 {
					t.Fatalf("lost %q", stream[len(whole):])
				}
				return
			}
			whole = append(whole, event...)
			if !bytes.HasPrefix(stream, whole) {
				t.Fatalf("%q is not a prefix of %q", whole, stream)
			}
		}
	})
}

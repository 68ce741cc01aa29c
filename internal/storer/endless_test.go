package storer_test

import (
	"strings"
	"testing"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestEndlessAnswerIsKept guards against answers of a platform in trouble that do not end and that a process keeps until its
// memory is used up.
func TestEndlessAnswerIsKept(t *testing.T) {
	const allowed = 128 << 20
	server := tester.ServeEndless(t, "HTTP/1.1 200 OK\r\n\r\n"+`{"value":"`, strings.Repeat("x", 4<<20))
	c := storer.NewClient(storer.ClientConfig{URL: "http://" + server.Address})
	for name, do := range map[string]func() error{
		"list":  func() error { _, err := c.List(t.Context(), "things"); return err },
		"watch": func() error { _, err := c.Watch(t.Context(), "things", 7, 0); return err },
	} {
		before := server.Sent()
		want := storer.KindUnavailable
		if name == "watch" {
			want = storer.KindCompacted
		}
		if err := do(); !storer.IsKind(err, want) {
			t.Errorf("%s: error %v, want one of kind %s", name, err, want)
		}
		if n := server.Sent() - before; n > allowed {
			t.Errorf("%s: %d bytes were taken, want at most %d", name, n, allowed)
		}
	}
}

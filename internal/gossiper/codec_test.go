package gossiper

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestWorkMessages checks that the work at many backend servers fits into a message of the largest size, that what it
// holds is read as it was written, and that entries of earlier versions can read it where no request holds tokens.
func TestWorkMessages(t *testing.T) {
	type workCase struct {
		Name    string
		Servers int
		Work    OpenWork
		// Type is the type of the message, Rows the least number of rows that it must hold.
		Type byte
		Rows int
		Want OpenWork
	}
	for _, c := range tester.Load[workCase](t, "work.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			work := map[model.BackendID]OpenWork{}
			for i := range c.Servers {
				work[model.BackendID(fmt.Sprint("server-", i))] = c.Work
			}
			b := encodeWork(work)
			if len(b) > maxMessageBytes || b[0] != c.Type {
				t.Errorf("the message has type %d and %d bytes, want type %d and at most %d", b[0], len(b), c.Type, maxMessageBytes)
			}
			got, err := decodeWork(b)
			if err != nil || len(got) < c.Rows {
				t.Errorf("%d rows were read (%v), want at least %d", len(got), err, c.Rows)
			}
			for _, w := range got {
				if diff := cmp.Diff(c.Want, w); diff != "" {
					t.Fatalf("work (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestMalformedWorkHidesWork checks that a message that is cut off is ignored, and that the last good one counts on.
func TestMalformedWorkHidesWork(t *testing.T) {
	g := New(Config{Self: "e0", Place: model.Place{Region: "lake"}, SharedKind: "marks", Log: zerolog.Nop()})
	now := time.Unix(1000, 0)
	g.UpdateMember(storer.Object{Key: "marks/entry.e1", Value: []byte(`{"address":"10.1.0.1:7","region":"lake"}`)}, now)
	want := OpenWork{Unanswered: 3, Backlog: 2 * time.Second, Tokens: 70_000}
	b := encodeWork(map[model.BackendID]OpenWork{"b": want})
	from := netip.MustParseAddrPort("10.1.0.1:7")
	if err := g.handleMessage(b, from, now); err != nil {
		t.Fatal(err)
	}
	for n := 2; n < len(b); n++ {
		if g.handleMessage(b[:n], from, now) == nil {
			t.Errorf("a message that is cut off after %d of %d bytes was taken", n, len(b))
		}
	}
	if diff := cmp.Diff(want, g.RemoteWork("b", now)); diff != "" {
		t.Errorf("work (-want +got):\n%s", diff)
	}
}

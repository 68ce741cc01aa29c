package soaker

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestManners checks what a caller writes at once in each manner.
func TestManners(t *testing.T) {
	for _, c := range tester.Load[struct {
		Name   string
		Manner manner
		Want   []string
	}](t, "manners.yaml") {
		var got []string
		for _, p := range c.Manner.pieces([]byte("POST / HTTP/1.1\r\n"), []byte("abcdefgh")) {
			got = append(got, p.wait.String()+" "+string(p.data))
		}
		if diff := cmp.Diff(c.Want, got); diff != "" {
			t.Errorf("%s: writes (-want +got):\n%s", c.Name, diff)
		}
	}
}

// TestMannersKeepTheRequest checks that a request is the same in all manners, and that a seed always draws the same ones.
func TestMannersKeepTheRequest(t *testing.T) {
	const draws = 500
	body := bytes.Repeat([]byte("r1."), 40)
	rng, again := rand.New(rand.NewPCG(1, 4)), rand.New(rand.NewPCG(1, 4))
	for range draws {
		m := drawManner(rng)
		if diff := cmp.Diff(m, drawManner(again)); diff != "" {
			t.Fatalf("the seed gives another manner the second time (-first +second):\n%s", diff)
		}
		var wire bytes.Buffer
		for _, p := range m.pieces([]byte("POST /read/1 HTTP/1.1\r\nHost: soak.example\r\n"), body) {
			wire.Write(p.data)
		}
		r, err := http.ReadRequest(bufio.NewReader(&wire))
		if err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
		got, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
		if diff := cmp.Diff(string(body), string(got)); diff != "" || (r.ContentLength < 0) != (m.Chunks > 0) {
			t.Fatalf("%+v: body (-want +got):\n%s", m, diff)
		}
	}
}

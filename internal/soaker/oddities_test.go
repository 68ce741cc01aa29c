package soaker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// TestOddEntriesAreSentAsWritten checks that the store returns each odd entry byte for byte, beside the good ones.
func TestOddEntriesAreSentAsWritten(t *testing.T) {
	store := standin.NewStore()
	if err := store.Announce(standin.Server{ID: "good", Service: "desk", Address: "127.0.0.1:9", Slots: 8}); err != nil {
		t.Fatal(err)
	}
	for i, spec := range oddSpecs {
		store.SetRaw(fmt.Sprintf("servers/odd-%d", i), []byte(spec))
	}
	for _, path := range []string{"servers", "servers?watch=0&wait-ms=0"} {
		w := httptest.NewRecorder()
		store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/-/objects/"+path, nil))
		for i, spec := range append(oddSpecs, `"service":"desk"`) {
			if !strings.Contains(w.Body.String(), spec) {
				t.Errorf("%s: the response lacks shape %d", path, i)
			}
		}
	}
}

// TestDrawOddities checks that a seed always draws the same odd faults, in order of time and before the time without
// faults, and that all kinds are drawn.
func TestDrawOddities(t *testing.T) {
	const length = 18 * time.Second
	kinds := map[fault]bool{}
	for seed := range uint64(100) {
		drawn := drawOddities(seed, length)
		if diff := cmp.Diff(drawn, drawOddities(seed, length)); diff != "" {
			t.Fatalf("seed %d gives other faults the second time (-first +second):\n%s", seed, diff)
		}
		for i, inj := range drawn {
			kinds[inj.Kind] = true
			if inj.At < startupTime || inj.Length <= 0 || inj.At > length-quietTime || i > 0 && inj.At < drawn[i-1].At {
				t.Fatalf("seed %d: fault %d is %+v", seed, i, inj)
			}
		}
	}
	for _, kind := range slices.Concat(oddFaults, changeFaults) {
		if !kinds[kind] {
			t.Errorf("no seed draws %s", kind)
		}
	}
}

// serveWith starts a backend server with faults and returns its address.
func serveWith(t *testing.T, f standin.ServerFaults) string {
	t.Helper()
	h := standin.NewHandler(standin.Server{ID: "i-1", Service: "models", Slots: 8}, func(standin.Arrival) {}, func(string) {})
	h.SetFaults(f)
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = standin.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// send sends a request with an id and further headers to a backend server.
func send(t *testing.T, w io.Writer, id, headers string) {
	t.Helper()
	if _, err := fmt.Fprintf(w, "POST / HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Expect-Replica: i-1\r\n%sContent-Length: 0\r\n\r\n", id, headers); err != nil {
		t.Fatal(err)
	}
}

// receive reads one response with its body.
func receive(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

// TestRepeatedRefusals checks that a backend server which repeats refusals sends them on kept connections before the next
// answer, with the earlier request's id and without any.
func TestRepeatedRefusals(t *testing.T) {
	const connections = 100
	address := serveWith(t, standin.ServerFaults{RepeatRefusals: true})
	repeats := map[bool]int{}
	for i := range connections {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		first, id := fmt.Sprint("first-", i), fmt.Sprint("second-", i)
		send(t, conn, first, "")
		if resp, _ := receive(t, r); resp.Close {
			continue
		}
		send(t, conn, id, "")
		resp, _ := receive(t, r)
		other := resp.Header.Get("X-Request-Id")
		if other == id {
			continue
		}
		repeats[other != ""]++
		if resp.Header.Get("X-Not-Executed") == "" || resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("the repeated refusal has status %d", resp.StatusCode)
		}
		resp, body := receive(t, r)
		if diff := cmp.Diff(standin.Answer(id), body); diff != "" || resp.Header.Get("X-Request-Id") != id {
			t.Errorf("answer to %s (-want +got):\n%s", id, diff)
		}
	}
	if repeats[true] == 0 || repeats[false] == 0 {
		t.Errorf("repeated refusals with and without an id: %v", repeats)
	}
}

// TestNewConnFromKnownAddress guards against a backend server that takes a new connection for a kept one since it comes from the
// address of an earlier connection. An entry takes an answer without an id on a new connection for that to its request.
func TestNewConnFromKnownAddress(t *testing.T) {
	const connections = 100
	address := serveWith(t, standin.ServerFaults{RepeatRefusals: true})
	// The listener keeps the port from connections of others.
	l, err := (&net.ListenConfig{Control: reusePort}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := net.Dialer{LocalAddr: l.Addr(), Control: reusePort}
	for i := range connections {
		conn, err := d.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprint("request-", i)
		send(t, conn, id, "")
		if resp, _ := receive(t, bufio.NewReader(conn)); resp.Header.Get("X-Request-Id") != id {
			t.Errorf("the first answer on a connection to the request %s names %q and has status %d", id, resp.Header.Get("X-Request-Id"), resp.StatusCode)
		}
		// A reset leaves the address free for the next connection.
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
}

// reusePort lets several sockets have the same port.
func reusePort(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	return errors.Join(controlErr, err)
}

// TestResumeErrors checks that no answer to a request that an entry resumes is good, and that each one to a request that a
// caller resumes is.
func TestResumeErrors(t *testing.T) {
	const requests = 60
	for _, c := range []struct {
		faults standin.ServerFaults
		want   []string
	}{
		{standin.ServerFaults{ResumeErrors: true}, []string{
			"200 text/event-stream sealed false", "200 text/plain sealed false", "500 text/plain sealed false", "503 text/plain sealed false", "garbled",
		}},
		{standin.ServerFaults{SealedErrors: true}, []string{"200 text/plain sealed true"}},
	} {
		address := serveWith(t, c.faults)
		kinds := map[string]bool{}
		for i := range requests {
			for _, after := range []int{3, 4} {
				conn, err := net.Dial("tcp4", address)
				if err != nil {
					t.Fatal(err)
				}
				send(t, conn, fmt.Sprint("r", i), fmt.Sprintf("X-Model: small\r\nLast-Event-Id: %d\r\n", after))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				kind := "garbled"
				if err == nil {
					kind = fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Content-Type"), " sealed ", resp.Header.Get("X-Replica-Seal") != "")
				}
				conn.Close()
				if after == 4 {
					kinds[kind] = true
				} else if kind != "200 text/event-stream sealed true" {
					t.Errorf("request %d after event %d got %s", i, after, kind)
				}
			}
		}
		if diff := cmp.Diff(c.want, slices.Sorted(maps.Keys(kinds))); diff != "" {
			t.Errorf("%+v: answers (-want +got):\n%s", c.faults, diff)
		}
	}
}

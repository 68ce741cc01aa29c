package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestResetDuringWriteLooksWhole guards against an answer without a length that its server's end cuts in the middle and that
// is taken for whole: the kernel reports the reset to the write of the request that waits beside the read, or the reset comes
// after a regular end. Which of them comes is up to the kernel, so each case is played often.
func TestResetDuringWriteLooksWhole(t *testing.T) {
	const bodyBytes, rounds = 4 << 20, 25
	unsized := func(status, body string) func(net.Conn, *http.Request, <-chan struct{}) {
		return func(c net.Conn, req *http.Request, _ <-chan struct{}) {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nSeal: s\r\nConnection: close\r\n\r\n%s", status, req.Header.Get("Id"), body)
			time.Sleep(5 * time.Millisecond)
		}
	}
	// The server ends once its caller has a part of the answer.
	begun := func(body string) func(net.Conn, *http.Request, <-chan struct{}) {
		return func(c net.Conn, req *http.Request, hasPart <-chan struct{}) {
			unsized("200 OK", body)(c, req, hasPart)
			<-hasPart
		}
	}
	// The server closes its side of the connection and reads on, or closes the other one as well after that.
	halfClosed := func(then func(net.Conn)) func(net.Conn, *http.Request, <-chan struct{}) {
		return func(c net.Conn, req *http.Request, _ <-chan struct{}) {
			unsized("200 OK", "first")(c, req, nil)
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Error(err)
			}
			then(c)
		}
	}
	// The server reads what comes and ends in the middle of the request: its host closes the connection in order, and resets it
	// once more of the request arrives.
	ended := func(status, body string) func(net.Conn, *http.Request, <-chan struct{}) {
		return func(c net.Conn, req *http.Request, hasPart <-chan struct{}) {
			unsized(status, body)(c, req, hasPart)
			if len(body) > bufferedBodyBytes {
				<-hasPart
			}
			tester.ReadWaiting(c, bodyBytes/4)
		}
	}
	// The server ends so once it has read all.
	readAll := func(c net.Conn, req *http.Request, _ <-chan struct{}) {
		unsized("200 OK", "first")(c, req, nil)
		_, _ = io.Copy(io.Discard, req.Body)
	}
	sized := func(c net.Conn, req *http.Request, _ <-chan struct{}) {
		fmt.Fprint(c, answer(req, "", "first"))
		_, _ = io.Copy(io.Discard, c)
	}
	events := func(from, to int) string {
		var b strings.Builder
		for i := from; i <= to; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
		}
		return b.String()
	}
	second := func(body string) func(net.Conn, *http.Request, <-chan struct{}) {
		return func(c net.Conn, req *http.Request, _ <-chan struct{}) {
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprint(c, answer(req, "Connection: close\r\n", body))
		}
	}
	type result struct {
		Status, Arrivals int
		Body             string
		Whole            bool
	}
	for _, tc := range []struct {
		name, path  string
		first, next func(net.Conn, *http.Request, <-chan struct{})
		want        result
	}{
		{"must run once", "/never/a", unsized("200 OK", "first"), nil, result{502, 1, "refusal", true}},
		{"may be repeated", "/safe/a", unsized("200 OK", "first"), second("second"), result{200, 2, "second", true}},
		{"longer than is read ahead, must run once", "/never/a", begun(strings.Repeat("x", 2*bufferedBodyBytes)), nil, result{200, 1, "long", false}},
		{"longer than is read ahead, may be repeated", "/safe/a", begun(strings.Repeat("x", 2*bufferedBodyBytes)), second("second"), result{200, 1, "long", false}},
		{"a failure, must run once", "/never/a", unsized("500 Error", "first"), nil, result{502, 1, "refusal", true}},
		{"a failure, may be repeated", "/safe/a", unsized("500 Error", "first"), second("second"), result{200, 2, "second", true}},
		{"a stream that may be resumed", "/stream/a", begun(events(1, 4)), second(events(5, 6)), result{200, 2, events(1, 6), true}},
		{"a stream that must run once", "/once/a", begun(events(1, 4)), nil, result{200, 1, events(1, 4), false}},
		{"ended, must run once", "/never/a", ended("200 OK", "first"), nil, result{502, 1, "refusal", true}},
		{"ended, may be repeated", "/safe/a", ended("200 OK", "first"), second("second"), result{200, 2, "second", true}},
		{"ended, longer than is read ahead", "/never/a", ended("200 OK", strings.Repeat("x", 2*bufferedBodyBytes)), nil, result{200, 1, "long", false}},
		{"ended, a failure", "/never/a", ended("500 Error", "first"), nil, result{502, 1, "refusal", true}},
		{"ended, a stream that may be resumed", "/stream/a", ended("200 OK", events(1, 4)), second(events(5, 6)), result{200, 2, events(1, 6), true}},
		{"ended, a stream that must run once", "/once/a", ended("200 OK", events(1, 4)), nil, result{200, 1, events(1, 4), false}},
		{"the server ends when it has read all", "/never/a", readAll, nil, result{200, 1, "first", true}},
		{"an early answer with a length", "/never/a", sized, nil, result{200, 1, "first", true}},
		{"the server closes its side, and the other much later", "/never/a", halfClosed(func(net.Conn) { time.Sleep(50 * time.Millisecond) }), nil, result{200, 1, "first", true}},
		{"the server closes its side and reads on", "/never/a", halfClosed(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }), nil, result{200, 1, "first", true}},
		{"the server closes its side, and then the other", "/never/a", halfClosed(func(net.Conn) { time.Sleep(time.Millisecond) }), nil, result{200, 1, "first", true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			plan := patientPlan()
			plan.Limits.Body = bodyBytes
			var arrivals atomic.Int64
			var hasPart chan struct{}
			handle := func(c net.Conn, req *http.Request) {
				if arrivals.Add(1) == 1 {
					tc.first(c, req, hasPart)
					return
				}
				tc.next(c, req, hasPart)
			}
			state := &fakeState{plan: plan, servers: []model.BackendServer{startServer(t, "b0", handle), startServer(t, "b1", handle)}}
			for range rounds {
				arrivals.Store(0)
				hasPart = make(chan struct{})
				// A new entry has no open breaker.
				e := startEntry(t, state)
				resp := e.post(t, tc.path, strings.Repeat("x", bodyBytes))
				close(hasPart)
				body, err := io.ReadAll(resp.Body)
				got := result{resp.StatusCode, int(arrivals.Load()), string(body), err == nil}
				switch {
				case strings.HasPrefix(got.Body, "{"):
					got.Body = "refusal"
				case strings.HasPrefix(got.Body, "xxx"):
					got.Body = "long"
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Fatalf("answer (-want +got):\n%s", diff)
				}
			}
		})
	}
}

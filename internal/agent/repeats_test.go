package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// keptServer is a backend server that answers the first request on a connection and closes it at the second, or writes
// a refusal before the answer to that one.
type keptServer struct {
	second string
	runs   atomic.Int64
	// framed is set if a request announced a body.
	framed atomic.Bool
}

func (s *keptServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == "/second" {
			s.runs.Add(1)
			if req.ContentLength != 0 {
				s.framed.Store(true)
			}
			switch {
			case s.second == "repeats":
				fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			case i > 0:
				return
			}
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestKeptConnectionRepeatsCall checks that a request that must run once is not sent again, and is not said not to have
// run, if the backend server fails it on a connection that was used before.
func TestKeptConnectionRepeatsCall(t *testing.T) {
	type keptCase struct {
		Name       string
		Method     string
		Body       string
		Idempotent bool
		Second     string
		Runs       int64
		Run        model.Run
		Framed     bool
	}
	for _, c := range tester.Load[keptCase](t, "kept.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			s := &keptServer{second: c.Second}
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go s.serve(conn)
				}
			}()
			b := newBackend(backendConfig{URL: "http://" + l.Addr().String(), Kind: model.KindModel})
			call := func(method, path, body string) *model.Refusal {
				r := newRun(t.Context(), messenger.Work{Request: "a", Budget: 5 * time.Second, Method: method, Path: path, Body: []byte(body), Idempotent: c.Idempotent}, time.Now())
				_, _, refusal := b.call(r)
				return refusal
			}
			if refusal := call(http.MethodPost, "/first", "x"); refusal != nil {
				t.Fatal(refusal)
			}
			refusal := call(c.Method, "/second", c.Body)
			var run model.Run
			if refusal != nil {
				run = refusal.Run
			}
			if diff := cmp.Diff(c.Run, run); diff != "" {
				t.Errorf("run (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Framed, s.framed.Load()); diff != "" {
				t.Errorf("body announced (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Runs, s.runs.Load()); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

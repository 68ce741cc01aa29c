package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestBrokenAnswerLooksComplete checks that callers without chunks, whose answer ends with the connection, can
// tell a broken answer from a complete one.
func TestBrokenAnswerLooksComplete(t *testing.T) {
	type Result struct {
		Events int
		Broken bool
	}
	type callerCase struct {
		Name     string
		Protocol string
		Close    bool
		Stop     bool
		Route    string
		Replies  []string
		Result   `yaml:",inline"`
	}
	for _, c := range tester.Load[callerCase](t, "callers.yaml") {
		t.Run(c.Protocol+" "+c.Name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: c.Replies}
			plan := testPlan()
			if c.Stop {
				for i := range plan.Routes {
					plan.Routes[i].Timeout = 20 * time.Second
				}
			}
			e := startEntry(t, &fakeState{plan: plan, servers: b.start(4)})
			conn, err := net.Dial("tcp", e.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "GET /%s/a %s\r\nHost: a.example\r\nId: request-1\r\nAuthorization: Key good\r\n", c.Route, c.Protocol)
			if c.Close {
				fmt.Fprint(conn, "Connection: close\r\n")
			}
			fmt.Fprint(conn, "\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if c.Stop {
				e.stop()
			}
			body, err := io.ReadAll(resp.Body)
			got := Result{Events: strings.Count(string(body), "data: "), Broken: err != nil}
			if diff := cmp.Diff(c.Result, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

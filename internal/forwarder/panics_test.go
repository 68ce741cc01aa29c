package forwarder

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// panickingVersions panics when a version is chosen, or when one of the outcomes is observed.
type panickingVersions struct {
	allVersions
	choose  atomic.Bool
	observe atomic.Int32
}

func (v *panickingVersions) Choose(r VersionRequest, now time.Time) VersionChoice {
	if v.choose.Load() {
		panic("no version")
	}
	return v.allVersions.Choose(r, now)
}

func (v *panickingVersions) Observe(Outcome, time.Time) {
	if v.observe.Add(-1) == 0 {
		panic("no outcome")
	}
}

// TestPanicCutsCaller guards against a fault in the handling of a request that closes its caller's connection without an
// answer, leaves the request counted at its backend server, or lets a part of an answer look whole.
func TestPanicCutsCaller(t *testing.T) {
	for _, c := range []struct {
		name, path string
		choose     bool
		observe    int32
		status     int
		run        model.Run
		whole      bool
	}{
		{name: "before it is sent", path: "/safe/a", choose: true, status: http.StatusInternalServerError, run: model.RunNo, whole: true},
		{name: "with its answer", path: "/never/a", observe: 1, status: http.StatusInternalServerError, run: model.RunUnknown, whole: true},
		{name: "with the first event", path: "/stream/a", observe: 1, status: http.StatusInternalServerError, run: model.RunUnknown, whole: true},
		{name: "after some events", path: "/stream/a", observe: 2, status: http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := &backends{t: t, replies: []string{"events 1 12"}}
			v := &panickingVersions{}
			e := startEntryVersions(t, &fakeState{plan: patientPlan(), servers: b.start(1)}, fakeQuarantine{}, v)
			conn, err := net.Dial("tcp", e.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			ask := func(id string) (status int, refusal model.Refusal, whole bool) {
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nId: %s\r\nAuthorization: Key good\r\nContent-Length: 4\r\n\r\nbody", c.path, id)
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					return 0, refusal, false
				}
				body, err := io.ReadAll(resp.Body)
				if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
					if err := json.Unmarshal(body, &refusal); err != nil {
						t.Fatal(err)
					}
				}
				return resp.StatusCode, refusal, err == nil
			}
			v.choose.Store(c.choose)
			v.observe.Store(c.observe)
			status, refusal, whole := ask("request-1")
			v.choose.Store(false)
			v.observe.Store(0)
			if status != c.status || refusal.Run != c.run || whole != c.whole {
				t.Errorf("status %d, run %q, whole %t, want %d, %q, %t", status, refusal.Run, whole, c.status, c.run, c.whole)
			}
			awaitNoOpenWork(t, e)
			if !c.whole {
				return
			}
			if status, _, whole := ask("request-2"); status != http.StatusOK || !whole {
				t.Errorf("next request on the connection: status %d, whole %t, want 200 and a whole answer", status, whole)
			}
			text, err := e.cfg.Meter.Text()
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(text, "bramleyhinge_panics 1\n") {
				t.Errorf("the panic is not counted in the metrics:\n%s", text)
			}
		})
	}
}

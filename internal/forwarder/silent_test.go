package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestSilentIdleConnectionsDelayOneRequestEach guards against requests that are sent one after the other on idle
// connections to a backend server which all fell silent together, although it acknowledges what is sent.
func TestSilentIdleConnectionsDelayOneRequestEach(t *testing.T) {
	for _, how := range []tester.Silence{tester.Dropped, tester.Acknowledged} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			const idle = 6
			var meet sync.WaitGroup
			meet.Add(2 * idle)
			var warm atomic.Bool
			serve := func(c net.Conn) {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if !warm.Load() {
						meet.Done()
						meet.Wait()
					}
					if _, err := io.WriteString(c, answer(req, "", "ok")); err != nil {
						return
					}
				}
			}
			state := &fakeState{plan: testPlan()}
			for i := range state.plan.Routes {
				state.plan.Routes[i].Timeout = 5 * time.Second
			}
			listeners := []*tester.Listener{tester.Listen(t), tester.Listen(t)}
			for i, l := range listeners {
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go serve(c)
					}
				}()
				state.servers = append(state.servers, model.BackendServer{
					Backend: model.BackendID(fmt.Sprint("b", i)), Service: "svc", Address: l.Addr().String(), Slots: idle, State: model.BackendReady,
				})
			}
			e := startEntry(t, state)
			post := func() time.Duration {
				start := time.Now()
				resp := e.post(t, "/safe/x", "body")
				defer resp.Body.Close()
				if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("status %d, error %v", resp.StatusCode, err)
				}
				return time.Since(start)
			}
			var requests sync.WaitGroup
			for range 2 * idle {
				requests.Go(func() { post() })
			}
			requests.Wait()
			warm.Store(true)
			for _, l := range listeners {
				l.Silence(t, how)
			}
			delayed := 0
			for start := time.Now(); time.Since(start) < 3*time.Second; {
				if post() > minHeadTimeout/2 {
					delayed++
				}
				time.Sleep(20 * time.Millisecond)
			}
			if delayed > len(listeners) {
				t.Errorf("%d requests in a row were delayed, want at most one for each of %d backend servers", delayed, len(listeners))
			}
		})
	}
}

package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestShutdownOfAllGenerations checks a shutdown after the plan's limits changed: while requests on older
// connections still run, newer connections must not accept more requests.
func TestShutdownOfAllGenerations(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted, served atomic.Int64
	release := make(chan struct{})
	f := newFrontend(frontendConfig{Meter: meter.New(), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if r.URL.Path == "/long" {
			<-release
		}
	}), Limits: func() model.PlanLimits { return model.PlanLimits{Header: model.Bytes(1000 * accepted.Add(1))} }})
	ended := make(chan error, 1)
	go func() { ended <- f.serve(l) }()
	dial := func(path string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path)
		return c
	}
	dial("/long")
	for end := time.Now().Add(2 * time.Second); served.Load() < 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	newer := dial("/short")
	answers := bufio.NewReader(newer)
	if _, err := http.ReadResponse(answers, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.shutdown(ctx) }()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(newer, "GET /late HTTP/1.1\r\nHost: a.example\r\n\r\n")
	if resp, err := http.ReadResponse(answers, nil); err == nil {
		t.Errorf("a request that came after the stop was answered with status %d", resp.StatusCode)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
	<-ended
}

package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
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
	f := New(Config{Meter: meter.New(), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if r.URL.Path == "/long" {
			<-release
		}
	}), Limits: func() Limits { return Limits{HeaderBytes: int(1000 * accepted.Add(1))} }})
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(l) }()
	dial := func(path string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path)
		return c
	}
	older := dial("/long")
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
	go func() { done <- f.Shutdown(ctx) }()
	time.Sleep(100 * time.Millisecond)
	fmt.Fprint(newer, "GET /late HTTP/1.1\r\nHost: a.example\r\n\r\n")
	if resp, err := http.ReadResponse(answers, nil); err == nil {
		t.Errorf("a request that came after the stop was answered with status %d", resp.StatusCode)
	}
	close(release)
	// Their callers close their side, so that the stop need not wait for it.
	newer.Close()
	older.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	<-ended
}

// TestShutdownServesAcceptedConnections checks that connections which were accepted right before a shutdown
// are served: each holds a request that its caller has sent already.
func TestShutdownServesAcceptedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	taken, pass := make(chan struct{}), make(chan struct{})
	var accepted atomic.Int64
	f := New(Config{Meter: meter.New(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }), Limits: func() Limits {
		// The limits are read between the acceptance of a connection and its hand-over.
		if accepted.Add(1) == 2 {
			close(taken)
			<-pass
		}
		return Limits{}
	}})
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(l) }()
	var c net.Conn
	for range 2 {
		if c, err = net.Dial("tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	}
	<-taken
	done := make(chan error, 1)
	go func() { done <- f.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(pass)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the request on an accepted connection got no answer: %v", err)
	}
	resp.Body.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestShutdownUnderLoad checks that no request which began is cut by a shutdown that closes the kept
// connections of callers who go on sending.
func TestShutdownUnderLoad(t *testing.T) {
	for range 10 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var began, answered, cut atomic.Int64
		f := New(Config{Meter: meter.New(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			began.Add(1)
			time.Sleep(time.Millisecond)
			w.WriteHeader(http.StatusOK)
		}), Limits: func() Limits { return Limits{} }})
		ended := make(chan error, 1)
		go func() { ended <- f.Serve(l) }()
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					fmt.Fprint(c, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						cut.Add(1)
						return
					}
					resp.Body.Close()
					answered.Add(1)
				}
			})
		}
		time.Sleep(30 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		if err := f.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		wg.Wait()
		<-ended
		if began.Load() != answered.Load() {
			t.Errorf("%d requests began, %d were answered, %d connections ended", began.Load(), answered.Load(), cut.Load())
		}
	}
}

// TestAbortedAnswerLooksComplete: callers with HTTP/1.0 take the regular end of a connection for the end of an answer.
func TestAbortedAnswerLooksComplete(t *testing.T) {
	f := startAcceptor(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "part")
		// The caller has the part in any case, or the end of the connection alone would tell.
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		c := f.dial()
		fmt.Fprintf(c, "GET /a %s\r\nHost: a.example\r\n\r\n", protocol)
		if n, err := readWhole(c); err == nil {
			t.Errorf("%s: %d bytes of an aborted answer ended regularly", protocol, n)
		}
		c.Close()
	}
	f.awaitStop(f.startStop())
}

package dialer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// slack is what a test allows beyond the time in which silence must be found.
const slack = 700 * time.Millisecond

// TestSilentConnectionIsTakenForSlowOne checks after how long a connection that fell silent ends, while it is idle, once
// bytes were sent on it and while an answer is awaited, and that one whose peer is only slow does not end.
func TestSilentConnectionIsTakenForSlowOne(t *testing.T) {
	type silenceCase struct {
		Name string
		// Send is set if bytes are sent after the connection fell silent, Slow if it does not fall silent.
		Send, Slow bool
		// Within is the time after which the connection must have ended.
		Within time.Duration
	}
	for _, c := range tester.Load[silenceCase](t, "silences.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			l := tester.Listen(t)
			go func() {
				if conn, err := l.Accept(); err == nil {
					// The peer takes its time, and answers in the end.
					time.Sleep(4 * time.Second)
					fmt.Fprintln(conn, "answer")
				}
			}()
			conn, err := New(time.Second).DialContext(t.Context(), "tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintln(conn, "call")
			time.Sleep(50 * time.Millisecond)
			start := time.Now()
			if !c.Slow && l.Silence(t, tester.Dropped) != tester.Dropped {
				checkOptions(t, conn)
				return
			}
			if c.Send {
				fmt.Fprintln(conn, "another call")
			}
			line, err := bufio.NewReader(conn).ReadString('\n')
			if c.Slow {
				if diff := cmp.Diff("answer\n", line); diff != "" {
					t.Errorf("answer of a slow peer, error %v (-want +got):\n%s", err, diff)
				}
				return
			}
			if took := time.Since(start); err == nil || took > c.Within+slack {
				t.Errorf("read %q, error %v after %v, want an error within %v", line, err, took, c.Within)
			}
		})
	}
}

// checkOptions checks the options that bound the silence of a connection, where the kernel does not let a test play it.
func checkOptions(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	want := map[int]int{
		unix.TCP_USER_TIMEOUT: int(Unacked.Milliseconds()), unix.TCP_KEEPIDLE: int(probeInterval.Seconds()),
		unix.TCP_KEEPINTVL: int(probeInterval.Seconds()), unix.TCP_KEEPCNT: 2,
	}
	got := map[int]int{}
	controlErr := raw.Control(func(fd uintptr) {
		for option := range want {
			if got[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil {
				return
			}
		}
	})
	if err := errors.Join(controlErr, err); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("options of the connection differ (-want +got):\n%s", diff)
	}
}

// TestSilentIdleConnectionsFailOneAfterTheOther guards against a call that is repeated on one idle connection after the
// other, each of which has fallen silent.
func TestSilentIdleConnectionsFailOneAfterTheOther(t *testing.T) {
	for _, how := range []tester.Silence{tester.Dropped, tester.Acknowledged} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			const idle = 4
			l := tester.Listen(t)
			var together sync.WaitGroup
			together.Add(idle)
			var warm atomic.Bool
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !warm.Load() {
					together.Done()
					together.Wait()
				}
				_, _ = io.WriteString(w, "answer")
			})}
			go func() { _ = server.Serve(l) }()
			t.Cleanup(func() { server.Close() })
			client := &http.Client{Transport: NewTransport(time.Second, idle)}
			get := func(ctx context.Context, progress func()) (string, error) {
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String(), nil)
				if err != nil {
					return "", err
				}
				resp, err := client.Do(r)
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				b, err := ReadAll(resp.Body, 1<<20, progress)
				return string(b), err
			}
			var calls sync.WaitGroup
			for range idle {
				calls.Go(func() {
					if _, err := get(t.Context(), func() {}); err != nil {
						t.Error(err)
					}
				})
			}
			calls.Wait()
			warm.Store(true)
			limit := time.Minute
			if l.Silence(t, how) == tester.Acknowledged {
				// The kernel finds nothing.
				limit = Unacked
			}
			start := time.Now()
			_, err := Repetition[string]{
				Limit: limit, Gap: limit, Call: get, OnSilence: client.CloseIdleConnections,
				Again: func(ctx context.Context) (string, error) { return get(ctx, func() {}) },
			}.Do(t.Context())
			if err != nil {
				t.Errorf("the call failed although new connections work: %v", err)
			}
			if took := time.Since(start); took > Unacked+slack {
				t.Errorf("the call took %v, want at most %v", took, Unacked+slack)
			}
		})
	}
}

// TestClosedPortIsNoSilence checks that a refused connection fails at once.
func TestClosedPortIsNoSilence(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	start := time.Now()
	if _, err := New(5*time.Second).DialContext(t.Context(), "tcp4", l.Addr().String()); err == nil || time.Since(start) > time.Second {
		t.Errorf("error %v after %v, want one at once", err, time.Since(start))
	}
}

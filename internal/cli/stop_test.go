package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/platform"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// lockedBuffer is a log that may be written and read at the same time.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestStopOutlastsGrace guards against a process that still runs at the end of its grace period, and is killed, because
// it waits for something that does not end: a log that nobody reads, a settings file whose read does not return, a store
// that accepts calls and never answers.
func TestStopOutlastsGrace(t *testing.T) {
	const grace = 2 * time.Second
	for _, c := range []struct {
		name                  string
		blockedLog, stuckFile bool
		// left is what the log names as not ended.
		left string
	}{
		{name: "the store is silent"},
		{name: "nobody reads the log", blockedLog: true},
		{name: "the settings file cannot be read to its end", stuckFile: true, left: `"left":["settings"]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := tester.Listen(t)
			go func() {
				for {
					conn, err := store.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(io.Discard, conn) }()
				}
			}()
			path := filepath.Join(t.TempDir(), "settings")
			if err := os.WriteFile(path, nil, 0o600); err != nil {
				t.Fatal(err)
			}
			if c.stuckFile {
				os.Remove(path)
				// Opening a pipe waits for a writer.
				if err := unix.Mkfifo(path, 0o600); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() {
					if w, err := os.OpenFile(path, os.O_WRONLY|unix.O_NONBLOCK, 0); err == nil {
						w.Close()
					}
				})
			}
			t.Setenv(platform.SettingsVariable, path)
			var s platform.Settings
			s.Node, s.IP = "e0", "127.0.0.1"
			s.Listen.Front, s.Listen.Ready = unusedAddress(t).String(), unusedAddress(t).String()
			s.Ports = []int{int(unusedAddress(t).Port()), 0}
			s.Limits.MemoryMB, s.Bounds.GraceS, s.Bounds.BudgetWindowS = 64, grace.Seconds(), 10
			s.Platform.Address = store.Addr().String()
			log := &lockedBuffer{}
			var out io.Writer = log
			if c.blockedLog {
				_, out = io.Pipe()
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			d := &directCommand{logLevel: "info"}
			go func() { done <- d.serve(ctx, s, nil, out, nil) }()
			awaitAnswer(t, "http://"+s.Listen.Ready)
			// The head of a request that does not end keeps the stop waiting for as long as it may.
			caller, err := net.Dial("tcp", s.Listen.Front)
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a.ex")
			began := time.Now()
			stop()
			select {
			case err := <-done:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(2 * grace):
				t.Fatalf("the process still ran %v after the signal", 2*grace)
			}
			if took := time.Since(began); took >= grace {
				t.Errorf("the stop took %v, want less than the grace period of %v", took, grace)
			}
			if !strings.Contains(log.text(), c.left) {
				t.Errorf("the log does not contain %q: %s", c.left, log.text())
			}
		})
	}
}

// TestStopGoesByOldGrace guards against a stop that cuts requests, or outlasts the grace period and is killed, because it goes by
// the grace period of the start although the settings have changed.
func TestStopGoesByOldGrace(t *testing.T) {
	for _, c := range []struct{ before, after time.Duration }{{time.Second, 4 * time.Second}, {6 * time.Second, 2 * time.Second}} {
		t.Run(fmt.Sprintf("%v to %v", c.before, c.after), func(t *testing.T) {
			store := httptest.NewServer(standin.NewStore())
			defer store.Close()
			front, ready, port := unusedAddress(t), unusedAddress(t), unusedAddress(t).Port()
			settings := func(grace time.Duration) []byte {
				return fmt.Appendf(nil, "node = \"e0\"\nip = \"127.0.0.1\"\nport-range = [%d,0]\n[listen]\nfront = %q\nready = %q\n[limits]\nmemory-mb = 64\n"+
					"[bounds]\ngrace-s = %v\nbudget-window-s = 10\n[platform]\naddress = %q\n", port, front, ready, grace.Seconds(), store.Listener.Addr())
			}
			path := filepath.Join(t.TempDir(), "settings")
			if err := os.WriteFile(path, settings(c.before), 0o600); err != nil {
				t.Fatal(err)
			}
			t.Setenv(platform.SettingsVariable, path)
			s, err := platform.ParseSettings(settings(c.before))
			if err != nil {
				t.Fatal(err)
			}
			log := &lockedBuffer{}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			done, hup := make(chan error, 1), make(chan os.Signal, 1)
			d := &directCommand{logLevel: "info"}
			go func() { done <- d.serve(ctx, s, settings(c.before), log, hup) }()
			awaitAnswer(t, "http://"+ready.String())
			if err := os.WriteFile(path, settings(c.after), 0o600); err != nil {
				t.Fatal(err)
			}
			hup <- syscall.SIGHUP
			for end := time.Now().Add(5 * time.Second); !strings.Contains(log.text(), "settings reloaded"); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("the settings were not read again: %s", log.text())
				}
			}
			// The head of a request that does not end keeps the stop waiting for as long as it may.
			caller, err := net.Dial("tcp", front.String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a.ex")
			began := time.Now()
			stop()
			if err := <-done; err != nil {
				t.Error(err)
			}
			// The margins at the end of the grace period take an eighth of it at most.
			if took := time.Since(began); took < c.after*3/4 || took >= c.after {
				t.Errorf("the stop took %v, want nearly the new grace period of %v", took, c.after)
			}
		})
	}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// awaitAnswer waits until a server answers.
func awaitAnswer(t *testing.T, url string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get(url); err == nil {
			resp.Body.Close()
			return
		}
	}
	t.Fatalf("%s does not answer", url)
}

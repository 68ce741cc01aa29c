package soaker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

// restartDelay is the time between the end of a process and its restart.
const restartDelay = 300 * time.Millisecond

// entry is one entry, run as a separate process, with the proxies for its connections.
type entry struct {
	standin.Entry
	program      string
	settingsFile string
	logFile      *os.File
	ports        []int
	// callers is the proxy for the callers' connections to the entry, store the one for the entry's
	// connections to the store.
	callers, store *proxy
	// faultMu lets one fault at a time stop, pause or start the process.
	faultMu sync.Mutex

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// stopping reports that the soak is ending the process or has ended it.
	stopping bool
	// problems holds unexpected exits and signals that could not be sent.
	problems []string
}

// start runs the program and writes its output to the log file.
func (e *entry) start() error {
	cmd := exec.Command(e.program, "direct")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settingsFile)
	cmd.Stdout, cmd.Stderr = e.logFile, e.logFile
	portsMu.Lock()
	err := cmd.Start()
	portsMu.Unlock()
	if err != nil {
		return fmt.Errorf("start entry %s: %w", e.Name, err)
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.process, e.exited, e.stopping = cmd.Process, exited, false
	e.mu.Unlock()
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.stopping {
			e.problems = append(e.problems, fmt.Sprintf("entry %s exited unexpectedly: %v", e.Name, err))
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that the soak started.
func (e *entry) signal(s os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		e.problems = append(e.problems, fmt.Sprintf("entry %s: send signal %v: %v", e.Name, s, err))
	}
}

// signalStopping sends a signal to a process that the soak is ending, and reports whether there is one.
func (e *entry) signalStopping(s os.Signal) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopping {
		return false
	}
	select {
	case <-e.exited:
		return false
	default:
	}
	// The process may have exited just now.
	return e.process.Signal(s) == nil
}

// terminate sends the process a signal that ends it, and SIGKILL if it has not exited after the grace
// period. It returns the time until the exit and whether SIGKILL was unnecessary.
func (e *entry) terminate(s os.Signal, grace time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	e.stopping = true
	exited := e.exited
	e.mu.Unlock()
	start := time.Now()
	e.signal(s)
	select {
	case <-exited:
		return time.Since(start), true
	case <-time.After(grace):
	}
	e.signal(syscall.SIGKILL)
	<-exited
	return time.Since(start), false
}

// isReady reports whether the entry's readiness path returns status 200.
func (e *entry) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Ready+names.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logTail returns the last lines of the entry's log.
func (e *entry) logTail() string {
	b, err := os.ReadFile(e.logFile.Name())
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-2000):])
}

// newEntry creates an entry with its proxies, and its settings and log files in dir.
func newEntry(program, dir string, in standin.Entry, store string) (*entry, error) {
	e := &entry{program: program, settingsFile: filepath.Join(dir, in.Name+".toml"), Entry: in}
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	e.ports = ports
	e.Callers, e.Ready, e.Port = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1]), ports[2]
	if e.store, err = newProxy("127.0.0.1:0", store, false); err != nil {
		return nil, err
	}
	if e.callers, err = newProxy("127.0.0.1:0", e.Callers, true); err != nil {
		return nil, err
	}
	e.Store = e.store.address()
	b, err := standin.EncodeSettings(e.Entry, zones)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settingsFile, b, 0o600); err != nil {
		return nil, err
	}
	e.logFile, err = os.Create(filepath.Join(dir, in.Name+".log"))
	return e, err
}

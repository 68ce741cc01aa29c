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

// restartPause is how long a process that ended stays away.
const restartPause = 300 * time.Millisecond

// entry is one entry as a process of its own, with the proxies around it.
type entry struct {
	standin.Entry
	program  string
	settings string
	log      *os.File
	// callers and store are its links.
	callers, store *proxy
	// turn lets one fault at a time stop and start the process.
	turn sync.Mutex

	mu      sync.Mutex
	process *os.Process
	done    chan struct{}
	// ending is set while the soak lets the process end.
	ending bool
	ends   []string
}

// start runs the program; the process's output goes to a file.
func (e *entry) start() error {
	cmd := exec.Command(e.program, "direct")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings)
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start entry %s: %w", e.Name, err)
	}
	done := make(chan struct{})
	e.mu.Lock()
	e.process, e.done, e.ending = cmd.Process, done, false
	e.mu.Unlock()
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.ending {
			e.ends = append(e.ends, fmt.Sprintf("entry %s ended by itself: %v", e.Name, err))
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process that this soak started.
func (e *entry) signal(s os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		e.ends = append(e.ends, fmt.Sprintf("entry %s: signal %v: %v", e.Name, s, err))
	}
}

// end ends the process by a signal and returns how long that took.
func (e *entry) end(s os.Signal, within time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	e.ending = true
	done := e.done
	e.mu.Unlock()
	began := time.Now()
	e.signal(s)
	select {
	case <-done:
		return time.Since(began), true
	case <-time.After(within):
	}
	e.signal(syscall.SIGKILL)
	<-done
	return time.Since(began), false
}

// ready reports whether the entry says that it is ready.
func (e *entry) ready(ctx context.Context) bool {
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

// newEntry prepares an entry's proxies, settings and log in a folder.
func newEntry(program, dir, name, zone string, store string) (*entry, error) {
	e := &entry{program: program, settings: filepath.Join(dir, name+".toml"), Entry: standin.Entry{Name: name, Zone: zone}}
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	e.Callers, e.Ready, e.Port = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1]), ports[2]
	if e.store, err = newProxy("127.0.0.1:0", store); err != nil {
		return nil, err
	}
	if e.callers, err = newProxy("127.0.0.1:0", e.Callers); err != nil {
		return nil, err
	}
	e.Store = e.store.address()
	b, err := standin.EncodeSettings(e.Entry, zones)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, b, 0o600); err != nil {
		return nil, err
	}
	e.log, err = os.Create(filepath.Join(dir, name+".log"))
	return e, err
}

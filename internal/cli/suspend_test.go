package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// isStopped reports whether all threads of a process have stopped.
func isStopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, name := range stats {
		b, err := os.ReadFile(name)
		// The state follows the command's name, which is in parentheses.
		if _, rest, ok := strings.Cut(string(b), ") "); err != nil || !ok || !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

func (f *testFleet) suspend(ts *testscript.TestScript, name string) {
	p := f.procs[name]
	p.signal(syscall.SIGSTOP)
	// On a busy machine threads go on until each is scheduled and takes the signal.
	for end := time.Now().Add(2 * time.Second); !isStopped(p.cmd.Process.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("%s was not suspended within 2s", name)
		}
	}
}

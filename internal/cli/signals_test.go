package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform"
)

// TestHangupEndsStartingEntry: SIGHUP arrives while a direct entry reads its settings for the first time.
func TestHangupEndsStartingEntry(t *testing.T) {
	program := filepath.Join(t.TempDir(), "bramleyhinge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/bramleyhinge").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	settings := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "direct")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	// Opening the pipe succeeds once the entry reads from it.
	w, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		t.Errorf("the entry ended: %v", err)
	case <-time.After(300 * time.Millisecond):
		_ = cmd.Process.Kill()
		<-ended
	}
}

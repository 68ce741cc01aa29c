package deploy

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestRegress plays the regression script against a stand-in of the bench and checks what it prints, how it ends
// and what it records.
func TestRegress(t *testing.T) {
	type regressCase struct {
		Name   string
		Args   []string
		Exit   int
		Output string
		Record string
	}
	script, err := os.ReadFile("regress")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range tester.Load[regressCase](t, "regress.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range map[string]string{
				"regress.sites": "# a comment\ngood.toml\n", "regress.tsv": "good.toml\tquiet-1\t0.600\nworse.toml\tquiet-1\t0.600\n",
				"good.toml": "", "worse.toml": "", "bad.toml": "", "regress": string(script),
			} {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o700); err != nil {
					t.Fatal(err)
				}
			}
			bench, err := filepath.Abs("testdata/bench")
			if err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(filepath.Join(dir, "regress"), append([]string{"--bench", bench, "--sites", dir}, c.Args...)...)
			out, err := cmd.Output()
			var exit *exec.ExitError
			if err != nil && !errors.As(err, &exit) {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.Exit, cmd.ProcessState.ExitCode()); diff != "" {
				t.Errorf("exit status (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.Output, string(out)); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
			record, err := os.ReadFile(filepath.Join(dir, "regress.tsv"))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.Record, string(record)); c.Record != "" && diff != "" {
				t.Errorf("record (-want +got):\n%s", diff)
			}
		})
	}
}

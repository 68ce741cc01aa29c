package soaker

import (
	"cmp"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
)

// TestSoak runs the soak against the real program, with one fixed seed and with each seed that has failed
// before.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	program := buildProgram(t)
	type seedCase struct {
		Seed   uint64
		Length time.Duration
		Rate   float64
		// Work adds planned work, Silent connections that fall silent, Domains evacuations and cold returns; Callers is 18 if it is 0.
		Work    bool
		Silent  bool
		Domains bool
		Callers int
		// Cause is why the seed failed; it is empty for the fixed seed.
		Cause string
	}
	for _, c := range tester.Load[seedCase](t, "seeds.yaml") {
		report, err := Run(t.Context(), Config{
			Program: program, Dir: t.TempDir(), Seed: c.Seed, Length: c.Length, Rate: c.Rate, Work: c.Work, Silent: c.Silent, Domains: c.Domains, Entries: 3, Servers: 8, Callers: cmp.Or(c.Callers, 18),
		})
		if err != nil {
			t.Fatalf("seed %d: %v", c.Seed, err)
		}
		t.Logf("seed %d: %d faults, %d requests, %d served", c.Seed, report.Faults, report.Requests, report.Served)
		for _, line := range report.Violations {
			t.Errorf("seed %d: %s", c.Seed, line)
		}
		for _, text := range report.Traces {
			t.Log(text)
		}
	}
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "bramleyhinge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/bramleyhinge").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	return program
}

// TestPlays runs the real program through fixed series of faults.
func TestPlays(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	program := buildProgram(t)
	type playCase struct {
		Name    string
		Length  time.Duration
		Servers int
		Faults  []Injection
	}
	for _, c := range tester.Load[playCase](t, "plays.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), Config{
				Program: program, Dir: t.TempDir(), Seed: 1, Length: c.Length, Faults: c.Faults, Entries: 4, Servers: c.Servers, Callers: 24,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d served", report.Requests, report.Served)
			for _, line := range report.Violations {
				t.Error(line)
			}
			for _, text := range report.Traces {
				t.Log(text)
			}
		})
	}
}

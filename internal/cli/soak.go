package cli

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/soaker"
)

// Soak runs the fault-injection test with the seeds in the arguments and returns the exit code, which
// is 1 if a check or a run failed.
func Soak(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("soak", "Harms entries and all around them, and checks what callers and backend servers see.")
	app.UsageWriter(out).ErrorWriter(errs)
	run := app.Command("run", "Plays seeds.").Default()
	program := run.Flag("program", "Path of the bramleyhinge program.").Required().ExistingFile()
	dir := run.Flag("dir", "Folder for settings and logs, a folder for each seed.").Required().String()
	seed := run.Flag("seed", "First seed; 0 draws one.").Uint64()
	seeds := run.Flag("seeds", "Number of seeds in a row.").Default("1").Int()
	length := run.Flag("length", "Time of a run.").Default("20s").Duration()
	rate := run.Flag("rate", "Faults a second.").Default("1.5").Float64()
	work := run.Flag("work", "Add planned work: stops of entries beside changes of the plan, reloads and servers that drain or leave.").Bool()
	odd := run.Flag("odd", "Add odd entries in the list of servers, servers that repeat refusals and errors when streams are resumed.").Bool()
	silent := run.Flag("silent", "Add open connections that fall silent while new ones work, and changes that must be followed all the same.").Bool()
	domains := run.Flag("domains", "Add evacuations of failure domains, servers that return cold together, and an organisation with allowed regions.").Bool()
	entries := run.Flag("entries", "Entries.").Default("3").Int()
	servers := run.Flag("servers", "Backend servers.").Default("8").Int()
	callers := run.Flag("callers", "Callers.").Default("24").Int()
	if name, code := parse(app, args, errs); name == "" {
		return code
	}
	if *seed == 0 {
		*seed = uint64(rand.Uint32())
	}
	code := exitOK
	for n := *seed; n < *seed+uint64(*seeds) && ctx.Err() == nil; n++ {
		folder := filepath.Join(*dir, fmt.Sprint(n))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			fmt.Fprintf(errs, "soak: %v\n", err)
			return exitFailure
		}
		report, err := soaker.Run(ctx, soaker.Config{
			Program: *program, Dir: folder, Seed: n, Length: *length, Rate: *rate, Work: *work, Odd: *odd, Silent: *silent, Domains: *domains, Entries: *entries, Servers: *servers, Callers: *callers,
		})
		if err != nil {
			fmt.Fprintf(errs, "soak: seed %d: %v\n", n, err)
			return exitFailure
		}
		fmt.Fprintf(out, "seed %d: %d faults, %d requests, %d served, %d promises broken\n", n, report.Faults, report.Requests, report.Served, len(report.Violations))
		for _, line := range report.Violations {
			fmt.Fprintf(out, "  %s\n", line)
		}
		for _, text := range report.Traces {
			fmt.Fprintf(out, "%s\n", text)
		}
		if len(report.Violations) > 0 {
			code = exitFailure
		}
	}
	return code
}

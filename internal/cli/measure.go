package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/measurer"
)

// measurements lists the sections of docs/MEASUREMENTS.md, each with its name on the command line.
var measurements = []struct {
	name string
	run  func(measurer.Scale) measurer.Section
}{
	{"overhead", measurer.Overhead},
	{"versions", measurer.Versions},
	{"rollouts", measurer.Rollouts},
	{"servers", measurer.Servers},
	{"affinity", measurer.Affinity},
	{"prefixes", measurer.Prefixes},
	{"prefixcost", measurer.PrefixCost},
	{"admission", measurer.Admission},
	{"limits", measurer.Limits},
	{"retries", measurer.Retries},
	{"writes", measurer.Writes},
}

// Measure runs the measurements named in the arguments, or all if none is named, and returns
// the exit code.
func Measure(args []string, out, errs io.Writer) int {
	app := kingpin.New("measure", "Measure the decisions beside their baselines and print Markdown.")
	app.UsageWriter(out).ErrorWriter(errs)
	scale := app.Flag("scale", "Length of the runs; 1 is that of the page.").Default("1").Float64()
	runCommand := app.Command("run", "Measure and print.").Default()
	names := runCommand.Arg("names", "Measurements to run, or capacity for the capacity page.").Strings()
	if name, code := parse(app, args, errs); name == "" {
		return code
	}
	if len(*names) == 1 && (*names)[0] == "capacity" {
		if err := measurer.WriteCapacity(out); err != nil {
			fmt.Fprintf(errs, "measure: %v\n", err)
			return exitFailure
		}
		return exitOK
	}
	if err := measurer.WriteHead(out); err != nil {
		fmt.Fprintf(errs, "measure: %v\n", err)
		return exitFailure
	}
	selected := map[string]bool{}
	for _, n := range *names {
		selected[n] = true
	}
	for _, m := range measurements {
		if len(selected) > 0 && !selected[m.name] {
			continue
		}
		if err := measurer.Write(out, []measurer.Section{m.run(measurer.Scale(*scale))}); err != nil {
			fmt.Fprintf(errs, "measure: %v\n", err)
			return exitFailure
		}
	}
	return exitOK
}

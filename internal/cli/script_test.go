package cli

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "rewrite the golden files of the scripts")

func TestMain(m *testing.M) {
	// Some script commands call Main inside the test process, which reads the secret from its environment.
	os.Setenv(secretVariable, testSecret)
	testscript.Main(m, map[string]func(){
		"bramleyhinge": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":      func() { os.Exit(Standin(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		Setup:               setupFleet,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":  func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).startAll(ts, args[0]) },
			"call":   func(ts *testscript.TestScript, neg bool, args []string) { fleetOf(ts).call(ts, neg, args) },
			"result": func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).printResult(ts, args[0]) },
			"fault":  func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).setFaults(ts, args[0], args[1]) },
			"look":   func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).printGet(ts, args[0], args[1]) },
			"await":  func(ts *testscript.TestScript, neg bool, args []string) { fleetOf(ts).awaitText(ts, neg, args) },
			"start":  func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).start(ts, args[0]) },
			"ready":  func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).awaitReady(ts, args[0]) },
			"drain":  func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).stop(ts, args[0]) },
			"crash":  func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).kill(ts, args[0]) },
			"freeze": func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).suspend(ts, args[0]) },
			"thaw":   func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).resume(ts, args[0]) },
			"row": func(ts *testscript.TestScript, _ bool, args []string) {
				fleetOf(ts).setInstanceState(ts, args[0], args[1])
			},
			"cut":      func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).setProxy(ts, args[0], args[1]) },
			"sums":     func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).printCallCount(ts, args[0]) },
			"billed":   func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).awaitBilled(ts, args[0], args[1]) },
			"versions": func(ts *testscript.TestScript, _ bool, args []string) { printVersions(ts, args[0]) },
			"pending":  func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).checkPending(ts, args[0]) },
			"status":   func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).awaitVerdict(ts, args[0], 0) },
			"until": func(ts *testscript.TestScript, _ bool, args []string) {
				fleetOf(ts).awaitVerdict(ts, args[0], parseInt(ts, args[1]))
			},
			"crashowner": func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).killOwner(ts) },
			"startowner": func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).startOwner(ts) },
			"stepup": func(ts *testscript.TestScript, _ bool, args []string) {
				fleetOf(ts).callUntilNextStep(ts, parseInt(ts, args[0]))
			},
			"served":       func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).printServed(ts, args[0], args[1]) },
			"explain":      func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).explainLast(ts) },
			"certificates": func(ts *testscript.TestScript, _ bool, args []string) { certificates(ts, args) },
			"alive":        func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).printAlive(ts, args) },
			"owner": func(ts *testscript.TestScript, _ bool, _ []string) {
				fmt.Fprintln(ts.Stdout(), fleetOf(ts).currentOwner(ts))
			},
			"freezeowner": func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).suspendOwner(ts) },
			"thawowner":   func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).resume(ts, fleetOf(ts).stoppedOwner) },
			"load":        func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).controlLoad(ts, args) },
			"edit":        editFile,
		},
	})
}

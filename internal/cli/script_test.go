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
	// Commands that a script runs inside the test process read the secret as well.
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
			"fleet":    func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).startAll(ts, args[0]) },
			"call":     func(ts *testscript.TestScript, neg bool, args []string) { fleetOf(ts).call(ts, neg, args) },
			"result":   func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).result(ts, args[0]) },
			"fault":    func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).fault(ts, args[0], args[1]) },
			"look":     func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).look(ts, args[0], args[1]) },
			"await":    func(ts *testscript.TestScript, neg bool, args []string) { fleetOf(ts).await(ts, neg, args) },
			"start":    func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).start(ts, args[0]) },
			"ready":    func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).ready(ts, args[0]) },
			"drain":    func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).drain(ts, args[0]) },
			"crash":    func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).crash(ts, args[0]) },
			"freeze":   func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).freeze(ts, args[0]) },
			"thaw":     func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).thaw(ts, args[0]) },
			"row":      func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).row(ts, args[0], args[1]) },
			"cut":      func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).cut(ts, args[0], args[1]) },
			"sums":     func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).sums(ts, args[0]) },
			"billed":   func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).billed(ts, args[0], args[1]) },
			"versions": func(ts *testscript.TestScript, _ bool, args []string) { versions(ts, args[0]) },
			"pending":  func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).pending(ts, args[0]) },
			"status":   func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).untilVerdict(ts, args[0], 0) },
			"until": func(ts *testscript.TestScript, _ bool, args []string) {
				fleetOf(ts).untilVerdict(ts, args[0], number(ts, args[1]))
			},
			"crashowner":   func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).crashOwner(ts) },
			"startowner":   func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).startOwner(ts) },
			"stepup":       func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).stepUp(ts, number(ts, args[0])) },
			"served":       func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).served(ts, args[0], args[1]) },
			"explain":      func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).explain(ts) },
			"certificates": func(ts *testscript.TestScript, _ bool, args []string) { certificates(ts, args) },
			"alive":        func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).alive(ts, args) },
			"owner":        func(ts *testscript.TestScript, _ bool, _ []string) { fmt.Fprintln(ts.Stdout(), fleetOf(ts).owner(ts)) },
			"freezeowner":  func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).freezeOwner(ts) },
			"thawowner":    func(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).thaw(ts, fleetOf(ts).frozen) },
			"load":         func(ts *testscript.TestScript, _ bool, args []string) { fleetOf(ts).load(ts, args) },
			"edit":         editFile,
		},
	})
}

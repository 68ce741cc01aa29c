// Command play plays the scripts of the review against the project's own program. Each command starts entries as
// separate processes, with stand-ins for the platform, the replicas and the clients in this process, and writes what
// was sent, answered and run to a record.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxTime is how long a script may take.
const maxTime = 115 * time.Second

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case. It returns what broke the rule, one line each.
type scenario func(w *world, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"keys":    playKeys,
	"silence": playSilence,
	"poison":  playPoison,
	"drain":   playDrain,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: play SCENARIO PROGRAM RECORD")
		return exitNotRun
	}
	play, ok := scenarios[args[0]]
	if !ok {
		fmt.Fprintf(os.Stderr, "scenario %q is not known\n", args[0])
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(maxTime, func() {
		w.note("the script takes longer than %v and is ended", maxTime)
		w.close()
		os.Exit(exitNotRun)
	})
	w.note("scenario %s, trouble %v", args[0], trouble)
	broken, err := play(w, trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, line := range broken {
		w.note("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	w.note("held")
	fmt.Println("held")
	return exitHeld
}

// Command stand-2 plays the scripts of the second review: it starts the system's processes, a stand-in of the platform's
// store and replicas on loopback addresses, sends requests and checks one rule.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case.
const maxRun = 110 * time.Second

var cases = map[string]func(ctx context.Context, r *run) (broken bool, err error){
	"engineless": playEngineless,
	"once":       playOnce,
}

func main() {
	name := flag.String("case", "", "Case to play.")
	program := flag.String("program", "target/bramleyhinge", "Path of the system's program.")
	record := flag.String("record", "record.txt", "File for what was sent, answered and run.")
	flag.Parse()
	os.Exit(play(*name, *program, *record))
}

func play(name, program, record string) int {
	fn, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	r, err := newRun(program, dir, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	broken, err := fn(ctx, r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}

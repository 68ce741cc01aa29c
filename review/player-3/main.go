// Package main plays the scripted cases of the third review: it starts entries as separate processes, with stand-ins for
// the store, backend servers, callers and the operator, and checks one rule from what these have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errNotRun means that a case could not run, so that it tells nothing about the rule.
var errNotRun = errors.New("the case could not run")

// verdict is what a case found: the ways in which the rule was broken, none if it held.
type verdict struct {
	broken []string
	notes  []string
}

// cases are the cases by name. Trouble is false if the case must do the same without its disruption.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"timeouts": playTimeouts,
	"base":     playBase,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/bramleyhinge", "program of the entries")
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case has the name %q\n", *name)
		return exitFailed
	}
	w, err := newWorld(*program, filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(exitFailed)
	}()
	v, err := run(w, os.Getenv("TROUBLE") != "0")
	for _, n := range v.notes {
		w.say("note: %s", n)
	}
	if err != nil {
		w.say("result: %v", err)
		return exitFailed
	}
	if len(v.broken) == 0 {
		w.say("result: the rule held")
		return exitHeld
	}
	for _, b := range v.broken {
		w.say("broken: %s", b)
	}
	return exitBroken
}

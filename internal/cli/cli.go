// Package cli implements the command line of bramleyhinge and of its tools.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/operator"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/parser"
)

// Exit codes of all commands.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
	exitConflict = 3
	exitNotFound = 4
)

// Version is the release of the program.
const Version = "0.1.0"

const help = `A model-aware router for versions and cascades.

Exit codes: 0 done, 1 failed (the message names the remedy), 2 bad input,
3 another operator was first, 4 not found.`

// command is one subcommand with its parsed flags.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("bramleyhinge", help)
	app.UsageWriter(out).ErrorWriter(errs)
	app.HelpFlag.Short('h')
	commands := register(app)
	name, code := parse(app, args, errs)
	if name == "" {
		return code
	}
	if err := commands[name].run(ctx, out); err != nil {
		fmt.Fprintf(errs, "bramleyhinge: %v\n", err)
		return exitCode(err)
	}
	return exitOK
}

// exitPanic carries the exit code that kingpin would end the process with after it printed help.
type exitPanic int

// parse returns the name of the command in the arguments, or an empty name and the exit code if there is none to run.
func parse(app *kingpin.Application, args []string, errs io.Writer) (name string, code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exitPanic)
			if !ok {
				panic(r)
			}
			name, code = "", int(e)
		}
	}()
	app.Terminate(func(code int) { panic(exitPanic(code)) })
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errs, "%s: %v, see '%s --help'\n", app.Name, err, app.Name)
		return "", exitBadInput
	}
	return name, exitOK
}

func register(app *kingpin.Application) map[string]command {
	commands := map[string]command{}
	add := func(name, help string, bind func(*kingpin.CmdClause) command) {
		commands[name] = bind(app.Command(name, help))
	}
	add("entry", "Run an entry: it takes callers' requests.", bindEntry)
	add("direct", "Run an entry that forwards to backend servers directly, on the platform.", bindDirect)
	add("agent", "Run an agent beside a backend server.", bindAgent)
	add("check", "Check a service document or settings without a platform.", bindCheck)
	add("apply", "Put a service document in force, if nobody else changed it meanwhile.", bindApply)
	add("remove", "Take a service out of force.", bindRemove)
	add("diff", "Show what applying a document would change.", bindDiff)
	add("history", "List the documents that a service has had.", bindHistory)
	add("status", "Show what is in force where, and what the owners do.", bindStatus)
	add("metrics", "Print the metrics of one instance, entry or agent.", bindMetrics)
	add("explain", "Show why a request came out as it did.", bindExplain)
	add("trace", "Tell from logs why a request failed, or group failed requests by cause.", bindTrace)
	add("report", "Sum the usage by organisation, service and day.", bindReport)
	add("rotate", "Add a new key for session tokens; older tokens stay valid.", bindRotate)
	add("local", "Run entries, agents and stand-ins in one process, to try it out.", bindLocal)
	add("version", "Print the version.", bindVersion)
	return commands
}

func exitCode(err error) int {
	var faults parser.Faults
	var conflict *operator.ConflictError
	var unknownInstance *operator.UnknownInstanceError
	var unknownRequest *unknownRequestError
	switch {
	case errors.As(err, &faults):
		return exitBadInput
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknownInstance), errors.As(err, &unknownRequest), storer.IsKind(err, storer.KindNotFound):
		return exitNotFound
	}
	return exitFailure
}

type versionCommand struct{}

func bindVersion(*kingpin.CmdClause) command { return versionCommand{} }

func (versionCommand) run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintln(out, "bramleyhinge", Version)
	return err
}

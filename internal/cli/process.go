package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/assembler"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/pkg/parser"
)

type entryCommand struct{ settings string }

func bindEntry(c *kingpin.CmdClause) command {
	e := &entryCommand{}
	c.Flag("settings", "File with the settings of this entry.").Required().StringVar(&e.settings)
	return e
}

func (e *entryCommand) run(ctx context.Context, out io.Writer) error {
	s, err := readSettings(e.settings, model.RoleEntry)
	if err != nil {
		return err
	}
	callers, err := listen("listen.callers", s.Listen.Callers)
	if err != nil {
		return err
	}
	control, err := listen("listen.control", s.Listen.Control)
	if err != nil {
		return err
	}
	p, err := assembler.NewEntry(s, assembler.Output{Writer: os.Stderr})
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "listening", callers.Addr())
	p.Log.Info().Str("callers", callers.Addr().String()).Msg("entry: started")
	return p.Entry.Run(ctx, callers, control, p.Server)
}

type agentCommand struct{ settings string }

func bindAgent(c *kingpin.CmdClause) command {
	a := &agentCommand{}
	c.Flag("settings", "File with the settings of this agent.").Required().StringVar(&a.settings)
	return a
}

func (a *agentCommand) run(ctx context.Context, out io.Writer) error {
	s, err := readSettings(a.settings, model.RoleAgent)
	if err != nil {
		return err
	}
	work, err := listen("listen.work", s.Listen.Work)
	if err != nil {
		return err
	}
	control, err := listen("listen.control", s.Listen.Control)
	if err != nil {
		return err
	}
	p, err := assembler.NewAgent(s, assembler.Output{Writer: os.Stderr})
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "listening", work.Addr())
	p.Log.Info().Str("work", work.Addr().String()).Msg("agent: started")
	return p.Agent.Run(ctx, work, control, p.Server)
}

func readSettings(file string, role model.Role) (*model.Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := parser.ParseSettings(file, b)
	if err != nil {
		return nil, err
	}
	if s.Role != role {
		return nil, parser.Faults{{File: file, Line: 1, Column: 1, Key: "role", Value: string(s.Role), Remedy: "use settings with the role of this command"}}
	}
	return s, nil
}

func listen(key, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s from setting %s: choose a free address of this instance: %w", addr, key, err)
	}
	return l, nil
}

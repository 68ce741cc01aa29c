package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Standin runs the stand-in named in the arguments and returns the exit code.
func Standin(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("standin", "Stand-ins for the systems that bramleyhinge meets, with fault switches.")
	app.UsageWriter(out).ErrorWriter(errs)
	addr := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	platform := app.Command("platform", "Object API and instance list.")
	instances := platform.Flag("instances", "JSON file with the instance list.").String()
	engine := app.Command("engine", "Model engine.")
	versions := engine.Flag("version", "Version that is loaded.").Strings()
	fencing := engine.Flag("fencing", "Refuse orders with an old fencing number.").Bool()
	token := engine.Flag("token", "Time for one token.").Default("0s").Duration()
	plain := app.Command("plain", "Plain service.")
	app.Command("rater", "Rating service.")
	name, code := parse(app, args, errs)
	if name == "" {
		return code
	}
	// A simulated crash ends the whole stand-in process.
	crash := func() { os.Exit(exitFailure) }
	var handler http.Handler
	switch name {
	case platform.FullCommand():
		p := standin.NewPlatform()
		if err := loadInstances(p, *instances); err != nil {
			fmt.Fprintf(errs, "standin: %v\n", err)
			return exitBadInput
		}
		handler = p.Handler()
	case engine.FullCommand():
		cfg := standin.EngineConfig{Versions: *versions, Fencing: *fencing, Faults: standin.EngineFaults{TokenDelay: *token}, Crash: crash}
		handler = standin.NewEngine(cfg).Handler()
	case plain.FullCommand():
		handler = standin.NewPlain(standin.PlainConfig{Crash: crash}).Handler()
	default:
		handler = standin.NewRater(nil).Handler()
	}
	if err := serveStandin(ctx, *addr, handler, out); err != nil {
		fmt.Fprintf(errs, "standin: %v\n", err)
		return exitFailure
	}
	return exitOK
}

func loadInstances(p *standin.Platform, file string) error {
	if file == "" {
		return nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read instances: %w", err)
	}
	var rows []model.Instance
	if err := json.Unmarshal(b, &rows); err != nil {
		return fmt.Errorf("decode instances: %w", err)
	}
	for _, row := range rows {
		p.SetInstance(row)
	}
	return nil
}

func serveStandin(ctx context.Context, addr string, h http.Handler, out io.Writer) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintln(out, "listening", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { s.Close() })
	if err := s.Serve(l); err != http.ErrServerClosed {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/examples"
	"github.com/bramleyhinge/bramleyhinge/internal/launcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// exampleKey is the API key of organisation duluth-floor in the example documents.
const exampleKey = "example-key-duluth-floor"

type localCommand struct{ logLevel string }

func bindLocal(c *kingpin.CmdClause) command {
	l := &localCommand{}
	c.Flag("log", "Log level: debug, info, warn or error.").Default("warn").EnumVar(&l.logLevel, "debug", "info", "warn", "error")
	return l
}

func (l *localCommand) run(ctx context.Context, out io.Writer) error {
	cfg, err := localConfig()
	if err != nil {
		return err
	}
	cfg.Log, cfg.Level = os.Stderr, l.logLevel
	f, err := launcher.Start(ctx, cfg)
	if err != nil {
		return err
	}
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "ready %s\n", f.Entries[0].URL)
	fmt.Fprintf(out, "key %s\n", exampleKey)
	fmt.Fprintf(out, "platform %s\n", f.PlatformURL)
	fmt.Fprintf(out, "secret %s (set it as %s for status and explain)\n", f.Secret, secretVariable)
	fmt.Fprintf(out, "try: curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\n", f.Entries[0].URL, exampleKey,
		`{"model":"drafting-models","stream":true,"messages":[{"role":"user","content":"draft a banner"}]}`)
	return f.Wait()
}

func localConfig() (launcher.Config, error) {
	places := []model.Place{
		{Region: "duluth", Domain: "duluth-a"},
		{Region: "milwaukee", Domain: "milwaukee-a"},
		{Region: "cleveland", Domain: "cleveland-a"},
	}
	cfg := launcher.Config{
		Entries:    places[:2],
		Quality:    map[string]float64{"sketch@1": 0.75, "pattern@3": 0.92, "pattern@4": 0.92},
		TokenDelay: 20 * time.Millisecond,
		Drain:      model.DrainSettings{Lag: 100 * time.Millisecond, Grace: 5 * time.Second},
	}
	for _, file := range []string{"drafting-models.yaml", "workshop-orders.yaml"} {
		b, err := examples.Files.ReadFile(file)
		if err != nil {
			return cfg, fmt.Errorf("read example: %w", err)
		}
		cfg.Documents = append(cfg.Documents, b)
	}
	for _, p := range places {
		cfg.Backends = append(cfg.Backends,
			launcher.Backend{Service: "drafting-models", Kind: model.KindModel, Place: p, Versions: []string{"sketch@1", "pattern@3", "pattern@4"}},
			launcher.Backend{Service: "workshop-orders", Kind: model.KindPlain, Place: p})
	}
	return cfg, nil
}

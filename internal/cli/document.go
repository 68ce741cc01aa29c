package cli

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/operator"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/pkg/parser"
)

// secretVariable names the environment variable with the fleet's secret. Commands that query
// instances need it.
const secretVariable = "BRAMLEYHINGE_SECRET"

// platformFlags are the flags that all commands with access to the platform share.
type platformFlags struct {
	platform string
	output   string
}

func (p *platformFlags) bind(c *kingpin.CmdClause) {
	c.Flag("platform", "URL of the platform's object API.").Envar("BRAMLEYHINGE_PLATFORM").Required().StringVar(&p.platform)
	c.Flag("output", "Form of the output: text or json.").Default("text").EnumVar(&p.output, "text", "json")
}

func (p *platformFlags) store() *storer.Client {
	return storer.NewClient(storer.ClientConfig{URL: strings.TrimSuffix(p.platform, "/")})
}

// print writes v as JSON if the output flag says so, and otherwise calls text.
func (p *platformFlags) print(out io.Writer, v any, text func(w io.Writer) error) error {
	if p.output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	return text(out)
}

var errNoSecret = errors.New("set " + secretVariable + " to the fleet's secret, so that instances accept queries")

func newControlPool() (*messenger.Pool, error) {
	secret := os.Getenv(secretVariable)
	if secret == "" {
		return nil, errNoSecret
	}
	return messenger.NewPool(messenger.ClientConfig{Instance: "operator", Role: "operator", Secret: messenger.Secret(secret)}), nil
}

func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

type checkCommand struct {
	file string
	kind string
	hash string
}

func bindCheck(c *kingpin.CmdClause) command {
	k := &checkCommand{}
	c.Arg("file", "File to check.").StringVar(&k.file)
	c.Flag("kind", "What the file is: document or settings.").Default("document").EnumVar(&k.kind, "document", "settings")
	c.Flag("hash", "Print the hash of an organisation's key for a document.").StringVar(&k.hash)
	return k
}

func (k *checkCommand) run(_ context.Context, out io.Writer) error {
	if k.hash != "" {
		hash := model.HashKey(k.hash)
		_, err := fmt.Fprintf(out, "sha256:%s\n", hex.EncodeToString(hash[:]))
		return err
	}
	b, err := os.ReadFile(k.file)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if k.kind == "settings" {
		_, err = parser.ParseSettings(k.file, b)
	} else {
		_, err = parser.ParseDocument(k.file, b)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, k.file, "is good")
	return err
}

type applyCommand struct {
	platformFlags
	file   string
	expect int64
	wait   time.Duration
}

func bindApply(c *kingpin.CmdClause) command {
	a := &applyCommand{}
	a.bind(c)
	c.Arg("file", "Service document.").Required().StringVar(&a.file)
	c.Flag("expect", "Revision that the change was made against; default: the one stored now.").Default("-1").Int64Var(&a.expect)
	c.Flag("wait", "Wait this long for the change to be in force everywhere.").Default("0s").DurationVar(&a.wait)
	return a
}

func expectedRevision(n int64) model.Revision {
	if n < 0 {
		return operator.AnyRevision
	}
	return model.Revision(n)
}

func (a *applyCommand) run(ctx context.Context, out io.Writer) error {
	b, err := os.ReadFile(a.file)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	store := a.store()
	change := operator.Change{File: a.file, Text: b, ChangedBy: operatorName(), ExpectedRevision: expectedRevision(a.expect)}
	s, err := operator.Apply(ctx, store, change, time.Now())
	if err != nil {
		return err
	}
	if a.wait > 0 {
		if err := waitInForce(ctx, store, s, a.wait); err != nil {
			return err
		}
	}
	s.Text = ""
	return a.print(out, s, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is at revision %d\n", s.Service, s.Revision)
		return err
	})
}

// waitInForce polls the instances until the revision is in force on all of them, or fails after limit.
func waitInForce(ctx context.Context, store *storer.Client, s operator.DocumentRevision, limit time.Duration) error {
	pool, err := newControlPool()
	if err != nil {
		return err
	}
	defer pool.Close()
	deadline := time.Now().Add(limit)
	for {
		applied, total, err := operator.CountAtRevision(ctx, store, pool, s.Service, s.Revision)
		if err == nil && applied == total {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("revision %d is stored but in force on only %d of %d instances: run 'bramleyhinge status'", s.Revision, applied, total)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

type removeCommand struct {
	platformFlags
	service string
	expect  int64
}

func bindRemove(c *kingpin.CmdClause) command {
	r := &removeCommand{}
	r.bind(c)
	c.Arg("service", "Service to take out of force.").Required().StringVar(&r.service)
	c.Flag("expect", "Revision that the decision was made against; default: the one stored now.").Default("-1").Int64Var(&r.expect)
	return r
}

func (r *removeCommand) run(ctx context.Context, out io.Writer) error {
	s, err := operator.Remove(ctx, r.store(), model.ServiceID(r.service), operatorName(), expectedRevision(r.expect), time.Now())
	if err != nil {
		return err
	}
	return r.print(out, s, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is removed at revision %d\n", s.Service, s.Revision)
		return err
	})
}

type diffCommand struct {
	platformFlags
	file string
}

func bindDiff(c *kingpin.CmdClause) command {
	d := &diffCommand{}
	d.bind(c)
	c.Arg("file", "Service document.").Required().StringVar(&d.file)
	return d
}

func (d *diffCommand) run(ctx context.Context, out io.Writer) error {
	b, err := os.ReadFile(d.file)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	text, err := operator.Diff(ctx, d.store(), d.file, b)
	if err != nil {
		return err
	}
	return d.print(out, map[string]string{"diff": text}, func(w io.Writer) error {
		if text == "" {
			text = "no change\n"
		}
		_, err := io.WriteString(w, text)
		return err
	})
}

type historyCommand struct {
	platformFlags
	service  string
	revision uint64
}

func bindHistory(c *kingpin.CmdClause) command {
	h := &historyCommand{}
	h.bind(c)
	c.Arg("service", "Service.").Required().StringVar(&h.service)
	c.Flag("show", "Print the document of this revision.").Uint64Var(&h.revision)
	return h
}

func (h *historyCommand) run(ctx context.Context, out io.Writer) error {
	list, err := operator.History(ctx, h.store(), model.ServiceID(h.service))
	if err != nil {
		return err
	}
	if h.revision == 0 {
		return h.print(out, list, func(w io.Writer) error { return writeHistory(w, list) })
	}
	for _, s := range list {
		if s.Revision == model.Revision(h.revision) {
			_, err := io.WriteString(out, s.Text)
			return err
		}
	}
	return &storer.Error{Kind: storer.KindNotFound, Key: fmt.Sprintf("%s at revision %d", h.service, h.revision)}
}

func writeHistory(w io.Writer, list []operator.DocumentRevision) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "REVISION\tAT\tBY\tSTATE")
	for _, s := range list {
		state := "document"
		if s.Deleted {
			state = "removed"
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", s.Revision, s.ChangedAt.UTC().Format(time.RFC3339), s.ChangedBy, state)
	}
	return t.Flush()
}

package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/operator"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/signer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

type statusCommand struct{ platformFlags }

func bindStatus(c *kingpin.CmdClause) command {
	s := &statusCommand{}
	s.bind(c)
	return s
}

func (s *statusCommand) run(ctx context.Context, out io.Writer) error {
	pool, err := newControlPool()
	if err != nil {
		return err
	}
	defer pool.Close()
	store := s.store()
	fleet, err := operator.Status(ctx, store, store, pool)
	if err != nil {
		return err
	}
	return s.print(out, fleet, func(w io.Writer) error { return writeStatus(w, fleet) })
}

func writeStatus(w io.Writer, fleet operator.FleetStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tOWNER\tROLL-OUT\tREPAIR")
	for _, s := range fleet.Services {
		rollout := "none"
		if s.Rollout != nil {
			rollout = fmt.Sprintf("%s: %s, %s", s.Rollout.Version, s.Rollout.Verdict, s.Rollout.Reason)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", s.Service, s.Owner, rollout, s.Repair)
		if s.Fault != "" {
			fmt.Fprintf(t, "\t\t\t%s\n", s.Fault)
		}
	}
	fmt.Fprintln(t, "\nINSTANCE\tROLE\tDOMAIN\tSTATUS")
	for _, i := range fleet.Instances {
		text := string(i.Status)
		if i.Error != "" {
			text = "no answer: " + i.Error
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", i.Instance.Instance, i.Instance.Role, i.Instance.Place.Domain, text)
	}
	return t.Flush()
}

type metricsCommand struct {
	platformFlags
	instance string
}

func bindMetrics(c *kingpin.CmdClause) command {
	m := &metricsCommand{}
	m.bind(c)
	c.Arg("instance", "Instance, as in the instance list.").Required().StringVar(&m.instance)
	return m
}

func (m *metricsCommand) run(ctx context.Context, out io.Writer) error {
	pool, err := newControlPool()
	if err != nil {
		return err
	}
	defer pool.Close()
	text, err := operator.Metrics(ctx, m.store(), pool, model.InstanceID(m.instance))
	if err != nil {
		return err
	}
	return m.print(out, map[string]string{"metrics": text}, func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	})
}

type explainCommand struct {
	platformFlags
	request string
}

func bindExplain(c *kingpin.CmdClause) command {
	e := &explainCommand{}
	e.bind(c)
	c.Arg("request", "Request id from the header Bramleyhinge-Request.").Required().StringVar(&e.request)
	return e
}

func (e *explainCommand) run(ctx context.Context, out io.Writer) error {
	pool, err := newControlPool()
	if err != nil {
		return err
	}
	defer pool.Close()
	rec, err := operator.Explain(ctx, e.store(), pool, model.RequestID(e.request))
	if err != nil {
		return err
	}
	return e.print(out, rec, func(w io.Writer) error { return writeExplanation(w, rec) })
}

func writeExplanation(w io.Writer, rec *explainer.Record) error {
	fmt.Fprintf(w, "%s of %s on %s, revision %d, at %s: %s\n", rec.Request, rec.Organisation, rec.Service, rec.Revision, rec.Instance, rec.Outcome)
	for _, s := range rec.Steps {
		fmt.Fprintf(w, "%10s  %s: %s\n", s.At.Round(10*time.Microsecond), s.Decision, s.Reason)
		for _, a := range s.Alternatives {
			bullet := "-"
			if a.Chosen {
				bullet = "+"
			}
			fmt.Fprintf(w, "            %s %s: %s\n", bullet, a.Name, a.Reason)
		}
	}
	return nil
}

type reportCommand struct {
	platformFlags
	layout recorder.Layout
}

func bindReport(c *kingpin.CmdClause) command {
	r := &reportCommand{}
	r.bind(c)
	c.Flag("shards", "Setting ledger.shards of the entries.").Default("4").IntVar(&r.layout.ClaimShards)
	c.Flag("usage", "Setting ledger.usage of the entries.").Default("8").IntVar(&r.layout.UsageShards)
	return r
}

// reportRow is one line of the usage report.
type reportRow struct {
	recorder.TotalKey
	recorder.Total
}

func (r *reportCommand) run(ctx context.Context, out io.Writer) error {
	totals, err := recorder.LoadTotals(ctx, r.store(), r.layout, 24*time.Hour)
	if err != nil {
		return err
	}
	rows := make([]reportRow, 0, len(totals))
	for k, t := range totals {
		rows = append(rows, reportRow{k, t})
	}
	slices.SortFunc(rows, func(a, b reportRow) int {
		return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Organisation, b.Organisation))
	})
	return r.print(out, rows, func(w io.Writer) error {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "DAY\tSERVICE\tORGANISATION\tREQUESTS\tINPUT\tOUTPUT\tCOST")
		for _, row := range rows {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", row.Day, row.Service, row.Organisation, row.Requests, row.Input, row.Output, row.Cost)
		}
		return t.Flush()
	})
}

type rotateCommand struct{ platformFlags }

func bindRotate(c *kingpin.CmdClause) command {
	r := &rotateCommand{}
	r.bind(c)
	return r
}

func (r *rotateCommand) run(ctx context.Context, out io.Writer) error {
	rev, err := signer.Rotate(ctx, r.store(), time.Now())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "session keys are at revision %d\n", rev)
	return err
}

package storer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// contractCase is a list of calls and the expected result of each, written as text.
type contractCase struct {
	Name  string
	Steps []struct {
		Do   string
		Want string
	}
}

// TestContract runs the same cases against the stand-in platform in memory and over HTTP.
func TestContract(t *testing.T) {
	b, err := os.ReadFile("testdata/contract.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []contractCase
	if err := yaml.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name+"/memory", func(t *testing.T) {
			p := standin.NewPlatform()
			runCase(t, c, p, p)
		})
		t.Run(c.Name+"/http", func(t *testing.T) {
			p := standin.NewPlatform()
			s := httptest.NewServer(p.Handler())
			defer s.Close()
			runCase(t, c, p, storer.NewClient(storer.ClientConfig{URL: s.URL}))
		})
	}
}

func runCase(t *testing.T, c contractCase, p *standin.Platform, s storer.Store) {
	t.Helper()
	for _, step := range c.Steps {
		if diff := cmp.Diff(step.Want, runStep(t.Context(), p, s, strings.Fields(step.Do))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.Do, diff)
		}
	}
}

func runStep(ctx context.Context, p *standin.Platform, s storer.Store, args []string) string {
	var expect model.Revision
	if len(args) > 2 {
		fmt.Sscan(args[len(args)-1], &expect)
	}
	switch args[0] {
	case "get":
		o, err := s.Get(ctx, args[1])
		return formatOutcome(fmt.Sprintf("%s at %d", o.Value, o.Revision), err)
	case "put":
		rev, err := s.Put(ctx, args[1], []byte(args[2]), expect)
		return formatOutcome(fmt.Sprintf("at %d", rev), err)
	case "durably":
		rev, err := storer.PutWithReadback(ctx, s, args[1], []byte(args[2]), expect)
		return formatOutcome(fmt.Sprintf("at %d", rev), err)
	case "big":
		_, err := s.Put(ctx, args[1], make([]byte, storer.MaxValueBytes+1), 0)
		return formatOutcome("stored", err)
	case "delete":
		return formatOutcome("deleted", s.Delete(ctx, args[1], expect))
	case "list":
		l, err := s.List(ctx, args[1])
		return formatOutcome(formatListing(l), err)
	case "watch":
		l, err := s.Watch(ctx, args[1], expect, time.Millisecond)
		return formatOutcome(formatListing(l), err)
	case "fault":
		p.SetFaults(map[string]standin.PlatformFaults{
			"down": {Down: true}, "lost": {LostAnswers: 1}, "gap": {OmitEvents: true}, "stale": {StaleReads: true}, "none": {},
		}[args[1]])
		return "set"
	}
	return "unknown step"
}

func formatListing(l storer.Listing) string {
	var parts []string
	for _, o := range l.Objects {
		state := string(o.Value)
		if o.Deleted {
			state = "deleted"
		}
		parts = append(parts, fmt.Sprintf("%s=%s@%d", o.Key, state, o.Revision))
	}
	return strings.Join(append(parts, fmt.Sprintf("to %d", l.Revision)), " ")
}

func formatOutcome(ok string, err error) string {
	var se *storer.Error
	if errors.As(err, &se) {
		return strings.TrimSpace(fmt.Sprintf("%s %s", se.Kind, formatCurrent(se)))
	}
	if err != nil {
		return err.Error()
	}
	return ok
}

func formatCurrent(se *storer.Error) string {
	if se.Current == 0 {
		return ""
	}
	return fmt.Sprint(se.Current)
}

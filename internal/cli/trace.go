package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/tracer"
)

type traceCommand struct {
	request string
	output  string
	files   []string
}

func bindTrace(c *kingpin.CmdClause) command {
	t := &traceCommand{}
	c.Flag("request", "Tell the story of this request instead of grouping the failed ones.").StringVar(&t.request)
	c.Flag("output", "Form of the output: text or json.").Default("text").EnumVar(&t.output, "text", "json")
	c.Arg("file", "Files with log lines; standard input if there are none.").ExistingFilesVar(&t.files)
	return t
}

// unknownRequestError is returned for a request id that occurs in no log line.
type unknownRequestError struct{ request string }

func (e *unknownRequestError) Error() string {
	return fmt.Sprintf("request %q is not in the log: give the logs of all entries of that time", e.request)
}

func (t *traceCommand) run(_ context.Context, out io.Writer) (err error) {
	readers := []io.Reader{os.Stdin}
	if len(t.files) > 0 {
		readers = nil
	}
	for _, name := range t.files {
		f, openErr := os.Open(name)
		if openErr != nil {
			return fmt.Errorf("open log: %w", openErr)
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		readers = append(readers, f)
	}
	log, err := tracer.Read(readers...)
	if err != nil {
		return err
	}
	if t.request == "" {
		return t.writeGroups(log, out)
	}
	s, ok := log.Trace(t.request)
	if !ok {
		return &unknownRequestError{request: t.request}
	}
	if t.output == "json" {
		return json.NewEncoder(out).Encode(s)
	}
	return s.Write(out)
}

func (t *traceCommand) writeGroups(log *tracer.Log, out io.Writer) error {
	groups := log.FailureGroups()
	if t.output == "json" {
		return json.NewEncoder(out).Encode(groups)
	}
	for _, g := range groups {
		if _, err := fmt.Fprintf(out, "%6d  %s  %v\n", g.Count, g.Cause, g.Examples); err != nil {
			return fmt.Errorf("write groups: %w", err)
		}
	}
	return nil
}

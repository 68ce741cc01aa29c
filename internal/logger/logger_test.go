package logger

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestLongErrorFillsLog checks that an error which quotes a long text does not make a long line, and that none or a nil
// one makes no field.
func TestLongErrorFillsLog(t *testing.T) {
	for _, c := range tester.Load[struct {
		Name, Text    string
		Times, Length int
	}](t, "errors.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var none *storer.Error
			var err error = none
			if c.Text != "" {
				err = errors.New(strings.Repeat(c.Text, c.Times))
			}
			var out bytes.Buffer
			log := New(&out, model.LogSettings{Level: "info", Format: "json"}, "e0")
			log.Info().Err(err).AnErr("cause", nil).Msg("test")
			var line struct{ Error, Cause string }
			if err := json.Unmarshal(out.Bytes(), &line); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.Length, len(line.Error)); diff != "" {
				t.Errorf("length of the error (-want +got):\n%s", diff)
			}
		})
	}
}

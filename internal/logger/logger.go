// Package logger builds the structured log of a process.
package logger

import (
	"io"
	"reflect"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// timeLayout has milliseconds, so that the lines of several instances can be ordered.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// maxErrorBytes bounds the text of an error in a line. Errors quote what others wrote, which may be long.
const maxErrorBytes = 1000

func init() {
	zerolog.TimeFieldFormat = timeLayout
	zerolog.ErrorMarshalFunc = shortenError
}

// shortenError returns the error, or the beginning of its text if that is long.
func shortenError(err error) any {
	if v := reflect.ValueOf(err); !v.IsValid() || v.Kind() == reflect.Pointer && v.IsNil() {
		return nil
	}
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return text[:maxErrorBytes] + "..."
}

// New returns a logger that adds the instance to each line. It writes JSON, or plain text if the format in
// cfg is "text"; an invalid level means info.
func New(w io.Writer, cfg model.LogSettings, instance model.InstanceID) zerolog.Logger {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	if cfg.Format == "text" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("instance", string(instance)).Logger()
}

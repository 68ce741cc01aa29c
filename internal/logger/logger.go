// Package logger builds the structured log of a process.
package logger

import (
	"io"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// timeForm shows milliseconds, so that the lines of several instances can be put in order.
const timeForm = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeForm }

// New returns a logger that names its instance on each line; form "text" is for people.
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

// Package log builds the logger that the whole process writes through.
//
// # What flows in and out
//
// Log records flow in through logr. One line for each flows out, to standard
// error unless another writer is given, as JSON or as key=value text, with the
// instance and its availability zone on every line. Instances have no disks, so
// whatever starts the process has to store the lines.
//
// Numbered events arrive through package eventlog, which sets the level of each;
// records below the level of the settings are dropped here.
//
// # Usage
//
//	logger := log.NewLogger(log.Options{Level: event.LevelInfo, Format: settings.FormatJSON})
//	writer := eventlog.NewWriter(logger, eventlog.DefaultLinesPerSecond)
package log

import (
	"io"
	"log/slog"
	"os"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// Options configures a logger.
type Options struct {
	// Level is the lowest level that is written.
	Level event.Level
	// Format is the form of the lines.
	Format settings.Format
	// Instance and Zone are added to every line, each unless it is empty.
	Instance model.InstanceID
	Zone     model.ZoneID
	// Writer receives the lines; nil selects standard error.
	Writer io.Writer
}

// NewLogger returns a logger for options.
func NewLogger(options Options) logr.Logger {
	if options.Writer == nil {
		options.Writer = os.Stderr
	}
	handler := newHandler(options)
	if options.Instance != "" {
		handler = handler.WithAttrs([]slog.Attr{slog.String("instance", string(options.Instance))})
	}
	if options.Zone != "" {
		handler = handler.WithAttrs([]slog.Attr{slog.String("zone", string(options.Zone))})
	}
	return logr.FromSlogHandler(handler)
}

func newHandler(options Options) slog.Handler {
	handlerOptions := &slog.HandlerOptions{Level: levels[options.Level]}
	if options.Format == settings.FormatText {
		return slog.NewTextHandler(options.Writer, handlerOptions)
	}
	return slog.NewJSONHandler(options.Writer, handlerOptions)
}

// levels maps the levels of the catalogue to those of the log.
var levels = map[event.Level]slog.Level{
	event.LevelDebug: slog.LevelDebug,
	event.LevelInfo:  slog.LevelInfo,
	event.LevelWarn:  slog.LevelWarn,
	event.LevelError: slog.LevelError,
}

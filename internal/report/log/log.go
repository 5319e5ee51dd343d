// Package log builds the logger that the whole process writes through.
//
// # What flows in and out
//
// Log records flow in through logr. One line for each flows out, to standard
// error unless another writer is given, as JSON or as key=value text, with the
// instance and its availability zone on every line. Instances have no disks:
// whoever starts the process keeps the lines.
//
// Numbered events come in by package eventlog, which gives each its level;
// records below the level of the settings are dropped here.
//
// # Usage
//
//	logger := log.NewLogger(log.Options{Level: event.LevelInfo, Format: settings.FormatJSON})
//	writer := eventlog.NewWriter(logger, eventlog.DefaultLimit)
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

// Options tells what a logger writes, and where.
type Options struct {
	// Level is the lowest level that is written.
	Level event.Level
	// Format is the form of the lines.
	Format settings.Format
	// Instance and Zone stand on every line where they are not empty.
	Instance model.InstanceID
	Zone     model.ZoneID
	// Writer takes the lines; nil stands for standard error.
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
	handling := &slog.HandlerOptions{Level: levels[options.Level]}
	if options.Format == settings.FormatText {
		return slog.NewTextHandler(options.Writer, handling)
	}
	return slog.NewJSONHandler(options.Writer, handling)
}

// levels maps the levels of the catalogue to those of the log.
var levels = map[event.Level]slog.Level{
	event.LevelDebug: slog.LevelDebug,
	event.LevelInfo:  slog.LevelInfo,
	event.LevelWarn:  slog.LevelWarn,
	event.LevelError: slog.LevelError,
}

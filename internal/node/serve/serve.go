// Package serve puts one instance together and runs it.
//
// # What flows in and out
//
// Settings flow in. The parts are built by fx from them: the logger, the core's
// engine, an edge for each protocol, and the runner that carries events to the
// engine and its actions to the edges. Signals flow in: the first asks the
// engine to drain, the second ends the process at once. Run returns when the
// engine has left and every part has reported its end.
//
// Parts start in the order in which they need each other and end in the reverse
// order: the edge towards callers starts last, once the instance has somewhere
// to send their work, and ends first.
//
// # Usage
//
//	err := serve.Run(ctx, serve.Options{Settings: read, Version: "0.1.0"})
package serve

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// stopLimit bounds the end of all parts together.
const stopLimit = 10 * time.Second

// Options are what Run needs.
type Options struct {
	Settings *settings.Settings
	// Version goes into the log.
	Version string
	// Signals carries the signals that ask the process to end.
	Signals <-chan os.Signal
	// LogWriter takes the log lines; nil stands for standard error.
	LogWriter io.Writer
}

// Run runs an instance until it has drained, a part fails, a second signal
// comes or ctx ends.
func Run(ctx context.Context, options Options) error {
	relaxCollector()
	ends := make(chan partEnd, maxParts)
	var made assembly
	app := fx.New(
		fx.NopLogger,
		fx.Supply(options, options.Settings),
		fx.Provide(func() chan<- partEnd { return ends }),
		module,
		fx.Populate(&made),
	)
	if err := app.Start(ctx); err != nil {
		return &StartError{Cause: rootCause(err)}
	}
	made.noteStarted(options)
	failure := made.wait(ctx, options.Signals, ends)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	if err := app.Stop(stopping); err != nil && failure == nil {
		failure = &StopError{Cause: err}
	}
	made.note(event.InstanceStopped)
	return failure
}

// assembly is what Run itself uses of the parts.
type assembly struct {
	fx.In
	Sink   message.Sink
	Log    logr.Logger
	Events *eventlog.Writer
}

func (a *assembly) note(e event.Event, fields ...event.Field) {
	a.Events.Write(time.Now(), e, fields...)
}

func (a *assembly) noteStarted(options Options) {
	s := options.Settings
	a.note(event.InstanceStarted,
		event.F("version", options.Version),
		event.F("callers", s.Listen.Callers.String()),
		event.F("peers", s.Listen.Peers.String()),
		event.F("operators", s.Listen.Operators.String()),
		event.F("platform", s.Platform.URL.String()))
}

// wait returns when the instance shall stop: nil where it has drained.
func (a *assembly) wait(ctx context.Context, signals <-chan os.Signal, ends <-chan partEnd) error {
	draining := false
	for {
		select {
		case signal := <-signals:
			if draining {
				a.note(event.SignalCaught, event.F("signal", signal.String()), event.F("meaning", "end at once"))
				return &InterruptedError{Signal: signal}
			}
			draining = true
			a.note(event.SignalCaught, event.F("signal", signal.String()), event.F("meaning", "drain"))
			a.Sink.Post(message.DrainRequested{})
		case end := <-ends:
			if end.err != nil {
				a.note(event.PartFailed, event.F("part", end.name), event.F("error", end.err.Error()))
				return &ComponentError{Component: end.name, Cause: end.err}
			}
			if end.name == partRunner {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

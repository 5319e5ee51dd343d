// Package serve assembles the components of one instance and runs them.
//
// # What flows in and out
//
// Settings flow in. From them fx builds the components: the logger, the core
// engine, an edge for each protocol, and the runner that passes events to the
// engine and its actions to the edges. Signals flow in: the first asks the
// engine to drain, the second ends the process at once. Run returns when the
// engine has terminated and every component has reported its exit.
//
// Components start in the order of their dependencies and stop in the reverse
// order: the edge towards callers starts last, when the instance can forward
// their requests, and stops first.
//
// # Usage
//
//	err := serve.Run(ctx, serve.Options{Settings: parsed, Version: "0.1.0"})
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

// stopTimeout is the time within which all components together must stop.
const stopTimeout = 10 * time.Second

// Options holds the arguments of Run.
type Options struct {
	Settings *settings.Settings
	// Version is logged when the instance starts.
	Version string
	// Signals delivers the signals that ask the process to end.
	Signals <-chan os.Signal
	// LogWriter receives the log lines; nil selects standard error.
	LogWriter io.Writer
}

// Run runs an instance until it has drained, a component fails, a second signal
// arrives or ctx ends. It returns a *StartError, a *StopError, a *ComponentError
// or an *InterruptedError, and nil after a drain or when ctx ends.
func Run(ctx context.Context, options Options) error {
	setGCPercent()
	setMemoryLimit(options.Settings.Caller.MemoryBudget)
	exits := make(chan componentExit, maxComponents)
	var deps runDependencies
	app := fx.New(
		fx.NopLogger,
		fx.Supply(options, options.Settings),
		fx.Provide(func() chan<- componentExit { return exits }),
		module,
		fx.Populate(&deps),
	)
	if err := app.Start(ctx); err != nil {
		return &StartError{Cause: rootCause(err)}
	}
	deps.logStarted(options)
	runErr := deps.wait(ctx, options.Signals, exits)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil && runErr == nil {
		runErr = &StopError{Cause: err}
	}
	deps.logEvent(event.InstanceStopped)
	return runErr
}

// runDependencies holds the components that Run itself uses.
type runDependencies struct {
	fx.In
	Sink   message.Sink
	Log    logr.Logger
	Events *eventlog.Writer
}

func (a *runDependencies) logEvent(e event.Event, fields ...event.Field) {
	a.Events.Write(time.Now(), e, fields...)
}

func (a *runDependencies) logStarted(options Options) {
	s := options.Settings
	a.logEvent(event.InstanceStarted,
		event.F("version", options.Version),
		event.F("callers", s.Listen.Callers.String()),
		event.F("peers", s.Listen.Peers.String()),
		event.F("operators", s.Listen.Operators.String()),
		event.F("platform", s.Platform.URL.String()))
}

// wait returns when the instance must stop. The error is nil if the instance has
// drained or ctx has ended.
func (a *runDependencies) wait(ctx context.Context, signals <-chan os.Signal, exits <-chan componentExit) error {
	draining := false
	for {
		select {
		case signal := <-signals:
			if draining {
				a.logEvent(event.SignalCaught, event.F("signal", signal.String()), event.F("meaning", "end at once"))
				return &InterruptedError{Signal: signal}
			}
			draining = true
			a.logEvent(event.SignalCaught, event.F("signal", signal.String()), event.F("meaning", "drain"))
			a.Sink.Post(message.DrainRequested{})
		case exit := <-exits:
			if exit.err != nil {
				a.logEvent(event.PartFailed, event.F("part", exit.name), event.F("error", exit.err.Error()))
				return &ComponentError{Component: exit.name, Cause: exit.err}
			}
			if exit.name == componentRunner {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Package runner runs the core engine: it passes incoming events to the engine
// and dispatches the actions that the engine returns.
//
// # What flows in and out
//
// Events flow in by Post, from any goroutine. The loop steps the engine with all
// pending events as soon as one arrives, and at least once per
// Options.MaxStepInterval, so that the engine's timers run. The actions flow out
// to the action handlers, in order; LogEvent becomes a log line, and Terminate
// ends the loop.
//
// One goroutine at a time steps the engine: the core needs no locks, and its
// decisions depend only on the order of its events. That goroutine is the
// loop's, or the one that posts the event of a request while no step is running.
//
// # Usage
//
//	r := runner.NewRunner(engine, runner.Options{}, log)
//	databases := group.NewClient(options, r, log)
//	r.AddHandlers(databases.HandleAction)
//	ended := r.Start(ctx)
//	<-ended
package runner

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// defaultMaxStepInterval is the default of Options.MaxStepInterval.
	defaultMaxStepInterval = 5 * time.Millisecond
	// maxRetainedEvents is the largest capacity of an event slice that is reused;
	// a larger slice, left by a burst, is released.
	maxRetainedEvents = 4096
)

// Metrics of the loop.
var (
	stepCount   = expvar.NewInt("runner.steps")
	eventCount  = expvar.NewInt("runner.events")
	actionCount = expvar.NewInt("runner.actions")
	// stepTime is the time spent in the engine, in nanoseconds.
	stepTime = expvar.NewInt("runner.nanoseconds")
)

// -----------------------------------------------------------------------------
// The loop.

// Engine processes events and returns the actions to carry out. Step must not
// retain the slice of events, because the runner reuses it.
type Engine interface {
	Step(now time.Time, events []message.Event) []message.Action
}

// ActionHandler carries out an action and reports whether it handles actions of
// that type. It must not block.
type ActionHandler func(action message.Action) bool

// Options configures a Runner. A zero field selects its default.
type Options struct {
	// MaxStepInterval is the longest time between two steps.
	MaxStepInterval time.Duration
	// EventLinesPerSecond limits the log lines that one event may write per second.
	EventLinesPerSecond int
	// Now returns the current time.
	Now func() time.Time
}

// Runner steps an engine. It implements message.Sink.
type Runner struct {
	engine   Engine
	options  Options
	log      *eventlog.Writer
	handlers []ActionHandler
	done     chan struct{}
	// wake has a buffer of one; a value in it makes the loop handle the
	// pending events.
	wake chan struct{}

	mu      sync.Mutex
	pending []message.Event

	// stepMu is held by the goroutine that steps the engine. It guards the
	// fields below.
	stepMu  sync.Mutex
	running bool
	// spare is an empty slice that receives the next pending events.
	spare []message.Event
}

// NewRunner returns a runner of engine that passes its actions to handlers.
func NewRunner(engine Engine, options Options, log logr.Logger, handlers ...ActionHandler) *Runner {
	if options.MaxStepInterval == 0 {
		options.MaxStepInterval = defaultMaxStepInterval
	}
	if options.EventLinesPerSecond == 0 {
		options.EventLinesPerSecond = eventlog.DefaultLinesPerSecond
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Runner{
		engine:   engine,
		options:  options,
		log:      eventlog.NewWriter(log, options.EventLinesPerSecond),
		handlers: handlers,
		done:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
	}
}

// AddHandlers adds action handlers. Edges are added this way because they are
// created with the runner as their sink, so the runner exists before them.
// AddHandlers must be called before Start.
func (r *Runner) AddHandlers(handlers ...ActionHandler) { r.handlers = append(r.handlers, handlers...) }

// Post implements message.Sink. The event of a request steps the engine at once
// on the calling session's goroutine, unless another goroutine is stepping it.
// This saves a switch to the loop's goroutine and back. It cannot deadlock,
// because sessions hold no lock when they post.
func (r *Runner) Post(event message.Event) {
	r.mu.Lock()
	r.pending = append(r.pending, event)
	r.mu.Unlock()
	if isRequestEvent(event) && r.stepMu.TryLock() {
		wasRunning := r.running
		r.stepPending()
		r.stepMu.Unlock()
		if wasRunning {
			return
		}
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// isRequestEvent reports whether a caller is waiting for the effect of event.
func isRequestEvent(event message.Event) bool {
	switch event.(type) {
	case message.RequestArrived, message.AttemptEnded:
		return true
	}
	return false
}

// Done returns a channel that is closed when the engine has returned Terminate.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Start runs the loop in a new goroutine until ctx ends or the engine returns
// Terminate. The returned channel is closed when the loop has ended.
func (r *Runner) Start(ctx context.Context) <-chan error {
	ended := make(chan error)
	go func() {
		defer close(ended)
		r.run(ctx)
	}()
	return ended
}

func (r *Runner) run(ctx context.Context) {
	ticker := time.NewTicker(r.options.MaxStepInterval)
	defer ticker.Stop()
	defer r.disableSteps()
	r.enableSteps()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.done:
			return
		case <-r.wake:
		case <-ticker.C:
		}
		r.stepMu.Lock()
		r.stepPending()
		r.stepMu.Unlock()
	}
}

// enableSteps allows the loop and posting goroutines to step the engine.
func (r *Runner) enableSteps() {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	r.running = true
}

// disableSteps waits for a step in progress and prevents further ones.
func (r *Runner) disableSteps() {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	r.running = false
}

// stepPending steps the engine with all pending events. The caller holds stepMu.
func (r *Runner) stepPending() {
	if !r.running {
		return
	}
	events := r.takePending(r.spare)
	if r.step(events) {
		r.running = false
		close(r.done)
	}
	r.spare = recycle(events)
}

// takePending returns the pending events and replaces them by empty.
func (r *Runner) takePending(empty []message.Event) []message.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := r.pending
	r.pending = empty
	return events
}

// recycle clears a slice of events for reuse. It returns nil for a slice above
// maxRetainedEvents.
func recycle(events []message.Event) []message.Event {
	if cap(events) > maxRetainedEvents {
		return nil
	}
	clear(events)
	return events[:0]
}

// step steps the engine and dispatches its actions. It reports whether one of
// them was Terminate.
func (r *Runner) step(events []message.Event) bool {
	now := r.options.Now()
	actions := r.engine.Step(now, events)
	stepCount.Add(1)
	eventCount.Add(int64(len(events)))
	actionCount.Add(int64(len(actions)))
	stepTime.Add(int64(r.options.Now().Sub(now)))
	terminating := false
	for _, action := range actions {
		switch action := action.(type) {
		case message.LogEvent:
			r.log.Write(now, action.Event, action.Fields...)
		case message.IncrementCounter:
			incrementCounter(action)
		case message.Terminate:
			r.log.Write(now, event.RunnerStopped)
			terminating = true
		default:
			r.dispatch(now, action)
		}
	}
	r.log.Flush(now)
	return terminating
}

// counters holds the expvar maps that the core increments, by name. The core
// uses a small, fixed set of names.
var counters = struct {
	sync.Mutex
	maps map[string]*expvar.Map
}{maps: map[string]*expvar.Map{}}

// incrementCounter adds one to the counter that action names.
func incrementCounter(action message.IncrementCounter) {
	counters.Lock()
	counter, found := counters.maps[action.Name]
	if !found {
		counter = expvar.NewMap(action.Name)
		counters.maps[action.Name] = counter
	}
	counters.Unlock()
	counter.Add(action.Key, 1)
}

// dispatch passes an action to every handler, because some actions concern more
// than one edge. An action that no handler handles is logged.
func (r *Runner) dispatch(now time.Time, action message.Action) {
	handled := false
	for _, handler := range r.handlers {
		if handler(action) {
			handled = true
		}
	}
	if !handled {
		r.log.Write(now, event.ActionUnhandled, event.F("action", fmt.Sprintf("%T", action)))
	}
}

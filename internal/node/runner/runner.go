// Package runner owns the core: one loop that gives it what arrived and hands
// out what it wants done.
//
// # What flows in and out
//
// Events flow in by Post, from any goroutine. The loop steps the engine at
// once with all events that wait, and at least each Options.Tick, so that its
// timers run. The actions flow out to the attached edges, in order; Note
// becomes a log line, and Leave ends the loop.
//
// One goroutine at a time steps the engine: the core needs no locks, and what it
// decides depends on the order of its events only. That is the loop's goroutine,
// or the one that posts the event of a request while nobody else steps.
//
// # Usage
//
//	r := runner.NewRunner(engine, runner.Options{}, log)
//	databases := group.NewEdge(options, r, log)
//	r.Attach(databases.HandleAction)
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
	// defaultTick is the longest time between two steps.
	defaultTick = 5 * time.Millisecond
	// maxKept bounds the room for events that is kept after a burst.
	maxKept = 4096
)

// What the loop has done.
var (
	stepCount   = expvar.NewInt("runner.steps")
	eventCount  = expvar.NewInt("runner.events")
	actionCount = expvar.NewInt("runner.actions")
	// stepTime is the time spent in the engine, in nanoseconds.
	stepTime = expvar.NewInt("runner.nanoseconds")
)

// -----------------------------------------------------------------------------
// The loop.

// Engine decides. Step must not keep the slice of events, which is used again.
type Engine interface {
	Step(now time.Time, events []message.Event) []message.Action
}

// ActionHandler takes an action and reports whether it is one that it handles. It must
// not block.
type ActionHandler func(action message.Action) bool

// Options are the settings of a Runner. A zero value has the defaults.
type Options struct {
	// MaxStepInterval is the longest time between two steps.
	MaxStepInterval time.Duration
	// EventLinesPerSecond is the number of log lines that one event may write in a second.
	EventLinesPerSecond int
	// Now is the clock.
	Now func() time.Time
}

// Runner steps an engine. It implements message.Sink.
type Runner struct {
	engine  Engine
	options Options
	log     *eventlog.Writer
	acts    []ActionHandler
	left    chan struct{}
	// wake has room for one value: events wait.
	wake chan struct{}

	mu      sync.Mutex
	waiting []message.Event

	// stepping is held by the goroutine that steps the engine. It guards what
	// follows.
	stepping sync.Mutex
	running  bool
	// room is the room for the next events.
	room []message.Event
}

// NewRunner returns a runner of engine, with acts to hand its actions to.
func NewRunner(engine Engine, options Options, log logr.Logger, acts ...ActionHandler) *Runner {
	if options.MaxStepInterval == 0 {
		options.MaxStepInterval = defaultTick
	}
	if options.EventLinesPerSecond == 0 {
		options.EventLinesPerSecond = eventlog.DefaultLinesPerSecond
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Runner{
		engine:  engine,
		options: options,
		log:     eventlog.NewWriter(log, options.EventLinesPerSecond),
		acts:    acts,
		left:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// AddHandlers adds edges, which need the runner as their sink to be made. It must
// be called before Start.
func (r *Runner) AddHandlers(acts ...ActionHandler) { r.acts = append(r.acts, acts...) }

// Post implements message.Sink. The event of a request steps the engine at once
// on the goroutine of its session, unless another one is stepping it: that spares
// the way to the loop's goroutine and back. Sessions hold no lock when they post.
func (r *Runner) Post(event message.Event) {
	r.mu.Lock()
	r.waiting = append(r.waiting, event)
	r.mu.Unlock()
	if isOfRequest(event) && r.stepping.TryLock() {
		began := r.running
		r.turn()
		r.stepping.Unlock()
		if began {
			return
		}
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// isOfRequest reports whether the event is one that a caller waits for.
func isOfRequest(event message.Event) bool {
	switch event.(type) {
	case message.RequestArrived, message.AttemptEnded:
		return true
	}
	return false
}

// Done is closed when the core has said that the instance may end.
func (r *Runner) Done() <-chan struct{} { return r.left }

// Start runs the loop until ctx ends or the core leaves. The channel is closed
// at its end.
func (r *Runner) Start(ctx context.Context) <-chan error {
	over := make(chan error)
	go func() {
		defer close(over)
		r.run(ctx)
	}()
	return over
}

func (r *Runner) run(ctx context.Context) {
	ticker := time.NewTicker(r.options.MaxStepInterval)
	defer ticker.Stop()
	defer r.end()
	r.begin()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.left:
			return
		case <-r.wake:
		case <-ticker.C:
		}
		r.stepping.Lock()
		r.turn()
		r.stepping.Unlock()
	}
}

// begin lets posting goroutines step the engine.
func (r *Runner) begin() {
	r.stepping.Lock()
	defer r.stepping.Unlock()
	r.running = true
}

// end waits for a step in progress and allows no further one.
func (r *Runner) end() {
	r.stepping.Lock()
	defer r.stepping.Unlock()
	r.running = false
}

// turn steps the engine with all events that wait. The caller holds stepping.
func (r *Runner) turn() {
	if !r.running {
		return
	}
	events := r.take(r.room)
	if r.step(events) {
		r.running = false
		close(r.left)
	}
	r.room = recycle(events)
}

// take returns the events that wait and leaves room in their place.
func (r *Runner) take(room []message.Event) []message.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := r.waiting
	r.waiting = room
	return events
}

// recycle empties a slice of events for its next use.
func recycle(events []message.Event) []message.Event {
	if cap(events) > maxKept {
		return nil
	}
	clear(events)
	return events[:0]
}

// step steps the engine and hands out its actions. It reports whether the core
// leaves.
func (r *Runner) step(events []message.Event) bool {
	now := r.options.Now()
	actions := r.engine.Step(now, events)
	stepCount.Add(1)
	eventCount.Add(int64(len(events)))
	actionCount.Add(int64(len(actions)))
	stepTime.Add(int64(r.options.Now().Sub(now)))
	leaving := false
	for _, action := range actions {
		switch action := action.(type) {
		case message.LogEvent:
			r.log.Write(now, action.Event, action.Fields...)
		case message.IncrementCounter:
			count(action)
		case message.Terminate:
			r.log.Write(now, event.RunnerStopped)
			leaving = true
		default:
			r.hand(now, action)
		}
	}
	r.log.Flush(now)
	return leaving
}

// counters holds the maps that the core counts in. The core names few.
var counters = struct {
	sync.Mutex
	maps map[string]*expvar.Map
}{maps: map[string]*expvar.Map{}}

// count adds one to a counter of the core.
func count(action message.IncrementCounter) {
	counters.Lock()
	counted, found := counters.maps[action.Name]
	if !found {
		counted = expvar.NewMap(action.Name)
		counters.maps[action.Name] = counted
	}
	counters.Unlock()
	counted.Add(action.Key, 1)
}

// hand offers an action to every edge: some concern more than one.
func (r *Runner) hand(now time.Time, action message.Action) {
	handled := false
	for _, act := range r.acts {
		if act(action) {
			handled = true
		}
	}
	if !handled {
		r.log.Write(now, event.ActionUnhandled, event.F("action", fmt.Sprintf("%T", action)))
	}
}

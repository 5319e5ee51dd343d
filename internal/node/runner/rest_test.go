package runner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/node/runner"
)

// restingEngine is idle until a request arrives.
type restingEngine struct {
	busy  atomic.Bool
	ticks chan struct{}
	// drains tells of each DrainWanted.
	drains chan struct{}
}

// Step implements runner.Engine. It tells of steps without events.
func (e *restingEngine) Step(_ time.Time, events []message.Event) []message.Action {
	for _, incoming := range events {
		switch incoming.(type) {
		case message.RequestArrived:
			e.busy.Store(true)
		case message.DrainWanted:
			e.drains <- struct{}{}
		}
	}
	if len(events) == 0 && e.busy.Load() {
		select {
		case e.ticks <- struct{}{}:
		default:
		}
	}
	return nil
}

// IsIdle implements runner.Idler.
func (e *restingEngine) IsIdle() bool { return !e.busy.Load() }

// TestRequestEndsRest posts a request to a loop that rests for an hour: the loop
// ticks again at once. Where it does not, the test never ends.
func TestRequestEndsRest(*testing.T) {
	e := &restingEngine{ticks: make(chan struct{}, 1), drains: make(chan struct{})}
	r := runner.NewRunner(e, runner.Options{Tick: time.Millisecond, Rest: time.Hour}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	over := r.Start(ctx)
	// The second step begins once the first has set the loop to rest.
	for range 2 {
		r.Post(message.DrainWanted{})
		<-e.drains
	}
	r.Post(message.RequestArrived{Request: 1})
	const some = 3
	for range some {
		<-e.ticks
	}
	cancel()
	<-over
}

package runner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/node/runner"
)

// TestRequestEventsAreSteppedOnceAndSerially guards against lost events,
// duplicated events and concurrent steps. It posts the events of requests from
// many goroutines, and a handler posts further ones while the engine is stepped.
func TestRequestEventsAreSteppedOnceAndSerially(t *testing.T) {
	const posters, requestsPerPoster = 8, 200
	var running, overlaps atomic.Int32
	counts := map[message.Event]int{}
	allSeen := make(chan struct{})
	var r *runner.Runner
	r = runner.NewRunner(engineFunc(func(events []message.Event) []message.Action {
		if running.Add(1) > 1 {
			overlaps.Add(1)
		}
		defer running.Add(-1)
		var actions []message.Action
		for _, incoming := range events {
			counts[incoming]++
			if ended, ok := incoming.(message.AttemptEnded); ok {
				actions = append(actions, message.RefuseRequest{Request: ended.Request})
			}
		}
		if len(events) > 0 && len(counts) == 3*posters*requestsPerPoster {
			close(allSeen)
		}
		return actions
	}), runner.Options{MaxStepInterval: longInterval}, logr.Discard(), func(action message.Action) bool {
		r.Post(message.RequestCanceled{Request: action.(message.RefuseRequest).Request})
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := r.Start(ctx)
	var wg sync.WaitGroup
	for p := range posters {
		wg.Go(func() {
			for i := range requestsPerPoster {
				id := model.RequestID(p*requestsPerPoster + i + 1)
				r.Post(message.RequestArrived{Request: id})
				r.Post(message.AttemptEnded{Request: id})
			}
		})
	}
	wg.Wait()
	<-allSeen
	cancel()
	<-done
	for incoming, times := range counts {
		if times != 1 {
			t.Errorf("%v was stepped %d times, want 1", incoming, times)
		}
	}
	if diff := cmp.Diff(int32(0), overlaps.Load()); diff != "" {
		t.Error(diff)
	}
}

// TestNoStepAfterTheLoopEnds checks that the event of a request, which is stepped
// on the posting goroutine, does not step the engine after the loop has ended.
func TestNoStepAfterTheLoopEnds(t *testing.T) {
	var ended atomic.Bool
	r := runner.NewRunner(engineFunc(func([]message.Event) []message.Action {
		if ended.Load() {
			t.Error("the engine was stepped after the loop ended")
		}
		return nil
	}), runner.Options{MaxStepInterval: longInterval}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := r.Start(ctx)
	cancel()
	<-done
	ended.Store(true)
	r.Post(message.RequestArrived{Request: 1})
}

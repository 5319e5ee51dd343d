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

// TestRequestsAreSteppedOnceAndOneAtATime posts the events of requests from many
// goroutines, and lets an edge post further ones while the engine is stepped.
func TestRequestsAreSteppedOnceAndOneAtATime(t *testing.T) {
	const posters, each = 8, 200
	var inside, overlaps atomic.Int32
	seen := map[message.Event]int{}
	whole := make(chan struct{})
	var r *runner.Runner
	r = runner.NewRunner(engine(func(events []message.Event) []message.Action {
		if inside.Add(1) > 1 {
			overlaps.Add(1)
		}
		defer inside.Add(-1)
		var actions []message.Action
		for _, incoming := range events {
			seen[incoming]++
			if ended, ok := incoming.(message.AttemptEnded); ok {
				actions = append(actions, message.RefuseRequest{Request: ended.Request})
			}
		}
		if len(events) > 0 && len(seen) == 3*posters*each {
			close(whole)
		}
		return actions
	}), runner.Options{MaxStepInterval: long}, logr.Discard(), func(action message.Action) bool {
		r.Post(message.RequestCanceled{Request: action.(message.RefuseRequest).Request})
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	over := r.Start(ctx)
	var group sync.WaitGroup
	for p := range posters {
		group.Go(func() {
			for i := range each {
				id := model.RequestID(p*each + i + 1)
				r.Post(message.RequestArrived{Request: id})
				r.Post(message.AttemptEnded{Request: id})
			}
		})
	}
	group.Wait()
	<-whole
	cancel()
	<-over
	for incoming, times := range seen {
		if times != 1 {
			t.Errorf("%v was seen %d times", incoming, times)
		}
	}
	if diff := cmp.Diff(int32(0), overlaps.Load()); diff != "" {
		t.Error(diff)
	}
}

// TestNoStepAfterTheEnd posts the event of a request to a loop that has ended.
func TestNoStepAfterTheEnd(t *testing.T) {
	var ended atomic.Bool
	r := runner.NewRunner(engine(func([]message.Event) []message.Action {
		if ended.Load() {
			t.Error("stepped after the end")
		}
		return nil
	}), runner.Options{MaxStepInterval: long}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	over := r.Start(ctx)
	cancel()
	<-over
	ended.Store(true)
	r.Post(message.RequestArrived{Request: 1})
}

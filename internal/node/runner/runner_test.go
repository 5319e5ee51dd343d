package runner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/node/runner"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// long is a time that no passing test waits for.
const long = time.Hour

// engine decides by a function.
type engine func(events []message.Event) []message.Action

func (e engine) Step(_ time.Time, events []message.Event) []message.Action { return e(events) }

func closed(session uint64) message.Event {
	return message.SessionClosed{Session: model.SessionID(session)}
}

func TestEventsOfOneStepAreThoseThatWait(t *testing.T) {
	batches, proceed := make(chan []message.Event), make(chan struct{})
	r := runner.NewRunner(engine(func(events []message.Event) []message.Action {
		batches <- append([]message.Event(nil), events...)
		<-proceed
		return nil
	}), runner.Options{MaxStepInterval: long}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	over := r.Start(ctx)
	r.Post(closed(1))
	if diff := cmp.Diff([]message.Event{closed(1)}, <-batches); diff != "" {
		t.Error(diff)
	}
	r.Post(closed(2))
	r.Post(closed(3))
	proceed <- struct{}{}
	if diff := cmp.Diff([]message.Event{closed(2), closed(3)}, <-batches); diff != "" {
		t.Error(diff)
	}
	cancel()
	proceed <- struct{}{}
	<-over
}

func TestStepsWithoutEvents(t *testing.T) {
	steps := make(chan int, 1)
	r := runner.NewRunner(engine(func(events []message.Event) []message.Action {
		select {
		case steps <- len(events):
		default:
		}
		return nil
	}), runner.Options{MaxStepInterval: time.Millisecond}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	over := r.Start(ctx)
	for range 3 {
		if diff := cmp.Diff(0, <-steps); diff != "" {
			t.Error(diff)
		}
	}
	cancel()
	<-over
}

func TestActionsReachEveryEdgeUntilLeave(t *testing.T) {
	var first, second []message.Action
	note := event.Event{Number: 9981, Name: "noted"}
	before := eventlog.Count(note.Number)
	actions := []message.Action{
		message.Drain{},
		message.LogEvent{Event: note},
		message.SetDatabases{},
		message.Terminate{},
		message.SetPeers{},
	}
	r := runner.NewRunner(engine(func([]message.Event) []message.Action { return actions }),
		runner.Options{MaxStepInterval: long}, logr.Discard(),
		func(a message.Action) bool { first = append(first, a); return true })
	r.AddHandlers(func(a message.Action) bool {
		second = append(second, a)
		_, found := a.(message.SetDatabases)
		return found
	})
	over := r.Start(context.Background())
	r.Post(closed(1))
	<-r.Done()
	<-over
	want := []message.Action{message.Drain{}, message.SetDatabases{}, message.SetPeers{}}
	if diff := cmp.Diff(want, first); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(want, second); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(before+1, eventlog.Count(note.Number)); diff != "" {
		t.Errorf("notes: %s", diff)
	}
}

func TestUnhandledActionIsCounted(t *testing.T) {
	before := eventlog.Count(event.ActionUnhandled.Number)
	r := runner.NewRunner(engine(func([]message.Event) []message.Action {
		return []message.Action{message.Drain{}, message.Terminate{}}
	}), runner.Options{MaxStepInterval: long}, logr.Discard(), func(message.Action) bool { return false })
	over := r.Start(context.Background())
	r.Post(closed(1))
	<-over
	if diff := cmp.Diff(before+1, eventlog.Count(event.ActionUnhandled.Number)); diff != "" {
		t.Error(diff)
	}
}

func TestNoEventIsLostOrDoubled(t *testing.T) {
	const posters, each = 8, 2000
	seen := map[message.Event]int{}
	r := runner.NewRunner(engine(func(events []message.Event) []message.Action {
		for _, e := range events {
			seen[e]++
		}
		if len(seen) == posters*each {
			return []message.Action{message.Terminate{}}
		}
		return nil
	}), runner.Options{}, logr.Discard())
	over := r.Start(context.Background())
	var group sync.WaitGroup
	for p := range posters {
		group.Go(func() {
			for i := range each {
				r.Post(closed(uint64(p*each + i)))
			}
		})
	}
	group.Wait()
	<-over
	for e, times := range seen {
		if times != 1 {
			t.Errorf("%v was seen %d times", e, times)
		}
	}
}

// BenchmarkLoop measures one event from Post to an edge, alone and with many
// waiting.
func BenchmarkLoop(b *testing.B) {
	for _, c := range []struct {
		name  string
		burst int
	}{{"one", 1}, {"bursts of 64", 64}} {
		b.Run(c.name, func(b *testing.B) {
			handled := make(chan struct{}, c.burst)
			actions := make([]message.Action, 0, c.burst)
			r := runner.NewRunner(engine(func(events []message.Event) []message.Action {
				actions = actions[:0]
				for range events {
					actions = append(actions, message.Drain{})
				}
				return actions
			}), runner.Options{}, logr.Discard(), func(message.Action) bool { handled <- struct{}{}; return true })
			ctx, cancel := context.WithCancel(context.Background())
			over := r.Start(ctx)
			arrived := closed(1)
			b.ReportAllocs()
			for b.Loop() {
				for range c.burst {
					r.Post(arrived)
				}
				for range c.burst {
					<-handled
				}
			}
			cancel()
			<-over
		})
	}
}

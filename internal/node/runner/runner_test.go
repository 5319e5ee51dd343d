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

// longInterval is a step interval that does not elapse during a passing test.
const longInterval = time.Hour

// engineFunc implements runner.Engine by a function.
type engineFunc func(events []message.Event) []message.Action

func (e engineFunc) Step(_ time.Time, events []message.Event) []message.Action { return e(events) }

func sessionClosed(session uint64) message.Event {
	return message.SessionClosed{Session: model.SessionID(session)}
}

func TestStepReceivesAllPendingEvents(t *testing.T) {
	batches, proceed := make(chan []message.Event), make(chan struct{})
	r := runner.NewRunner(engineFunc(func(events []message.Event) []message.Action {
		batches <- append([]message.Event(nil), events...)
		<-proceed
		return nil
	}), runner.Options{MaxStepInterval: longInterval}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := r.Start(ctx)
	r.Post(sessionClosed(1))
	if diff := cmp.Diff([]message.Event{sessionClosed(1)}, <-batches); diff != "" {
		t.Error(diff)
	}
	r.Post(sessionClosed(2))
	r.Post(sessionClosed(3))
	proceed <- struct{}{}
	if diff := cmp.Diff([]message.Event{sessionClosed(2), sessionClosed(3)}, <-batches); diff != "" {
		t.Error(diff)
	}
	cancel()
	proceed <- struct{}{}
	<-done
}

func TestStepsWithoutEvents(t *testing.T) {
	steps := make(chan int, 1)
	r := runner.NewRunner(engineFunc(func(events []message.Event) []message.Action {
		select {
		case steps <- len(events):
		default:
		}
		return nil
	}), runner.Options{MaxStepInterval: time.Millisecond}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := r.Start(ctx)
	for range 3 {
		if diff := cmp.Diff(0, <-steps); diff != "" {
			t.Error(diff)
		}
	}
	cancel()
	<-done
}

func TestActionsReachEveryHandlerUntilTerminate(t *testing.T) {
	var first, second []message.Action
	logged := event.Event{Number: 9981, Name: "noted"}
	countBefore := eventlog.Count(logged.Number)
	actions := []message.Action{
		message.Drain{},
		message.LogEvent{Event: logged},
		message.SetDatabases{},
		message.Terminate{},
		message.SetPeers{},
	}
	r := runner.NewRunner(engineFunc(func([]message.Event) []message.Action { return actions }),
		runner.Options{MaxStepInterval: longInterval}, logr.Discard(),
		func(a message.Action) bool { first = append(first, a); return true })
	r.AddHandlers(func(a message.Action) bool {
		second = append(second, a)
		_, found := a.(message.SetDatabases)
		return found
	})
	done := r.Start(context.Background())
	r.Post(sessionClosed(1))
	<-r.Done()
	<-done
	want := []message.Action{message.Drain{}, message.SetDatabases{}, message.SetPeers{}}
	if diff := cmp.Diff(want, first); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(want, second); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(countBefore+1, eventlog.Count(logged.Number)); diff != "" {
		t.Errorf("logged events: %s", diff)
	}
}

func TestUnhandledActionIsCounted(t *testing.T) {
	countBefore := eventlog.Count(event.ActionUnhandled.Number)
	r := runner.NewRunner(engineFunc(func([]message.Event) []message.Action {
		return []message.Action{message.Drain{}, message.Terminate{}}
	}), runner.Options{MaxStepInterval: longInterval}, logr.Discard(), func(message.Action) bool { return false })
	done := r.Start(context.Background())
	r.Post(sessionClosed(1))
	<-done
	if diff := cmp.Diff(countBefore+1, eventlog.Count(event.ActionUnhandled.Number)); diff != "" {
		t.Error(diff)
	}
}

func TestNoEventIsLostOrDuplicated(t *testing.T) {
	const posters, eventsPerPoster = 8, 2000
	counts := map[message.Event]int{}
	r := runner.NewRunner(engineFunc(func(events []message.Event) []message.Action {
		for _, e := range events {
			counts[e]++
		}
		if len(counts) == posters*eventsPerPoster {
			return []message.Action{message.Terminate{}}
		}
		return nil
	}), runner.Options{}, logr.Discard())
	done := r.Start(context.Background())
	var wg sync.WaitGroup
	for p := range posters {
		wg.Go(func() {
			for i := range eventsPerPoster {
				r.Post(sessionClosed(uint64(p*eventsPerPoster + i)))
			}
		})
	}
	wg.Wait()
	<-done
	for e, times := range counts {
		if times != 1 {
			t.Errorf("%v was stepped %d times, want 1", e, times)
		}
	}
}

// BenchmarkLoop measures the way of one event from Post to an action handler,
// alone and in bursts.
func BenchmarkLoop(b *testing.B) {
	for _, c := range []struct {
		name  string
		burst int
	}{{"one", 1}, {"bursts of 64", 64}} {
		b.Run(c.name, func(b *testing.B) {
			handled := make(chan struct{}, c.burst)
			actions := make([]message.Action, 0, c.burst)
			r := runner.NewRunner(engineFunc(func(events []message.Event) []message.Action {
				actions = actions[:0]
				for range events {
					actions = append(actions, message.Drain{})
				}
				return actions
			}), runner.Options{}, logr.Discard(), func(message.Action) bool { handled <- struct{}{}; return true })
			ctx, cancel := context.WithCancel(context.Background())
			done := r.Start(ctx)
			arrived := sessionClosed(1)
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
			<-done
		})
	}
}

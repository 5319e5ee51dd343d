package engine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trigger is one fault of a schedule: which fault, when, and at which instance.
type trigger struct {
	Fault string
	At    time.Duration
	Node  int
}

// scheduleTime is the time during which requests are sent and faults are triggered.
const scheduleTime = 5 * time.Second

// drawTrigger draws a random fault of the matrix, other than none.
func drawTrigger(t *rapid.T) trigger {
	const step = 10 * time.Millisecond
	names := make([]string, 0, len(faults))
	for _, f := range faults[1:] {
		names = append(names, f.name)
	}
	return trigger{
		Fault: rapid.SampledFrom(names).Draw(t, "fault"),
		At:    time.Duration(rapid.IntRange(0, int(scheduleTime/step)).Draw(t, "at")) * step,
		Node:  rapid.IntRange(0, 2).Draw(t, "node"),
	}
}

// TestFaultSchedules triggers two to four faults at random times during mixed
// requests and transactions, and checks the history of all callers.
func TestFaultSchedules(t *testing.T) {
	schedules := rapid.SliceOfN(rapid.Custom(drawTrigger), 2, 4)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, 3)
		for _, s := range schedules.Draw(rt, "schedule") {
			w.after(s.At, func() { w.trigger(s) })
		}
		w.startTransactions(scheduleTime)
		w.mixedWork(scheduleTime)
		w.run(16 * time.Second)
		for _, problem := range w.violations() {
			rt.Error(problem)
		}
	})
}

// trigger triggers a fault at its instance or, if that has been killed, at the next
// one that is alive.
func (w *world) trigger(s trigger) {
	for i := range w.nodes {
		n := w.nodes[(s.Node+i)%len(w.nodes)]
		if n.dead {
			continue
		}
		for _, f := range faults {
			if f.name == s.Fault {
				f.trigger(w, n)
			}
		}
		return
	}
}

// startTransactions starts a transaction every 170 ms, through each instance in
// turn.
func (w *world) startTransactions(d time.Duration) {
	const pause = 170 * time.Millisecond
	for at := time.Duration(0); at < d; at += pause {
		n := w.nodes[int(at/pause)%len(w.nodes)]
		w.after(at, func() {
			if !n.dead && !n.drained && !n.paused {
				w.newTransaction(n, fmt.Sprintf("t%d", len(w.callers)))
			}
		})
	}
}

package engine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// strike is one fault of a schedule: which, when, and at which instance.
type strike struct {
	Fault string
	At    time.Duration
	Node  int
}

// scheduleTime is how long work is offered, and the time in which faults strike.
const scheduleTime = 5 * time.Second

// drawStrike draws one fault of the matrix.
func drawStrike(t *rapid.T) strike {
	const step = 10 * time.Millisecond
	names := make([]string, 0, len(faults))
	for _, f := range faults[1:] {
		names = append(names, f.name)
	}
	return strike{
		Fault: rapid.SampledFrom(names).Draw(t, "fault"),
		At:    time.Duration(rapid.IntRange(0, int(scheduleTime/step)).Draw(t, "at")) * step,
		Node:  rapid.IntRange(0, 2).Draw(t, "node"),
	}
}

// TestFaultSchedules lets two to four faults strike at random times beside
// mixed work, and checks the history of all callers.
func TestFaultSchedules(t *testing.T) {
	schedules := rapid.SliceOfN(rapid.Custom(drawStrike), 2, 4)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, 3)
		for _, s := range schedules.Draw(rt, "schedule") {
			w.after(s.At, func() { w.strike(s) })
		}
		w.transactSteadily(scheduleTime)
		w.mixedWork(scheduleTime)
		w.run(16 * time.Second)
		for _, problem := range w.violations() {
			rt.Error(problem)
		}
	})
}

// strike lets a fault happen at its instance, or, where that one is dead, at
// the next that lives.
func (w *world) strike(s strike) {
	for i := range w.nodes {
		n := w.nodes[(s.Node+i)%len(w.nodes)]
		if n.dead {
			continue
		}
		for _, f := range faults {
			if f.name == s.Fault {
				f.strike(w, n)
			}
		}
		return
	}
}

// transactSteadily begins a transaction through each instance in turn.
func (w *world) transactSteadily(d time.Duration) {
	const pause = 170 * time.Millisecond
	for at := time.Duration(0); at < d; at += pause {
		n := w.nodes[int(at/pause)%len(w.nodes)]
		w.after(at, func() {
			if !n.dead && !n.left && !n.paused {
				w.begin(n, fmt.Sprintf("t%d", len(w.callers)))
			}
		})
	}
}

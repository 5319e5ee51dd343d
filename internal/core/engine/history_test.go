package engine_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Requests.

// writeSteadily sends a write through each instance once every 10 ms.
func (w *world) writeSteadily(d time.Duration) {
	const pause = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		for _, n := range w.nodes {
			if !n.dead && !n.drained && !n.paused {
				w.newRequest(n, "post", fmt.Sprintf("v%d", len(w.callers)), model.Token{})
			}
			w.run(pause / time.Duration(len(w.nodes)))
		}
	}
}

// longestWriteGap returns the longest time between two successful ends of writes.
func (w *world) longestWriteGap() time.Duration {
	var ends []time.Time
	for _, c := range w.callers {
		if c.kind == "post" && c.result == resultDone {
			ends = append(ends, c.endedAt)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	longest := time.Duration(0)
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i].Sub(ends[i-1]))
	}
	return longest
}

// -----------------------------------------------------------------------------
// The history checker compares the results that callers got with the log that the
// group finally holds. It uses no state of an engine.

// checkHistory reports every violation in the history as a test error.
func (w *world) checkHistory() {
	w.t.Helper()
	for _, problem := range w.violations() {
		w.t.Error(problem)
	}
}

// violations returns the violations in the history of all callers.
func (w *world) violations() []string {
	heldCounts := map[string]int{}
	for _, e := range w.primary().log {
		if !e.neverCommitted {
			heldCounts[e.value]++
		}
	}
	var problems []string
	for _, c := range w.callers {
		problems = append(problems, w.callerViolations(c, heldCounts)...)
	}
	return problems
}

func (w *world) callerViolations(c *fakeCaller, heldCounts map[string]int) []string {
	var problems []string
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("%s %s via %s: ", c.kind, c.value, c.node.name)+fmt.Sprintf(format, args...))
	}
	if c.result == resultNone && !c.node.dead {
		report("never answered")
	}
	if c.kind == "post" {
		count := heldCounts[c.value]
		switch c.result {
		case resultDone, resultCommitted:
			if count != 1 {
				report("acknowledged, but held %d times", count)
			}
		case resultNotRun, resultFailed:
			if count != 0 {
				report("refused (%s), but held %d times", c.detail, count)
			}
		case resultUnknown, resultNone, resultConnectionLost:
			if count > 1 {
				report("held %d times", count)
			}
		}
		return problems
	}
	if c.result == resultDone {
		problems = append(problems, w.readViolations(c, heldCounts)...)
	}
	return problems
}

// readViolations returns the acknowledged writes that a read did not show although
// it had to, and the values that it showed although the group does not hold them.
func (w *world) readViolations(c *fakeCaller, heldCounts map[string]int) []string {
	var problems []string
	shown := map[string]bool{}
	for _, value := range c.returnedValues {
		shown[value] = true
		if heldCounts[value] == 0 {
			problems = append(problems, fmt.Sprintf("%s via %s showed %s, which was taken back", c.kind, c.node.name, value))
		}
	}
	cutoff := c.startedAt
	if c.kind == "pull" {
		cutoff = c.endedAt.Add(-2 * time.Second)
	}
	for _, write := range w.callers {
		if write.kind != "post" || write.result != resultDone || shown[write.value] {
			continue
		}
		if c.afterWrite != nil && write != c.afterWrite {
			continue
		}
		if write.endedAt.Before(cutoff) {
			problems = append(problems, fmt.Sprintf("%s via %s at %s did not show %s, acknowledged at %s",
				c.kind, c.node.name, c.startedAt.Format("05.000"), write.value, write.endedAt.Format("05.000")))
		}
	}
	return problems
}

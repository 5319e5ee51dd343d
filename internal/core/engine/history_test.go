package engine_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Work.

// writeSteadily sends a write through each instance in turn, every 10 ms.
func (w *world) writeSteadily(d time.Duration) {
	const pause = 10 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		for _, n := range w.nodes {
			if !n.dead && !n.left && !n.paused {
				w.call(n, "post", fmt.Sprintf("v%d", len(w.callers)), model.Token{})
			}
			w.run(pause / time.Duration(len(w.nodes)))
		}
	}
}

// gap is the longest time between two successful ends of writes.
func (w *world) gap() time.Duration {
	var ends []time.Time
	for _, c := range w.callers {
		if c.kind == "post" && c.result == resultDone {
			ends = append(ends, c.ended)
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
// The history checker: what callers saw against what the group finally holds.
// It never looks at an engine's opinion.

// check reports every broken promise of the history.
func (w *world) check() {
	w.t.Helper()
	for _, problem := range w.violations() {
		w.t.Error(problem)
	}
}

// violations lists broken promises.
func (w *world) violations() []string {
	held := map[string]int{}
	for _, e := range w.primary().log {
		if !e.never {
			held[e.value]++
		}
	}
	var problems []string
	for _, c := range w.callers {
		problems = append(problems, w.violationsOf(c, held)...)
	}
	return problems
}

func (w *world) violationsOf(c *fakeCaller, held map[string]int) []string {
	var problems []string
	add := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("%s %s via %s: ", c.kind, c.value, c.node.name)+fmt.Sprintf(format, args...))
	}
	if c.result == resultNone && !c.node.dead {
		add("never answered")
	}
	if c.kind == "post" {
		count := held[c.value]
		switch c.result {
		case resultDone, resultCommitted:
			if count != 1 {
				add("acknowledged, but held %d times", count)
			}
		case resultNotRun, resultFailed:
			if count != 0 {
				add("refused (%s), but held %d times", c.why, count)
			}
		case resultUnknown, resultNone, resultCut:
			if count > 1 {
				add("held %d times", count)
			}
		}
		return problems
	}
	if c.result == resultDone {
		problems = append(problems, w.staleOf(c, held)...)
	}
	return problems
}

// staleOf reports acknowledged writes that a read had to show but did not, and
// values that it showed although the group does not hold them.
func (w *world) staleOf(c *fakeCaller, held map[string]int) []string {
	var problems []string
	shown := map[string]bool{}
	for _, value := range c.saw {
		shown[value] = true
		if held[value] == 0 {
			problems = append(problems, fmt.Sprintf("%s via %s showed %s, which was taken back", c.kind, c.node.name, value))
		}
	}
	bound := c.began
	if c.kind == "pull" {
		bound = c.ended.Add(-2 * time.Second)
	}
	for _, other := range w.callers {
		if other.kind != "post" || other.result != resultDone || shown[other.value] {
			continue
		}
		if c.after != nil && other != c.after {
			continue
		}
		if other.ended.Before(bound) {
			problems = append(problems, fmt.Sprintf("%s via %s at %s did not show %s, acknowledged at %s",
				c.kind, c.node.name, c.began.Format("05.000"), other.value, other.ended.Format("05.000")))
		}
	}
	return problems
}

package rank

import (
	"container/heap"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// item is one work that the scheduler holds, waiting or running.
type item struct {
	work Work
	// cost is the slot-time that the work is expected to take.
	cost time.Duration
	// target is when the answer loses a part of its worth; class says whether
	// it is expected to be met.
	target time.Time
	class  class
	// mask names the databases that may serve the work, by their index in the
	// group, as of the last look.
	mask uint64
	// line is where the work waits; nil while it is not classified or runs.
	line   *line
	index  int
	expiry int
	// bucket is where the backlog counts the work.
	bucket  int
	waiting bool
	// started and database are set while the work runs.
	started  time.Time
	database *database
}

// before reports whether i is served before j inside a rank: the earliest
// deadline first, ties by arrival.
func (i *item) before(j *item) bool {
	if !i.work.Deadline.Equal(j.work.Deadline) {
		return i.work.Deadline.Before(j.work.Deadline)
	}
	if !i.work.Arrived.Equal(j.work.Arrived) {
		return i.work.Arrived.Before(j.work.Arrived)
	}
	return i.work.Request < j.work.Request
}

// class parts the work of a rank. Work that can no longer be answered inside
// its target is served after all that can be: in a long flood a queue in order
// of arrival would make every answer late.
type class int

// The values of class.
const (
	// classPrompt is work that is expected inside its target.
	classPrompt class = iota
	// classLate is work that is expected inside its deadline only.
	classLate
	classes
)

// -----------------------------------------------------------------------------
// The line of one caller.

// line holds the waiting work of one caller in one lane, as a heap by deadline.
type line struct {
	caller *caller
	lane   *lane
	items  []*item
	index  int
}

// Len implements heap.Interface.
func (l *line) Len() int { return len(l.items) }

// Less implements heap.Interface.
func (l *line) Less(i, j int) bool { return l.items[i].before(l.items[j]) }

// Swap implements heap.Interface.
func (l *line) Swap(i, j int) {
	l.items[i], l.items[j] = l.items[j], l.items[i]
	l.items[i].index = i
	l.items[j].index = j
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	it := x.(*item)
	it.index = len(l.items)
	it.line = l
	l.items = append(l.items, it)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	last := len(l.items) - 1
	it := l.items[last]
	l.items[last] = nil
	l.items = l.items[:last]
	it.line = nil
	return it
}

// -----------------------------------------------------------------------------
// The lane of one set of databases.

// lane holds the waiting work that the same databases may serve, as a heap of
// callers' lines by the deadline of their heads. The index by set of databases
// lets a full database block only the work that needs it.
type lane struct {
	mask  uint64
	class class
	lines []*line
	// waiting counts the items in all lines.
	waiting int
	by      map[model.CallerID]*line
}

func newLane(mask uint64, c class) *lane {
	return &lane{mask: mask, class: c, by: map[model.CallerID]*line{}}
}

// Len implements heap.Interface.
func (l *lane) Len() int { return len(l.lines) }

// Less implements heap.Interface.
func (l *lane) Less(i, j int) bool { return l.lines[i].items[0].before(l.lines[j].items[0]) }

// Swap implements heap.Interface.
func (l *lane) Swap(i, j int) {
	l.lines[i], l.lines[j] = l.lines[j], l.lines[i]
	l.lines[i].index = i
	l.lines[j].index = j
}

// Push implements heap.Interface.
func (l *lane) Push(x any) {
	added := x.(*line)
	added.index = len(l.lines)
	l.lines = append(l.lines, added)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	last := len(l.lines) - 1
	gone := l.lines[last]
	l.lines[last] = nil
	l.lines = l.lines[:last]
	return gone
}

// add puts a waiting item into the line of its caller.
func (l *lane) add(it *item, of *caller) {
	l.waiting++
	known := l.by[it.work.Caller]
	if known == nil {
		known = &line{caller: of, lane: l, items: []*item{it}}
		it.line, it.index = known, 0
		l.by[it.work.Caller] = known
		heap.Push(l, known)
		return
	}
	heap.Push(known, it)
	heap.Fix(l, known.index)
}

// remove takes an item out of its line.
func (l *lane) remove(it *item) {
	from := it.line
	l.waiting--
	heap.Remove(from, it.index)
	if from.Len() == 0 {
		heap.Remove(l, from.index)
		delete(l.by, it.work.Caller)
		return
	}
	heap.Fix(l, from.index)
}

// head returns the work to serve next: the earliest deadline, but a caller
// that holds more than its share gives way to the others. At most one caller
// can be above callerShare, so that two heads need a look.
func (l *lane) head(now time.Time, total float64) *item {
	if len(l.lines) == 0 {
		return nil
	}
	first := l.lines[0]
	if len(l.lines) == 1 || first.caller.usage.at(now) <= callerShare*total {
		return first.items[0]
	}
	second := l.lines[1]
	if len(l.lines) > 2 && l.Less(2, 1) {
		second = l.lines[2]
	}
	return second.items[0]
}

// -----------------------------------------------------------------------------
// The deadlines of all that wait.

// deadlines is a heap of waiting items by deadline.
type deadlines []*item

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].before(d[j]) }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].expiry = i
	d[j].expiry = j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	it := x.(*item)
	it.expiry = len(*d)
	*d = append(*d, it)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	it := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return it
}

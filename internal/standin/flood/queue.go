package flood

import (
	"time"
)

// -----------------------------------------------------------------------------
// Virtual time.

// event is something that happens at a moment.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	(*a)[last] = event{}
	*a = (*a)[:last]
	return e
}

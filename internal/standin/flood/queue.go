package flood

import (
	"time"
)

// -----------------------------------------------------------------------------
// Virtual time.

// event is a function that runs at a moment of virtual time. Events at the same
// moment run in the order in which they were scheduled.
type event struct {
	dueAt    time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool {
	if a[i].dueAt != a[j].dueAt {
		return a[i].dueAt < a[j].dueAt
	}
	return a[i].sequence < a[j].sequence
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

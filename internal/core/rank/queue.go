package rank

import (
	"container/heap"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// item is one request that the scheduler holds, waiting or running.
type item struct {
	work Work
	// cost is the slot-time that the request is expected to take.
	cost time.Duration
	// target is the time after which the answer loses a part of its value, or
	// zero; class says whether the request is expected to end before it.
	target time.Time
	class  class
	// mask is the set of databases that may serve the request, as of the last
	// lookup of its candidates. Each bit is the index of a database in the
	// group.
	mask uint64
	// callerQueue is where the request waits, or nil while it is not classified
	// or runs. index is its position there, expiry its position in
	// Scheduler.expiry.
	callerQueue *callerQueue
	index       int
	expiry      int
	// bucket is the bucket of the backlog that counts the request.
	bucket  int
	waiting bool
	// started and database are set when the request starts.
	started  time.Time
	database *database
}

// before reports whether i is served before j within a rank: the earliest
// deadline first, then the earliest arrival.
func (i *item) before(j *item) bool {
	if !i.work.Deadline.Equal(j.work.Deadline) {
		return i.work.Deadline.Before(j.work.Deadline)
	}
	if !i.work.Arrived.Equal(j.work.Arrived) {
		return i.work.Arrived.Before(j.work.Arrived)
	}
	return i.work.Request < j.work.Request
}

// class divides the requests of a rank. Requests that can no longer be answered
// within their latency target are served after all that can be: in a long
// flood, a queue in order of arrival would make every answer late.
type class int

// Values of class.
const (
	// classOnTime is a request that is expected to end within its target, or
	// that has no target.
	classOnTime class = iota
	// classLate is a request that is expected to end within its deadline only.
	classLate
	classCount
)

// -----------------------------------------------------------------------------
// Waiting requests of one caller.

// callerQueue holds the waiting requests of one caller in one candidate queue,
// as a heap by deadline.
type callerQueue struct {
	caller         *caller
	candidateQueue *candidateQueue
	items          []*item
	index          int
}

// Len implements heap.Interface.
func (q *callerQueue) Len() int { return len(q.items) }

// Less implements heap.Interface.
func (q *callerQueue) Less(i, j int) bool { return q.items[i].before(q.items[j]) }

// Swap implements heap.Interface.
func (q *callerQueue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].index = i
	q.items[j].index = j
}

// Push implements heap.Interface.
func (q *callerQueue) Push(x any) {
	it := x.(*item)
	it.index = len(q.items)
	it.callerQueue = q
	q.items = append(q.items, it)
}

// Pop implements heap.Interface.
func (q *callerQueue) Pop() any {
	last := len(q.items) - 1
	it := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	it.callerQueue = nil
	return it
}

// -----------------------------------------------------------------------------
// Waiting requests with the same candidates.

// candidateQueue holds the waiting requests of one class that the same set of
// databases may serve, as a heap of caller queues by the deadline of their
// first requests. Because of the division by set of databases, a database
// without free slots blocks only the requests that need it.
type candidateQueue struct {
	mask         uint64
	class        class
	callerQueues []*callerQueue
	// waiting is the number of items in all caller queues.
	waiting  int
	byCaller map[model.CallerID]*callerQueue
}

func newCandidateQueue(mask uint64, c class) *candidateQueue {
	return &candidateQueue{mask: mask, class: c, byCaller: map[model.CallerID]*callerQueue{}}
}

// Len implements heap.Interface.
func (q *candidateQueue) Len() int { return len(q.callerQueues) }

// Less implements heap.Interface.
func (q *candidateQueue) Less(i, j int) bool {
	return q.callerQueues[i].items[0].before(q.callerQueues[j].items[0])
}

// Swap implements heap.Interface.
func (q *candidateQueue) Swap(i, j int) {
	q.callerQueues[i], q.callerQueues[j] = q.callerQueues[j], q.callerQueues[i]
	q.callerQueues[i].index = i
	q.callerQueues[j].index = j
}

// Push implements heap.Interface.
func (q *candidateQueue) Push(x any) {
	added := x.(*callerQueue)
	added.index = len(q.callerQueues)
	q.callerQueues = append(q.callerQueues, added)
}

// Pop implements heap.Interface.
func (q *candidateQueue) Pop() any {
	last := len(q.callerQueues) - 1
	removed := q.callerQueues[last]
	q.callerQueues[last] = nil
	q.callerQueues = q.callerQueues[:last]
	return removed
}

// add adds a waiting item to the queue of its caller.
func (q *candidateQueue) add(it *item, owner *caller) {
	q.waiting++
	existing := q.byCaller[it.work.Caller]
	if existing == nil {
		existing = &callerQueue{caller: owner, candidateQueue: q, items: []*item{it}}
		it.callerQueue, it.index = existing, 0
		q.byCaller[it.work.Caller] = existing
		heap.Push(q, existing)
		return
	}
	heap.Push(existing, it)
	heap.Fix(q, existing.index)
}

// remove removes an item from the queue of its caller.
func (q *candidateQueue) remove(it *item) {
	from := it.callerQueue
	q.waiting--
	heap.Remove(from, it.index)
	if from.Len() == 0 {
		heap.Remove(q, from.index)
		delete(q.byCaller, it.work.Caller)
		return
	}
	heap.Fix(q, from.index)
}

// next returns the request to serve next, or nil: the earliest deadline, except
// that a caller that used more than maxCallerShare of the rank's slot-time is
// passed over if others wait. At most one caller can be above that share, so
// only the first two caller queues are compared.
func (q *candidateQueue) next(now time.Time, rankTotal float64) *item {
	if len(q.callerQueues) == 0 {
		return nil
	}
	first := q.callerQueues[0]
	if len(q.callerQueues) == 1 || first.caller.usage.amountAt(now) <= maxCallerShare*rankTotal {
		return first.items[0]
	}
	second := q.callerQueues[1]
	if len(q.callerQueues) > 2 && q.Less(2, 1) {
		second = q.callerQueues[2]
	}
	return second.items[0]
}

// -----------------------------------------------------------------------------
// Waiting requests by deadline.

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

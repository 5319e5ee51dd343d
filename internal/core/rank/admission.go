package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Bounds of admission.
const (
	// queueLength is the number of requests of one rank that wait for one
	// group.
	queueLength = 4096
	// queueBytes is the memory that the requests of one rank may hold while
	// they wait for one group.
	queueBytes = 8 << 20
	// defaultCost is the slot-time of a kind that was not measured yet.
	defaultCost = 10 * time.Millisecond
	// costWeight is the weight of the newest sample in a kind's mean.
	costWeight = 0.1
	// costFades is the idle time after which half of a kind's mean is
	// forgotten, so that a kind that became too slow to be admitted is tried
	// again.
	costFades = 5 * time.Second
	// defaultWidth is the width of a backlog's buckets in a rank without
	// kinds.
	defaultWidth = 50 * time.Millisecond
	// minAgain and maxAgain bound the hint when to come again.
	minAgain = 10 * time.Millisecond
	maxAgain = 5 * time.Second
	// againSpread is the number of steps over which hints are spread, so that
	// those refused together do not return together.
	againSpread = 8
)

// accesses is the number of values of model.Access.
const accesses = 2

// -----------------------------------------------------------------------------
// Service times by kind.

// kind is what is known of one kind of work.
type kind struct {
	access model.Access
	mean   time.Duration
	since  time.Time
}

// measure takes in the slot-time of one work.
func (k *kind) measure(now time.Time, took time.Duration) {
	if k.mean == 0 {
		k.mean = took
	}
	k.mean += time.Duration(costWeight * float64(took-k.mean))
	k.since = now
}

// cost returns the slot-time that a work of this kind is expected to take.
func (k *kind) cost(now time.Time) time.Duration {
	if k.mean == 0 {
		return defaultCost
	}
	return k.mean >> min(uint(now.Sub(k.since)/costFades), 30)
}

// -----------------------------------------------------------------------------
// The work that waits, by deadline.

// bucketCount is the number of buckets of a backlog.
const bucketCount = 64

// backlog sums the slot-time of waiting work by deadline, in buckets of one
// width, so that the work before a newcomer is found without a scan.
type backlog struct {
	width   time.Duration
	buckets [bucketCount]time.Duration
}

// span returns the bucket numbers of now and of a deadline, the latter not
// beyond the last bucket.
func (b *backlog) span(now, deadline time.Time) (from, to int64) {
	from = now.UnixNano() / int64(b.width)
	to = deadline.UnixNano() / int64(b.width)
	return from, min(max(to, from), from+bucketCount-1)
}

// add counts an item.
func (b *backlog) add(now time.Time, it *item) {
	_, to := b.span(now, it.work.Deadline)
	it.bucket = int(to % bucketCount)
	b.buckets[it.bucket] += it.cost
}

// remove ends what add began.
func (b *backlog) remove(it *item) { b.buckets[it.bucket] -= it.cost }

// ahead returns the slot-time of the work whose deadline is not after deadline.
func (b *backlog) ahead(now, deadline time.Time) time.Duration {
	from, to := b.span(now, deadline)
	sum := time.Duration(0)
	for i := from; i <= to; i++ {
		sum += b.buckets[i%bucketCount]
	}
	return sum
}

// total returns the slot-time of all waiting work.
func (b *backlog) total() time.Duration {
	sum := time.Duration(0)
	for _, cost := range b.buckets {
		sum += cost
	}
	return sum
}

// -----------------------------------------------------------------------------
// Prompt and late work.

// isLate reports whether the work is no longer expected inside its target.
func (i *item) isLate(now time.Time) bool {
	return !i.target.IsZero() && now.Add(i.cost).After(i.target)
}

// promptPart is the part of the target that the expected wait may fill, so that
// what is admitted as prompt mostly is.
const promptPart = 0.7

// -----------------------------------------------------------------------------
// The door.

// refuse counts and returns a refusal.
func (q *queue) refuse(why message.RefusalReason, again time.Duration, detail string) (Refusal, bool) {
	q.count.refused[why]++
	return Refusal{Reason: why, RetryAfter: again, Detail: detail}, false
}

// admit decides whether an item is taken in, and as which class.
func (s *Scheduler) admit(now time.Time, g *group, q *queue, it *item) (Refusal, bool) {
	work := &it.work
	if !now.Before(work.Deadline) {
		return q.refuse(message.RefuseDeadline, 0, "deadline has passed")
	}
	if q.waiting >= queueLength || q.bytes+work.Bytes > queueBytes {
		return q.refuse(message.RefuseOverload, s.again(work, maxAgain), "queue is full")
	}
	if q.caller(work.Caller).waiting >= queueLength-q.waiting {
		return q.refuse(message.RefuseOverload, s.again(work, maxAgain), "caller holds its share of the queue")
	}
	ahead := s.ahead(now, g, q, work)
	if target := s.target(q.rank); target > 0 {
		it.target = work.Arrived.Add(target)
		room := time.Duration(promptPart * float64(it.target.Sub(now)))
		if ahead.prompt+it.cost <= room {
			return Refusal{}, true
		}
		it.class = classLate
	}
	if late := now.Add(ahead.late + it.cost).Sub(work.Deadline); late > 0 {
		return q.refuse(message.RefuseOverload, s.again(work, min(late, ahead.prompt)), "can't be in time")
	}
	return Refusal{}, true
}

// again returns the hint when to come again.
func (s *Scheduler) again(work *Work, after time.Duration) time.Duration {
	after = min(max(after, minAgain), maxAgain)
	step := time.Duration(uint64(work.Request) % againSpread)
	return after + after*step/againSpread
}

// waits are the times that work is expected to wait for its slot, by class.
type waits struct{ prompt, late time.Duration }

// ahead estimates how long work waits for its slot, given what is before it and
// the rate at which the rank is served. The rank is served in two ways, of which
// the faster counts: after all work of more urgent ranks, with the slots that
// those leave; or by its floor and what it used lately, whatever waits in other
// ranks. Late work is served at the rate that prompt work leaves.
func (s *Scheduler) ahead(now time.Time, g *group, q *queue, work *Work) waits {
	g.fade(now)
	a := s.access(work.Kind)
	slots := s.slotsOf(g, a)
	prompt := q.backlog[a][classPrompt].ahead(now, work.Deadline)
	late := prompt + q.backlog[a][classLate].ahead(now, work.Deadline)
	before, left := time.Duration(0), slots
	for _, other := range g.queues[:q.rank] {
		before += other.backlog[a][classPrompt].total()
		left -= other.drained(a)
	}
	kept := max(s.floors[q.rank]*slots, q.drained(a))
	used := q.drain[a][classPrompt] / window.Seconds()
	return waits{
		prompt: min(waitFor(before+prompt, left), waitFor(prompt, kept)),
		late:   min(waitFor(before+late, left-used), waitFor(late, kept-used)),
	}
}

// drained returns the slots that the rank used on average over the window.
func (q *queue) drained(a model.Access) float64 {
	return (q.drain[a][classPrompt] + q.drain[a][classLate]) / window.Seconds()
}

// waitFor returns the time in which a backlog is served at a rate of slots.
func waitFor(backlog time.Duration, rate float64) time.Duration {
	const forever = time.Hour
	if rate <= 0 {
		return forever
	}
	return min(time.Duration(float64(backlog)/rate), forever)
}

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
// Standing queues.

// standing tells a burst, which a queue absorbs, from overload, in which a long
// queue only makes every answer late.
type standing struct {
	late  bool
	since time.Time
}

// note takes in how long a work waited for its slot.
func (s *standing) note(now time.Time, waited, target time.Duration) {
	late := target > 0 && waited > target/2
	if late && !s.late {
		s.since = now
	}
	s.late = late
}

// isOverload reports whether waits have been long for more than the target.
func (s *standing) isOverload(now time.Time, target time.Duration) bool {
	return s.late && now.Sub(s.since) > target
}

// -----------------------------------------------------------------------------
// The door.

// refuse counts and returns a refusal.
func (q *queue) refuse(why message.RefuseWhy, again time.Duration, detail string) (Refusal, bool) {
	q.count.refused[why]++
	return Refusal{Why: why, Again: again, Detail: detail}, false
}

// admit decides whether work of an expected cost is taken in.
func (s *Scheduler) admit(now time.Time, g *group, q *queue, work *Work, cost time.Duration) (Refusal, bool) {
	if !now.Before(work.Deadline) {
		return q.refuse(message.RefuseDeadline, 0, "deadline has passed")
	}
	if q.waiting >= queueLength || q.bytes+work.Bytes > queueBytes {
		return q.refuse(message.RefuseOverload, s.again(work, q.wait(s, now, g, work)), "queue is full")
	}
	if q.caller(work.Caller).waiting >= queueLength-q.waiting {
		return q.refuse(message.RefuseOverload, s.again(work, q.wait(s, now, g, work)), "caller holds its share of the queue")
	}
	bound := work.Deadline
	target := s.target(q.rank)
	if soon := work.Arrived.Add(target); target > 0 && soon.Before(bound) && q.standing.isOverload(now, target) {
		bound = soon
	}
	wait := q.wait(s, now, g, work)
	if late := now.Add(wait + cost).Sub(bound); late > 0 {
		return q.refuse(message.RefuseOverload, s.again(work, late), "can't be in time")
	}
	return Refusal{}, true
}

// again returns the hint when to come again.
func (s *Scheduler) again(work *Work, after time.Duration) time.Duration {
	after = min(max(after, minAgain), maxAgain)
	step := time.Duration(uint64(work.Request) % againSpread)
	return after + after*step/againSpread
}

// wait estimates how long work waits for its slot, given what is before it and
// the rate at which the rank is served.
func (q *queue) wait(s *Scheduler, now time.Time, g *group, work *Work) time.Duration {
	a := s.access(work.Kind)
	slots := s.slotsOf(now, g, a)
	ahead := q.backlog[a].ahead(now, work.Deadline)
	left := slots
	for _, other := range g.queues[:q.rank] {
		ahead += other.backlog[a].total()
		left -= other.drain[a].at(now) / window.Seconds()
	}
	rate := max(left, s.floors[q.rank]*slots, q.drain[a].at(now)/window.Seconds())
	if rate <= 0 {
		return maxAgain
	}
	return time.Duration(float64(ahead) / rate)
}

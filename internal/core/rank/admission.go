package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Constants of admission control.
const (
	// maxQueueLength is the maximum number of requests of one rank that wait
	// for one group.
	maxQueueLength = 4096
	// maxQueueBytes is the maximum memory, in bytes, that the requests of one
	// rank hold while they wait for one group.
	maxQueueBytes = 8 << 20
	// defaultCost is the expected slot-time of a request kind without
	// measurements.
	defaultCost = 10 * time.Millisecond
	// costSampleWeight is the weight of the newest sample in a kind's mean
	// slot-time.
	costSampleWeight = 0.1
	// costHalfLife is the time without samples after which a kind's mean
	// slot-time is halved, so that a kind that became too slow to be admitted
	// is tried again.
	costHalfLife = 5 * time.Second
	// defaultBucketWidth is the width of a backlog's buckets for a rank to
	// which the manifest assigns no kinds.
	defaultBucketWidth = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfter before it is
	// spread.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryAfterSteps is the number of steps over which Refusal.RetryAfter is
	// spread, so that requests that are rejected together do not return
	// together.
	retryAfterSteps = 8
)

// accessCount is the number of values of model.Access.
const accessCount = 2

// -----------------------------------------------------------------------------
// Service times by kind.

// requestKind holds the access and the measured slot-time of one request kind.
type requestKind struct {
	access       model.Access
	meanSlotTime time.Duration
	measuredAt   time.Time
}

// recordSlotTime adds the slot-time of one request to the mean.
func (k *requestKind) recordSlotTime(now time.Time, slotTime time.Duration) {
	if k.meanSlotTime == 0 {
		k.meanSlotTime = slotTime
	}
	k.meanSlotTime += time.Duration(costSampleWeight * float64(slotTime-k.meanSlotTime))
	k.measuredAt = now
}

// cost returns the slot-time that a request of this kind is expected to take.
func (k *requestKind) cost(now time.Time) time.Duration {
	if k.meanSlotTime == 0 {
		return defaultCost
	}
	return k.meanSlotTime >> min(uint(now.Sub(k.measuredAt)/costHalfLife), 30)
}

// -----------------------------------------------------------------------------
// Waiting requests by deadline.

// bucketCount is the number of buckets of a backlog.
const bucketCount = 64

// backlog sums the expected slot-time of waiting requests in buckets of equal
// width by deadline, so that the work ahead of a new request is found without a
// scan of the queue.
type backlog struct {
	bucketWidth time.Duration
	buckets     [bucketCount]time.Duration
}

// bucketRange returns the bucket numbers of now and of deadline. Deadlines
// beyond the last bucket fall into the last bucket.
func (b *backlog) bucketRange(now, deadline time.Time) (from, to int64) {
	from = now.UnixNano() / int64(b.bucketWidth)
	to = deadline.UnixNano() / int64(b.bucketWidth)
	return from, min(max(to, from), from+bucketCount-1)
}

// add adds the cost of an item to the bucket of its deadline.
func (b *backlog) add(now time.Time, it *item) {
	_, to := b.bucketRange(now, it.work.Deadline)
	it.bucket = int(to % bucketCount)
	b.buckets[it.bucket] += it.cost
}

// remove subtracts what add has added for the item.
func (b *backlog) remove(it *item) { b.buckets[it.bucket] -= it.cost }

// workAhead returns the slot-time of the waiting requests whose deadline is not
// after deadline, rounded up to the end of the deadline's bucket.
func (b *backlog) workAhead(now, deadline time.Time) time.Duration {
	from, to := b.bucketRange(now, deadline)
	sum := time.Duration(0)
	for i := from; i <= to; i++ {
		sum += b.buckets[i%bucketCount]
	}
	return sum
}

// total returns the slot-time of all waiting requests.
func (b *backlog) total() time.Duration {
	sum := time.Duration(0)
	for _, cost := range b.buckets {
		sum += cost
	}
	return sum
}

// -----------------------------------------------------------------------------
// Requests that miss their latency target.

// willMissTarget reports whether the request, if started now, is expected to
// end after its latency target. It is false for a request without a target.
func (i *item) willMissTarget(now time.Time) bool {
	return !i.target.IsZero() && now.Add(i.cost).After(i.target)
}

// targetFraction is the fraction of the time until the target that the expected
// wait and the request's own cost may fill. The rest is a margin, so that most
// requests admitted as classOnTime meet their target.
const targetFraction = 0.7

// -----------------------------------------------------------------------------
// Admission.

// reject counts a rejected request and returns its refusal and false.
func (q *queue) reject(reason message.RefusalReason, retryAfter time.Duration, detail string) (Refusal, bool) {
	q.count.rejected[reason]++
	return Refusal{Reason: reason, RetryAfter: retryAfter, Detail: detail}, false
}

// admit reports whether an item may enter the queue, and sets its target and
// class. If it may not, admit returns the refusal.
func (s *Scheduler) admit(now time.Time, g *group, q *queue, it *item) (Refusal, bool) {
	work := &it.work
	if !now.Before(work.Deadline) {
		return q.reject(message.RefuseDeadline, 0, "deadline has passed")
	}
	if q.waiting >= maxQueueLength || q.bytes+work.Bytes > maxQueueBytes {
		return q.reject(message.RefuseOverload, s.retryAfter(work, maxRetryAfter), "queue is full")
	}
	if q.caller(work.Caller).waiting >= maxQueueLength-q.waiting {
		return q.reject(message.RefuseOverload, s.retryAfter(work, maxRetryAfter), "caller holds its share of the queue")
	}
	workAhead := s.workAhead(now, g, q, work)
	if target := s.latencyTarget(q.rank); target > 0 {
		it.target = work.Arrived.Add(target)
		available := time.Duration(targetFraction * float64(it.target.Sub(now)))
		if workAhead.onTime+it.cost <= available {
			return Refusal{}, true
		}
		it.class = classLate
	}
	if late := now.Add(workAhead.late + it.cost).Sub(work.Deadline); late > 0 {
		return q.reject(message.RefuseOverload, s.retryAfter(work, min(late, workAhead.onTime)), "can't be in time")
	}
	return Refusal{}, true
}

// retryAfter clamps delay to the bounds of Refusal.RetryAfter and lengthens it
// by a part that depends on the request.
func (s *Scheduler) retryAfter(work *Work, delay time.Duration) time.Duration {
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	step := time.Duration(uint64(work.Request) % retryAfterSteps)
	return delay + delay*step/retryAfterSteps
}

// expectedWaits holds the times that a request is expected to wait for its
// slot, by class.
type expectedWaits struct{ onTime, late time.Duration }

// workAhead estimates how long a request waits for its slot, from the work
// ahead of it and the rate at which its rank is served. The estimate is the
// shorter of two: the rank is served after all work of more urgent ranks, with
// the slots that those leave; or it is served with its minimum share or the
// slots that it used recently, whichever is more, whatever waits in other
// ranks. Late work is served with the slots that on-time work leaves.
func (s *Scheduler) workAhead(now time.Time, g *group, q *queue, work *Work) expectedWaits {
	g.decayUse(now)
	a := s.access(work.Kind)
	slots := s.slotsOf(g, a)
	onTime := q.backlog[a][classOnTime].workAhead(now, work.Deadline)
	late := onTime + q.backlog[a][classLate].workAhead(now, work.Deadline)
	urgentWork, remainingSlots := time.Duration(0), slots
	for _, other := range g.queues[:q.rank] {
		urgentWork += other.backlog[a][classOnTime].total()
		remainingSlots -= other.recentSlots(a)
	}
	guaranteedSlots := max(s.minShares[q.rank]*slots, q.recentSlots(a))
	onTimeSlots := q.recentUse[a][classOnTime] / usageWindow.Seconds()
	return expectedWaits{
		onTime: min(waitFor(urgentWork+onTime, remainingSlots), waitFor(onTime, guaranteedSlots)),
		late:   min(waitFor(urgentWork+late, remainingSlots-onTimeSlots), waitFor(late, guaranteedSlots-onTimeSlots)),
	}
}

// recentSlots returns the mean number of slots that the rank used over
// usageWindow.
func (q *queue) recentSlots(a model.Access) float64 {
	return (q.recentUse[a][classOnTime] + q.recentUse[a][classLate]) / usageWindow.Seconds()
}

// waitFor returns the time in which rate slots serve a backlog of slot-time, at
// most one hour.
func waitFor(backlog time.Duration, rate float64) time.Duration {
	const maxWait = time.Hour
	if rate <= 0 {
		return maxWait
	}
	return min(time.Duration(float64(backlog)/rate), maxWait)
}

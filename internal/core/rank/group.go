package rank

import (
	"container/heap"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Bounds on the effort of one AssignSlots, so that its cost does not grow with
// the number of waiting requests.
const (
	// checksPerAttempt bounds the requests that assignFromRank takes from one rank
	// to assign a slot: each whose candidates turn out to have changed counts.
	// After that, the next rank has its turn.
	checksPerAttempt = 8
	// rechecksPerAssign bounds the waiting requests of one rank whose candidates
	// one assignGroup looks up again. AssignSlots calls assignGroup twice for a
	// group of which this instance is the arbiter, so the bound is twice as high
	// there.
	rechecksPerAssign = 16
)

// maxCallerShare is the share of a rank's slot-time above which a caller's
// requests are passed over in favor of other callers' waiting requests.
const maxCallerShare = 0.5

// Once a queue has the state of pruneCount callers, prune drops those that have
// not used a slot for pruneAge.
const (
	pruneCount = 1024
	pruneAge   = 5 * usageWindow
)

// group is the state of one group of databases.
type group struct {
	id          model.GroupID
	databases   []*database
	queues      []*queue
	leasing     *leasing
	retryBudget retryBudget
	// decayedAt is the time up to which recentUse of all queues has been
	// decayed.
	decayedAt time.Time
}

// database is the state of one database.
type database struct {
	id    model.DatabaseID
	group *group
	// bit is the bit of the database in sets of databases of its group, such as
	// item.mask.
	bit uint64
	// rankUsage and meter account for this instance's use of the database;
	// fleetUsage and fleetMeter account for the leases of all instances while
	// this instance is the arbiter.
	rankUsage  rankUsage
	meter      meter
	fleetUsage rankUsage
	fleetMeter meter
	limiter    limiter
}

// caller is the state of one caller in one rank: the slot-time that it used and
// the number of its waiting requests.
type caller struct {
	usage   usage
	waiting int
}

// queue holds the waiting requests of one rank in one group.
type queue struct {
	rank            model.Rank
	candidateQueues []*candidateQueue
	// unclassified holds the items that are in no candidate queue yet. recheck
	// holds the others in the order in which classify looks up their candidates
	// again: it takes them from the front and puts those that still wait at the
	// end.
	unclassified []*item
	recheck      []*item
	callers      map[model.CallerID]*caller
	// pruneAt is the number of callers at which the next prune takes place.
	pruneAt int
	usage   usage
	waiting int
	bytes   int
	backlog [accessCount][classCount]backlog
	// recentUse is the recently used slot-time, in slot-seconds, decayed up to
	// group.decayedAt.
	recentUse [accessCount][classCount]float64
	count     counters
}

func newQueue(r model.Rank, bucketWidth time.Duration) *queue {
	q := &queue{rank: r, callers: map[model.CallerID]*caller{}, pruneAt: pruneCount}
	q.count.rejected = map[message.RefusalReason]uint64{}
	for a := range q.backlog {
		for c := range q.backlog[a] {
			q.backlog[a][c].bucketWidth = bucketWidth
		}
	}
	return q
}

// minDecayInterval is the minimum time between two runs of decayUse.
const minDecayInterval = time.Millisecond

// decayUse decays recentUse of all queues up to now.
func (g *group) decayUse(now time.Time) {
	elapsed := now.Sub(g.decayedAt)
	if elapsed < minDecayInterval {
		return
	}
	g.decayedAt = now
	factor := decayFactor(elapsed)
	for _, q := range g.queues {
		for a := range q.recentUse {
			for c := range q.recentUse[a] {
				q.recentUse[a][c] *= factor
			}
		}
	}
}

// maskOf returns the set of those databases of the group that are in list.
func (g *group) maskOf(list []model.DatabaseID) uint64 {
	mask := uint64(0)
	for _, id := range list {
		for _, d := range g.databases {
			if d.id == id {
				mask |= d.bit
			}
		}
	}
	return mask
}

// candidateQueue returns the candidate queue for a set of databases and a
// class, and creates it if there is none.
func (q *queue) candidateQueue(mask uint64, c class) *candidateQueue {
	for _, existing := range q.candidateQueues {
		if existing.mask == mask && existing.class == c {
			return existing
		}
	}
	added := newCandidateQueue(mask, c)
	q.candidateQueues = append(q.candidateQueues, added)
	return added
}

// caller returns the state of a caller, and creates it if there is none.
func (q *queue) caller(id model.CallerID) *caller {
	existing := q.callers[id]
	if existing == nil {
		existing = &caller{}
		q.callers[id] = existing
	}
	return existing
}

// prune drops the state of callers that have no waiting request and have not
// used a slot for pruneAge, once there are pruneAt callers.
func (q *queue) prune(now time.Time) {
	if len(q.callers) < q.pruneAt {
		return
	}
	for id, state := range q.callers {
		if state.waiting == 0 && now.Sub(state.usage.updatedAt) > pruneAge {
			delete(q.callers, id)
		}
	}
	q.pruneAt = max(pruneCount, 2*len(q.callers))
}

// -----------------------------------------------------------------------------
// Adding items to the queue and removing them.

// addItem adds an item to the queue. The next AssignSlots classifies it.
func (s *Scheduler) addItem(now time.Time, q *queue, it *item) {
	q.prune(now)
	it.waiting = true
	q.unclassified = append(q.unclassified, it)
	q.waiting++
	q.bytes += it.work.Bytes
	q.caller(it.work.Caller).waiting++
	q.backlog[s.access(it.work.Kind)][it.class].add(now, it)
	s.waiting[it.work.Request] = it
	heap.Push(&s.expiry, it)
}

// removeItem removes a waiting item from the queue, because it starts or is
// given up.
func (s *Scheduler) removeItem(q *queue, it *item) {
	it.waiting = false
	if it.callerQueue != nil {
		it.callerQueue.candidateQueue.remove(it)
	}
	q.waiting--
	q.bytes -= it.work.Bytes
	q.caller(it.work.Caller).waiting--
	q.backlog[s.access(it.work.Kind)][it.class].remove(it)
	delete(s.waiting, it.work.Request)
	heap.Remove(&s.expiry, it.expiry)
}

// -----------------------------------------------------------------------------
// Classification by set of candidate databases.

// classify puts unclassified items into their candidate queues, and looks up
// the candidates of a bounded number of other waiting items again.
// alreadyRechecked is the maximum number of items that this AssignSlots has looked
// up again before; so many at the end of recheck are not looked up once more.
func (g *group) classify(q *queue, candidates Candidates, alreadyRechecked int) {
	rechecks := min(rechecksPerAssign, max(0, len(q.recheck)-alreadyRechecked))
	for _, it := range q.unclassified {
		if it.waiting {
			g.placeItem(q, it, g.maskOf(candidates(it.work)))
			q.recheck = append(q.recheck, it)
		}
	}
	clear(q.unclassified)
	q.unclassified = q.unclassified[:0]
	for i := range rechecks {
		it := q.recheck[i]
		if !it.waiting {
			continue
		}
		g.placeItem(q, it, g.maskOf(candidates(it.work)))
		q.recheck = append(q.recheck, it)
	}
	q.recheck = slices.Delete(q.recheck, 0, rechecks)
}

// placeItem moves an item into the candidate queue of mask.
func (g *group) placeItem(q *queue, it *item, mask uint64) {
	if it.callerQueue != nil {
		if it.mask == mask {
			return
		}
		it.callerQueue.candidateQueue.remove(it)
	}
	it.mask = mask
	q.candidateQueue(mask, it.class).add(it, q.caller(it.work.Caller))
}

// -----------------------------------------------------------------------------
// Assignment of slots.

// assignGroup assigns slots to the waiting requests of a group until no further
// one can start. alreadyRechecked is the maximum number of items of each rank
// whose candidates this AssignSlots has looked up again before.
func (s *Scheduler) assignGroup(now time.Time, g *group, candidates Candidates, alreadyRechecked int) {
	waiting := 0
	for _, q := range g.queues {
		if q.waiting > 0 {
			g.classify(q, candidates, alreadyRechecked)
		}
		waiting += q.waiting
	}
	for progress := waiting > 0; progress; {
		progress = false
		for _, d := range g.databases {
			if s.assignOnDatabase(now, d, candidates) {
				progress = true
			}
		}
	}
}

// assignOnDatabase starts one request that d may serve. It reports whether it
// did.
func (s *Scheduler) assignOnDatabase(now time.Time, d *database, candidates Candidates) bool {
	if !s.isFree(d) {
		return false
	}
	s.rankOrder = d.rankUsage.rankOrder(now, s.minShares, s.rankOrder)
	for _, r := range s.rankOrder {
		if s.assignFromRank(now, d, d.group.queues[r], candidates) {
			return true
		}
	}
	return false
}

// assignFromRank starts one request of a rank that d may serve. It reports
// whether it did. The request may start on another database that comes earlier
// in its candidates.
func (s *Scheduler) assignFromRank(now time.Time, d *database, q *queue, candidates Candidates) bool {
	if q.waiting == 0 || !d.group.leasing.leaseHolder.allows(s, now, d, q.rank) {
		return false
	}
	for range checksPerAttempt {
		it := s.nextItem(now, q, d)
		if it == nil {
			return false
		}
		databases := candidates(it.work)
		mask := d.group.maskOf(databases)
		if mask != it.mask {
			d.group.placeItem(q, it, mask)
			continue
		}
		s.start(now, q, it, s.preferredDatabase(now, d, q.rank, databases))
		return true
	}
	return false
}

// nextItem returns the request that d may serve next, or nil: on-time requests
// before late ones, then the earliest deadline. On-time requests that are now
// expected to miss their target are moved to the late class.
func (s *Scheduler) nextItem(now time.Time, q *queue, d *database) *item {
	for {
		it := d.group.firstOfClass(now, q, d.bit, classOnTime)
		if it == nil {
			return d.group.firstOfClass(now, q, d.bit, classLate)
		}
		if !it.willMissTarget(now) {
			return it
		}
		s.demote(now, q, it)
	}
}

// demote moves an item from the on-time class to the late class.
func (s *Scheduler) demote(now time.Time, q *queue, it *item) {
	backlogs := &q.backlog[s.access(it.work.Kind)]
	backlogs[it.class].remove(it)
	it.callerQueue.candidateQueue.remove(it)
	it.class = classLate
	backlogs[it.class].add(now, it)
	q.candidateQueue(it.mask, it.class).add(it, q.caller(it.work.Caller))
}

// firstOfClass returns the next item of a class that the database with this bit
// may serve, or nil.
func (g *group) firstOfClass(now time.Time, q *queue, bit uint64, c class) *item {
	recentRankUsage := q.usage.amountAt(now)
	var best *item
	for _, cq := range q.candidateQueues {
		if cq.class != c || len(cq.callerQueues) == 0 || g.usableMask(now, cq.mask)&bit == 0 {
			continue
		}
		next := cq.next(now, recentRankUsage)
		if next != nil && (best == nil || next.before(best)) {
			best = next
		}
	}
	return best
}

// preferredDatabase returns the first candidate on which a request of the rank
// may start. Candidates whose circuit is not closed are passed over, except d, on
// which the request may start.
func (s *Scheduler) preferredDatabase(now time.Time, d *database, r model.Rank, candidates []model.DatabaseID) *database {
	for _, id := range candidates {
		other := s.databases[id]
		if other == d {
			return d
		}
		if other == nil || other.group != d.group || other.limiter.state != circuitClosed {
			continue
		}
		if s.isFree(other) && d.group.leasing.leaseHolder.allows(s, now, other, r) {
			return other
		}
	}
	return d
}

// start marks a waiting item as running on d and adds the assignment. The item
// becomes the probe of d if the circuit of d is not closed, no probe is running
// and one is due.
func (s *Scheduler) start(now time.Time, q *queue, it *item, d *database) {
	s.removeItem(q, it)
	it.started = now
	it.database = d
	s.running[it.work.Request] = it
	if d.limiter.state != circuitClosed && d.limiter.probeRequest == 0 && !now.Before(d.limiter.nextProbeAt) {
		d.limiter.probeRequest = it.work.Request
	}
	d.rankUsage.start(now, q.rank)
	d.group.leasing.leaseHolder.started(now, it)
	s.chargeSlotTime(now, q, it, it.cost)
	q.count.running++
	s.assignments = append(s.assignments, SlotAssignment{Request: it.work.Request, Database: d.id})
}

// chargeSlotTime adds slotTime, which may be negative, to the usage of an
// item's caller and rank.
func (s *Scheduler) chargeSlotTime(now time.Time, q *queue, it *item, slotTime time.Duration) {
	q.caller(it.work.Caller).usage.add(now, slotTime)
	q.usage.add(now, slotTime)
	it.database.group.decayUse(now)
	recentUse := &q.recentUse[s.access(it.work.Kind)][it.class]
	*recentUse = max(0, *recentUse+slotTime.Seconds())
}

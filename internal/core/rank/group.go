package rank

import (
	"container/heap"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Bounds on the work of one Grant, so that its cost does not grow with the
// number of waiting requests.
const (
	// looksPerPick bounds the heads whose candidates are asked for in vain
	// before the next rank has its turn.
	looksPerPick = 8
	// rechecksPerGrant bounds the waiting requests of one rank whose set of
	// databases is looked at again.
	rechecksPerGrant = 16
)

// callerShare is the share of a rank's slot-time above which a caller gives way
// to others that wait.
const callerShare = 0.5

// Callers beyond pruneCount are forgotten pruneAge after their last slot.
const (
	pruneCount = 1024
	pruneAge   = 5 * window
)

// group is the state of one group of databases.
type group struct {
	id        model.GroupID
	databases []*database
	queues    []*queue
	leasing   *leasing
	retries   retries
	// faded is when the drains of all queues were last brought up to date.
	faded time.Time
}

// database is the state of one database.
type database struct {
	id    model.DatabaseID
	group *group
	bit   uint64
	// ledger and meter are this instance's use, fleet and fleetMeter that of
	// all, as the arbiter sees it.
	ledger     ledger
	meter      meter
	fleet      ledger
	fleetMeter meter
	limiter    limiter
}

// caller is what the scheduler knows of one caller in one rank.
type caller struct {
	usage   usage
	waiting int
}

// queue is the waiting work of one rank in one group.
type queue struct {
	rank    model.Rank
	lanes   []*lane
	fresh   []*item
	recheck []*item
	callers map[model.CallerID]*caller
	// pruneAt is the number of callers at which old ones are forgotten.
	pruneAt int
	usage   usage
	waiting int
	bytes   int
	backlog [accesses][classes]backlog
	// drain is the slot-time used lately, in slot-seconds, as of group.faded.
	drain [accesses][classes]float64
	count counters
}

func newQueue(r model.Rank, width time.Duration) *queue {
	q := &queue{rank: r, callers: map[model.CallerID]*caller{}, pruneAt: pruneCount}
	q.count.refused = map[message.RefusalReason]uint64{}
	for a := range q.backlog {
		for c := range q.backlog[a] {
			q.backlog[a][c].width = width
		}
	}
	return q
}

// fadeStep is the least time between two fadings.
const fadeStep = time.Millisecond

// fade brings the drains of all queues up to date.
func (g *group) fade(now time.Time) {
	elapsed := now.Sub(g.faded)
	if elapsed < fadeStep {
		return
	}
	g.faded = now
	left := decay(elapsed)
	for _, q := range g.queues {
		for a := range q.drain {
			for c := range q.drain[a] {
				q.drain[a][c] *= left
			}
		}
	}
}

// maskOf returns the set of the group's databases that the list names.
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

// lane returns the lane of a class and a set of databases.
func (q *queue) lane(mask uint64, c class) *lane {
	for _, known := range q.lanes {
		if known.mask == mask && known.class == c {
			return known
		}
	}
	added := newLane(mask, c)
	q.lanes = append(q.lanes, added)
	return added
}

// caller returns the state of a caller.
func (q *queue) caller(id model.CallerID) *caller {
	known := q.callers[id]
	if known == nil {
		known = &caller{}
		q.callers[id] = known
	}
	return known
}

// prune forgets the callers that have not been seen for long, once there are
// many.
func (q *queue) prune(now time.Time) {
	if len(q.callers) < q.pruneAt {
		return
	}
	for id, known := range q.callers {
		if known.waiting == 0 && now.Sub(known.usage.since) > pruneAge {
			delete(q.callers, id)
		}
	}
	q.pruneAt = max(pruneCount, 2*len(q.callers))
}

// -----------------------------------------------------------------------------
// Entering and leaving the queue.

// enter takes an item in; it waits to be classified.
func (s *Scheduler) enter(now time.Time, q *queue, it *item) {
	q.prune(now)
	it.waiting = true
	q.fresh = append(q.fresh, it)
	q.waiting++
	q.bytes += it.work.Bytes
	q.caller(it.work.Caller).waiting++
	q.backlog[s.access(it.work.Kind)][it.class].add(now, it)
	s.waiting[it.work.Request] = it
	heap.Push(&s.expiry, it)
}

// leave takes a waiting item out, to run or for good.
func (s *Scheduler) leave(q *queue, it *item) {
	it.waiting = false
	if it.line != nil {
		it.line.lane.remove(it)
	}
	q.waiting--
	q.bytes -= it.work.Bytes
	q.caller(it.work.Caller).waiting--
	q.backlog[s.access(it.work.Kind)][it.class].remove(it)
	delete(s.waiting, it.work.Request)
	heap.Remove(&s.expiry, it.expiry)
}

// -----------------------------------------------------------------------------
// Classification by set of databases.

// classify puts fresh items into their lanes, and looks again at a bounded
// number of those that waited before; as many as looked were looked at in this
// step already.
func (g *group) classify(q *queue, candidates Candidates, looked int) {
	again := min(rechecksPerGrant, max(0, len(q.recheck)-looked))
	for _, it := range q.fresh {
		if it.waiting {
			g.place(q, it, g.maskOf(candidates(it.work)))
			q.recheck = append(q.recheck, it)
		}
	}
	clear(q.fresh)
	q.fresh = q.fresh[:0]
	for i := range again {
		it := q.recheck[i]
		if !it.waiting {
			continue
		}
		g.place(q, it, g.maskOf(candidates(it.work)))
		q.recheck = append(q.recheck, it)
	}
	q.recheck = slices.Delete(q.recheck, 0, again)
}

// place puts an item into the lane of mask.
func (g *group) place(q *queue, it *item, mask uint64) {
	if it.line != nil {
		if it.mask == mask {
			return
		}
		it.line.lane.remove(it)
	}
	it.mask = mask
	q.lane(mask, it.class).add(it, q.caller(it.work.Caller))
}

// -----------------------------------------------------------------------------
// Pairing.

// grantGroup pairs the waiting work of a group until nothing fits. In this step,
// as many requests of each rank as looked were looked at before.
func (s *Scheduler) grantGroup(now time.Time, g *group, candidates Candidates, looked int) {
	waiting := 0
	for _, q := range g.queues {
		if q.waiting > 0 {
			g.classify(q, candidates, looked)
		}
		waiting += q.waiting
	}
	for progress := waiting > 0; progress; {
		progress = false
		for _, d := range g.databases {
			if s.grantDatabase(now, d, candidates) {
				progress = true
			}
		}
	}
}

// grantDatabase starts one work that d may serve. It reports whether it did.
func (s *Scheduler) grantDatabase(now time.Time, d *database, candidates Candidates) bool {
	if !s.isFree(d) {
		return false
	}
	s.order = d.ledger.order(now, s.floors, s.order)
	for _, r := range s.order {
		if s.grantRank(now, d, d.group.queues[r], candidates) {
			return true
		}
	}
	return false
}

// grantRank starts one work of a rank that d may serve. It reports whether it
// did.
func (s *Scheduler) grantRank(now time.Time, d *database, q *queue, candidates Candidates) bool {
	if q.waiting == 0 || !d.group.leasing.holder.allows(s, now, d, q.rank) {
		return false
	}
	for range looksPerPick {
		it := s.best(now, q, d)
		if it == nil {
			return false
		}
		list := candidates(it.work)
		mask := d.group.maskOf(list)
		if mask != it.mask {
			d.group.place(q, it, mask)
			continue
		}
		s.start(now, q, it, s.preferred(now, d, q.rank, list))
		return true
	}
	return false
}

// best returns the work that d's bit may serve next: prompt work before late
// work, then the earliest deadline. Prompt work that has become late changes
// its class here.
func (s *Scheduler) best(now time.Time, q *queue, d *database) *item {
	for {
		it := d.group.first(now, q, d.bit, classPrompt)
		if it == nil {
			return d.group.first(now, q, d.bit, classLate)
		}
		if !it.isLate(now) {
			return it
		}
		s.demote(now, q, it)
	}
}

// demote makes a prompt item late.
func (s *Scheduler) demote(now time.Time, q *queue, it *item) {
	backlogs := &q.backlog[s.access(it.work.Kind)]
	backlogs[it.class].remove(it)
	it.line.lane.remove(it)
	it.class = classLate
	backlogs[it.class].add(now, it)
	q.lane(it.mask, it.class).add(it, q.caller(it.work.Caller))
}

// first returns the earliest work of a class that the bit may serve.
func (g *group) first(now time.Time, q *queue, bit uint64, c class) *item {
	total := q.usage.at(now)
	var best *item
	for _, l := range q.lanes {
		if l.class != c || len(l.lines) == 0 || g.usable(now, l.mask)&bit == 0 {
			continue
		}
		head := l.head(now, total)
		if head != nil && (best == nil || head.before(best)) {
			best = head
		}
	}
	return best
}

// preferred returns the first of list with a slot for the rank; d has one.
func (s *Scheduler) preferred(now time.Time, d *database, r model.Rank, list []model.DatabaseID) *database {
	for _, id := range list {
		other := s.databases[id]
		if other == d {
			return d
		}
		if other == nil || other.group != d.group || other.limiter.state != circuitClosed {
			continue
		}
		if s.isFree(other) && d.group.leasing.holder.allows(s, now, other, r) {
			return other
		}
	}
	return d
}

// start lets a waiting item run on d.
func (s *Scheduler) start(now time.Time, q *queue, it *item, d *database) {
	s.leave(q, it)
	it.started = now
	it.database = d
	s.running[it.work.Request] = it
	if d.limiter.state != circuitClosed && d.limiter.probe == 0 && !now.Before(d.limiter.until) {
		d.limiter.probe = it.work.Request
	}
	d.ledger.start(now, q.rank)
	d.group.leasing.holder.started(now, it)
	s.charge(now, q, it, it.cost)
	q.count.running++
	s.grants = append(s.grants, SlotAssignment{Request: it.work.Request, Database: d.id})
}

// charge adds slot-time to the accounts of an item's caller and rank.
func (s *Scheduler) charge(now time.Time, q *queue, it *item, slots time.Duration) {
	q.caller(it.work.Caller).usage.add(now, slots)
	q.usage.add(now, slots)
	it.database.group.fade(now)
	drain := &q.drain[s.access(it.work.Kind)][it.class]
	*drain = max(0, *drain+slots.Seconds())
}

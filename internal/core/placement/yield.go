package placement

import (
	"math"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// yieldSlowdown is the ratio of a database's average latency to its lowest above
	// which the second most urgent rank in use gives way: only if the limits of all
	// instances don't keep the queue at the database short. For each further rank it is
	// lower by yieldStep, and so below the ratio at which the limit falls, but not below
	// minYieldSlowdown.
	yieldSlowdown    = 3.0
	yieldStep        = 1.3
	minYieldSlowdown = 1.2
	// yieldMemory is the time after its last statement for which a rank counts as in
	// use.
	yieldMemory = time.Second
	// yieldShare is the share of a rank that gives way: as many statements for each of
	// a more urgent one.
	yieldShare = 0.1
)

// noRank is less urgent than all ranks.
const noRank = model.Rank(math.MaxInt)

// demand holds when the statements of each rank last arrived for a group. The
// instances share the databases without knowing each other's queues, and each can put
// only its own waiters in order. But they see the same ranks and the same latency: a
// rank gives way when statements queue at the database while more urgent ones are in
// use, as a background transfer does (RFC 6817, LEDBAT).
type demand map[model.Rank]time.Time

// record records that a statement of a rank has arrived.
func (d demand) record(now time.Time, rank model.Rank) { d[rank] = now }

// moreUrgent returns how many ranks in use are more urgent than the given one.
func (d demand) moreUrgent(now time.Time, rank model.Rank) int {
	count := 0
	for other, at := range d {
		if other < rank && now.Sub(at) < yieldMemory {
			count++
		}
	}
	return count
}

// yields reports whether a rank has to leave a database to more urgent ones. Its credit
// counts only if no more urgent waiter of this instance was passed over.
func (db *databaseState) yields(now time.Time, g *group, rank model.Rank) bool {
	moreUrgent := g.demand.moreUrgent(now, rank)
	if moreUrgent == 0 || db.credits[rank] >= 1 && rank <= g.passedOver {
		return false
	}
	return db.limit.slowdown(now) > max(minYieldSlowdown, yieldSlowdown-yieldStep*float64(moreUrgent-1))
}

// recordReserved records that a statement of a rank is being sent: it spends the
// credit of its own rank, and gives credit to those less urgent.
func (db *databaseState) recordReserved(d demand, rank model.Rank) {
	if db.credits == nil {
		db.credits = map[model.Rank]float64{}
	}
	db.credits[rank] = max(0, db.credits[rank]-1)
	for other := range d {
		if other > rank {
			db.credits[other] = min(1, db.credits[other]+yieldShare)
		}
	}
}

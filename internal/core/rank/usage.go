package rank

import (
	"math"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// window is the time over which slot-time is remembered: usage of that age
// counts for 1/e.
const window = 2 * time.Second

// decay returns what is left of a quantity after elapsed.
func decay(elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(window))
}

// usage is an amount of slot-time, in slot-seconds, that fades over the window.
type usage struct {
	amount float64
	since  time.Time
}

// at returns the amount that is left at now.
func (u *usage) at(now time.Time) float64 { return u.amount * decay(now.Sub(u.since)) }

// add charges slot-time.
func (u *usage) add(now time.Time, slots time.Duration) {
	u.amount = max(0, u.at(now)+slots.Seconds())
	u.since = now
}

// -----------------------------------------------------------------------------
// The ledger of one database.

// ledger keeps the slot-time that each rank used of one database over the
// window, with what runs accruing all the time. A share is kept over time and
// not per instant, since a database has two or three slots only.
type ledger struct {
	since   time.Time
	used    []float64
	running []int
}

// grow makes room for ranks.
func (l *ledger) grow(ranks int) {
	for len(l.used) < ranks {
		l.used = append(l.used, 0)
		l.running = append(l.running, 0)
	}
}

// advance brings the ledger to now.
func (l *ledger) advance(now time.Time) {
	elapsed := now.Sub(l.since)
	if elapsed <= 0 {
		return
	}
	left := decay(elapsed)
	for r := range l.used {
		accrued := float64(l.running[r]) * window.Seconds() * (1 - left)
		l.used[r] = l.used[r]*left + accrued
	}
	l.since = now
}

// start counts a slot of the rank as used from now on.
func (l *ledger) start(now time.Time, r model.Rank) {
	l.advance(now)
	l.running[r]++
}

// stop ends what start began.
func (l *ledger) stop(now time.Time, r model.Rank) {
	l.advance(now)
	l.running[r]--
}

// refund takes back slot-time in which a slot was held but could not be used.
func (l *ledger) refund(r model.Rank, slots time.Duration) {
	l.used[r] = max(0, l.used[r]-slots.Seconds())
}

// total returns the slot-time of all ranks.
func (l *ledger) total() float64 {
	sum := 0.0
	for _, amount := range l.used {
		sum += amount
	}
	return sum
}

// isBelow reports whether the rank has had less than its floor.
func (l *ledger) isBelow(r model.Rank, floor float64) bool {
	return floor > 0 && l.used[r] < floor*l.total()
}

// busy returns the number of slots in use.
func (l *ledger) busy() int {
	sum := 0
	for _, n := range l.running {
		sum += n
	}
	return sum
}

// order writes the ranks into into, in the order in which they are served now:
// those below their floor first, then the others, the most urgent first in each
// part.
func (l *ledger) order(now time.Time, floors []float64, into []model.Rank) []model.Rank {
	l.advance(now)
	into = into[:0]
	for r := range l.used {
		if l.isBelow(model.Rank(r), floors[r]) {
			into = append(into, model.Rank(r))
		}
	}
	below := len(into)
	for r := range l.used {
		if !contains(into[:below], model.Rank(r)) {
			into = append(into, model.Rank(r))
		}
	}
	return into
}

func contains(ranks []model.Rank, r model.Rank) bool {
	for _, known := range ranks {
		if known == r {
			return true
		}
	}
	return false
}

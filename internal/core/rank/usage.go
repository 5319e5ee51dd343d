package rank

import (
	"math"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// usageWindow is the time constant of the exponential decay of used slot-time:
// slot-time of that age counts for 1/e.
const usageWindow = 2 * time.Second

// decayFactor returns the factor by which a quantity decays within elapsed.
func decayFactor(elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(usageWindow))
}

// usage is an amount of slot-time, in slot-seconds, that decays over
// usageWindow.
type usage struct {
	amount    float64
	updatedAt time.Time
}

// amountAt returns the amount that remains at now.
func (u *usage) amountAt(now time.Time) float64 { return u.amount * decayFactor(now.Sub(u.updatedAt)) }

// add adds slotTime, which may be negative. The amount does not fall below
// zero.
func (u *usage) add(now time.Time, slotTime time.Duration) {
	u.amount = max(0, u.amountAt(now)+slotTime.Seconds())
	u.updatedAt = now
}

// -----------------------------------------------------------------------------
// Usage of one database by rank.

// rankUsage holds the slot-time that each rank used of one database, decayed
// over usageWindow, including that of running requests. Shares are kept over
// time and not at each instant, since a database has only two or three slots.
type rankUsage struct {
	updatedAt time.Time
	slotTime  []float64
	running   []int
}

// grow adds entries up to the given number of ranks.
func (u *rankUsage) grow(ranks int) {
	for len(u.slotTime) < ranks {
		u.slotTime = append(u.slotTime, 0)
		u.running = append(u.running, 0)
	}
}

// advance updates the slot-time to now.
func (u *rankUsage) advance(now time.Time) {
	elapsed := now.Sub(u.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := decayFactor(elapsed)
	for r := range u.slotTime {
		accrued := float64(u.running[r]) * usageWindow.Seconds() * (1 - factor)
		u.slotTime[r] = u.slotTime[r]*factor + accrued
	}
	u.updatedAt = now
}

// start counts one more slot of the rank as used from now on.
func (u *rankUsage) start(now time.Time, r model.Rank) {
	u.advance(now)
	u.running[r]++
}

// stop counts one slot of the rank less as used from now on.
func (u *rankUsage) stop(now time.Time, r model.Rank) {
	u.advance(now)
	u.running[r]--
}

// refund subtracts slot-time during which a slot was held but could not be
// used.
func (u *rankUsage) refund(r model.Rank, amount time.Duration) {
	u.slotTime[r] = max(0, u.slotTime[r]-amount.Seconds())
}

// total returns the slot-time of all ranks.
func (u *rankUsage) total() float64 {
	sum := 0.0
	for _, amount := range u.slotTime {
		sum += amount
	}
	return sum
}

// isBelowMinShare reports whether the rank had less than its minimum share of
// the slot-time. It is false for a rank without a minimum share.
func (u *rankUsage) isBelowMinShare(r model.Rank, minShare float64) bool {
	return minShare > 0 && u.slotTime[r] < minShare*u.total()
}

// slotsInUse returns the number of slots in use.
func (u *rankUsage) slotsInUse() int {
	sum := 0
	for _, n := range u.running {
		sum += n
	}
	return sum
}

// rankOrder writes the ranks into buffer in the order in which they are served
// now, and returns it: first the ranks below their minimum share, then the
// others, in each part the most urgent rank first.
func (u *rankUsage) rankOrder(now time.Time, minShares []float64, buffer []model.Rank) []model.Rank {
	u.advance(now)
	buffer = buffer[:0]
	for r := range u.slotTime {
		if u.isBelowMinShare(model.Rank(r), minShares[r]) {
			buffer = append(buffer, model.Rank(r))
		}
	}
	belowCount := len(buffer)
	for r := range u.slotTime {
		if !contains(buffer[:belowCount], model.Rank(r)) {
			buffer = append(buffer, model.Rank(r))
		}
	}
	return buffer
}

func contains(ranks []model.Rank, r model.Rank) bool {
	for _, other := range ranks {
		if other == r {
			return true
		}
	}
	return false
}

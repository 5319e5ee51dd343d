package rank

import (
	"math"
	"time"
)

// -----------------------------------------------------------------------------
// Shares below one slot.

// maxCredit and maxDebt bound the credit of a meter, in slot-seconds: it stays
// between -maxDebt and maxCredit.
const (
	maxCredit = 0.02
	maxDebt   = 1.0
)

// meter limits the use of slots to a rate that may be a fraction of a slot, as
// a share of time: credit accrues at the rate and is used up by the slots in
// use, and a request may start while the credit is positive.
type meter struct {
	credit    float64
	updatedAt time.Time
	// slotsInUse is the number of slots in use since updatedAt.
	slotsInUse int
}

// advance updates the credit to now. slotsInUse is the number of slots in use
// from now on.
func (m *meter) advance(now time.Time, rate float64, slotsInUse int) {
	if elapsed := now.Sub(m.updatedAt).Seconds(); elapsed > 0 {
		m.credit += (rate - float64(m.slotsInUse)) * elapsed
		m.credit = min(max(m.credit, -maxDebt), maxCredit)
		m.updatedAt = now
	}
	m.slotsInUse = slotsInUse
}

// allows reports whether one more slot may be used at the rate, given in slots.
func (m *meter) allows(now time.Time, rate float64, slotsInUse int) bool {
	m.advance(now, rate, slotsInUse)
	if slotsInUse < int(rate) {
		return true
	}
	return float64(slotsInUse) < math.Ceil(rate) && m.credit > 0
}

package rank

import (
	"math"
	"time"
)

// -----------------------------------------------------------------------------
// Shares below one slot.

// meterBurst and meterDebt bound what a meter saves and owes, in slot-seconds.
const (
	meterBurst = 0.02
	meterDebt  = 1.0
)

// meter lets an instance use a fraction of a slot as a share of time: it saves
// slot-time at a rate and lets work start while something is saved.
type meter struct {
	saved float64
	since time.Time
	// busy is the number of slots used since then.
	busy int
}

// advance brings the meter to now, from when on busy slots are used.
func (m *meter) advance(now time.Time, rate float64, busy int) {
	if elapsed := now.Sub(m.since).Seconds(); elapsed > 0 {
		m.saved += (rate - float64(m.busy)) * elapsed
		m.saved = min(max(m.saved, -meterDebt), meterBurst)
		m.since = now
	}
	m.busy = busy
}

// allows reports whether one more slot may be used at the rate.
func (m *meter) allows(now time.Time, rate float64, busy int) bool {
	m.advance(now, rate, busy)
	if busy < int(rate) {
		return true
	}
	return float64(busy) < math.Ceil(rate) && m.saved > 0
}

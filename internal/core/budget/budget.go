// Package budget bounds what the callers of an instance can make it hold: bytes that were
// read and not passed on, answers that were not read, and the state of sessions.
//
// # What flows in and out
//
// Inputs are the amounts that holders draw and give back, and whether each of them makes
// progress. Outputs are whether a holder may go on, and which holder gives way if the
// budget is short: its connection is closed. The package has no clock and no network; the
// caller serializes the calls.
//
// A holder that waits for its caller can't give anything back by itself. Of those the
// largest gives way at once, as soon as another asks for more than is left. If none waits
// for its caller, the budget is in use by statements that will end soon: whoever asks for
// more has to wait, and only after a while does the newest holder give way.
//
// # Usage
//
//	b := budget.New(limit)
//	h := b.Open(now)
//	switch decision := b.Draw(h, amount, now).(type) {
//	case budget.Granted:
//	case budget.Yield: // Close the connection of decision.Holder, then draw again.
//	case budget.Wait: // Draw again once something was given back.
//	}
//	b.Close(h)
package budget

import (
	"time"
)

const (
	// IdleAfter is the time without progress after which a holder counts as idle.
	IdleAfter = time.Second
	// Patience is how long a holder waits for others to give back before the newest
	// holder gives way.
	Patience = 3 * time.Second
)

// Budget is an amount that holders share. Use New to create one.
type Budget struct {
	limit, used int64
	holders     map[*Holder]struct{}
	// yielding are the holders that have had to give way and were not closed yet.
	yielding map[*Holder]struct{}
}

// Holder is one connection's part of a budget.
type Holder struct {
	held     int64
	openedAt time.Time
	// waitsSince is the time since which the holder waits for its caller; zero while it
	// makes progress.
	waitsSince time.Time
	// drawsSince is the time since which it has been asking for more without success;
	// zero if it is not.
	drawsSince time.Time
	// isProtected is set while the holder must not give way.
	isProtected bool
	hasYielded  bool
	// yieldedAt is the time at which it had to give way.
	yieldedAt time.Time
}

// Held returns what the holder has drawn and not given back.
func (h *Holder) Held() int64 { return h.held }

// Decision is the answer to a holder that asks for more: a Granted, a Yield or a Wait.
type Decision interface{ isDecision() }

// Granted means that the holder has what it asked for.
type Granted struct{}

// Yield means that Holder has to give way: the one that asked, or another. Its connection
// must be closed. It gets nothing more from the budget.
type Yield struct{ Holder *Holder }

// Wait means that the holder has to ask again once something was given back, or after For.
type Wait struct{ For time.Duration }

func (Granted) isDecision() {}
func (Yield) isDecision()   {}
func (Wait) isDecision()    {}

// New returns a budget of an amount. An amount of zero or less is no limit.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]struct{}{}, yielding: map[*Holder]struct{}{}}
}

// Used returns what all holders have drawn together.
func (b *Budget) Used() int64 { return b.used }

// IsShort reports whether more is in use than the budget allows.
func (b *Budget) IsShort() bool { return b.limit > 0 && b.used > b.limit }

// Open adds a holder that has drawn nothing.
func (b *Budget) Open(now time.Time) *Holder {
	h := &Holder{openedAt: now}
	b.holders[h] = struct{}{}
	return h
}

// Close removes a holder and gives back all that it has drawn.
func (b *Budget) Close(h *Holder) {
	b.Return(h, h.held)
	delete(b.holders, h)
	delete(b.yielding, h)
}

// SetProgress records whether a holder makes progress, or waits for its caller. One that is
// protected does not give way, such as a session inside a transaction.
func (b *Budget) SetProgress(h *Holder, waitsSince time.Time, isProtected bool) {
	h.waitsSince, h.isProtected = waitsSince, isProtected
}

// Take draws an amount that is in use already, whether or not the budget allows it.
func (b *Budget) Take(h *Holder, amount int64) {
	h.held += amount
	b.used += amount
}

// Return gives an amount back.
func (b *Budget) Return(h *Holder, amount int64) {
	h.held -= amount
	b.used -= amount
}

// Draw asks for an amount.
func (b *Budget) Draw(h *Holder, amount int64, now time.Time) Decision {
	if h.hasYielded {
		return Yield{Holder: h}
	}
	if b.limit <= 0 || b.used+amount <= b.limit {
		h.drawsSince = time.Time{}
		b.Take(h, amount)
		return Granted{}
	}
	if h.drawsSince.IsZero() {
		h.drawsSince = now
	}
	if released, left := b.releasing(now); left > 0 && b.used-released+amount <= b.limit {
		return Wait{For: min(left, IdleAfter)}
	}
	if idle := b.largestIdle(h, now); idle != nil {
		return b.yield(idle, now)
	}
	if left := Patience - now.Sub(h.drawsSince); left > 0 {
		return Wait{For: min(left, IdleAfter)}
	}
	return b.yield(b.newest(), now)
}

func (b *Budget) yield(h *Holder, now time.Time) Yield {
	h.hasYielded, h.yieldedAt = true, now
	b.yielding[h] = struct{}{}
	return Yield{Holder: h}
}

// releasing returns what the holders that have had to give way will give back, and for how
// long that can be waited for.
func (b *Budget) releasing(now time.Time) (amount int64, left time.Duration) {
	for h := range b.yielding {
		if remaining := Patience - now.Sub(h.yieldedAt); remaining > 0 {
			amount += h.held
			left = max(left, remaining)
		}
	}
	return amount, left
}

// largestIdle returns the holder other than h that holds most, of those that wait for their
// callers or for more; of equal ones that which has waited longest. It returns nil if there
// is none.
func (b *Budget) largestIdle(h *Holder, now time.Time) *Holder {
	var largest *Holder
	for other := range b.holders {
		if other == h || other.held <= 0 || other.isProtected || other.hasYielded ||
			other.waitsSince.IsZero() || now.Sub(other.waitsSince) < IdleAfter {
			continue
		}
		if largest == nil || other.held > largest.held ||
			other.held == largest.held && other.waitsSince.Before(largest.waitsSince) {
			largest = other
		}
	}
	return largest
}

// newest returns the holder that was opened last, of those that hold something or ask for
// more.
func (b *Budget) newest() *Holder {
	var newest *Holder
	for other := range b.holders {
		if other.hasYielded || other.held <= 0 && other.drawsSince.IsZero() {
			continue
		}
		if newest == nil || other.openedAt.After(newest.openedAt) {
			newest = other
		}
	}
	return newest
}

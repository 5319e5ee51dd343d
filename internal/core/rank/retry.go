package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Constants of the retry budget.
const (
	// retryShare is the part of a retry that each success pays for.
	retryShare = 0.1
	// retryFirst is what a group starts with, in retries.
	retryFirst = 3.0
	// retryMost bounds what is saved, in retries.
	retryMost = 20.0
	// retryTrickle is what is saved without any success, in retries a second,
	// so that a group that fails altogether is tried again.
	retryTrickle = 1.0
)

// retries is the budget of retries of one group.
type retries struct {
	saved float64
	since time.Time
}

// TakeRetry reports whether a request of a group may be tried once more, and
// takes the retry out of the group's budget: a share of its recent successes.
// It is false for an unknown group.
func (s *Scheduler) TakeRetry(now time.Time, id model.GroupID) bool {
	g := s.groups[id]
	if g == nil {
		return false
	}
	b := &g.retries
	b.advance(now)
	if b.saved < 1 {
		s.note(now, retryRefused(g))
		return false
	}
	b.saved--
	return true
}

// advance saves what trickles in.
func (b *retries) advance(now time.Time) {
	if elapsed := now.Sub(b.since); elapsed > 0 {
		b.add(retryTrickle * elapsed.Seconds())
		b.since = now
	}
}

// add saves some retries.
func (b *retries) add(amount float64) { b.saved = min(b.saved+amount, retryMost) }

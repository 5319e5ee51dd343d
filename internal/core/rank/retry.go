package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Constants of the retry budget.
const (
	// retriesPerSuccess is the part of a retry that each success adds to the
	// budget.
	retriesPerSuccess = 0.1
	// initialRetries is the initial budget of a group, in retries.
	initialRetries = 3.0
	// maxRetries is the maximum budget, in retries.
	maxRetries = 20.0
	// retriesPerSecond is the number of retries that each second adds to the
	// budget, so that retries go on in a group in which every request fails.
	retriesPerSecond = 1.0
)

// retryBudget is the retry budget of one group.
type retryBudget struct {
	// balance is the number of retries that the budget allows, as of updatedAt.
	balance   float64
	updatedAt time.Time
}

// TakeRetry reports whether a request of a group may be retried, and if so
// takes one retry from the group's budget, to which each success adds a part of
// a retry. It returns false for an unknown group.
func (s *Scheduler) TakeRetry(now time.Time, id model.GroupID) bool {
	g := s.groups[id]
	if g == nil {
		return false
	}
	budget := &g.retryBudget
	budget.advance(now)
	if budget.balance < 1 {
		s.logEvent(now, retryRejected(g))
		return false
	}
	budget.balance--
	return true
}

// advance adds the retries for the time since the last call.
func (b *retryBudget) advance(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.add(retriesPerSecond * elapsed.Seconds())
		b.updatedAt = now
	}
}

// add adds retries to the budget, up to maxRetries.
func (b *retryBudget) add(amount float64) { b.balance = min(b.balance+amount, maxRetries) }

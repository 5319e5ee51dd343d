package placement

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/outage"
)

// servedEvery makes the scheduler believe that the database has lately served a waiter
// of a rank once in each interval.
func (s *Scheduler) servedEvery(id model.DatabaseID, rank model.Rank, interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db, now := s.byID[id], clock.Now()
	*db.pace(rank) = pace{interval: interval, samples: minPaceSamples, lastAt: now}
}

// occupy uses all the capacity of the primary for a rank.
func occupy(t *testing.T, s *Scheduler, rank model.Rank) []Reservation {
	t.Helper()
	var held []Reservation
	for {
		requirements := Requirements{Group: ratings, Rank: rank, ArrivedAt: clock.Now(), RequiresPrimary: true}
		if cannotAcquire(t, s, requirements) {
			return held
		}
		held = append(held, mustAcquire(t, s, requirements))
	}
}

// acquireLater calls Acquire for a write that has the given times left until its target
// and its deadline, and returns the channel with its error.
func acquireLater(t *testing.T, s *Scheduler, rank model.Rank, target, deadline time.Duration) <-chan error {
	t.Helper()
	now := clock.Now()
	result := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	go func() {
		_, err := s.Acquire(ctx, Requirements{
			Group: ratings, Rank: rank, ArrivedAt: now, RequiresPrimary: true,
			Target: now.Add(target), Deadline: now.Add(deadline),
		})
		result <- err
	}()
	return result
}

// isRejected reports whether the wait ends with a rejection soon, well before any
// deadline.
func isRejected(result <-chan error) bool {
	select {
	case err := <-result:
		var rejected *RejectedError
		return errors.As(err, &rejected)
	case <-time.After(100 * time.Millisecond):
		return false
	}
}

// Overloaded primary: statements arrive faster than it serves them. One that can't be
// served before its deadline must be rejected on arrival, not at its deadline, and so
// must one that would be late behind others that are not.
func TestUnservableStatementIsRejectedAtOnce(t *testing.T) {
	s, _ := newFixture(t)
	occupy(t, s, 1)
	s.servedEvery("a", 1, 80*time.Millisecond)
	inTime := acquireLater(t, s, 1, time.Minute, time.Minute)
	for s.QueueLength(ratings) == 0 {
		time.Sleep(time.Millisecond)
	}
	got := []bool{
		isRejected(acquireLater(t, s, 1, time.Minute, 100*time.Millisecond)),
		isRejected(acquireLater(t, s, 1, 100*time.Millisecond, time.Minute)),
		isRejected(inTime),
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("past its deadline, late, in time: %s", diff)
	}
}

// While a primary is being replaced, a statement that can be served after it must wait.
// One whose deadline is before the expected end must be rejected at once and told to
// return after it, and so must one that has been waiting when the primary fails.
func TestStatementsDuringFailover(t *testing.T) {
	s, leases := newFixture(t)
	occupy(t, s, 1)
	s.servedEvery("a", 1, 80*time.Millisecond)
	waiting := acquireLater(t, s, 1, time.Minute, time.Minute)
	for s.QueueLength(ratings) == 0 {
		time.Sleep(time.Millisecond)
	}
	short := acquireLater(t, s, 1, 500*time.Millisecond, 500*time.Millisecond)
	for s.QueueLength(ratings) == 1 {
		time.Sleep(time.Millisecond)
	}
	leases.Update(lease.View{
		Version: 2, ReadStartedAt: clock.Now(), IsMember: true,
		Rows: map[model.GroupID]lease.GroupRow{ratings: {Epoch: 2, Phase: lease.PhaseChanging, Primary: "a"}},
	})
	s.Reschedule()
	got := []bool{
		isRejected(waiting), isRejected(acquireLater(t, s, 1, 10*time.Millisecond, 3*time.Second)),
		isRejected(short), isRejected(acquireLater(t, s, 1, 10*time.Millisecond, 500*time.Millisecond)),
	}
	if diff := cmp.Diff([]bool{false, false, true, true}, got); diff != "" {
		t.Errorf("two that can wait, two that can't: %s", diff)
	}
	err := <-acquireLater(t, s, 1, 10*time.Millisecond, 500*time.Millisecond)
	var rejected *RejectedError
	if !errors.As(err, &rejected) || rejected.Stage != outage.StageChanging || rejected.ExpectedWait < 500*time.Millisecond || rejected.ExpectedWait > 2*time.Second {
		t.Errorf("got %v", err)
	}
	if isRejected(readLater(t, s, 500*time.Millisecond)) {
		t.Error("a read that a replica can serve was rejected")
	}
}

// readLater calls Acquire for a read that a replica can serve.
func readLater(t *testing.T, s *Scheduler, deadline time.Duration) <-chan error {
	t.Helper()
	result := make(chan error, 1)
	requirements := readRequirements(1)
	requirements.Deadline = clock.Now().Add(deadline)
	go func() {
		_, err := s.Acquire(t.Context(), requirements)
		result <- err
	}()
	return result
}

// A primary that has stopped answering: the statements that wait for it must not be held
// until their deadlines once its failure shows, although no event of the database has
// them considered again.
func TestWaitersOfSilentPrimaryAreRejected(t *testing.T) {
	s, _ := newFixture(t)
	occupy(t, s, 1)
	startedAt := clock.Now()
	err := <-acquireLater(t, s, 1, 10*time.Millisecond, 1500*time.Millisecond)
	var rejected *RejectedError
	if !errors.As(err, &rejected) || rejected.Stage != outage.StageUnanswered {
		t.Errorf("got %v", err)
	}
	if waited := clock.Since(startedAt); waited < unresponsiveAfter-100*time.Millisecond || waited > 1200*time.Millisecond {
		t.Errorf("rejected after %v", waited)
	}
}

// A statement that is late anyway waits behind those that can still meet their target,
// in its rank only.
func TestOrderOfWaiters(t *testing.T) {
	base := time.Unix(1000, 0)
	newWaiter := func(rank model.Rank, late bool, arrived int) *waiter {
		return &waiter{late: late, requirements: Requirements{Rank: rank, ArrivedAt: base.Add(time.Duration(arrived) * time.Millisecond)}}
	}
	ordered := []*waiter{
		newWaiter(0, false, 9), newWaiter(0, true, 1), newWaiter(1, false, 3), newWaiter(1, false, 5), newWaiter(1, true, 2), newWaiter(2, false, 0),
	}
	for i := range ordered[1:] {
		if compareOrder(ordered[i], ordered[i+1]) >= 0 || compareOrder(ordered[i+1], ordered[i]) <= 0 {
			t.Errorf("waiters %d and %d are in the wrong order", i, i+1)
		}
	}
}

// A pause that a limit below one imposes must end by itself, without an event that has
// the waiters considered again.
func TestWaiterIsServedAfterPause(t *testing.T) {
	s, _ := newFixture(t)
	s.SetDatabases([]Database{{ID: "a", Group: ratings, Slots: 1, MaxConnections: 900}}, Population{Instances: 30})
	s.mu.Lock()
	s.byID["a"].limit.set(clock.Now(), 0.5)
	s.byID["a"].limit.pausedUntil = clock.Now().Add(50 * time.Millisecond)
	s.mu.Unlock()
	startedAt := clock.Now()
	mustAcquire(t, s, Requirements{Group: ratings, Rank: 1, ArrivedAt: startedAt, RequiresPrimary: true})
	if waited := clock.Since(startedAt); waited < 40*time.Millisecond || waited > 5*time.Second {
		t.Errorf("the statement waited for %v", waited)
	}
}

// A waiter that gives up ends the time between two reservations: the time until the next
// statement of its rank, however long, must not count as a slow pace.
func TestPaceEndsWithLastWaiter(t *testing.T) {
	s, _ := newFixture(t)
	occupy(t, s, 1)
	s.servedEvery("a", 1, time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := s.Acquire(ctx, Requirements{Group: ratings, Rank: 1, ArrivedAt: clock.Now(), RequiresPrimary: true})
		ended <- err
	}()
	for s.QueueLength(ratings) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byID["a"].pace(1); !p.lastAt.IsZero() {
		t.Errorf("the pace counts from %v on, although nothing waits", p.lastAt)
	}
}

// A waiter that is rejected leaves the queue: those behind it move up.
func TestRejectedWaiterIsNotAhead(t *testing.T) {
	s, _ := newFixture(t)
	s.servedEvery("a", 1, 80*time.Millisecond)
	now := clock.Now()
	newWaiter := func(target, deadline time.Duration) *waiter {
		return &waiter{requirements: Requirements{Group: ratings, Rank: 1, Target: now.Add(target), Deadline: now.Add(deadline)}}
	}
	e := waitEstimator{now: now, g: s.group(ratings), primary: s.byID["a"], ahead: map[lane]int{}, inTime: map[lane]int{}}
	got := []bool{
		e.rejectOrDelay(newWaiter(time.Minute, time.Minute), true),
		e.rejectOrDelay(newWaiter(time.Minute, 100*time.Millisecond), true),
		e.rejectOrDelay(newWaiter(time.Minute, 100*time.Millisecond), true),
		e.rejectOrDelay(newWaiter(200*time.Millisecond, time.Minute), true),
	}
	if diff := cmp.Diff([]bool{false, true, true, false}, got); diff != "" {
		t.Error(diff)
	}
}

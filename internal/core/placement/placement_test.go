package placement

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const ratings = model.GroupID("ratings")

// newFixture returns a scheduler of one instance in the zone lanier, before a
// primary a and two replicas b and c, of which b is in the same zone.
func newFixture(t *testing.T) (*Scheduler, *lease.Table) {
	t.Helper()
	leases := lease.NewTable()
	leases.Update(lease.View{
		Version: 1, ReadStartedAt: clock.Now(), IsMember: true,
		Rows: map[model.GroupID]lease.GroupRow{ratings: {Epoch: 1, Primary: "a"}},
	})
	s := NewScheduler("lanier", leases)
	s.SetDatabases([]Database{
		{ID: "a", Group: ratings, Zone: "savannah", Slots: 1, MaxConnections: 9},
		{ID: "b", Group: ratings, Zone: "lanier", Slots: 1, MaxConnections: 9},
		{ID: "c", Group: ratings, Zone: "savannah", Slots: 1, MaxConnections: 9},
	}, 1)
	return s, leases
}

// samplesAt returns samples with one position, covering all before now.
func samplesAt(position model.Position) *fresh.PositionSamples {
	samples := &fresh.PositionSamples{}
	samples.Add(clock.Now(), position)
	return samples
}

var newest = model.Position{Term: 1, Offset: 9}

// readNeed is a read that bears data of a second.
func readNeed(rank model.Rank) Requirements {
	return Requirements{
		Group: ratings, Rank: rank, ArrivedAt: clock.Now(),
		AsOf: clock.Now().Add(-time.Second), Samples: samplesAt(newest),
	}
}

func mustAcquire(t *testing.T, s *Scheduler, need Requirements) Reservation {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	seat, err := s.Acquire(ctx, need)
	if err != nil {
		t.Fatal(err)
	}
	return seat
}

// isRefused reports whether a need gets no seat now.
func isRefused(t *testing.T, s *Scheduler, need Requirements) bool {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	seat, err := s.Acquire(ctx, need)
	if err == nil {
		s.FinishStatement(seat, Result{Outcome: OutcomeNotSent})
		s.Release(seat)
	}
	return err != nil
}

func TestReadsGoToAFreshReplicaOfTheOwnZone(t *testing.T) {
	s, _ := newFixture(t)
	seat := mustAcquire(t, s, readNeed(1))
	if diff := cmp.Diff([]any{model.DatabaseID("b"), false, newest}, []any{seat.Database.ID, seat.IsPrimary, seat.MinPosition}); diff != "" {
		t.Error(diff)
	}
}

func TestChoiceOfADatabase(t *testing.T) {
	cases := []struct {
		name string
		// learn changes what is believed before the choice.
		learn func(s *Scheduler, need *Requirements)
		want  model.DatabaseID
	}{
		{"writes go to the primary", func(_ *Scheduler, n *Requirements) { n.RequiresPrimary = true }, "a"},
		{"without a sample only the primary will do", func(_ *Scheduler, n *Requirements) { n.Samples = &fresh.PositionSamples{} }, "a"},
		{"what was tried in vain is avoided", func(_ *Scheduler, n *Requirements) { n.ExcludedDatabases = []model.DatabaseID{"b"} }, "c"},
		{"a replica that lags is passed over", func(s *Scheduler, _ *Requirements) {
			b := s.byID["b"]
			b.lag, b.lagged = time.Hour, clock.Now()
		}, "c"},
		{"a replica that lagged long ago is tried", func(s *Scheduler, n *Requirements) {
			b := s.byID["b"]
			b.lag, b.lagged = 10*time.Millisecond, clock.Now().Add(-time.Hour)
			n.MinPosition, n.MinPositionAsOf = newest, clock.Now().Add(-time.Second)
		}, "b"},
		{"a replica that is known to have the position does not lag", func(s *Scheduler, _ *Requirements) {
			b := s.byID["b"]
			b.lag, b.lagged, b.applied = time.Hour, clock.Now(), newest
		}, "b"},
		{"an unreachable replica is passed over", func(s *Scheduler, _ *Requirements) { s.RecordProbe("b", false) }, "c"},
		{"a silent replica is passed over", func(s *Scheduler, _ *Requirements) {
			b := s.byID["b"]
			b.owed = clock.Now().Add(-2 * silentAfter)
		}, "c"},
		{"a leaving replica gets nothing", func(s *Scheduler, _ *Requirements) { s.byID["b"].Leaving = true }, "c"},
		{"a replica that is clearly slower is passed over", func(s *Scheduler, _ *Requirements) {
			b := s.byID["b"]
			b.latency, b.learnt = time.Second, clock.Now()
		}, "c"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, _ := newFixture(t)
			need := readNeed(1)
			c.learn(s, &need)
			if diff := cmp.Diff(c.want, mustAcquire(t, s, need).Database.ID); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestUrgentWorkGoesFirst(t *testing.T) {
	s, _ := newFixture(t)
	write := func(rank model.Rank) Requirements {
		return Requirements{Group: ratings, Rank: rank, ArrivedAt: clock.Now(), RequiresPrimary: true}
	}
	var held []Reservation
	for !isRefused(t, s, write(1)) {
		held = append(held, mustAcquire(t, s, write(1)))
		if len(held) > 10 {
			t.Fatal("a database of one slot takes any number of statements")
		}
	}
	order := make(chan model.Rank, 3)
	for _, rank := range []model.Rank{2, 1} {
		go func() {
			seat := mustAcquire(t, s, write(rank))
			order <- rank
			s.FinishStatement(seat, Result{Outcome: OutcomeAnswered})
			s.Release(seat)
		}()
		for s.QueueLength(ratings) < 3-int(rank) {
			time.Sleep(time.Millisecond)
		}
	}
	// The most urgent rank has room that the others do not.
	if isRefused(t, s, write(0)) {
		t.Error("urgent work has to wait behind other work")
	}
	s.FinishStatement(held[0], Result{Outcome: OutcomeAnswered})
	s.Release(held[0])
	if diff := cmp.Diff([]model.Rank{1, 2}, []model.Rank{<-order, <-order}); diff != "" {
		t.Error(diff)
	}
}

func TestNothingGoesToThePrimaryWhileItIsReplaced(t *testing.T) {
	s, leases := newFixture(t)
	need := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	leases.Update(lease.View{
		Version: 2, ReadStartedAt: clock.Now(), IsMember: true,
		Rows: map[model.GroupID]lease.GroupRow{ratings: {Epoch: 2, Phase: lease.PhaseChanging, Primary: "a"}},
	})
	if !isRefused(t, s, need) {
		t.Fatal("work went to a primary that is being replaced")
	}
	seats := make(chan Reservation)
	go func() { seats <- mustAcquire(t, s, need) }()
	for s.QueueLength(ratings) == 0 {
		time.Sleep(time.Millisecond)
	}
	leases.Update(lease.View{
		Version: 3, ReadStartedAt: clock.Now(), IsMember: true,
		Rows: map[model.GroupID]lease.GroupRow{ratings: {Epoch: 3, Primary: "c"}},
	})
	s.Reschedule()
	seat := <-seats
	if diff := cmp.Diff([]any{model.DatabaseID("c"), uint64(3)}, []any{seat.Database.ID, seat.Grant.Epoch}); diff != "" {
		t.Error(diff)
	}
}

// A database that takes no further connection gets no work beyond the
// connections that there are, and the share of an instance is never passed.
func TestConnectionsAreBounded(t *testing.T) {
	s, _ := newFixture(t)
	s.SetDatabases([]Database{{ID: "a", Group: ratings, Slots: 100, MaxConnections: 9}}, 4)
	need := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	first, second := mustAcquire(t, s, need), mustAcquire(t, s, need)
	if !isRefused(t, s, need) {
		t.Error("a quarter of 8 connections is 2")
	}
	s.FinishStatement(second, Result{Outcome: OutcomeConnectionLimit})
	s.Release(second)
	if !isRefused(t, s, need) {
		t.Error("the database is full, and one connection is in use")
	}
	s.FinishStatement(first, Result{Outcome: OutcomeAnswered})
	s.Release(first)
	mustAcquire(t, s, need)
}

func TestFailing(t *testing.T) {
	s, leases := newFixture(t)
	if diff := cmp.Diff(FailureDurationUnknown, s.FailureDuration(ratings)); diff != "" {
		t.Errorf("never heard: %s", diff)
	}
	s.RecordProbe("a", true)
	if diff := cmp.Diff(time.Duration(0), s.FailureDuration(ratings)); diff != "" {
		t.Errorf("answers: %s", diff)
	}
	s.byID["a"].unreachable(clock.Now().Add(-time.Minute))
	if failing := s.FailureDuration(ratings); failing <= 0 || failing > 30*time.Second {
		t.Errorf("failing for %v, though the primary is known for a moment only", failing)
	}
	leases.Update(lease.View{Version: 2, Rows: map[model.GroupID]lease.GroupRow{ratings: {Epoch: 2, Primary: "b"}}})
	if diff := cmp.Diff(FailureDurationUnknown, s.FailureDuration(ratings)); diff != "" {
		t.Errorf("another primary: %s", diff)
	}
}

// What an instance that was cut off has not heard meanwhile says nothing of the
// primary: its silence counts from the first view after the gap.
func TestFailingCountsFromTheEndOfAGap(t *testing.T) {
	s, leases := newFixture(t)
	s.RecordProbe("a", true)
	s.byID["a"].unreachable(clock.Now().Add(-time.Minute))
	rows := leases.View().Rows
	leases.Update(lease.View{Version: 2, ReadStartedAt: clock.Now().Add(-time.Hour), IsMember: true, Rows: rows})
	time.Sleep(lease.Duration)
	before := clock.Now()
	leases.Update(lease.View{Version: 3, ReadStartedAt: before, IsMember: true, Rows: rows})
	if failing, limit := s.FailureDuration(ratings), clock.Since(before); failing > limit {
		t.Errorf("failing for %v, though the gap in the views ended %v ago", failing, limit)
	}
}

// A connection that broke does not keep work from its database.
func TestBrokenConnectionBlocksNothing(t *testing.T) {
	s, _ := newFixture(t)
	need := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	seat := mustAcquire(t, s, need)
	s.FinishStatement(seat, Result{Outcome: OutcomeConnectionLost})
	s.Release(seat)
	if isRefused(t, s, need) {
		t.Error("the database was blocked")
	}
	seat = mustAcquire(t, s, need)
	s.FinishStatement(seat, Result{Outcome: OutcomeUnreachable})
	s.Release(seat)
	if !isRefused(t, s, need) {
		t.Error("a database that can't be reached was not blocked")
	}
}

// A primary that owes an answer is asked on a new connection before it counts as
// silent, and one that answers there is not silent.
func TestSilenceIsDoubtedFirst(t *testing.T) {
	s, _ := newFixture(t)
	need := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	mustAcquire(t, s, need)
	s.RecordProbe("a", true)
	nobody := func(model.GroupID) bool { return false }
	if got := s.PrimariesToProbe(time.Hour, nobody); len(got) != 0 {
		t.Errorf("asked at once: %v", got)
	}
	s.byID["a"].owed = clock.Now().Add(-2 * silentAfter)
	if got := s.PrimariesToProbe(time.Hour, nobody); len(got) != 1 {
		t.Errorf("a primary that owes an answer is not asked")
	}
	s.RecordProbe("a", true)
	if failing := s.FailureDuration(ratings); failing != 0 || len(s.PrimariesToProbe(time.Hour, nobody)) != 0 {
		t.Errorf("it answered, and fails for %v", failing)
	}
}

// Only a witness asks a primary for which it has no work, but whoever has seen it
// fail asks on until it answers.
func TestWitnessesAskAnIdlePrimary(t *testing.T) {
	for name, c := range map[string]struct {
		isWitness bool
		learn     func(s *Scheduler)
		asked     bool
		failing   bool
	}{
		"a witness":                       {true, func(*Scheduler) {}, true, false},
		"no witness":                      {false, func(*Scheduler) {}, false, false},
		"no witness, and it failed":       {false, func(s *Scheduler) { s.RecordProbe("a", false) }, true, true},
		"no witness, and it came back":    {false, func(s *Scheduler) { s.RecordProbe("a", false); s.RecordProbe("a", true) }, false, false},
		"a witness that has just asked":   {true, func(s *Scheduler) { s.RecordProbe("a", true) }, false, false},
		"heard too long ago to tell more": {false, func(s *Scheduler) { s.byID["a"].heard = clock.Now().Add(-heardFor) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newFixture(t)
			c.learn(s)
			asked := s.PrimariesToProbe(time.Second, func(model.GroupID) bool { return c.isWitness })
			if diff := cmp.Diff([]bool{c.asked, c.failing}, []bool{len(asked) > 0, s.FailureDuration(ratings) > 0}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Where there are fewer connections than instances, each may use a few, and gives
// them back when it does not.
func TestScarceConnections(t *testing.T) {
	s, _ := newFixture(t)
	s.SetDatabases([]Database{{ID: "a", Group: ratings, Slots: 100, MaxConnections: 9}}, 9)
	need := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	var held []Reservation
	for !isRefused(t, s, need) {
		held = append(held, mustAcquire(t, s, need))
	}
	if diff := cmp.Diff([]any{scarceShare, true}, []any{len(held), held[0].Database.HasScarceConnections}); diff != "" {
		t.Error(diff)
	}
}

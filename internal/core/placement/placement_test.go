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

// newFixture returns the scheduler of the only instance, in zone lanier, for a
// group of primary a and replicas b and c. Replica b is in the same zone as the
// instance.
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
	}, Population{Instances: 1})
	return s, leases
}

// samplesAt returns position samples with a single sample, taken now.
func samplesAt(position model.Position) *fresh.PositionSamples {
	samples := &fresh.PositionSamples{}
	samples.Add(clock.Now(), position)
	return samples
}

var newestPosition = model.Position{Term: 1, Offset: 9}

// readRequirements returns the requirements of a read that accepts data up to one
// second old.
func readRequirements(rank model.Rank) Requirements {
	return Requirements{
		Group: ratings, Rank: rank, ArrivedAt: clock.Now(),
		AsOf: clock.Now().Add(-time.Second), Samples: samplesAt(newestPosition),
	}
}

func mustAcquire(t *testing.T, s *Scheduler, requirements Requirements) Reservation {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reservation, err := s.Acquire(ctx, requirements)
	if err != nil {
		t.Fatal(err)
	}
	return reservation
}

// cannotAcquire reports whether no reservation is available now. A reservation that is
// available is released again.
func cannotAcquire(t *testing.T, s *Scheduler, requirements Requirements) bool {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reservation, err := s.Acquire(ctx, requirements)
	if err == nil {
		s.FinishStatement(reservation, Result{Outcome: OutcomeNotSent})
		s.Release(reservation)
	}
	return err != nil
}

func TestReadsPreferFreshReplicaInSameZone(t *testing.T) {
	s, _ := newFixture(t)
	reservation := mustAcquire(t, s, readRequirements(1))
	if diff := cmp.Diff([]any{model.DatabaseID("b"), false, newestPosition}, []any{reservation.Database.ID, reservation.IsPrimary, reservation.MinPosition}); diff != "" {
		t.Error(diff)
	}
}

func TestChooseDatabase(t *testing.T) {
	cases := []struct {
		name string
		// prepare changes the scheduler's state or the requirements before the
		// database is chosen.
		prepare func(s *Scheduler, requirements *Requirements)
		want    model.DatabaseID
	}{
		{"writes go to the primary", func(_ *Scheduler, r *Requirements) { r.RequiresPrimary = true }, "a"},
		{"reads go to the primary without a position sample", func(_ *Scheduler, r *Requirements) { r.Samples = &fresh.PositionSamples{} }, "a"},
		{"an excluded database is skipped", func(_ *Scheduler, r *Requirements) { r.ExcludedDatabases = []model.DatabaseID{"b"} }, "c"},
		{"a lagging replica is skipped", func(s *Scheduler, _ *Requirements) {
			db := s.byID["b"]
			db.lag, db.behindAt = time.Hour, clock.Now()
		}, "c"},
		{"a replica that lagged long ago is tried again", func(s *Scheduler, r *Requirements) {
			db := s.byID["b"]
			db.lag, db.behindAt = 10*time.Millisecond, clock.Now().Add(-time.Hour)
			r.MinPosition, r.MinPositionAsOf = newestPosition, clock.Now().Add(-time.Second)
		}, "b"},
		{"the lag estimate is ignored when the replica has the position", func(s *Scheduler, _ *Requirements) {
			db := s.byID["b"]
			db.lag, db.behindAt, db.applied = time.Hour, clock.Now(), newestPosition
		}, "b"},
		{"an unreachable replica is skipped", func(s *Scheduler, _ *Requirements) { s.RecordProbe("b", false) }, "c"},
		{"an unresponsive replica is skipped", func(s *Scheduler, _ *Requirements) {
			db := s.byID["b"]
			db.unansweredSince = clock.Now().Add(-2 * unresponsiveAfter)
		}, "c"},
		{"a draining replica is skipped", func(s *Scheduler, _ *Requirements) { s.byID["b"].Leaving = true }, "c"},
		{"a much slower replica is skipped", func(s *Scheduler, _ *Requirements) {
			db := s.byID["b"]
			db.latency, db.latencyUpdatedAt = time.Second, clock.Now()
		}, "c"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, _ := newFixture(t)
			requirements := readRequirements(1)
			c.prepare(s, &requirements)
			if diff := cmp.Diff(c.want, mustAcquire(t, s, requirements).Database.ID); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestUrgentRankIsServedFirst(t *testing.T) {
	s, _ := newFixture(t)
	writeRequirements := func(rank model.Rank) Requirements {
		return Requirements{Group: ratings, Rank: rank, ArrivedAt: clock.Now(), RequiresPrimary: true}
	}
	var reservations []Reservation
	for !cannotAcquire(t, s, writeRequirements(1)) {
		reservations = append(reservations, mustAcquire(t, s, writeRequirements(1)))
		if len(reservations) > 10 {
			t.Fatal("the number of statements in flight to a database with one slot is not limited")
		}
	}
	order := make(chan model.Rank, 3)
	for _, rank := range []model.Rank{2, 1} {
		go func() {
			reservation := mustAcquire(t, s, writeRequirements(rank))
			order <- rank
			s.FinishStatement(reservation, Result{Outcome: OutcomeAnswered})
			s.Release(reservation)
		}()
		for s.QueueLength(ratings) < 3-int(rank) {
			time.Sleep(time.Millisecond)
		}
	}
	// The most urgent rank may have one more statement in flight than the others.
	if cannotAcquire(t, s, writeRequirements(0)) {
		t.Error("a statement of the most urgent rank waits behind less urgent ones")
	}
	s.FinishStatement(reservations[0], Result{Outcome: OutcomeAnswered})
	s.Release(reservations[0])
	if diff := cmp.Diff([]model.Rank{1, 2}, []model.Rank{<-order, <-order}); diff != "" {
		t.Error(diff)
	}
}

func TestPrimaryIsUnavailableDuringFailover(t *testing.T) {
	s, leases := newFixture(t)
	requirements := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	leases.Update(lease.View{
		Version: 2, ReadStartedAt: clock.Now(), IsMember: true,
		Rows: map[model.GroupID]lease.GroupRow{ratings: {Epoch: 2, Phase: lease.PhaseChanging, Primary: "a"}},
	})
	if !cannotAcquire(t, s, requirements) {
		t.Fatal("a reservation was made on a primary that is being replaced")
	}
	reservations := make(chan Reservation)
	go func() { reservations <- mustAcquire(t, s, requirements) }()
	for s.QueueLength(ratings) == 0 {
		time.Sleep(time.Millisecond)
	}
	leases.Update(lease.View{
		Version: 3, ReadStartedAt: clock.Now(), IsMember: true,
		Rows: map[model.GroupID]lease.GroupRow{ratings: {Epoch: 3, Primary: "c"}},
	})
	s.Reschedule()
	reservation := <-reservations
	if diff := cmp.Diff([]any{model.DatabaseID("c"), uint64(3)}, []any{reservation.Database.ID, reservation.Grant.Epoch}); diff != "" {
		t.Error(diff)
	}
}

// An instance never uses more than its share of a database's connections. A
// database that has rejected a connection gets no statement that would need
// another one.
func TestConnectionsAreBounded(t *testing.T) {
	s, _ := newFixture(t)
	s.SetDatabases([]Database{{ID: "a", Group: ratings, Slots: 100, MaxConnections: 9}}, Population{Instances: 4})
	requirements := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	first, second := mustAcquire(t, s, requirements), mustAcquire(t, s, requirements)
	if !cannotAcquire(t, s, requirements) {
		t.Error("a third connection was reserved, want 2: a quarter of 8")
	}
	s.FinishStatement(second, Result{Outcome: OutcomeConnectionLimit})
	s.Release(second)
	if !cannotAcquire(t, s, requirements) {
		t.Error("a second connection was reserved after the database had rejected one")
	}
	s.FinishStatement(first, Result{Outcome: OutcomeAnswered})
	s.Release(first)
	mustAcquire(t, s, requirements)
}

// Where many instances want one of few connections, an instance that is rejected again
// and again must ask less often, and at once again after an answer.
func TestRejectedConnectionsAreTriedLessOften(t *testing.T) {
	db := &databaseState{}
	now := time.Unix(1000, 0)
	var delays []time.Duration
	reject := func() {
		db.recordResult(now, Result{Outcome: OutcomeConnectionLimit})
		delays = append(delays, db.connectionLimitUntil.Sub(now))
	}
	for range 5 {
		reject()
	}
	db.recordResult(now, Result{Outcome: OutcomeAnswered, Elapsed: time.Millisecond})
	reject()
	const first = connectionLimitBackoff
	if diff := cmp.Diff([]time.Duration{first, 2 * first, 4 * first, 4 * first, 4 * first, first}, delays); diff != "" {
		t.Error(diff)
	}
}

func TestFailureDuration(t *testing.T) {
	s, leases := newFixture(t)
	if diff := cmp.Diff(FailureDurationUnknown, s.FailureDuration(ratings)); diff != "" {
		t.Errorf("before the first answer: %s", diff)
	}
	s.RecordProbe("a", true)
	if diff := cmp.Diff(time.Duration(0), s.FailureDuration(ratings)); diff != "" {
		t.Errorf("after an answer: %s", diff)
	}
	s.byID["a"].recordUnreachable(clock.Now().Add(-time.Minute))
	if duration := s.FailureDuration(ratings); duration <= 0 || duration > 30*time.Second {
		t.Errorf("failure duration is %v, although the primary has just become known", duration)
	}
	leases.Update(lease.View{Version: 2, Rows: map[model.GroupID]lease.GroupRow{ratings: {Epoch: 2, Primary: "b"}}})
	if diff := cmp.Diff(FailureDurationUnknown, s.FailureDuration(ratings)); diff != "" {
		t.Errorf("after a failover: %s", diff)
	}
}

// Many instances, each of which seldom sends a statement to a primary: soon after a
// failure, those that have sent nothing since must no longer testify that it answers.
// Observers probe an idle primary each second and always testify.
func TestOldAnswerIsNoEvidence(t *testing.T) {
	s, _ := newFixture(t)
	for age, want := range map[time.Duration]time.Duration{
		1200 * time.Millisecond: 0,
		1500 * time.Millisecond: FailureDurationUnknown,
	} {
		s.byID["a"].lastAnswerAt = clock.Now().Add(-age)
		if diff := cmp.Diff(want, s.FailureDuration(ratings)); diff != "" {
			t.Errorf("after %v: %s", age, diff)
		}
	}
}

// An instance that was partitioned cannot tell whether the primary failed in the
// meantime: the failure duration starts at the first view after the gap.
func TestFailureDurationStartsAfterViewGap(t *testing.T) {
	s, leases := newFixture(t)
	s.RecordProbe("a", true)
	s.byID["a"].recordUnreachable(clock.Now().Add(-time.Minute))
	rows := leases.View().Rows
	leases.Update(lease.View{Version: 2, ReadStartedAt: clock.Now().Add(-time.Hour), IsMember: true, Rows: rows})
	time.Sleep(lease.Duration)
	gapEnd := clock.Now()
	leases.Update(lease.View{Version: 3, ReadStartedAt: gapEnd, IsMember: true, Rows: rows})
	if duration, limit := s.FailureDuration(ratings), clock.Since(gapEnd); duration > limit {
		t.Errorf("failure duration is %v, although the gap in the views ended %v ago", duration, limit)
	}
}

// A lost connection alone does not block a database; a failed attempt to connect
// does.
func TestLostConnectionDoesNotBlockDatabase(t *testing.T) {
	s, _ := newFixture(t)
	requirements := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	reservation := mustAcquire(t, s, requirements)
	s.FinishStatement(reservation, Result{Outcome: OutcomeConnectionLost})
	s.Release(reservation)
	if cannotAcquire(t, s, requirements) {
		t.Error("the database was blocked after a lost connection")
	}
	reservation = mustAcquire(t, s, requirements)
	s.FinishStatement(reservation, Result{Outcome: OutcomeUnreachable})
	s.Release(reservation)
	if !cannotAcquire(t, s, requirements) {
		t.Error("an unreachable database was not blocked")
	}
}

// A primary with an overdue answer is probed on a new connection before it counts as
// unresponsive, and does not count as unresponsive if it answers the probe.
func TestUnansweredPrimaryIsProbedFirst(t *testing.T) {
	s, _ := newFixture(t)
	requirements := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	mustAcquire(t, s, requirements)
	s.RecordProbe("a", true)
	observesNone := func(model.GroupID) bool { return false }
	if got := s.PrimariesToProbe(time.Hour, observesNone); len(got) != 0 {
		t.Errorf("probed at once: %v", got)
	}
	s.byID["a"].unansweredSince = clock.Now().Add(-2 * unresponsiveAfter)
	if got := s.PrimariesToProbe(time.Hour, observesNone); len(got) != 1 {
		t.Errorf("a primary with an overdue answer is not probed")
	}
	s.RecordProbe("a", true)
	if duration := s.FailureDuration(ratings); duration != 0 || len(s.PrimariesToProbe(time.Hour, observesNone)) != 0 {
		t.Errorf("failure duration after an answered probe is %v, want 0 and no further probe", duration)
	}
}

// Only an observer probes a primary to which it sends no statements, but an instance
// that has seen it fail keeps probing until it answers.
func TestObserversProbeIdlePrimary(t *testing.T) {
	for name, c := range map[string]struct {
		isObserver bool
		prepare    func(s *Scheduler)
		probed     bool
		failing    bool
	}{
		"observer":                             {true, func(*Scheduler) {}, true, false},
		"not an observer":                      {false, func(*Scheduler) {}, false, false},
		"not an observer, failed":              {false, func(s *Scheduler) { s.RecordProbe("a", false) }, true, true},
		"not an observer, recovered":           {false, func(s *Scheduler) { s.RecordProbe("a", false); s.RecordProbe("a", true) }, false, false},
		"observer, just probed":                {true, func(s *Scheduler) { s.RecordProbe("a", true) }, false, false},
		"not an observer, last answer too old": {false, func(s *Scheduler) { s.byID["a"].lastAnswerAt = clock.Now().Add(-maxAnswerAge) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newFixture(t)
			c.prepare(s)
			probed := s.PrimariesToProbe(time.Second, func(model.GroupID) bool { return c.isObserver })
			if diff := cmp.Diff([]bool{c.probed, c.failing}, []bool{len(probed) > 0, s.FailureDuration(ratings) > 0}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Where there are fewer connections than instances, each instance may use
// scarceConnectionShare of them at a time.
func TestScarceConnections(t *testing.T) {
	s, _ := newFixture(t)
	s.SetDatabases([]Database{{ID: "a", Group: ratings, Slots: 100, MaxConnections: 9}}, Population{Instances: 9})
	requirements := Requirements{Group: ratings, ArrivedAt: clock.Now(), RequiresPrimary: true}
	var reservations []Reservation
	for !cannotAcquire(t, s, requirements) {
		reservations = append(reservations, mustAcquire(t, s, requirements))
	}
	if diff := cmp.Diff([]any{scarceConnectionShare, true}, []any{len(reservations), reservations[0].Database.HasScarceConnections}); diff != "" {
		t.Error(diff)
	}
}

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
	leases.Learn(lease.View{
		Version: 1, Began: clock.Now(), Member: true,
		Rows: map[model.GroupID]lease.Row{ratings: {Epoch: 1, Primary: "a"}},
	})
	s := NewScheduler("lanier", leases)
	s.SetDatabases([]Database{
		{ID: "a", Group: ratings, Zone: "savannah", Slots: 1, Connections: 9},
		{ID: "b", Group: ratings, Zone: "lanier", Slots: 1, Connections: 9},
		{ID: "c", Group: ratings, Zone: "savannah", Slots: 1, Connections: 9},
	}, 1)
	return s, leases
}

// samplesAt returns samples with one position, covering all before now.
func samplesAt(position model.Position) *fresh.Samples {
	samples := &fresh.Samples{}
	samples.Add(clock.Now(), position)
	return samples
}

var newest = model.Position{Term: 1, Offset: 9}

// readNeed is a read that bears data of a second.
func readNeed(rank model.Rank) Need {
	return Need{
		Group: ratings, Rank: rank, Arrived: clock.Now(),
		AsOf: clock.Now().Add(-time.Second), Samples: samplesAt(newest),
	}
}

func mustAcquire(t *testing.T, s *Scheduler, need Need) Seat {
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
func isRefused(t *testing.T, s *Scheduler, need Need) bool {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	seat, err := s.Acquire(ctx, need)
	if err == nil {
		s.Finish(seat, Result{Ending: EndingUnused})
		s.Leave(seat)
	}
	return err != nil
}

func TestReadsGoToAFreshReplicaOfTheOwnZone(t *testing.T) {
	s, _ := newFixture(t)
	seat := mustAcquire(t, s, readNeed(1))
	if diff := cmp.Diff([]any{model.DatabaseID("b"), false, newest}, []any{seat.Database.ID, seat.IsPrimary, seat.After}); diff != "" {
		t.Error(diff)
	}
}

func TestChoiceOfADatabase(t *testing.T) {
	cases := []struct {
		name string
		// learn changes what is believed before the choice.
		learn func(s *Scheduler, need *Need)
		want  model.DatabaseID
	}{
		{"writes go to the primary", func(_ *Scheduler, n *Need) { n.Primary = true }, "a"},
		{"without a sample only the primary will do", func(_ *Scheduler, n *Need) { n.Samples = &fresh.Samples{} }, "a"},
		{"what was tried in vain is avoided", func(_ *Scheduler, n *Need) { n.Avoid = []model.DatabaseID{"b"} }, "c"},
		{"a replica that lags is passed over", func(s *Scheduler, _ *Need) {
			b := s.byID["b"]
			b.lag, b.lagged = time.Hour, clock.Now()
		}, "c"},
		{"a replica that lagged long ago is tried", func(s *Scheduler, n *Need) {
			b := s.byID["b"]
			b.lag, b.lagged = 10*time.Millisecond, clock.Now().Add(-time.Hour)
			n.Floor, n.FloorAt = newest, clock.Now().Add(-time.Second)
		}, "b"},
		{"a replica that is known to have the position does not lag", func(s *Scheduler, _ *Need) {
			b := s.byID["b"]
			b.lag, b.lagged, b.applied = time.Hour, clock.Now(), newest
		}, "b"},
		{"an unreachable replica is passed over", func(s *Scheduler, _ *Need) { s.Observe("b", false) }, "c"},
		{"a silent replica is passed over", func(s *Scheduler, _ *Need) {
			b := s.byID["b"]
			b.owed = clock.Now().Add(-2 * silentAfter)
		}, "c"},
		{"a leaving replica gets nothing", func(s *Scheduler, _ *Need) { s.byID["b"].Leaving = true }, "c"},
		{"a replica that is clearly slower is passed over", func(s *Scheduler, _ *Need) {
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
	write := func(rank model.Rank) Need {
		return Need{Group: ratings, Rank: rank, Arrived: clock.Now(), Primary: true}
	}
	var held []Seat
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
			s.Finish(seat, Result{Ending: EndingAnswered})
			s.Leave(seat)
		}()
		for s.Waiting(ratings) < 3-int(rank) {
			time.Sleep(time.Millisecond)
		}
	}
	// The most urgent rank has room that the others do not.
	if isRefused(t, s, write(0)) {
		t.Error("urgent work has to wait behind other work")
	}
	s.Finish(held[0], Result{Ending: EndingAnswered})
	s.Leave(held[0])
	if diff := cmp.Diff([]model.Rank{1, 2}, []model.Rank{<-order, <-order}); diff != "" {
		t.Error(diff)
	}
}

func TestNothingGoesToThePrimaryWhileItIsReplaced(t *testing.T) {
	s, leases := newFixture(t)
	need := Need{Group: ratings, Arrived: clock.Now(), Primary: true}
	leases.Learn(lease.View{
		Version: 2, Began: clock.Now(), Member: true,
		Rows: map[model.GroupID]lease.Row{ratings: {Epoch: 2, Phase: lease.PhaseChanging, Primary: "a"}},
	})
	if !isRefused(t, s, need) {
		t.Fatal("work went to a primary that is being replaced")
	}
	seats := make(chan Seat)
	go func() { seats <- mustAcquire(t, s, need) }()
	for s.Waiting(ratings) == 0 {
		time.Sleep(time.Millisecond)
	}
	leases.Learn(lease.View{
		Version: 3, Began: clock.Now(), Member: true,
		Rows: map[model.GroupID]lease.Row{ratings: {Epoch: 3, Primary: "c"}},
	})
	s.Wake()
	seat := <-seats
	if diff := cmp.Diff([]any{model.DatabaseID("c"), uint64(3)}, []any{seat.Database.ID, seat.Grant.Epoch}); diff != "" {
		t.Error(diff)
	}
}

// A database that takes no further connection gets no work beyond the
// connections that there are, and the share of an instance is never passed.
func TestConnectionsAreBounded(t *testing.T) {
	s, _ := newFixture(t)
	s.SetDatabases([]Database{{ID: "a", Group: ratings, Slots: 100, Connections: 9}}, 4)
	need := Need{Group: ratings, Arrived: clock.Now(), Primary: true}
	first, second := mustAcquire(t, s, need), mustAcquire(t, s, need)
	if !isRefused(t, s, need) {
		t.Error("a quarter of 8 connections is 2")
	}
	s.Finish(second, Result{Ending: EndingFull})
	s.Leave(second)
	if !isRefused(t, s, need) {
		t.Error("the database is full, and one connection is in use")
	}
	s.Finish(first, Result{Ending: EndingAnswered})
	s.Leave(first)
	mustAcquire(t, s, need)
}

func TestFailing(t *testing.T) {
	s, leases := newFixture(t)
	if diff := cmp.Diff(FailingUnknown, s.Failing(ratings)); diff != "" {
		t.Errorf("never heard: %s", diff)
	}
	s.Observe("a", true)
	if diff := cmp.Diff(time.Duration(0), s.Failing(ratings)); diff != "" {
		t.Errorf("answers: %s", diff)
	}
	s.byID["a"].unreachable(clock.Now().Add(-time.Minute))
	if failing := s.Failing(ratings); failing <= 0 || failing > 30*time.Second {
		t.Errorf("failing for %v, though the primary is known for a moment only", failing)
	}
	leases.Learn(lease.View{Version: 2, Rows: map[model.GroupID]lease.Row{ratings: {Epoch: 2, Primary: "b"}}})
	if diff := cmp.Diff(FailingUnknown, s.Failing(ratings)); diff != "" {
		t.Errorf("another primary: %s", diff)
	}
}

// What an instance that was cut off has not heard meanwhile says nothing of the
// primary: its silence counts from the first view after the gap.
func TestFailingCountsFromTheEndOfAGap(t *testing.T) {
	s, leases := newFixture(t)
	s.Observe("a", true)
	s.byID["a"].unreachable(clock.Now().Add(-time.Minute))
	rows := leases.View().Rows
	leases.Learn(lease.View{Version: 2, Began: clock.Now().Add(-time.Hour), Member: true, Rows: rows})
	time.Sleep(lease.Length)
	before := clock.Now()
	leases.Learn(lease.View{Version: 3, Began: before, Member: true, Rows: rows})
	if failing, limit := s.Failing(ratings), clock.Since(before); failing > limit {
		t.Errorf("failing for %v, though the gap in the views ended %v ago", failing, limit)
	}
}

// A connection that broke does not keep work from its database.
func TestBrokenConnectionBlocksNothing(t *testing.T) {
	s, _ := newFixture(t)
	need := Need{Group: ratings, Arrived: clock.Now(), Primary: true}
	seat := mustAcquire(t, s, need)
	s.Finish(seat, Result{Ending: EndingBroken})
	s.Leave(seat)
	if isRefused(t, s, need) {
		t.Error("the database was blocked")
	}
	seat = mustAcquire(t, s, need)
	s.Finish(seat, Result{Ending: EndingUnreachable})
	s.Leave(seat)
	if !isRefused(t, s, need) {
		t.Error("a database that can't be reached was not blocked")
	}
}

// A primary that owes an answer is asked on a new connection before it counts as
// silent, and one that answers there is not silent.
func TestSilenceIsDoubtedFirst(t *testing.T) {
	s, _ := newFixture(t)
	need := Need{Group: ratings, Arrived: clock.Now(), Primary: true}
	mustAcquire(t, s, need)
	s.Observe("a", true)
	nobody := func(model.GroupID) bool { return false }
	if got := s.Unheard(time.Hour, nobody); len(got) != 0 {
		t.Errorf("asked at once: %v", got)
	}
	s.byID["a"].owed = clock.Now().Add(-2 * silentAfter)
	if got := s.Unheard(time.Hour, nobody); len(got) != 1 {
		t.Errorf("a primary that owes an answer is not asked")
	}
	s.Observe("a", true)
	if failing := s.Failing(ratings); failing != 0 || len(s.Unheard(time.Hour, nobody)) != 0 {
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
		"no witness, and it failed":       {false, func(s *Scheduler) { s.Observe("a", false) }, true, true},
		"no witness, and it came back":    {false, func(s *Scheduler) { s.Observe("a", false); s.Observe("a", true) }, false, false},
		"a witness that has just asked":   {true, func(s *Scheduler) { s.Observe("a", true) }, false, false},
		"heard too long ago to tell more": {false, func(s *Scheduler) { s.byID["a"].heard = clock.Now().Add(-heardFor) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newFixture(t)
			c.learn(s)
			asked := s.Unheard(time.Second, func(model.GroupID) bool { return c.isWitness })
			if diff := cmp.Diff([]bool{c.asked, c.failing}, []bool{len(asked) > 0, s.Failing(ratings) > 0}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Where there are fewer connections than instances, each may use a few, and gives
// them back when it does not.
func TestScarceConnections(t *testing.T) {
	s, _ := newFixture(t)
	s.SetDatabases([]Database{{ID: "a", Group: ratings, Slots: 100, Connections: 9}}, 9)
	need := Need{Group: ratings, Arrived: clock.Now(), Primary: true}
	var held []Seat
	for !isRefused(t, s, need) {
		held = append(held, mustAcquire(t, s, need))
	}
	if diff := cmp.Diff([]any{scarceShare, true}, []any{len(held), held[0].Database.IsScarce}); diff != "" {
		t.Error(diff)
	}
}

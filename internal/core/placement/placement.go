// Package placement decides which database runs a statement, and which of the
// statements that wait goes first.
//
// # What flows in and out
//
// Databases flow in as the directory knows them, with what answers tell of them:
// how long they took, how far their logs reach, and when they could not be
// reached. Needs of sessions flow in; Seats flow out, in the order of rank and
// then of arrival. A seat is one connection of a database and one statement
// on its way there.
//
// No more statements are on their way to a database than limits allow, so that
// the order of ranks is made here and not in the database's own queue, which
// knows none.
//
// # Usage
//
//	scheduler := placement.NewScheduler(zone, leases)
//	scheduler.SetDatabases(databases, instances)
//	seat, err := scheduler.Acquire(ctx, need)
//	...
//	scheduler.Finish(seat, result)
//	scheduler.Leave(seat)
package placement

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Database is one database as the directory knows it.
type Database struct {
	ID      model.DatabaseID
	Group   model.GroupID
	Zone    model.ZoneID
	Address netip.AddrPort
	// Slots is the number of statements that it runs at once.
	Slots int
	// MaxConnections is the number of connections that it takes from all
	// instances together.
	MaxConnections int
	// HasScarceConnections says that there are fewer connections than instances: each holds
	// one only while it uses it.
	HasScarceConnections bool
	// Leaving says that it takes no new work, unless it is the primary and no
	// other has taken over yet.
	Leaving bool
	// ClaimsPrimary says that the database itself says it is the primary.
	ClaimsPrimary bool
	// Incarnation tells one start of the database from another under the same ID.
	Incarnation int64
}

// Requirements is what a session wants a seat for.
type Requirements struct {
	Group     model.GroupID
	Rank      model.Rank
	ArrivedAt time.Time
	// RequiresPrimary says that no replica will do.
	RequiresPrimary bool
	// AsOf and Samples give the position that a replica must have reached: the
	// lowest that covers all commits acknowledged before AsOf. Without such a
	// sample only the primary will do.
	AsOf    time.Time
	Samples *fresh.PositionSamples
	// MinPosition is a further position that must have been reached, written before
	// MinPositionAsOf.
	MinPosition     model.Position
	MinPositionAsOf time.Time
	// ExcludedDatabases lists databases that have just been tried in vain.
	ExcludedDatabases []model.DatabaseID
}

// Reservation is a place at a database.
type Reservation struct {
	Database Database
	// IsPrimary says that the database was taken as the primary, under Grant.
	IsPrimary bool
	Grant     lease.Grant
	// MinPosition is the position that the database must have reached, written before
	// Since. It is zero where only a proof that the database is the primary can
	// tell that its answer is fresh.
	MinPosition     model.Position
	MinPositionAsOf time.Time
	belief          *belief
}

// freshness returns the position that a replica must have reached, the time
// before which it was written, and whether that is known.
func (n *Requirements) freshness() (model.Position, time.Time, bool) {
	if n.Samples == nil {
		return model.Position{}, time.Time{}, false
	}
	sample, found := n.Samples.LowestCovering(n.AsOf)
	if !found {
		return model.Position{}, time.Time{}, false
	}
	if sample.Position.Less(n.MinPosition) {
		return n.MinPosition, n.MinPositionAsOf, true
	}
	return sample.Position, sample.At, true
}

// Scheduler hands out seats. NewScheduler makes one; it may be used from many
// goroutines.
type Scheduler struct {
	zone   model.ZoneID
	leases *lease.Table

	mu     sync.Mutex
	groups map[model.GroupID]*group
	byID   map[model.DatabaseID]*belief
	// instances is the number of instances that share the databases.
	instances int
}

// group holds the databases of a group and what waits for them.
type group struct {
	name      model.GroupID
	databases []*belief
	waiting   []*waiter
}

// waiter is a need that has no seat yet.
type waiter struct {
	need Requirements
	// seat takes the seat; it has room for one.
	seat chan Reservation
}

// NewScheduler returns a scheduler without databases.
func NewScheduler(zone model.ZoneID, leases *lease.Table) *Scheduler {
	return &Scheduler{
		zone: zone, leases: leases, instances: 1,
		groups: map[model.GroupID]*group{}, byID: map[model.DatabaseID]*belief{},
	}
}

// SetDatabases replaces the known databases and the number of instances that
// share them. What was learnt of a database stays, unless it was born anew.
func (s *Scheduler) SetDatabases(databases []Database, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(1, instances)
	for i := range databases {
		databases[i].HasScarceConnections = databases[i].MaxConnections-connectionsKept < s.instances
	}
	known := s.byID
	s.byID = make(map[model.DatabaseID]*belief, len(databases))
	for _, g := range s.groups {
		g.databases = nil
	}
	for _, d := range databases {
		b, found := known[d.ID]
		if !found || b.Incarnation != d.Incarnation {
			b = &belief{}
		}
		b.Database = d
		s.byID[d.ID] = b
		g := s.group(d.Group)
		g.databases = append(g.databases, b)
	}
	for name, g := range s.groups {
		if len(g.databases) == 0 && len(g.waiting) == 0 {
			delete(s.groups, name)
			continue
		}
		s.pump(g)
	}
}

func (s *Scheduler) group(name model.GroupID) *group {
	g, found := s.groups[name]
	if !found {
		g = &group{name: name}
		s.groups[name] = g
	}
	return g
}

// -----------------------------------------------------------------------------
// Seats.

// Acquire waits for a seat until ctx ends. Its errors are those of ctx.
func (s *Scheduler) Acquire(ctx context.Context, need Requirements) (Reservation, error) {
	w := &waiter{need: need, seat: make(chan Reservation, 1)}
	s.mu.Lock()
	g := s.group(need.Group)
	at, _ := slices.BinarySearchFunc(g.waiting, w, compareWaiters)
	g.waiting = slices.Insert(g.waiting, at, w)
	s.pump(g)
	s.mu.Unlock()
	select {
	case seat := <-w.seat:
		return seat, nil
	default:
	}
	select {
	case seat := <-w.seat:
		return seat, nil
	case <-ctx.Done():
		return s.withdraw(w)
	}
}

// withdraw takes a waiter out of its queue. A seat that came at the same moment
// is returned.
func (s *Scheduler) withdraw(w *waiter) (Reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(w.need.Group)
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return Reservation{}, context.DeadlineExceeded
	}
	return <-w.seat, nil
}

// compareWaiters orders by rank, then by arrival; of equals, the one that came
// to the queue first stays first.
func compareWaiters(a, b *waiter) int {
	if a.need.Rank != b.need.Rank {
		return int(a.need.Rank - b.need.Rank)
	}
	if c := a.need.ArrivedAt.Compare(b.need.ArrivedAt); c != 0 {
		return c
	}
	return -1
}

// Reschedule looks again at everything that waits: the leases may have changed.
func (s *Scheduler) Reschedule() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		s.pump(g)
	}
}

// QueueLength returns the number of needs in a group's queue.
func (s *Scheduler) QueueLength(name model.GroupID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, found := s.groups[name]; found {
		return len(g.waiting)
	}
	return 0
}

// FailureDurationUnknown is what Failing returns for a primary that was not heard lately
// and was asked nothing.
const FailureDurationUnknown = -time.Nanosecond

// FailureDuration returns for how long a group's primary has given no answer although it
// was asked, zero where it answers, or FailureDurationUnknown.
func (s *Scheduler) FailureDuration(name model.GroupID) time.Duration {
	primary, found := s.leases.Grant(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[primary.Primary]
	if !found || b == nil {
		return FailureDurationUnknown
	}
	now := clock.Now()
	// What happened before the database was known as the primary, or while this
	// instance was cut off, says nothing of it as the primary.
	known := now.Sub(s.leases.EpochSeenSince(name))
	if failing := min(b.failing(now), known); failing > 0 || now.Sub(b.heard) < heardFor {
		return failing
	}
	return FailureDurationUnknown
}

// PrimariesToProbe returns the primaries whose silence tells nothing: those that owe an
// answer, which may be held up on an old connection only, those that failed
// last, and, of the groups that this instance witnesses, those that have not
// answered for a while and have nothing to answer.
func (s *Scheduler) PrimariesToProbe(after time.Duration, witnesses func(model.GroupID) bool) []Database {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var unheard []Database
	for name := range s.groups {
		primary, found := s.leases.Grant(name)
		b := s.byID[primary.Primary]
		if !found || b == nil {
			continue
		}
		isIdle := b.running == 0 && now.Sub(b.heard) > after
		if isIdle && (b.failing(now) > 0 || witnesses(name)) || b.isDoubted(now) {
			unheard = append(unheard, b.Database)
		}
	}
	return unheard
}

// IsSuspected reports whether a database owes an answer for long or failed last.
func (s *Scheduler) IsSuspected(id model.DatabaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, now := s.byID[id], clock.Now()
	return b != nil && (b.isDoubted(now) || b.failing(now) > 0)
}

// RecordProbe notes that a database has answered a question of the control, or has
// not.
func (s *Scheduler) RecordProbe(id model.DatabaseID, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[id]
	if b == nil {
		return
	}
	now := clock.Now()
	if answered {
		b.answered(now)
	} else {
		b.unreachable(now)
	}
	s.pump(s.group(b.Group))
}

// pump gives seats to those that wait, in their order, as far as there are any.
func (s *Scheduler) pump(g *group) {
	now := clock.Now()
	primary, found := s.leases.Grant(g.name)
	left := g.waiting[:0]
	for _, w := range g.waiting {
		seat := s.choose(now, g, &w.need, primary, found)
		if seat.belief == nil {
			left = append(left, w)
			continue
		}
		seat.belief.running++
		seat.belief.leased++
		seat.belief.sent(now)
		w.seat <- seat
	}
	clear(g.waiting[len(left):])
	g.waiting = left
}

// StartStatement notes that another statement goes to the database of a seat that is
// held, as those of a transaction do.
func (s *Scheduler) StartStatement(seat Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seat.belief.running++
	seat.belief.sent(clock.Now())
}

// FinishStatement notes how a statement ended.
func (s *Scheduler) FinishStatement(seat Reservation, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := seat.belief
	b.running--
	b.learn(clock.Now(), result)
	if pause := b.pauseOf(result); pause > 0 {
		time.AfterFunc(pause, s.Reschedule)
	}
	s.pump(s.group(b.Group))
}

// Release gives the connection of a seat back.
func (s *Scheduler) Release(seat Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seat.belief.leased--
	s.pump(s.group(seat.belief.Group))
}

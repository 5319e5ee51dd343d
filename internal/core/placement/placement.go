// Package placement decides which database runs a statement, and which of the
// waiting statements is sent first.
//
// # What flows in and out
//
// Inputs are the databases of the directory, the results of statements (latency, log
// position, failures) and the Requirements of sessions. Outputs are Reservations, in
// the order of rank and then of arrival. A reservation is one connection of a
// database and one statement in flight to it.
//
// The number of statements in flight to a database is limited, so that statements
// queue here, ordered by rank, and not in the database's own queue, which has
// no ranks.
//
// # Usage
//
//	scheduler := placement.NewScheduler(zone, leases)
//	scheduler.SetDatabases(databases, instances)
//	reservation, err := scheduler.Acquire(ctx, requirements)
//	...
//	scheduler.FinishStatement(reservation, result)
//	scheduler.Release(reservation)
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

// Database is one database's entry in the directory.
type Database struct {
	ID      model.DatabaseID
	Group   model.GroupID
	Zone    model.ZoneID
	Address netip.AddrPort
	// Slots is the number of statements that it runs at once.
	Slots int
	// MaxConnections is the maximum number of connections from all instances
	// together.
	MaxConnections int
	// HasScarceConnections is true if there are fewer connections than instances: each
	// instance then holds a connection only while it uses it.
	HasScarceConnections bool
	// Leaving is true if the database is draining: it gets no new statements, unless it
	// is the primary and has not been replaced yet.
	Leaving bool
	// ClaimsPrimary is true if the database reports itself as the primary.
	ClaimsPrimary bool
	// Incarnation distinguishes the starts of a database under the same ID.
	Incarnation int64
}

// Requirements describes the statement for which a session needs a reservation.
type Requirements struct {
	Group     model.GroupID
	Rank      model.Rank
	ArrivedAt time.Time
	// RequiresPrimary is true if only the primary may run the statement.
	RequiresPrimary bool
	// AsOf and Samples give the position that a replica must have reached: the
	// lowest in Samples that covers all commits acknowledged before AsOf. Without
	// such a sample only the primary may run the statement.
	AsOf    time.Time
	Samples *fresh.PositionSamples
	// MinPosition is a second position that a replica must have reached. It was
	// written before MinPositionAsOf.
	MinPosition     model.Position
	MinPositionAsOf time.Time
	// ExcludedDatabases lists databases at which an attempt has just failed.
	ExcludedDatabases []model.DatabaseID
}

// Reservation is one connection of a database and one statement in flight to it.
type Reservation struct {
	Database Database
	// IsPrimary is true if the database was chosen as the primary under Grant.
	IsPrimary bool
	Grant     lease.Grant
	// MinPosition is the position that the database must have reached, written before
	// MinPositionAsOf. If it is zero, an answer is fresh only if the database is
	// confirmed as the primary.
	MinPosition     model.Position
	MinPositionAsOf time.Time
	databaseState   *databaseState
}

// minReplicaPosition returns the position that a replica must have reached, the time
// before which it was written, and whether both are known.
func (r *Requirements) minReplicaPosition() (model.Position, time.Time, bool) {
	if r.Samples == nil {
		return model.Position{}, time.Time{}, false
	}
	sample, found := r.Samples.LowestCovering(r.AsOf)
	if !found {
		return model.Position{}, time.Time{}, false
	}
	if sample.Position.Less(r.MinPosition) {
		return r.MinPosition, r.MinPositionAsOf, true
	}
	return sample.Position, sample.At, true
}

// Scheduler assigns reservations to waiting sessions. Use NewScheduler to create one.
// It is safe for concurrent use.
type Scheduler struct {
	zone   model.ZoneID
	leases *lease.Table

	mu     sync.Mutex
	groups map[model.GroupID]*group
	byID   map[model.DatabaseID]*databaseState
	// instances is the number of instances that share the databases.
	instances int
}

// group holds the databases of a group and the queue of waiters for them.
type group struct {
	name      model.GroupID
	databases []*databaseState
	waiting   []*waiter
}

// waiter is a call of Acquire that has no reservation yet.
type waiter struct {
	requirements Requirements
	// reservation receives the reservation; its buffer holds one, so that the sender
	// never blocks.
	reservation chan Reservation
}

// NewScheduler returns a scheduler without databases.
func NewScheduler(zone model.ZoneID, leases *lease.Table) *Scheduler {
	return &Scheduler{
		zone: zone, leases: leases, instances: 1,
		groups: map[model.GroupID]*group{}, byID: map[model.DatabaseID]*databaseState{},
	}
}

// SetDatabases replaces the known databases and the number of instances that share
// them. The observed state of a database is kept unless its incarnation has changed.
func (s *Scheduler) SetDatabases(databases []Database, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(1, instances)
	for i := range databases {
		databases[i].HasScarceConnections = databases[i].MaxConnections-controlConnections < s.instances
	}
	previous := s.byID
	s.byID = make(map[model.DatabaseID]*databaseState, len(databases))
	for _, g := range s.groups {
		g.databases = nil
	}
	for _, d := range databases {
		db, found := previous[d.ID]
		if !found || db.Incarnation != d.Incarnation {
			db = &databaseState{}
		}
		db.Database = d
		s.byID[d.ID] = db
		g := s.group(d.Group)
		g.databases = append(g.databases, db)
	}
	for name, g := range s.groups {
		if len(g.databases) == 0 && len(g.waiting) == 0 {
			delete(s.groups, name)
			continue
		}
		s.assignReservations(g)
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
// Reservations.

// Acquire waits for a reservation until ctx is done. Its error is
// context.DeadlineExceeded, also if ctx was canceled.
func (s *Scheduler) Acquire(ctx context.Context, requirements Requirements) (Reservation, error) {
	w := &waiter{requirements: requirements, reservation: make(chan Reservation, 1)}
	s.mu.Lock()
	g := s.group(requirements.Group)
	index, _ := slices.BinarySearchFunc(g.waiting, w, compareWaiters)
	g.waiting = slices.Insert(g.waiting, index, w)
	s.assignReservations(g)
	s.mu.Unlock()
	select {
	case reservation := <-w.reservation:
		return reservation, nil
	default:
	}
	select {
	case reservation := <-w.reservation:
		return reservation, nil
	case <-ctx.Done():
		return s.cancel(w)
	}
}

// cancel removes a waiter from its queue. It returns the reservation if one was
// assigned in the meantime, and context.DeadlineExceeded otherwise.
func (s *Scheduler) cancel(w *waiter) (Reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(w.requirements.Group)
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return Reservation{}, context.DeadlineExceeded
	}
	return <-w.reservation, nil
}

// compareWaiters orders waiters by rank, then by time of arrival. It never returns 0,
// so that a new waiter is inserted behind equal ones.
func compareWaiters(a, b *waiter) int {
	if a.requirements.Rank != b.requirements.Rank {
		return int(a.requirements.Rank - b.requirements.Rank)
	}
	if c := a.requirements.ArrivedAt.Compare(b.requirements.ArrivedAt); c != 0 {
		return c
	}
	return -1
}

// Reschedule assigns reservations in all groups again, since the leases may have
// changed.
func (s *Scheduler) Reschedule() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		s.assignReservations(g)
	}
}

// QueueLength returns the number of waiters in a group's queue.
func (s *Scheduler) QueueLength(name model.GroupID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, found := s.groups[name]; found {
		return len(g.waiting)
	}
	return 0
}

// FailureDurationUnknown is what FailureDuration returns for a primary that is not
// known to fail but has not answered lately either, since nothing was sent to it.
const FailureDurationUnknown = -time.Nanosecond

// FailureDuration returns for how long a group's primary has been failing, zero if it
// answers, or FailureDurationUnknown.
func (s *Scheduler) FailureDuration(name model.GroupID) time.Duration {
	grant, found := s.leases.Grant(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	db := s.byID[grant.Primary]
	if !found || db == nil {
		return FailureDurationUnknown
	}
	now := clock.Now()
	// Failures from before the database became known as the primary, or from a time
	// when this instance was partitioned, do not count against the primary.
	observedFor := now.Sub(s.leases.EpochSeenSince(name))
	if failureDuration := min(db.failureDuration(now), observedFor); failureDuration > 0 || now.Sub(db.lastAnswerAt) < maxAnswerAge {
		return failureDuration
	}
	return FailureDurationUnknown
}

// PrimariesToProbe returns the primaries that have to be probed to know whether they
// answer: those with an overdue answer, which may be delayed on an old connection
// only, and those that are idle, have not answered for idleThreshold and either
// failed last or belong to a group of which this instance is an observer.
func (s *Scheduler) PrimariesToProbe(idleThreshold time.Duration, isObserver func(model.GroupID) bool) []Database {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var primaries []Database
	for name := range s.groups {
		grant, found := s.leases.Grant(name)
		db := s.byID[grant.Primary]
		if !found || db == nil {
			continue
		}
		isIdle := db.inFlight == 0 && now.Sub(db.lastAnswerAt) > idleThreshold
		if isIdle && (db.failureDuration(now) > 0 || isObserver(name)) || db.isSuspected(now) {
			primaries = append(primaries, db.Database)
		}
	}
	return primaries
}

// IsSuspected reports whether a database has an overdue answer or failed last.
func (s *Scheduler) IsSuspected(id model.DatabaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	db, now := s.byID[id], clock.Now()
	return db != nil && (db.isSuspected(now) || db.failureDuration(now) > 0)
}

// RecordProbe records whether a database has answered a control request.
func (s *Scheduler) RecordProbe(id model.DatabaseID, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db := s.byID[id]
	if db == nil {
		return
	}
	now := clock.Now()
	if answered {
		db.answered(now)
	} else {
		db.recordUnreachable(now)
	}
	s.assignReservations(s.group(db.Group))
}

// assignReservations gives reservations to a group's waiters, in the order of the
// queue, as far as databases have capacity.
func (s *Scheduler) assignReservations(g *group) {
	now := clock.Now()
	grant, hasGrant := s.leases.Grant(g.name)
	stillWaiting := g.waiting[:0]
	for _, w := range g.waiting {
		reservation := s.choose(now, g, &w.requirements, grant, hasGrant)
		if reservation.databaseState == nil {
			stillWaiting = append(stillWaiting, w)
			continue
		}
		reservation.databaseState.inFlight++
		reservation.databaseState.connectionsInUse++
		reservation.databaseState.recordSent(now)
		w.reservation <- reservation
	}
	clear(g.waiting[len(stillWaiting):])
	g.waiting = stillWaiting
}

// StartStatement records that another statement is sent under a reservation that is
// still held, as in a transaction.
func (s *Scheduler) StartStatement(reservation Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation.databaseState.inFlight++
	reservation.databaseState.recordSent(clock.Now())
}

// FinishStatement records the result of a statement.
func (s *Scheduler) FinishStatement(reservation Reservation, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db := reservation.databaseState
	db.inFlight--
	db.recordResult(clock.Now(), result)
	if delay := db.retryDelay(result); delay > 0 {
		time.AfterFunc(delay, s.Reschedule)
	}
	s.assignReservations(s.group(db.Group))
}

// Release returns the connection of a reservation to the scheduler.
func (s *Scheduler) Release(reservation Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation.databaseState.connectionsInUse--
	s.assignReservations(s.group(reservation.databaseState.Group))
}

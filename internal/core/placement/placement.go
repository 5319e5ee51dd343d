// Package placement decides which database runs a statement, and which of the
// waiting statements is sent first.
//
// # What flows in and out
//
// Inputs are the databases of the directory, the results of statements (latency, log
// position, failures) and the Requirements of sessions. Outputs are Reservations, in
// the order of rank, then of whether the latency target can still be met, then of
// arrival, and rejections of what can't be served in time. A reservation is one
// connection of a database and one statement in flight to it.
//
// The number of statements in flight to a database follows its latency (limit.go), so
// that statements queue here, ordered by rank (queue.go), and not in the database's own
// queue, which has no ranks. Since each instance orders its own waiters only, less
// urgent ranks also give way to others at a congested database (yield.go). Where
// connections are scarce, home.go says which of them an instance keeps.
//
// # Usage
//
//	scheduler := placement.NewScheduler(zone, leases)
//	scheduler.SetDatabases(databases, population)
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
	"github.com/eelgrassfold/eelgrassfold/internal/core/outage"
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
	// KeepsConnection is true if this instance keeps a connection all the same; see
	// markKept.
	KeepsConnection bool
	// HasTenants is true if a connection serves one tenant only. ConnectionShare is how
	// many connections this instance may then have open, idle ones included.
	HasTenants      bool
	ConnectionShare int
	// IsOwned is true if this instance runs the statements of all instances at the
	// database, or does so when its first owner is lost.
	IsOwned bool
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
	Tenant    model.TenantID
	ArrivedAt time.Time
	// Target is the time by which the statement should be sent, Deadline the time
	// after which it must not be; zero means none.
	Target, Deadline time.Time
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
	// Database, if set, is the only database that may run the statement, with
	// MinPosition as it is: a peer that has passed the statement to this instance has
	// chosen both. Such a statement is never relayed further.
	Database model.DatabaseID
	// AvoidsRelays is true if no relay has run the statement: this instance runs it with
	// a connection of its own.
	AvoidsRelays bool
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
	// IsRelayed is true if the statement passes through a peer. The reservation then
	// holds no connection and no slot here: the peer's own scheduler reserves both. Its
	// answer is no evidence about whether this instance reaches the database.
	IsRelayed     bool
	databaseState *databaseState
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
	// zones is the number of availability zones with instances, each of which has owners.
	zones int
	// durations is what the steps of an outage take here, for all groups.
	durations *outage.Durations
	// relays is the policy for relayed statements; nil if there is none.
	relays RelayPolicy
	// connections tells which connections are idle; nil if that is not known.
	connections Connections
}

// Connections is the pool of this instance.
type Connections interface {
	// HasIdle reports whether a tenant has an idle connection to a database. It is
	// called while the scheduler's mutex is held and must not call the scheduler.
	HasIdle(database model.DatabaseID, tenant model.TenantID) bool
}

// group holds the databases of a group and the queue of waiters for them.
type group struct {
	name      model.GroupID
	databases []*databaseState
	waiting   []*waiter
	demand    demand
	// usage is what the tenants have had; nil if there are none.
	usage usage
	// outage follows the group's primary.
	outage outage.Tracker
	// passedOver is the most urgent rank with a waiter that got no reservation in the
	// present pass over the queue.
	passedOver model.Rank
	// wakeAt is the time at which the waiters will be considered again because a
	// pause ends; zero if none is awaited.
	wakeAt time.Time
}

// waiter is a call of Acquire that has no reservation yet.
type waiter struct {
	requirements Requirements
	// late is set once the target can't be met any more. expectedWait is the time
	// after which a reservation is expected; zero if unknown.
	late         bool
	expectedWait time.Duration
	// hadByTenant is what the tenant will have had when this waiter is next.
	hadByTenant float64
	// decided receives the decision; its buffer holds one, so that the sender never
	// blocks.
	decided chan decision
}

// decision ends a waiter's wait: it has a reservation, or is rejected.
type decision struct {
	reservation  Reservation
	rejected     bool
	expectedWait time.Duration
	stage        outage.Stage
}

// RejectedError reports that a statement can't be served within its time: others that
// can be are served first, or the group has no primary until then.
type RejectedError struct {
	// ExpectedWait is the time after which a reservation was expected or, without a
	// primary, after which the caller should return.
	ExpectedWait time.Duration
	// Stage is the stage of the group's primary.
	Stage outage.Stage
}

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Stage != outage.StageServing {
		return "the group has no primary (" + e.Stage.String() + ") within the time that is left"
	}
	return "the expected wait of " + e.ExpectedWait.Round(time.Millisecond).String() + " exceeds the time that is left"
}

// NewScheduler returns a scheduler without databases.
func NewScheduler(zone model.ZoneID, leases *lease.Table) *Scheduler {
	return &Scheduler{
		zone: zone, leases: leases, instances: 1,
		groups: map[model.GroupID]*group{}, byID: map[model.DatabaseID]*databaseState{},
		durations: outage.NewDurations(),
	}
}

// SetConnections sets the pool whose idle connections are preferred.
func (s *Scheduler) SetConnections(connections Connections) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections = connections
}

// SetDatabases replaces the known databases and the instances that share them. The
// observed state of a database is kept unless its incarnation has changed.
func (s *Scheduler) SetDatabases(databases []Database, population Population) {
	s.mu.Lock()
	defer s.mu.Unlock()
	population.Instances = max(1, population.Instances)
	s.instances, s.zones = population.Instances, max(1, len(population.Zones))
	markKept(databases, s.zone, population)
	previous := s.byID
	s.byID = make(map[model.DatabaseID]*databaseState, len(databases))
	for _, g := range s.groups {
		g.databases = nil
	}
	for _, d := range databases {
		sharedBy := s.instances
		if d.IsOwned {
			sharedBy = s.zones
		}
		db, found := previous[d.ID]
		if !found || db.Incarnation != d.Incarnation {
			db = &databaseState{}
		}
		if db.IsOwned != d.IsOwned {
			db.limit.value = 0
		}
		db.Database = d
		db.HasTenants, db.ConnectionShare = population.HasTenants, s.connectionShare(db)
		db.limit.resize(d.Slots, sharedBy)
		s.byID[d.ID] = db
		g := s.group(d.Group)
		g.setTenants(population.HasTenants)
		g.databases = append(g.databases, db)
	}
	for name, g := range s.groups {
		if len(g.databases) == 0 && len(g.waiting) == 0 {
			delete(s.groups, name)
			continue
		}
		s.assignReservations(clock.Now(), g)
	}
}

// setTenants starts or ends the count of what the tenants have had.
func (g *group) setTenants(hasTenants bool) {
	switch {
	case !hasTenants:
		g.usage = nil
	case g.usage == nil:
		g.usage = usage{}
	default:
		g.usage.forget(clock.Now())
	}
}

func (s *Scheduler) group(name model.GroupID) *group {
	g, found := s.groups[name]
	if !found {
		g = &group{name: name, demand: demand{}, passedOver: noRank}
		s.groups[name] = g
	}
	return g
}

// -----------------------------------------------------------------------------
// Reservations.

// Acquire waits for a reservation until ctx is done. Its error is a *RejectedError as
// soon as the requirements can't be met in time any more, and
// context.DeadlineExceeded if ctx has ended, also if it was canceled.
func (s *Scheduler) Acquire(ctx context.Context, requirements Requirements) (Reservation, error) {
	w := &waiter{requirements: requirements, decided: make(chan decision, 1)}
	s.mu.Lock()
	g := s.group(requirements.Group)
	g.demand.record(clock.Now(), requirements.Rank)
	index, _ := slices.BinarySearchFunc(g.waiting, w, compareWaiters)
	g.waiting = slices.Insert(g.waiting, index, w)
	s.assignReservations(clock.Now(), g)
	s.mu.Unlock()
	select {
	case d := <-w.decided:
		return d.result()
	default:
	}
	select {
	case d := <-w.decided:
		return d.result()
	case <-ctx.Done():
		return s.cancel(w)
	}
}

func (d decision) result() (Reservation, error) {
	if d.rejected {
		return Reservation{}, &RejectedError{ExpectedWait: d.expectedWait, Stage: d.stage}
	}
	return d.reservation, nil
}

// cancel removes a waiter from its queue. It returns the decision if there was one in
// the meantime, and context.DeadlineExceeded otherwise.
func (s *Scheduler) cancel(w *waiter) (Reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(w.requirements.Group)
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.endIdlePaces()
		return Reservation{}, context.DeadlineExceeded
	}
	return (<-w.decided).result()
}

// compareWaiters is compareOrder, but never returns 0, so that a new waiter is inserted
// behind equal ones.
func compareWaiters(a, b *waiter) int {
	if c := compareOrder(a, b); c != 0 {
		return c
	}
	return -1
}

// compareOrder orders waiters by rank; in a rank, those that can still meet their
// target come first; then by time of arrival.
func compareOrder(a, b *waiter) int {
	if a.requirements.Rank != b.requirements.Rank {
		return int(a.requirements.Rank - b.requirements.Rank)
	}
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return a.requirements.ArrivedAt.Compare(b.requirements.ArrivedAt)
}

// Reschedule assigns reservations in all groups again, since the leases may have
// changed.
func (s *Scheduler) Reschedule() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		s.assignReservations(clock.Now(), g)
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
	s.assignReservations(clock.Now(), s.group(db.Group))
}

// StartStatement records that another statement is sent under a reservation that is
// still held, as in a transaction.
func (s *Scheduler) StartStatement(reservation Reservation) {
	if reservation.IsRelayed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	reservation.databaseState.inFlight++
	reservation.databaseState.recordSent(now)
}

// FinishStatement records the result of a statement.
func (s *Scheduler) FinishStatement(reservation Reservation, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db, now := reservation.databaseState, clock.Now()
	if reservation.IsRelayed {
		db.recordRelayed(now, result)
		return
	}
	db.inFlight--
	db.recordResult(now, result)
	switch result.Outcome {
	case OutcomeAnswered, OutcomeWritten:
		db.limit.answered(now, result.Elapsed, len(s.group(db.Group).waiting))
	case OutcomeBusy, OutcomeConnectionLimit:
		db.limit.shed(now)
	case OutcomeNotPrimary, OutcomeBehind, OutcomeUnreachable, OutcomeConnectionLost, OutcomeNotSent:
	}
	if delay := db.retryDelay(result); delay > 0 {
		time.AfterFunc(delay, s.Reschedule)
	}
	s.assignReservations(clock.Now(), s.group(db.Group))
}

// Release returns the connection of a reservation to the scheduler.
func (s *Scheduler) Release(reservation Reservation) {
	if reservation.IsRelayed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation.databaseState.connectionsInUse--
	s.assignReservations(clock.Now(), s.group(reservation.databaseState.Group))
}

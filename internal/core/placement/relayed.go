package placement

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// relayCost is added to the cost of a database that is reached through a peer: the time
// of the way to the peer and back, and the work there.
const relayCost = 6 * time.Millisecond

// RelayPolicy tells which databases this instance sends no statements to itself: they
// pass through a peer, which has its own slots and connections for them.
type RelayPolicy interface {
	// IsRelayed reports whether the statements of a tenant at a database pass through a
	// peer. It is called while the scheduler's mutex is held and must not call the
	// scheduler.
	IsRelayed(database Database, tenant model.TenantID) bool
}

// SetRelayPolicy sets the policy for the reservations from now on; nil means that no
// statement is relayed. After a change of what the policy returns, Reschedule applies it
// to those that wait.
func (s *Scheduler) SetRelayPolicy(policy RelayPolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays = policy
}

// isRelayed reports whether a statement with the given requirements passes to a
// database through a peer. One that a peer has passed to this instance does not.
func (s *Scheduler) isRelayed(db *databaseState, requirements *Requirements) bool {
	return s.relays != nil && requirements.Database == "" && !requirements.AvoidsRelays && s.relays.IsRelayed(db.Database, requirements.Tenant)
}

// DatabaseOf returns a database's entry in the directory.
func (s *Scheduler) DatabaseOf(id model.DatabaseID) (Database, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	db, found := s.byID[id]
	if !found {
		return Database{}, false
	}
	return db.Database, true
}

// recordRelayed updates what reads are placed by with the result of a relayed statement.
// Whether the database answers this instance is not known from it.
func (db *databaseState) recordRelayed(now time.Time, result Result) {
	switch result.Outcome {
	case OutcomeAnswered, OutcomeWritten:
		db.recordLatency(now, result.Elapsed)
		db.lag -= time.Duration(float64(db.lag) * lagReduction)
	case OutcomeBehind:
		db.lag = max(db.lagEstimate(now), result.Lag) + time.Millisecond
		db.behindAt = now
	case OutcomeBusy:
		db.recordLatency(now, max(result.Elapsed, 2*db.latency))
	case OutcomeNotPrimary, OutcomeConnectionLimit, OutcomeUnreachable, OutcomeConnectionLost, OutcomeNotSent:
	}
	db.applied = db.applied.Max(result.Position)
}

// chooseNamed returns a reservation at the database that the requirements name, for a
// statement of a peer. The peer has chosen the database and the minimum position.
func (s *Scheduler) chooseNamed(now time.Time, g *group, requirements *Requirements, grant lease.Grant, hasGrant bool) Reservation {
	db := s.byID[requirements.Database]
	if db == nil || db.Group != g.name || !s.hasCapacity(now, g, db, requirements.Rank) || db.isUnresponsive(now) && db.inFlight > 0 {
		return Reservation{}
	}
	isPrimary := hasGrant && grant.Primary == db.ID
	if requirements.RequiresPrimary && !isPrimary {
		return Reservation{}
	}
	return Reservation{
		Database: db.Database, IsPrimary: isPrimary, Grant: grant,
		MinPosition: requirements.MinPosition, MinPositionAsOf: requirements.MinPositionAsOf, databaseState: db,
	}
}

// UnansweredFor returns for how long this instance has had no answer from a group's
// primary although it sent statements or tried to connect; zero if the primary answers
// or nothing was sent. Unlike FailureDuration it counts from the first moment.
func (s *Scheduler) UnansweredFor(name model.GroupID) time.Duration {
	grant, found := s.leases.Grant(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	db := s.byID[grant.Primary]
	if !found || db == nil {
		return 0
	}
	now, longest := clock.Now(), time.Duration(0)
	for _, since := range []time.Time{db.unreachableSince, db.unansweredSince} {
		if !since.IsZero() {
			longest = max(longest, now.Sub(since))
		}
	}
	return min(longest, now.Sub(s.leases.EpochSeenSince(name)))
}

// IsPrimary reports whether a database is the primary of its group as far as this instance
// knows.
func (s *Scheduler) IsPrimary(id model.DatabaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	db := s.byID[id]
	if db == nil {
		return false
	}
	grant, found := s.leases.Grant(db.Group)
	return found && grant.Primary == id
}

// AnsweredAt returns when a database has last answered this instance; zero if never.
func (s *Scheduler) AnsweredAt(id model.DatabaseID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if db := s.byID[id]; db != nil {
		return db.lastAnswerAt
	}
	return time.Time{}
}

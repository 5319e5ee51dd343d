package placement

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Failures of primaries, and probes.

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

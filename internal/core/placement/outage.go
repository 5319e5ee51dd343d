package placement

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/outage"
)

const (
	// outageCheckInterval is the time between two considerations of the waiters of a
	// group whose primary does not answer.
	outageCheckInterval = 50 * time.Millisecond
	// minServingInterval is the least time that a primary is expected to take for a
	// waiter of this instance.
	minServingInterval = time.Millisecond
)

// observePrimary records the stage of a group's primary.
func (s *Scheduler) observePrimary(now time.Time, g *group, grant lease.Grant, hasGrant bool) {
	stage, since := s.primaryStage(now, g, grant, hasGrant)
	g.outage.Observe(now, stage, since, s.durations)
}

// primaryStage returns the stage of a group's primary, and since when it has been in
// it.
func (s *Scheduler) primaryStage(now time.Time, g *group, grant lease.Grant, hasGrant bool) (outage.Stage, time.Time) {
	seenSince := s.leases.EpochSeenSince(g.name)
	if !hasGrant {
		if _, found := s.leases.Row(g.name); !found {
			return outage.StageServing, now
		}
		return outage.StageChanging, seenSince
	}
	db := s.byID[grant.Primary]
	if db == nil {
		return outage.StageServing, now
	}
	isNew := g.outage.Stage() == outage.StageChanging || g.outage.Stage() == outage.StagePromoted
	if isNew && db.lastAnswerAt.Before(seenSince) && now.Sub(seenSince) < unresponsiveAfter {
		return outage.StagePromoted, seenSince
	}
	// Failures from a time when this instance was partitioned do not count.
	if failing := min(db.failureDuration(now), now.Sub(seenSince)); failing > unresponsiveAfter {
		return outage.StageUnanswered, now.Add(-failing)
	}
	return outage.StageServing, now
}

// nextOutageCheck returns the time at which the waiters of a group are to be considered
// again because of its primary: from time to time while it does not answer, and when an
// answer that is awaited makes it unresponsive. It is zero if nothing is awaited.
func (s *Scheduler) nextOutageCheck(now time.Time, g *group) time.Time {
	grant, hasGrant := s.leases.Grant(g.name)
	db := s.byID[grant.Primary]
	switch {
	case g.outage.Stage() != outage.StageServing:
		return now.Add(outageCheckInterval)
	case !hasGrant || db == nil || db.unansweredSince.IsZero() && db.failureDuration(now) == 0:
		return time.Time{}
	case db.failureDuration(now) > 0:
		return now.Add(outageCheckInterval)
	}
	check := db.unansweredSince.Add(unresponsiveAfter + time.Millisecond)
	if earliest := now.Add(outageCheckInterval); check.Before(earliest) {
		return earliest
	}
	return check
}

// rejectInOutage decides about a waiter that got no reservation while the group's
// primary can't be reached. It returns true if the waiter can't be served in time and is
// rejected now.
func (s *Scheduler) rejectInOutage(e *waitEstimator, w *waiter, grant lease.Grant) bool {
	if e.g.outage.Stage() == outage.StageServing || !s.needsPrimary(e.now, e.g, &w.requirements, grant) {
		return false
	}
	verdict := e.g.outage.Judge(e.now, s.durations, outage.Request{
		Rank: w.requirements.Rank, Deadline: w.requirements.Deadline, Ahead: e.primaryAhead(),
		Interval: e.g.servingInterval(), Alternative: s.replicaReadyAt(e.now, e.g, &w.requirements, grant),
	})
	w.expectedWait = verdict.ServedAt.Sub(e.now)
	return verdict.Rejected
}

// primaryAhead returns the number of the waiters passed so far that only the primary can
// serve.
func (e *waitEstimator) primaryAhead() int {
	count := 0
	for key, ahead := range e.ahead {
		if key.primaryOnly {
			count += ahead
		}
	}
	return count
}

// servingInterval returns the time that a database of the group is expected to take for
// a waiter of this instance, as the fastest one does: what a new primary takes is not
// known before it serves.
func (g *group) servingInterval() time.Duration {
	interval := time.Duration(0)
	for _, db := range g.databases {
		if db.latency == 0 {
			continue
		}
		if each := db.latency / time.Duration(max(1, db.limit.whole())); interval == 0 || each < interval {
			interval = each
		}
	}
	return max(interval, minServingInterval)
}

// replicaReadyAt returns the time at which a replica has probably reached the position
// that a waiter needs; zero if none will.
func (s *Scheduler) replicaReadyAt(now time.Time, g *group, requirements *Requirements, grant lease.Grant) time.Time {
	if requirements.RequiresPrimary {
		return time.Time{}
	}
	_, asOf, hasSample := requirements.minReplicaPosition()
	var earliest time.Time
	for _, db := range g.databases {
		if !hasSample || db.ID == grant.Primary || !s.isReader(now, db, requirements) {
			continue
		}
		if readyAt := asOf.Add(db.lagEstimate(now)); earliest.IsZero() || readyAt.Before(earliest) {
			earliest = readyAt
		}
	}
	return earliest
}

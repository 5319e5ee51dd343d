package placement

import (
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// extraStatements is the number of statements that one instance may have in
	// flight to a database beyond its slots, so that no slot idles during the network
	// round trip.
	extraStatements = 1
	// extraUrgentStatements is the number of statements that the most urgent rank may
	// have in flight beyond that.
	extraUrgentStatements = 1
	// crossZoneCost is added to the cost of a database in another availability zone:
	// half the time of a typical statement, since the bytes between zones have a cost
	// besides the latency.
	crossZoneCost = 12 * time.Millisecond
	// primaryCostFactor multiplies the cost of the primary for reads that a replica
	// can serve, since only the primary's slots can serve writes.
	primaryCostFactor = 4
	// keptPrimaryCostFactor does so where connections are scarce and this instance
	// keeps one to the primary: a read there saves the database a new connection.
	keptPrimaryCostFactor = 2
	// connectCost is added to the cost of a database to which a connection would
	// probably have to be opened.
	connectCost = 15 * time.Millisecond
	// scarceConnectionShare is the number of connections that one instance may use
	// where there are fewer connections than instances: one in addition to one that
	// is held by a transaction.
	scarceConnectionShare = 2
	// ownedConnectionShare is the part of a database's connections that an owner may use.
	// The rest is for its heir while those of an owner that was lost are still counted.
	ownedConnectionShare = 2.0 / 3
	// controlConnections is the number of connections of a database that are
	// reserved for the control requests of all instances.
	controlConnections = 1
)

// choose returns a reservation that meets the requirements. Its databaseState is nil
// if no database is eligible or has capacity. If hasGrant is false, the group has no
// primary.
func (s *Scheduler) choose(now time.Time, g *group, requirements *Requirements, grant lease.Grant, hasGrant bool) Reservation {
	if requirements.Database != "" {
		return s.chooseNamed(now, g, requirements, grant, hasGrant)
	}
	if requirements.RequiresPrimary {
		if !hasGrant {
			return Reservation{}
		}
		db := s.byID[grant.Primary]
		if db != nil && db.Group == g.name && s.isRelayed(db, requirements) {
			return Reservation{Database: db.Database, IsPrimary: true, Grant: grant, IsRelayed: true, databaseState: db}
		}
		if db == nil || db.Group != g.name || !s.hasCapacity(now, g, db, requirements.Rank) || db.isUnresponsive(now) && db.inFlight > 0 {
			return Reservation{}
		}
		return Reservation{Database: db.Database, IsPrimary: true, Grant: grant, databaseState: db}
	}
	minPosition, minPositionAsOf, hasSample := requirements.minReplicaPosition()
	best := s.chooseReader(now, g, requirements, grant, hasGrant, minPosition, minPositionAsOf, hasSample)
	if best == nil {
		return Reservation{}
	}
	reservation := Reservation{
		Database: best.Database, IsPrimary: hasGrant && best.ID == grant.Primary, Grant: grant,
		MinPosition: minPosition, MinPositionAsOf: minPositionAsOf, databaseState: best,
	}
	reservation.IsRelayed = s.isRelayed(best, requirements)
	return reservation
}

// chooseReader returns the database with the lowest cost for a read, or nil if there
// is none. Databases that are leaving, unresponsive, without capacity or excluded by
// the requirements are passed over, and so are replicas that have probably not reached
// minPosition (see hasProbablyReached). If hasSample is false, only the primary may
// serve the read.
func (s *Scheduler) chooseReader(
	now time.Time, g *group, requirements *Requirements, grant lease.Grant, hasGrant bool,
	minPosition model.Position, minPositionAsOf time.Time, hasSample bool,
) *databaseState {
	var best *databaseState
	var lowestCost time.Duration
	for _, db := range g.databases {
		isPrimary := hasGrant && db.ID == grant.Primary
		isRelayed := s.isRelayed(db, requirements)
		if !s.isReader(now, db, requirements) || !isRelayed && !s.hasCapacity(now, g, db, requirements.Rank) {
			continue
		}
		if !isPrimary && (!hasSample || !db.hasProbablyReached(now, minPosition, minPositionAsOf)) {
			continue
		}
		cost := s.cost(now, db, isPrimary, requirements.Tenant)
		if isRelayed {
			cost += relayCost
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = db, cost
		}
	}
	return best
}

// isReader reports whether a database may get reads with the given requirements, apart
// from its capacity and position.
func (s *Scheduler) isReader(now time.Time, db *databaseState, requirements *Requirements) bool {
	return !db.Leaving && (!db.isUnresponsive(now) || s.isRelayed(db, requirements)) && !slices.Contains(requirements.ExcludedDatabases, db.ID)
}

// cost returns the cost of a read at a database; the lowest is preferred.
func (s *Scheduler) cost(now time.Time, db *databaseState, isPrimary bool, tenant model.TenantID) time.Duration {
	latency := db.expectedLatency(now)
	if !isPrimary && db.isExplored() {
		latency = 0
	}
	cost := (latency + time.Millisecond) * time.Duration(1+db.inFlight)
	switch {
	case isPrimary && db.KeepsConnection:
		cost *= keptPrimaryCostFactor
	case isPrimary:
		cost *= primaryCostFactor
	}
	if s.needsConnecting(db, tenant) {
		cost += connectCost
	}
	if db.Zone != s.zone {
		cost += crossZoneCost
	}
	return cost
}

// needsConnecting reports whether a connection would probably have to be opened.
func (s *Scheduler) needsConnecting(db *databaseState, tenant model.TenantID) bool {
	if db.HasTenants && s.connections != nil {
		return !s.connections.HasIdle(db.ID, tenant)
	}
	return db.HasScarceConnections && !db.KeepsConnection
}

// hasCapacity reports whether another statement of a rank may be sent to the database
// on an additional connection.
func (s *Scheduler) hasCapacity(now time.Time, g *group, db *databaseState, rank model.Rank) bool {
	if now.Before(db.blockedUntil) || db.yields(now, g, rank) {
		return false
	}
	if db.connectionsInUse >= s.connectionShare(db) || now.Before(db.connectionLimitUntil) && db.connectionsInUse >= db.observedConnectionLimit {
		return false
	}
	if db.HasScarceConnections {
		// Each further statement in flight would need a further connection. Only the
		// most urgent rank gets one, by extraUrgentStatements.
		if rank == 0 {
			return db.inFlight < 1+extraUrgentStatements
		}
		return db.inFlight < 1 && db.limit.allows(now, db.inFlight)
	}
	if rank == 0 {
		return db.inFlight < db.limit.whole()+extraUrgentStatements
	}
	return db.limit.allows(now, db.inFlight)
}

// connectionShare returns how many connections of a database this instance may
// use.
func (s *Scheduler) connectionShare(db *databaseState) int {
	if db.IsOwned {
		return max(1, int(ownedConnectionShare*float64(db.MaxConnections-controlConnections)/float64(s.zones)))
	}
	if db.HasScarceConnections {
		return scarceConnectionShare
	}
	return max(1, (db.MaxConnections-controlConnections)/s.instances)
}

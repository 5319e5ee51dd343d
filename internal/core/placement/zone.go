package placement

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/zone"
)

// crossZoneCost is added to the cost of a database in another availability zone, where
// there is no price: the bytes between zones have a cost besides the latency.
const crossZoneCost = zone.DefaultPrice

// ZoneOptions are the terms on which reads leave the availability zone, and who is told.
// The functions are called while the scheduler is locked; they must not call it.
type ZoneOptions struct {
	// Price is the time that a read has to save to leave its zone. If it is zero, no share
	// is decided: each read goes where its cost is lowest, crossZoneCost included.
	Price time.Duration
	// ShareChanged is called when the share of a group's reads that leave changes,
	// SentOutside for each statement that is sent to another zone. isForced is true if
	// only the primary could run it.
	ShareChanged func(group model.GroupID, change zone.Change)
	SentOutside  func(group model.GroupID, isForced bool)
}

// SetZoneOptions sets the terms. It must be called before the scheduler is used.
func (s *Scheduler) SetZoneOptions(options ZoneOptions) { s.zoneOptions = options }

// sides holds, for one read, what is known of this zone and of the others, and the best
// database with room in each.
type sides struct {
	here, there             zone.Place
	bestHere, bestThere     *databaseState
	costOfHere, costOfThere time.Duration
}

// chooseReader returns the database for a read, or nil if it has to wait. The zone is
// chosen first; in it, the database with the lowest cost that has room. A replica must
// probably have reached minPosition (see hasProbablyReached); if hasSample is false, only
// the primary may serve the read.
func (s *Scheduler) chooseReader(
	now time.Time, g *group, w *waiter, grant lease.Grant, hasGrant bool,
	minPosition model.Position, minPositionAsOf time.Time, hasSample bool,
) *databaseState {
	options := s.readerSides(now, g, &w.requirements, func(db *databaseState) bool {
		isPrimary := hasGrant && db.ID == grant.Primary
		return isPrimary || hasSample && db.hasProbablyReached(now, minPosition, minPositionAsOf)
	}, grant, hasGrant)
	if s.zoneOptions.Price == 0 {
		return options.cheapest()
	}
	if w.readSince.IsZero() {
		w.readSince = now
		s.recordArrival(now, g, w, &options)
	}
	waited, patience := now.Sub(w.readSince), zone.Patience(s.zoneOptions.Price)
	target := w.requirements.Target
	read := zone.Read{
		Rank: w.requirements.Rank, Waited: waited, IsPressed: !target.IsZero() && now.Add(patience).After(target),
	}
	side := g.zone.Choose(s.zoneOptions.Price, read, options.here, options.there)
	if side != zone.SideNone && options.here.IsUsable {
		g.zone.RecordQueued(now, waited)
	}
	switch side {
	case zone.SideHere:
		return options.bestHere
	case zone.SideThere:
		return options.bestThere
	case zone.SideNone:
		w.isHeld = options.there.HasRoom && (waited < patience || !target.IsZero())
	}
	return nil
}

// cheapest returns the database with room that has the lowest cost, nil if there is none.
func (o *sides) cheapest() *databaseState {
	if o.bestHere == nil || o.bestThere != nil && o.costOfThere+crossZoneCost < o.costOfHere {
		return o.bestThere
	}
	return o.bestHere
}

// recordArrival has the decider consider a read that has just arrived.
func (s *Scheduler) recordArrival(now time.Time, g *group, w *waiter, options *sides) {
	change, changed := g.zone.Arrive(now, s.zoneOptions.Price, w.requirements.Rank, options.here, options.there)
	if changed && s.zoneOptions.ShareChanged != nil {
		s.zoneOptions.ShareChanged(g.name, change)
	}
}

// readerSides returns what is known of the databases that can serve a read. Databases that
// are leaving, unresponsive or excluded by the requirements are passed over, and so are
// those that isFresh excludes.
func (s *Scheduler) readerSides(
	now time.Time, g *group, requirements *Requirements, isFresh func(*databaseState) bool,
	grant lease.Grant, hasGrant bool,
) sides {
	found := sides{here: zone.Place{IsLost: true}, there: zone.Place{IsLost: true}}
	for _, db := range g.databases {
		place, best, lowest := &found.there, &found.bestThere, &found.costOfThere
		if db.Zone == s.zone {
			place, best, lowest = &found.here, &found.bestHere, &found.costOfHere
		}
		isRelayed := s.isRelayed(db, requirements)
		if db.Leaving || !isRelayed && (db.isUnresponsive(now) || now.Before(db.blockedUntil)) {
			continue
		}
		place.IsLost = false
		isPrimary := hasGrant && db.ID == grant.Primary
		if !s.isReader(now, db, requirements) || !isFresh(db) {
			continue
		}
		s.describe(now, db, place, isPrimary, isRelayed, requirements.Tenant)
		if !isRelayed && !s.hasCapacity(now, g, db, requirements.Rank) {
			continue
		}
		place.HasRoom = true
		cost := s.cost(now, db, isPrimary, requirements.Tenant)
		if isRelayed {
			cost += relayCost
		}
		if *best == nil || cost < *lowest {
			*best, *lowest = db, cost
		}
	}
	return found
}

// describe adds the database to what is known of its side: that of the one with the
// lowest wait. Without a lowest average, its latency counts as that without load.
func (s *Scheduler) describe(now time.Time, db *databaseState, place *zone.Place, isPrimary, isRelayed bool, tenant model.TenantID) {
	place.IsUsable = true
	base, load := db.expectedBase(), db.measuredLoad(now)
	relaying := time.Duration(0)
	switch {
	case isRelayed:
		load, relaying = 0, relayCost
	case !isPrimary && db.isExplored():
		base, load = 0, 0
	}
	wait := s.costOf(base+load, db, isPrimary, tenant) + relaying
	if place.Base == 0 || base > 0 && wait < place.Wait {
		place.Wait, place.Base, place.Load = wait, base, min(load, db.lastingLoad(now))
		place.Next = max((base+load)/time.Duration(db.limit.whole()), db.limit.pausedUntil.Sub(now))
	}
}

// expectedBase returns the latency without load; zero if unknown.
func (db *databaseState) expectedBase() time.Duration {
	if db.limit.lowest == 0 {
		return db.latency
	}
	return db.limit.lowest
}

// measuredLoad returns the part of the latency that the load adds.
func (db *databaseState) measuredLoad(now time.Time) time.Duration {
	load := zone.FadedLoad(max(0, db.latency-db.expectedBase()), now.Sub(db.latencyUpdatedAt))
	if !db.unansweredSince.IsZero() {
		load = max(load, now.Sub(db.unansweredSince)-db.expectedBase())
	}
	return load
}

// lastingLoad is measuredLoad by the slower average, of which the time without load is the
// lowest: single long statements don't count as load.
func (db *databaseState) lastingLoad(now time.Time) time.Duration {
	return zone.FadedLoad(max(0, db.limit.slowAverage-db.limit.lowest), now.Sub(db.latencyUpdatedAt))
}

// recordSentOutside reports a statement that is sent to another zone.
func (s *Scheduler) recordSentOutside(g *group, db *databaseState, requirements *Requirements) {
	if db.Zone != s.zone && s.zoneOptions.SentOutside != nil {
		s.zoneOptions.SentOutside(g.name, requirements.RequiresPrimary)
	}
}

// nextZoneCheck returns the time at which the waiters are to be considered again since
// reads that wait for this zone may leave it then; zero if there are none.
func (s *Scheduler) nextZoneCheck(now time.Time, g *group) time.Time {
	for _, w := range g.waiting {
		if !w.readSince.IsZero() {
			return now.Add(max(zone.Patience(s.zoneOptions.Price), time.Millisecond))
		}
	}
	return time.Time{}
}

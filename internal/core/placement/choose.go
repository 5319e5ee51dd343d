package placement

import (
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// statementsAhead is the number of statements that one instance may have on
	// its way to a database, beyond its share of the slots, so that the slots
	// do not idle during the way there and back.
	statementsAhead = 1
	// urgentAhead is the number of further ones for the most urgent rank.
	urgentAhead = 1
	// otherZone is added to the expected time of an answer from another
	// availability zone: half the time of a usual statement, since the bytes
	// between zones cost as well.
	otherZone = 12 * time.Millisecond
	// primaryFactor weighs down the primary for reads that a replica can serve:
	// its slots are the only ones for writes.
	primaryFactor = 4
	// scarceShare is the number of connections that one instance may use where
	// there are fewer than instances: one beside one that a transaction holds.
	scarceShare = 2
	// connectionsKept is the number of connections of a database that are left
	// to the control questions of all instances.
	connectionsKept = 1
)

// choose returns a seat for a need, without a belief where no database has room.
func (s *Scheduler) choose(now time.Time, g *group, need *Requirements, primary lease.Grant, known bool) Reservation {
	if need.RequiresPrimary {
		if !known {
			return Reservation{}
		}
		b := s.byID[primary.Primary]
		if b == nil || b.Group != g.name || !s.hasRoom(now, b, need.Rank) || b.isSilent(now) && b.running > 0 {
			return Reservation{}
		}
		return Reservation{Database: b.Database, IsPrimary: true, Grant: primary, belief: b}
	}
	after, since, isFresh := need.freshness()
	best := s.chooseReader(now, g, need, primary, known, after, since, isFresh)
	if best == nil {
		return Reservation{}
	}
	return Reservation{
		Database: best.Database, IsPrimary: known && best.ID == primary.Primary, Grant: primary,
		MinPosition: after, MinPositionAsOf: since, belief: best,
	}
}

// chooseReader returns the database that should answer a read first, of those
// that were not tried in vain yet.
func (s *Scheduler) chooseReader(
	now time.Time, g *group, need *Requirements, primary lease.Grant, known bool,
	after model.Position, since time.Time, isFresh bool,
) *belief {
	var best *belief
	var least time.Duration
	for _, b := range g.databases {
		isPrimary := known && b.ID == primary.Primary
		if b.Leaving || b.isSilent(now) || !s.hasRoom(now, b, need.Rank) || slices.Contains(need.ExcludedDatabases, b.ID) {
			continue
		}
		if !isPrimary && (!isFresh || !b.hasLikely(now, after, since)) {
			continue
		}
		cost := s.cost(now, b, isPrimary)
		if best == nil || cost < least {
			best, least = b, cost
		}
	}
	return best
}

// cost orders databases for a read.
func (s *Scheduler) cost(now time.Time, b *belief, isPrimary bool) time.Duration {
	cost := (b.expected(now) + time.Millisecond) * time.Duration(1+b.running)
	if isPrimary {
		cost *= primaryFactor
	}
	if b.Zone != s.zone {
		cost += otherZone
	}
	return cost
}

// hasRoom reports whether another statement of a rank may go to the database,
// on another connection.
func (s *Scheduler) hasRoom(now time.Time, b *belief, rank model.Rank) bool {
	if now.Before(b.blocked) {
		return false
	}
	if b.leased >= s.connectionShare(b) || now.Before(b.full) && b.leased >= b.fullAt {
		return false
	}
	limit := (b.Slots+s.instances-1)/s.instances + statementsAhead
	if b.HasScarceConnections {
		// One more on its way needs a connection more.
		limit = 1
	}
	if rank == 0 {
		limit += urgentAhead
	}
	return b.running < limit
}

// connectionShare returns how many connections of a database this instance may
// use.
func (s *Scheduler) connectionShare(b *belief) int {
	if b.HasScarceConnections {
		return scarceShare
	}
	return max(1, (b.MaxConnections-connectionsKept)/s.instances)
}

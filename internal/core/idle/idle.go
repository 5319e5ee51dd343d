// Package idle decides which idle connections to a database an instance keeps, where a
// connection serves one tenant only.
//
// # What flows in and out
//
// Inputs are the idle connections to one database, with the tenant and the last use of
// each, and how many connections this instance may have open. The output is the
// connection that gives way. The package has no clock and no network.
//
// The load that it answers: more pairs of tenant and database than connections. A
// connection of another tenant can't be used, and a new one takes a slot of the database
// for about as long as a statement.
//
// # Usage
//
//	limit := idle.Limit{Open: share, Kept: share}
//	if limit.IsUsedUp(open) {
//		victim, found := idle.GivesWay(now, connections)
//	}
package idle

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Connection is an idle connection.
type Connection struct {
	Tenant     model.TenantID
	LastUsedAt time.Time
}

// Limit is what an instance may hold of a database's connections.
type Limit struct {
	// Open bounds all connections, idle or in use, Kept those that are kept while they
	// are idle. The others are closed soon after their last use.
	Open, Kept int
}

// IsUsedUp reports whether an idle connection has to give way before another is opened.
func (l Limit) IsUsedUp(open int) bool { return open >= l.Open }

// GivesWay returns the index of the connection that its tenant needs least, or false if
// there is none. The most recently used connection of a tenant is the one that is used
// next; each further one is expected to wait for its next use longer in proportion. A
// tenant that has become idle, or has moved to other instances, therefore gives way first,
// then the surplus of a tenant whose burst is over.
func GivesWay(now time.Time, connections []Connection) (index int, found bool) {
	var longest time.Duration
	for i, c := range connections {
		moreRecent := 0
		for j, other := range connections {
			if other.Tenant == c.Tenant && (other.LastUsedAt.After(c.LastUsedAt) || j > i && other.LastUsedAt.Equal(c.LastUsedAt)) {
				moreRecent++
			}
		}
		if wait := now.Sub(c.LastUsedAt) * time.Duration(1+moreRecent); !found || wait > longest {
			index, longest, found = i, wait, true
		}
	}
	return index, found
}

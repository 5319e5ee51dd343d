// Package replica decides which database of a group with synchronous replication may
// become its primary without losing an acknowledged commit.
//
// # What flows in and out
//
// The record of the databases that may hold acknowledged commits flows in, with the ends
// of the logs of those that answer. A Decision flows out: promote a database, leave the
// primary in place, or wait. The record itself is kept up to date by Record.Observe.
//
// # Why it is safe
//
// Synchronous replication acknowledges a commit once one replica has received it, and a
// replica receives the log in order. The log of the primary therefore holds every
// acknowledged commit, and so does the longest log of all replicas. Nothing else proves
// it: the instances that have seen the acknowledgements may have ended. The proof needs
// an answer of each replica that may have received a commit, or one of the primary, after
// the instances have stopped using the primary.
//
// A database that does not answer and one that does not exist look the same to an
// instance that has just started. The record in the store tells them apart. A database is
// removed from it only when it is gone and another replica holds all that the primary had
// at that time.
//
// # Usage
//
//	record, changed := record.Observe(observation)
//	...
//	switch decision := replica.Decide(change).(type) {
//	case replica.Promote:
//	case replica.Resume:
//	case replica.Wait:
//	}
package replica

import (
	"net/netip"
	"slices"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Copy is a database that may hold acknowledged commits.
type Copy struct {
	ID model.DatabaseID `msgpack:"id"`
	// Incarnation distinguishes the starts of the database.
	Incarnation int64          `msgpack:"born"`
	Address     netip.AddrPort `msgpack:"address"`
	// Leaving is true if the database drains. Its log is then transferred to a new
	// database at its address.
	Leaving bool `msgpack:"leaving"`
	// Floor is the end of the primary's log when a restart of the database was noticed;
	// zero if there was none. A shorter log may lack what the database held before.
	Floor model.Position `msgpack:"floor"`
}

// Answer is a database that has reported its status.
type Answer struct {
	Copy
	Term model.Term
	// Position is the end of its log.
	Position  model.Position
	IsPrimary bool
	// Retired is true if the database has been leaving for so long that callers'
	// statements are no longer sent to it.
	Retired bool
	// IsBarred is true if the database must not be promoted while the old primary may
	// still be used (see Fleet.isNewcomer).
	IsBarred bool
}

// holds reports whether the log of the database that answered holds everything that c
// held. A log that is lost in a restart is empty afterwards.
func (a Answer) holds(c Copy) bool {
	switch {
	case a.Position.Less(c.Floor):
		return false
	case a.ID == c.ID && a.Incarnation == c.Incarnation:
		return true
	case a.ID == c.ID:
		return a.Position.Offset > 0
	default:
		return c.Leaving && a.Address == c.Address && a.Incarnation > c.Incarnation && a.Position.Offset > 0
	}
}

// find returns the answer of a database, and whether there is one.
func find(answers []Answer, id model.DatabaseID) (Answer, bool) {
	i := slices.IndexFunc(answers, func(a Answer) bool { return a.ID == id })
	if i < 0 {
		return Answer{}, false
	}
	return answers[i], true
}

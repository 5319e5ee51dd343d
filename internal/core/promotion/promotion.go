// Package promotion decides which promotions of a group may still take effect, and which
// database one of them has made the primary.
//
// # What flows in and out
//
// The recorded calls of a group flow in, each with what is known of its database now: a
// Sighting. A Settlement flows out: wait for a database, it leads, or choose one.
//
// # Why it is safe
//
// A promotion is carried out by the platform, some time after its call, and nothing tells
// whether a call without an answer has been carried out. A refusal of a later call says
// nothing about an earlier one. A call is therefore recorded in the platform's store before
// it is made, and counts as one that may still take effect until its database leads a newer
// term than it was in, or is not the same process any more. Meanwhile no other database is
// promoted, and none but the called one is taken for the result: the replaced primary may
// come back under another id, and it leads its own term.
//
// A called database that is lost would block its group for ever. Its call is then abandoned:
// the group goes on, but an answer of the next primary counts only once the lost database
// was seen not to lead after it (see Guard).
//
// # Usage
//
//	switch settlement := promotion.Settle(sightings).(type) {
//	case promotion.Pending: // wait, and call again
//	case promotion.Led:     // record the database of settlement.Call as the primary
//	case promotion.Free:    // choose a database, record its call, and call
//	}
package promotion

import (
	"net/netip"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Call is a promotion that was called and may still take effect.
type Call struct {
	Database model.DatabaseID `msgpack:"database"`
	// Incarnation distinguishes the starts of the database.
	Incarnation int64          `msgpack:"born"`
	Address     netip.AddrPort `msgpack:"address"`
	// Term is the term of the database when its promotion was called. It leads a later one
	// once the promotion has taken effect.
	Term model.Term `msgpack:"term"`
	// IsAbandoned is true if the group goes on without the database.
	IsAbandoned bool `msgpack:"abandoned"`
}

// Calls are the promotions of a group that may still take effect. At most one of them is
// not abandoned.
type Calls struct {
	Calls []Call `msgpack:"calls"`
	// IsIncomplete is true if the failover was begun by a build that keeps no record, so that
	// other promotions may take effect as well.
	IsIncomplete bool `msgpack:"incomplete"`
}

// With returns the calls with one more, which takes the place of an earlier call of the same
// database.
func (c Calls) With(call Call) Calls {
	return Calls{Calls: append(c.Without(call.Database).Calls, call)}
}

// Without returns the calls except that of a database.
func (c Calls) Without(id model.DatabaseID) Calls {
	without := Calls{IsIncomplete: c.IsIncomplete}
	for _, call := range c.Calls {
		if call.Database != id {
			without.Calls = append(without.Calls, call)
		}
	}
	return without
}

// Sighting is what is known of a called database at a moment after its call.
type Sighting struct {
	Call
	// HasAnswered is true if the database has reported its status: IsPrimary and Newest,
	// the term that it is in.
	HasAnswered bool
	IsPrimary   bool
	Newest      model.Term
	// IsReplaced is true if the database has started again, or if another one has taken
	// its address. A database that has started knows nothing of before.
	IsReplaced bool
	// IsUnchanged is true if the database was the primary when it was called, and is still
	// in the same term long after the platform has accepted the call: the platform changes
	// nothing for the present primary.
	IsUnchanged bool
	// WasRefused is true if it is known that none of the calls was carried out.
	WasRefused bool
	// IsStopped is true if the platform reports that the database is not running, IsLost
	// if the database has had no entry and given no answer for so long that it counts as
	// lost for good.
	IsStopped, IsLost bool
}

// leads reports whether the promotion has taken effect.
func (s Sighting) leads() bool {
	return s.HasAnswered && s.IsPrimary && (s.Newest > s.Term || s.IsUnchanged)
}

// isAbandoned reports whether the group goes on without the database.
func (s Sighting) isAbandoned() bool {
	return s.IsAbandoned || !s.HasAnswered && (s.IsStopped || s.IsLost)
}

// Settlement is what the calls of a group allow for.
type Settlement interface{ isSettlement() }

// Pending means that no database but that of the call may be promoted.
type Pending struct{ Call Call }

// Led means that the promotion of Call has taken effect, and no other one is awaited. Calls
// are those that may still take effect.
type Led struct {
	Call  Call
	Calls Calls
}

// Free means that no promotion is awaited, so that a database may be chosen. Calls are those
// that may still take effect.
type Free struct{ Calls Calls }

func (Pending) isSettlement() {}
func (Led) isSettlement()     {}
func (Free) isSettlement()    {}

// Settle returns what the calls of a group allow for. Of several databases that lead, the one
// in the newest term is the primary.
func Settle(sightings []Sighting) Settlement {
	var remaining Calls
	var pending *Call
	newest := Sighting{}
	for _, s := range sightings {
		switch {
		case s.leads():
			if newest.Database == "" || s.Newest > newest.Newest {
				newest = s
			}
		case s.IsReplaced, s.WasRefused && !s.HasAnswered:
		case s.isAbandoned():
			s.IsAbandoned = true
			remaining = remaining.With(s.Call)
		default:
			pending = &s.Call
		}
	}
	switch {
	case pending != nil:
		return Pending{Call: *pending}
	case newest.Database != "":
		return Led{Call: newest.Call, Calls: remaining}
	default:
		return Free{Calls: remaining}
	}
}

// IsTakenOver reports whether a database that answers as primary has become it after another
// one, whose lowest term as primary is given (zero if that is not known). Without a known
// term, the log tells: it ends in an earlier term until the first commit.
func IsTakenOver(term, lowest model.Term, end model.Position) bool {
	if lowest > 0 {
		return term > lowest
	}
	return term > end.Term
}

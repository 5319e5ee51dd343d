// Package succession decides when a group needs another primary, and which
// database that is.
//
// # What flows in and out
//
// Evidence flows in: what the directory says of the primary, and for how long
// each live instance has had no answer of it. A reason flows out where the
// primary has to be replaced. Candidates flow in with how far their logs reach;
// the one to promote flows out.
//
// One instance without answers proves only that its own path is broken. A change
// for silence therefore takes a majority of the instances that could use the
// primary: those that were heard and have contact with the store.
//
// # Usage
//
//	if reason, needed := succession.Judge(evidence); needed { ... }
//	chosen, found := succession.Choose(candidates, acknowledged)
package succession

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// SilentFor is how long instances must have been without an answer before they
// count against a primary. It is longer than all but the slowest statements, and
// than a reset of all connections lasts.
const SilentFor = 500 * time.Millisecond

// Evidence is what is known of a group's primary.
type Evidence struct {
	// Known says that the primary's entry exists, and Leaving that it says it
	// leaves.
	Known, Leaving bool
	// Witnesses is the number of instances that were heard and know whether the
	// primary answers them, and Silent that of those which it has not answered
	// for SilentFor.
	Witnesses, Silent int
	// Others is the number of the group's other databases that stay.
	Others int
}

// Judge tells why a primary has to be replaced, and whether it has.
func Judge(e Evidence) (reason string, needed bool) {
	if e.Others == 0 {
		return "", false
	}
	if e.Leaving {
		return "the primary leaves", true
	}
	if !e.Known {
		return "the primary is gone", true
	}
	if 2*e.Silent > e.Witnesses {
		return "the primary does not answer a majority", true
	}
	return "", false
}

// Candidate is a database that could be promoted.
type Candidate struct {
	ID model.DatabaseID
	// Received is how far its log reaches.
	Received model.Position
	Leaving  bool
	// Leads says that it has been promoted already.
	Leads bool
}

// Choose returns the candidate with the longest log; of equal ones that which
// leads. Databases that leave are taken only where no other is there. Acknowledged is a position that the log
// must hold, or zero.
func Choose(candidates []Candidate, acknowledged model.Position) (model.DatabaseID, bool) {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Received.Less(acknowledged):
		case best == nil,
			best.Leaving && !c.Leaving,
			best.Leaving == c.Leaving && best.Received.Less(c.Received),
			best.Leaving == c.Leaving && best.Received == c.Received && c.Leads:
			best = c
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

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

// SilenceThreshold is how long instances must have been without an answer before they
// count against a primary. It is longer than all but the slowest statements, and
// than a reset of all connections lasts.
const SilenceThreshold = 500 * time.Millisecond

// Evidence is what is known of a group's primary.
type Evidence struct {
	// PrimaryListed says that the primary's entry exists, and PrimaryLeaving that it says it
	// leaves.
	PrimaryListed, PrimaryLeaving bool
	// Observers is the number of instances that were heard and know whether the
	// primary answers them, and UnansweredObservers that of those which it has not answered
	// for SilenceThreshold.
	Observers, UnansweredObservers int
	// Replacements is the number of the group's other databases that stay.
	Replacements int
}

// FailoverReason tells why a primary has to be replaced, and whether it has.
func FailoverReason(e Evidence) (reason string, needed bool) {
	if e.Replacements == 0 {
		return "", false
	}
	if e.PrimaryLeaving {
		return "the primary leaves", true
	}
	if !e.PrimaryListed {
		return "the primary is gone", true
	}
	if 2*e.UnansweredObservers > e.Observers {
		return "the primary does not answer a majority", true
	}
	return "", false
}

// Candidate is a database that could be promoted.
type Candidate struct {
	ID model.DatabaseID
	// ReceivedPosition is how far its log reaches.
	ReceivedPosition model.Position
	Leaving          bool
	// IsPrimary says that it has been promoted already.
	IsPrimary bool
}

// ChooseCandidate returns the candidate with the longest log; of equal ones that which
// leads. Databases that leave are taken only where no other is there. Acknowledged is a position that the log
// must hold, or zero.
func ChooseCandidate(candidates []Candidate, acknowledged model.Position) (model.DatabaseID, bool) {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.ReceivedPosition.Less(acknowledged):
		case best == nil,
			best.Leaving && !c.Leaving,
			best.Leaving == c.Leaving && best.ReceivedPosition.Less(c.ReceivedPosition),
			best.Leaving == c.Leaving && best.ReceivedPosition == c.ReceivedPosition && c.IsPrimary:
			best = c
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

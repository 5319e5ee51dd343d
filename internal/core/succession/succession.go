// Package succession decides when a group needs a failover, and which database becomes
// the new primary.
//
// # What flows in and out
//
// Evidence about the primary flows in: its entry in the directory, and how many live
// instances it has not answered for some time. The reason for a failover flows out,
// if one is needed. Candidates with the ends of their logs flow in; the database to
// promote flows out.
//
// If a single instance gets no answers, only its own network path may be broken. A
// failover of an unresponsive primary therefore requires a majority of the instances
// that could use the primary: those whose messages arrive and that reach the store.
//
// # Usage
//
//	if reason, needed := succession.FailoverReason(evidence); needed { ... }
//	chosen, found := succession.ChooseCandidate(candidates, required)
package succession

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// SilenceThreshold is how long an instance must have been without an answer before it
// counts against the primary. It is longer than all but the slowest statements take,
// and longer than a reset of all connections takes.
const SilenceThreshold = 500 * time.Millisecond

// Evidence is what is known about a group's primary.
type Evidence struct {
	// PrimaryListed is true if the directory has an entry for the primary,
	// PrimaryLeaving if that entry marks it as leaving.
	PrimaryListed, PrimaryLeaving bool
	// Observers is the number of instances whose messages arrive and that know whether
	// the primary answers them. UnansweredObservers is the number of those that it has
	// not answered for SilenceThreshold.
	Observers, UnansweredObservers int
	// Replacements is the number of the group's other databases that are not leaving.
	Replacements int
}

// FailoverReason returns whether the primary has to be replaced, and the reason.
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
	// ReceivedPosition is the end of its log.
	ReceivedPosition model.Position
	Leaving          bool
	// IsPrimary is true if the database has been promoted already.
	IsPrimary bool
	// IsBarred is true if the database must not be promoted yet.
	IsBarred bool
}

// ChooseCandidate returns the candidate with the highest received position, and
// whether there is one. Of candidates with equal positions it prefers one that is
// already primary. It returns a leaving database only if there is no other candidate.
// The log of a candidate must hold the required position, unless that is zero.
func ChooseCandidate(candidates []Candidate, required model.Position) (model.DatabaseID, bool) {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.IsBarred, c.ReceivedPosition.Less(required):
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

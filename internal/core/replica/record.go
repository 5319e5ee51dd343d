package replica

import (
	"cmp"
	"slices"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Record lists the databases of a group that may hold acknowledged commits, the primary
// included.
type Record struct {
	Copies []Copy `msgpack:"copies"`
}

// Observation is the state of a group's databases while its primary is in use.
type Observation struct {
	Primary model.DatabaseID
	// Listed are the databases that have an entry in the store.
	Listed []Copy
	// PrimaryEnd is the end of the primary's log; zero if it is not known. Answers are
	// those of the other databases, queried after that.
	PrimaryEnd model.Position
	Answers    []Answer
	// Gone holds the databases that were gone at earlier observations (see Record.Gone).
	Gone Gone
}

// Gone holds the recorded databases that have no entry and do not answer, each with the end
// of the primary's log when that was found first. They hold nothing after that end.
type Gone map[model.DatabaseID]model.Position

// Gone returns the databases that are gone as of an observation. The end of the log moves on
// while callers write, so that no replica would ever reach its present end: that of the first
// observation is kept.
func (r Record) Gone(o Observation) Gone {
	gone := Gone{}
	for _, c := range r.Copies {
		_, listed := findCopy(o.Listed, c.ID)
		_, answers := find(o.Answers, c.ID)
		if listed || answers || c.ID == o.Primary {
			continue
		}
		if end, known := o.Gone[c.ID]; known {
			gone[c.ID] = end
		} else if !o.PrimaryEnd.IsZero() {
			gone[c.ID] = o.PrimaryEnd
		}
	}
	return gone
}

// NeedsAnswers reports whether an update by these entries depends on the answers of the
// databases.
func (r Record) NeedsAnswers(listed []Copy) bool {
	return slices.ContainsFunc(r.Copies, func(c Copy) bool {
		current, found := findCopy(listed, c.ID)
		return !found || current.Incarnation != c.Incarnation
	})
}

// Observe returns the record with what an observation shows, and whether it differs.
// New databases are added at once. A database that has restarted must reach the present
// end of the primary's log before its log proves anything. A database that is gone is
// removed once another replica has reached the end of that time.
func (r Record) Observe(o Observation) (Record, bool) {
	var updated Record
	gone := r.Gone(o)
	for _, c := range r.Copies {
		if current, keep := o.update(c, gone); keep {
			updated.Copies = append(updated.Copies, current)
		}
	}
	for _, c := range o.Listed {
		if _, found := findCopy(updated.Copies, c.ID); !found {
			updated.Copies = append(updated.Copies, c)
		}
	}
	byID := func(a, b Copy) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(updated.Copies, byID)
	return updated, !slices.Equal(updated.Copies, slices.SortedFunc(slices.Values(r.Copies), byID))
}

// update returns the present state of a recorded database, and whether it stays in the
// record.
func (o Observation) update(c Copy, gone Gone) (Copy, bool) {
	current, listed := findCopy(o.Listed, c.ID)
	switch {
	case listed && current.Incarnation == c.Incarnation:
		c.Address, c.Leaving = current.Address, current.Leaving
	case listed && c.ID != o.Primary && !o.PrimaryEnd.IsZero():
		current.Floor = o.PrimaryEnd
		return current, true
	case listed && c.ID == o.Primary && o.isComplete():
		return current, true
	case !listed && c.ID != o.Primary:
		return c, !o.isReplaced(c, gone)
	}
	return c, true
}

// isReplaced reports whether a database without an entry is not needed any more: it does
// not answer either, and another replica has reached the end of the primary's log at the time
// when it was found to be gone.
func (o Observation) isReplaced(c Copy, gone Gone) bool {
	end, isGone := gone[c.ID]
	return isGone && slices.ContainsFunc(o.Answers, func(a Answer) bool {
		return a.ID != o.Primary && !a.Position.Less(end)
	})
}

// isComplete reports whether no replica has a longer log than the primary.
func (o Observation) isComplete() bool {
	return !o.PrimaryEnd.IsZero() && !slices.ContainsFunc(o.Answers, func(a Answer) bool { return o.PrimaryEnd.Less(a.Position) })
}

// AfterPromotion returns the record for a new primary whose log holds all acknowledged
// commits: what the databases held before that no longer matters.
func (r Record) AfterPromotion(listed []Copy) Record {
	promoted := Record{Copies: slices.Clone(r.Copies)}
	for i, c := range promoted.Copies {
		if current, found := findCopy(listed, c.ID); found {
			promoted.Copies[i] = current
		}
		promoted.Copies[i].Floor = model.Position{}
	}
	return promoted
}

func findCopy(copies []Copy, id model.DatabaseID) (Copy, bool) {
	i := slices.IndexFunc(copies, func(c Copy) bool { return c.ID == id })
	if i < 0 {
		return Copy{}, false
	}
	return copies[i], true
}

package replica

import (
	"slices"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
)

// Change is the replacement of a primary that no instance uses any more.
type Change struct {
	// Primary is the database to replace, Term the lowest term in which it is primary;
	// zero if it is the first primary of the group.
	Primary model.DatabaseID
	Term    model.Term
	// Base is the end of the primary's log at its promotion. All later logs hold it.
	Base model.Position
	// Copies are the databases that may hold acknowledged commits, Answers those that
	// have answered since no instance uses the primary.
	Copies  []Copy
	Answers []Answer
	// CanResume is true if no promotion may still take effect: with the primary, it would
	// make two.
	CanResume bool
	// IsOverdue is true if the replicas have had the time to catch up with a primary
	// that answers.
	IsOverdue bool
	// IsLost is true if the databases whose answers are missing have been gone for so
	// long that they count as lost for good.
	IsLost bool
}

// Decision is what to do next in a Change.
type Decision interface{ isDecision() }

// Promote makes a database the primary.
type Promote struct {
	Database model.DatabaseID
	Proof    Proof
}

// Resume leaves the primary in place, which answers again while no other database has
// its whole log.
type Resume struct{}

// Wait asks the databases again: Missing have not shown that all they held is known.
// Without a missing one, no log that answers is long enough.
type Wait struct{ Missing []model.DatabaseID }

func (Promote) isDecision() {}
func (Resume) isDecision()  {}
func (Wait) isDecision()    {}

// Proof is the reason why a log holds all acknowledged commits.
type Proof int

// The values of Proof.
const (
	// ProofNone: the databases that may hold more are lost.
	ProofNone Proof = iota
	// ProofPrimary: the log holds all that the old primary has.
	ProofPrimary
	// ProofReplicas: the log is the longest of all replicas.
	ProofReplicas
	// ProofPromoted: the database had been promoted by a change that was left unfinished.
	ProofPromoted
)

// String returns the name of p for log lines.
func (p Proof) String() string { return [...]string{"none", "primary", "replicas", "promoted"}[p] }

// Decide returns what to do next in a change.
func Decide(c Change) Decision {
	if promoted, found := c.promoted(); found {
		return Promote{Database: promoted, Proof: ProofPromoted}
	}
	if primary, found := c.wholePrimary(); found {
		return c.follow(primary)
	}
	candidates := c.joined()
	if len(candidates) == 0 {
		candidates = c.candidates(0)
	}
	longest := c.Base
	for _, candidate := range candidates {
		longest = longest.Max(candidate.ReceivedPosition)
	}
	missing := c.missing()
	if id, found := succession.ChooseCandidate(candidates, longest); found && len(missing) == 0 {
		return Promote{Database: id, Proof: ProofReplicas}
	}
	if !c.IsLost {
		return Wait{Missing: missing}
	}
	// The base itself may be lost.
	longest = model.Position{}
	for _, candidate := range candidates {
		longest = longest.Max(candidate.ReceivedPosition)
	}
	if id, found := succession.ChooseCandidate(candidates, longest); found {
		return Promote{Database: id, Proof: ProofNone}
	}
	return Wait{Missing: missing}
}

// promoted returns the primary of the newest term, if it has become primary after the
// one to replace. That may be another start of it under another ID, in its own term.
func (c Change) promoted() (model.DatabaseID, bool) {
	var newest Answer
	for _, a := range c.Answers {
		if a.IsPrimary && a.Term > newest.Term {
			newest = a
		}
	}
	isOther := newest.ID != "" && newest.ID != c.Primary
	return newest.ID, isOther && promotion.IsTakenOver(newest.Term, c.Term, newest.Position)
}

// wholePrimary returns the primary to replace, under whichever ID, or the database that its
// log was transferred to, if it answers and the log is whole: one that is lost in a restart is
// shorter than those of the replicas.
func (c Change) wholePrimary() (Answer, bool) {
	copied, recorded := findCopy(c.Copies, c.Primary)
	i := slices.IndexFunc(c.Answers, func(a Answer) bool {
		return a.ID == c.Primary && !recorded || recorded && a.holds(copied) || c.isReturned(a)
	})
	if i < 0 || c.Answers[i].Position.Less(c.Base) {
		return Answer{}, false
	}
	whole := c.Answers[i]
	for _, candidate := range c.candidates(c.Term) {
		if whole.Position.Less(candidate.ReceivedPosition) {
			return Answer{}, false
		}
	}
	return whole, true
}

// isReturned reports whether a database is the primary to replace, back under another ID: only
// that leads its term.
func (c Change) isReturned(a Answer) bool {
	return a.ID != c.Primary && a.IsPrimary && a.Term >= c.Term
}

// follow decides about a change whose old primary answers: another database has to hold
// all that the primary has.
func (c Change) follow(primary Answer) Decision {
	candidates := c.candidates(c.Term)
	for i := range candidates {
		// The primary steps down first, or has ended.
		candidates[i].IsBarred = false
	}
	id, found := succession.ChooseCandidate(candidates, primary.Position)
	chosen, _ := find(c.Answers, id)
	isUsable := primary.IsPrimary && !primary.Retired
	switch {
	case found && (!chosen.Leaving || !primary.Leaving || primary.Retired):
		return Promote{Database: id, Proof: ProofPrimary}
	case !c.IsOverdue:
		return Wait{}
	case isUsable && c.CanResume:
		return Resume{}
	case found:
		return Promote{Database: id, Proof: ProofPrimary}
	case primary.IsPrimary && primary.Retired:
		// It serves no callers any more, but still passes its log on.
		return Wait{}
	default:
		return Promote{Database: primary.ID, Proof: ProofPrimary}
	}
}

// missing returns the replicas whose log may hold more than is known.
func (c Change) missing() []model.DatabaseID {
	var missing []model.DatabaseID
	for _, copied := range c.Copies {
		isHeld := slices.ContainsFunc(c.Answers, func(a Answer) bool { return a.holds(copied) })
		if copied.ID != c.Primary && !isHeld {
			missing = append(missing, copied.ID)
		}
	}
	return missing
}

// joined returns the replicas that have joined the term of the primary, if one of them
// holds its base. The log of a database in an earlier term may end with commits that the
// promotion of the primary has rolled back.
func (c Change) joined() []succession.Candidate {
	joined := c.candidates(c.Term)
	if slices.ContainsFunc(joined, func(j succession.Candidate) bool { return !j.ReceivedPosition.Less(c.Base) }) {
		return joined
	}
	return nil
}

// candidates returns the replicas in a term or a later one.
func (c Change) candidates(term model.Term) []succession.Candidate {
	var candidates []succession.Candidate
	for _, a := range c.Answers {
		if a.ID != c.Primary && a.Term >= term {
			candidates = append(candidates, succession.Candidate{
				ID: a.ID, ReceivedPosition: a.Position, Leaving: a.Leaving || a.Retired, IsPrimary: a.IsPrimary, IsBarred: a.IsBarred,
			})
		}
	}
	return candidates
}

// HasSuccessor reports whether a database that stays has the whole log of the primary,
// whose status was queried before the others.
func HasSuccessor(primary Answer, others []Answer) bool {
	return slices.ContainsFunc(others, func(a Answer) bool {
		return a.ID != primary.ID && !a.Leaving && !a.Retired && !a.Position.Less(primary.Position)
	})
}

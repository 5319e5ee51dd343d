package engine

import (
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Databases.

// database is what the instance believes of one database. Beliefs choose where
// work goes; they prove nothing unless the comment of a function says so.
type database struct {
	name     model.DatabaseID
	declared manifest.Database
	group    *group
	// status is the last answer, sent for at asked and arrived at heard.
	status message.DatabaseStatus
	known  bool
	asked  time.Time
	heard  time.Time
	// failing is when the first of the unanswered probes since heard failed.
	failing time.Time
	// probes counts questions on their way; lastProbe is when the last was
	// sent.
	probes    int
	lastProbe time.Time
	// awaiting is the number of the Await on its way, or 0.
	awaiting uint64
	// applied is the newest state that the database is known to serve.
	applied model.Position
	// lag estimates how long the database takes to show a commit.
	lag time.Duration
	// latency estimates how long it takes to answer a statement.
	latency time.Duration
	// running counts this instance's requests at the database.
	running int
	// repaired is when the database was last told whom to follow.
	repaired time.Time
	// following is the number of the Follow on its way, or 0.
	following uint64
	// hinted says that a peer has heard, by hintedAt, that the database is
	// leaving. A later answer of the database itself replaces the hint.
	hinted   bool
	hintedAt time.Time
	// unusable is the time before which no work goes to the database, after
	// it could not be reached.
	unusable time.Time
}

// isLeaving reports whether the database shall receive no new work.
func (d *database) isLeaving() bool {
	return d.declared.Leaving || d.status.Leaving || d.hinted
}

// isReachable reports whether the database has answered lately.
func (d *database) isReachable(now time.Time) bool {
	return d.known && (d.failing.IsZero() || now.Sub(d.heard) < suspectAfter)
}

// isUsable reports whether new work may go to the database.
func (d *database) isUsable(now time.Time) bool {
	return d.isReachable(now) && !d.isLeaving() && !now.Before(d.unusable)
}

// inTerm reports whether the database last said that it is in the term.
func (d *database) inTerm(term model.Term) bool { return d.known && d.status.Term == term }

// -----------------------------------------------------------------------------
// Groups.

// sample says that no state newer than position existed at the time at, under
// the proof of a majority, and that position itself existed at the time known.
type sample struct {
	at       time.Time
	known    time.Time
	position model.Position
}

// group is a set of databases that replicate one log.
type group struct {
	name      model.GroupID
	databases []*database
	// removed says that the manifest in force has the group no more; it stays
	// until its open requests have ended.
	removed bool
	// term and primary are the newest reign that a database has reported.
	term    model.Term
	primary *database
	// proof is when the term was last proven, zero where it is not. It changes
	// with what a database says only.
	proof time.Time
	// proven is the newest position of term that survives any promotion.
	proven model.Position
	// samples are ordered by time and by position.
	samples []sample
	// held and proving wait for a position to be proven, by request.
	held    map[model.RequestID]*request
	proving map[model.RequestID]*request
	// wanting is the newest time that a waiting read wants a sample of.
	wanting time.Time
	steward stewardState
	logbook []PromotionRecord
	// logbookAsk and logbookAt are the last question for the records and its time.
	logbookAsk uint64
	logbookAt  time.Time
}

func newGroup(name model.GroupID) *group {
	return &group{
		name:    name,
		held:    map[model.RequestID]*request{},
		proving: map[model.RequestID]*request{},
	}
}

// majority is the number of databases that any two majorities share one of.
func (g *group) majority() int { return len(g.databases)/2 + 1 }

// refreshProof works out the proof of the term after a database has answered.
func (g *group) refreshProof() { g.proof, _ = g.provenAt() }

// provenAt returns the time at which the term was last proven: the primary and
// enough others have answered, in the term, a question sent at that time or
// later. It is a proof: no later term had acknowledged anything at that time.
func (g *group) provenAt() (time.Time, bool) {
	if g.primary == nil || !g.primary.inTerm(g.term) || g.primary.status.Role != model.RolePrimary {
		return time.Time{}, false
	}
	times := make([]time.Time, 0, len(g.databases))
	for _, d := range g.databases {
		if d != g.primary && d.inTerm(g.term) {
			times = append(times, d.asked)
		}
	}
	others := g.majority() - 1
	if len(times) < others {
		return time.Time{}, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	proof := g.primary.asked
	if others > 0 && times[others-1].Before(proof) {
		proof = times[others-1]
	}
	return proof, true
}

// isProven reports whether the proof of the term is fresh enough to send work
// under it.
func (g *group) isProven(now time.Time) bool {
	return !g.proof.IsZero() && now.Sub(g.proof) <= proofAge
}

// provenPosition returns the newest position of the term that a majority holds.
// Only entries of the term itself count, since an entry of the term implies
// that the log before it is the primary's.
func (g *group) provenPosition() model.Position {
	if g.primary == nil || !g.primary.inTerm(g.term) {
		return model.Position{}
	}
	held := make([]model.Position, 0, len(g.databases))
	for _, d := range g.databases {
		if d.inTerm(g.term) && d.status.Received.Term == g.term {
			held = append(held, d.status.Received)
		}
	}
	if len(held) < g.majority() {
		return model.Position{}
	}
	sort.Slice(held, func(i, j int) bool { return held[j].Less(held[i]) })
	return held[g.majority()-1]
}

// isPositionProven reports whether a state at position, as answered in the
// current term, survives any promotion. The place before the first entry holds
// nothing that could be lost.
func (g *group) isPositionProven(position model.Position) bool {
	if position.IsZero() {
		return true
	}
	return position.Term == g.proven.Term && !g.proven.Less(position)
}

// addSample keeps a sample of the primary's newest position.
func (g *group) addSample(now time.Time, s sample) {
	if count := len(g.samples); count > 0 {
		last := &g.samples[count-1]
		if !last.at.Before(s.at) {
			return
		}
		if count > 1 && s.at.Sub(g.samples[count-2].at) < sampleSpacing && last.position == s.position {
			last.at = s.at
			return
		}
	}
	g.samples = append(g.samples, s)
	old := 0
	for old < len(g.samples)-1 && now.Sub(g.samples[old].at) > sampleAge {
		old++
	}
	if old > len(g.samples)/2 {
		g.samples = append(g.samples[:0], g.samples[old:]...)
	}
}

// sampleSince returns the oldest sample that is not older than since: a state
// at its position shows everything that was acknowledged before since.
func (g *group) sampleSince(since time.Time) (sample, bool) {
	i := sort.Search(len(g.samples), func(i int) bool { return !g.samples[i].at.Before(since) })
	if i == len(g.samples) {
		return sample{}, false
	}
	return g.samples[i], true
}

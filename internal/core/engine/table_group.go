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

// database is the last observed state of one database. It decides where requests
// are sent. The database's present state may differ; functions whose result holds
// for the present state say so in their comment.
type database struct {
	name     model.DatabaseID
	declared manifest.Database
	group    *group
	// status is the last response: its request was sent at statusAskedAt and it
	// arrived at answeredAt. statusKnown reports that there was one.
	status            message.DatabaseStatus
	statusKnown       bool
	statusRequestedAt time.Time
	answeredAt        time.Time
	// failingSince is when the first of the failed probes since answeredAt failed,
	// zero if none has.
	failingSince time.Time
	// pendingProbes counts the probes without a response; lastProbeAt is when the
	// last was sent.
	pendingProbes int
	lastProbeAt   time.Time
	// awaitID is the correlation ID of the pending AwaitPosition, or 0.
	awaitID uint64
	// applied is the newest position that the database is known to serve.
	applied model.Position
	// lag estimates the time until a commit is visible at the database.
	lag time.Duration
	// latency estimates the time that the database takes for a statement.
	latency time.Duration
	// runningRequests counts this instance's requests at the database.
	runningRequests int
	// repairedAt is when the database was last sent a Follow.
	repairedAt time.Time
	// followID is the correlation ID of the pending Follow, or 0.
	followID uint64
	// leavingHint reports that a peer has announced, at leavingHintAt, that the
	// database is leaving. A later response of the database itself clears it.
	leavingHint   bool
	leavingHintAt time.Time
	// unusableUntil is the time before which no request is sent to the database,
	// after a connection to it could not be opened.
	unusableUntil time.Time
}

// isLeaving reports whether the database is draining and must receive no new
// requests.
func (d *database) isLeaving() bool {
	return d.declared.Leaving || d.status.Leaving || d.leavingHint
}

// isReachable reports whether the database has responded recently.
func (d *database) isReachable(now time.Time) bool {
	return d.statusKnown && (d.failingSince.IsZero() || now.Sub(d.answeredAt) < unreachableAfter)
}

// isUsable reports whether new requests may be sent to the database.
func (d *database) isUsable(now time.Time) bool {
	return d.isReachable(now) && !d.isLeaving() && !now.Before(d.unusableUntil)
}

// inTerm reports whether the database's last status was in the term.
func (d *database) inTerm(term model.Term) bool { return d.statusKnown && d.status.Term == term }

// -----------------------------------------------------------------------------
// Groups.

// sample records that no state newer than position existed at the time asOf, as
// confirmed by a majority, and that position itself existed at the time observedAt.
type sample struct {
	asOf       time.Time
	observedAt time.Time
	position   model.Position
}

// group is a set of databases that replicate one log.
type group struct {
	name      model.GroupID
	databases []*database
	// removed reports that the manifest in force does not contain the group. The
	// group is kept until its open requests have ended.
	removed bool
	// term is the newest term in which a database has reported to be primary, and
	// primary is that database.
	term    model.Term
	primary *database
	// confirmedAt is when the term was last confirmed, or zero if it is not
	// confirmed. It changes only when a database responds.
	confirmedAt time.Time
	// durable is the newest position of term that survives any promotion.
	durable model.Position
	// samples are ordered by time and by position.
	samples []sample
	// held are the requests whose result is held until its position is durable;
	// awaitingQuorum are those that are committed or resolved, at a position that
	// is not yet durable.
	held           map[model.RequestID]*request
	awaitingQuorum map[model.RequestID]*request
	// requiredSampleTime is the newest time of which a waiting read needs a sample.
	requiredSampleTime time.Time
	failover           failoverState
	logbook            []PromotionRecord
	// logbookReadID is the correlation ID of the pending read of the logbook, or 0;
	// logbookReadAt is when the last read was sent.
	logbookReadID uint64
	logbookReadAt time.Time
}

func newGroup(name model.GroupID) *group {
	return &group{
		name:           name,
		held:           map[model.RequestID]*request{},
		awaitingQuorum: map[model.RequestID]*request{},
	}
}

// majority returns the size of a majority: any two majorities of the group share a
// database.
func (g *group) majority() int { return len(g.databases)/2 + 1 }

// refreshConfirmation recomputes confirmedAt after a database has responded.
func (g *group) refreshConfirmation() { g.confirmedAt, _ = g.confirmationTime() }

// confirmationTime returns the time at which the term was last confirmed, and false
// if it is not confirmed. It is the latest time for which the primary and enough
// replicas to form a majority have responded, in the term, to a request sent at
// that time or later. No later term can have acknowledged anything at that time.
func (g *group) confirmationTime() (time.Time, bool) {
	if g.primary == nil || !g.primary.inTerm(g.term) || g.primary.status.Role != model.RolePrimary {
		return time.Time{}, false
	}
	requestTimes := make([]time.Time, 0, len(g.databases))
	for _, d := range g.databases {
		if d != g.primary && d.inTerm(g.term) {
			requestTimes = append(requestTimes, d.statusRequestedAt)
		}
	}
	requiredReplicas := g.majority() - 1
	if len(requestTimes) < requiredReplicas {
		return time.Time{}, false
	}
	sort.Slice(requestTimes, func(i, j int) bool { return requestTimes[i].After(requestTimes[j]) })
	confirmedAt := g.primary.statusRequestedAt
	if requiredReplicas > 0 && requestTimes[requiredReplicas-1].Before(confirmedAt) {
		confirmedAt = requestTimes[requiredReplicas-1]
	}
	return confirmedAt, true
}

// isTermConfirmed reports whether the confirmation of the term is recent enough to
// send requests under it.
func (g *group) isTermConfirmed(now time.Time) bool {
	return !g.confirmedAt.IsZero() && now.Sub(g.confirmedAt) <= maxConfirmationAge
}

// majorityPosition returns the newest position of the term that a majority holds.
// Only positions in the term itself count, since an entry of the term implies that
// the log before it is the primary's.
func (g *group) majorityPosition() model.Position {
	if g.primary == nil || !g.primary.inTerm(g.term) {
		return model.Position{}
	}
	received := make([]model.Position, 0, len(g.databases))
	for _, d := range g.databases {
		if d.inTerm(g.term) && d.status.Received.Term == g.term {
			received = append(received, d.status.Received)
		}
	}
	if len(received) < g.majority() {
		return model.Position{}
	}
	sort.Slice(received, func(i, j int) bool { return received[j].Less(received[i]) })
	return received[g.majority()-1]
}

// isDurable reports whether a state at position, as reported in the current term,
// survives any promotion. The zero position is before the first entry and so has
// nothing that could be lost.
func (g *group) isDurable(position model.Position) bool {
	if position.IsZero() {
		return true
	}
	return position.Term == g.durable.Term && !g.durable.Less(position)
}

// addSample stores a sample of the primary's newest position and removes samples
// older than maxSampleAge. It extends the last sample instead if that is recent and
// has the same position.
func (g *group) addSample(now time.Time, s sample) {
	if count := len(g.samples); count > 0 {
		last := &g.samples[count-1]
		if !last.asOf.Before(s.asOf) {
			return
		}
		if count > 1 && s.asOf.Sub(g.samples[count-2].asOf) < minSampleSpacing && last.position == s.position {
			last.asOf = s.asOf
			return
		}
	}
	g.samples = append(g.samples, s)
	expired := 0
	for expired < len(g.samples)-1 && now.Sub(g.samples[expired].asOf) > maxSampleAge {
		expired++
	}
	if expired > len(g.samples)/2 {
		g.samples = append(g.samples[:0], g.samples[expired:]...)
	}
}

// sampleSince returns the oldest sample that is not older than since: a state at
// its position includes everything that was acknowledged before since.
func (g *group) sampleSince(since time.Time) (sample, bool) {
	i := sort.Search(len(g.samples), func(i int) bool { return !g.samples[i].asOf.Before(since) })
	if i == len(g.samples) {
		return sample{}, false
	}
	return g.samples[i], true
}

package engine

import (
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Sessions.

// session is one caller's connection.
type session struct {
	id model.SessionID
	// name is the group that the caller named; group is its entry, or nil if the
	// manifest in force does not contain it.
	name   model.GroupID
	group  *group
	caller model.CallerID
	// written is the position of the session's own writes; observed is that of its
	// writes and reads. A read with a staleness bound need not show everything that
	// the session has read before.
	written, observed minPosition
	// writesKnown reports that written includes everything that the caller wrote
	// before it connected: the caller passed a token, or a barrier has been
	// reached.
	writesKnown     bool
	multiConnection bool
	// requests are the session's open requests, or nil if there are none, so that
	// an idle session uses little memory.
	requests map[model.RequestID]*request
}

// minPosition is the oldest state that a read may show. It is known to exist as of
// the time asOf.
type minPosition struct {
	position model.Position
	asOf     time.Time
}

// raise sets the minimum to position if that is newer.
func (p *minPosition) raise(position model.Position, asOf time.Time) {
	if p.position.Less(position) {
		p.position = position
		p.asOf = asOf
	}
}

// recordWrite raises both minimums to the position of a write of the session.
func (s *session) recordWrite(position model.Position, asOf time.Time) {
	s.written.raise(position, asOf)
	s.observed.raise(position, asOf)
}

// minPosition returns the minimum position for a read: that of the session's writes
// if the read has a staleness bound of at least barrierThreshold, else that of
// everything that the session has observed.
func (r *request) minPosition() minPosition {
	if r.kind.HasStalenessBound && r.kind.MaxStaleness >= barrierThreshold {
		return r.session.written
	}
	return r.session.observed
}

// -----------------------------------------------------------------------------
// Requests.

// phase is the state of a request.
type phase int

const (
	// phaseWaiting means that the request is in the scheduler's queue.
	phaseWaiting phase = iota
	// phaseRunning means that the request has been dispatched to a database.
	phaseRunning
	// phaseAwaitingQuorum means that the request is committed at a position that is
	// not yet durable.
	phaseAwaitingQuorum
	// phaseResolving means that the outcome of the commit is in doubt.
	phaseResolving
	// phaseResolved means that the group has reported the outcome of the commit, at
	// a position that is not yet durable.
	phaseResolved
)

// request is one request of a session.
type request struct {
	id            model.RequestID
	session       *session
	group         *group
	kind          manifest.RequestKind
	latencyTarget time.Duration
	// key is the idempotency key of the current attempt; callerKey reports that the
	// caller chose it.
	key         string
	callerKey   bool
	transaction bool
	token       model.Position
	arrived     time.Time
	deadline    time.Time
	phase       phase
	attempt     model.Attempt
	// database and term are those of the current attempt.
	database *database
	term     model.Term
	// closeRequested is true once a CloseConnection has been emitted for the
	// attempt.
	closeRequested bool
	// minimum is the oldest state that the attempt may show. It is known to exist
	// since minimumAt.
	minimum   model.Position
	minimumAt time.Time
	// barrierToken is the token that the response carries to the caller after a
	// barrier.
	barrierToken model.Token
	// behindAnswers counts the responses of replicas that were behind the minimum.
	behindAnswers int
	// position is that of the held result, of the commit, or of the response that
	// resolved the commit, depending on the phase.
	position model.Position
	// answerComplete reports that the edge holds the complete response to the
	// commit.
	answerComplete bool
	// committed is the resolved outcome of the commit.
	committed bool
	resolveID uint64
	resolveAt time.Time
	// waitReason is what the request last waited for.
	waitReason message.RefusalReason
	// notBefore delays the next attempt.
	notBefore time.Time
}

// isRead reports whether r may be served by any database that is fresh enough.
func (r *request) isRead() bool { return r.kind.Access == model.AccessRead }

// requestTable holds the open requests: all of them by ID, those with an in-doubt
// commit, and those by the correlation ID of the pending request that resolves the
// commit.
type requestTable struct {
	byID        map[model.RequestID]*request
	inDoubt     map[model.RequestID]*request
	byResolveID map[uint64]*request
}

func newRequestTable() *requestTable {
	return &requestTable{
		byID:        map[model.RequestID]*request{},
		inDoubt:     map[model.RequestID]*request{},
		byResolveID: map[uint64]*request{},
	}
}

// sortedRequests returns the requests of a table in the order of their IDs, so that
// decisions do not depend on the iteration order of a map.
func sortedRequests(table map[model.RequestID]*request) []*request {
	list := make([]*request, 0, len(table))
	for _, r := range table {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

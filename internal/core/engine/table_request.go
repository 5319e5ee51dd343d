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
	// name is the group that the caller named; group is its entry, or nil
	// where the manifest in force has none.
	name   model.GroupID
	group  *group
	caller model.CallerID
	// written covers what the session has written; seen covers that and what it
	// has read. Reads that bear data of a stated age need not show all that the
	// session has read before.
	written, seen floor
	// anchored says that written covers all that the caller wrote before it
	// connected: it handed a token, or a barrier has been passed.
	anchored bool
	roaming  bool
	// requests are the session's open ones; nil while there is none, so that an
	// idle session is small.
	requests map[model.RequestID]*request
}

// floor is the oldest state that a read may show, known to exist since at.
type floor struct {
	position model.Position
	at       time.Time
}

// raise moves the floor up to position.
func (f *floor) raise(position model.Position, at time.Time) {
	if f.position.Less(position) {
		f.position = position
		f.at = at
	}
}

// wrote raises both floors: position covers a write of the session.
func (s *session) wrote(position model.Position, at time.Time) {
	s.written.raise(position, at)
	s.seen.raise(position, at)
}

// floor returns the floor for a read: of what the session has written where the
// read bears data of a stated age, else of all that it has seen.
func (r *request) floor() floor {
	if r.kind.HasStalenessBound && r.kind.MaxStaleness >= barrierBound {
		return r.session.written
	}
	return r.session.seen
}

// -----------------------------------------------------------------------------
// Requests.

// phase tells how far a request has come.
type phase int

const (
	// phaseWaiting: in the scheduler's queue.
	phaseWaiting phase = iota
	// phaseRunning: dispatched to a database.
	phaseRunning
	// phaseProving: committed; the position is not proven yet.
	phaseProving
	// phaseSettling: whether it was committed is not known.
	phaseSettling
	// phaseSettled: the group has said what became of it; the position of
	// that answer is not proven yet.
	phaseSettled
)

// request is one unit of work of a session.
type request struct {
	id      model.RequestID
	session *session
	group   *group
	kind    manifest.RequestKind
	target  time.Duration
	// key is the idempotency key of the current attempt; ownKey says that the
	// caller chose it.
	key         string
	ownKey      bool
	transaction bool
	token       model.Position
	arrived     time.Time
	deadline    time.Time
	phase       phase
	attempt     model.Attempt
	// database and term are those of the current attempt.
	database *database
	term     model.Term
	// dropped says that the edge was told to give the attempt up.
	dropped bool
	// minimum is the oldest state that the attempt may show, known to exist
	// since minimumAt.
	minimum   model.Position
	minimumAt time.Time
	// given is the token that the answer brings the caller after a barrier.
	given model.Token
	// behind counts answers of replicas that lagged too far.
	behind int
	// position is that of the held answer, of the commit, or of the settling
	// answer, as the phase goes on.
	position model.Position
	// answered says that the edge holds the whole answer of the commit.
	answered bool
	// committed is what the group said became of the key.
	committed bool
	settleAsk uint64
	settleAt  time.Time
	// why tells what the request last waited for.
	why message.RefusalReason
	// notBefore delays the next attempt.
	notBefore time.Time
}

// isRead reports whether any database that is fresh enough may serve r.
func (r *request) isRead() bool { return r.kind.Access == model.AccessRead }

// requestTable holds the requests and the order of those that have no answer
// from the group yet.
type requestTable struct {
	byID     map[model.RequestID]*request
	settling map[model.RequestID]*request
	bySettle map[uint64]*request
}

func newRequestTable() *requestTable {
	return &requestTable{
		byID:     map[model.RequestID]*request{},
		settling: map[model.RequestID]*request{},
		bySettle: map[uint64]*request{},
	}
}

// sortedRequests returns the requests of a table in the order of their
// numbers, so that decisions do not depend on the order of a map.
func sortedRequests(table map[model.RequestID]*request) []*request {
	list := make([]*request, 0, len(table))
	for _, r := range table {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

package message

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Sessions.

// SessionOpened tells that a caller has connected and is authenticated.
type SessionOpened struct {
	Session model.SessionID
	Group   model.GroupID
	Caller  model.CallerID
	// Position is the position of the token that the caller handed back, or
	// zero where it handed none.
	Position model.Position
	// Roaming says that the caller spreads one session over several
	// connections: each read then needs a token of its own or waits for a
	// position barrier.
	Roaming bool
}

// SessionClosed tells that the caller's connection is gone. All requests of
// the session have ended for the caller; their outcome no longer matters to it.
type SessionClosed struct{ Session model.SessionID }

// -----------------------------------------------------------------------------
// Requests.

// RequestArrived tells that a caller wants a unit of work done: a statement
// outside a transaction, or a transaction from its BEGIN on.
type RequestArrived struct {
	Request model.RequestID
	Session model.SessionID
	// Kind names the kind of work, or is empty.
	Kind string
	// Key is the idempotency key under which the databases log the commit;
	// it is unique over all instances and restarts.
	Key string
	// OwnKey says that the caller chose Key itself.
	OwnKey bool
	// Transaction says that the request keeps its backend connection from
	// BEGIN to COMMIT or ROLLBACK.
	Transaction bool
	// Position is that of a token named by the statement itself, or zero.
	Position model.Position
	// Deadline is the caller's own limit, or zero for that of the kind.
	Deadline time.Duration
}

// RequestCanceled tells that the caller has withdrawn the request, by
// CancelRequest or by closing its connection.
type RequestCanceled struct{ Request model.RequestID }

// AnswerHeld tells that an answer of the primary waits at the edge, since its
// position is not known to be proven yet. The core answers by Release or
// Abandon.
type AnswerHeld struct {
	Request  model.RequestID
	Attempt  model.Attempt
	Position model.Position
}

// AnswerEnded tells how a dispatched attempt ended.
type AnswerEnded struct {
	Request model.RequestID
	Attempt model.Attempt
	Answer  Answer
	// Elapsed is the time since the statement was sent to the database.
	Elapsed time.Duration
	// Opened is the part of it that went into opening a connection.
	Opened time.Duration
}

// Answer is how an attempt ended, as seen at the edge.
type Answer interface{ isAnswer() }

// AnswerCommitted means that the database reports a commit at Position. The answer is
// held at the edge until Acknowledge.
type AnswerCommitted struct{ Position model.Position }

// AnswerRead means that rows of a state at Position went to the caller, whole.
type AnswerRead struct{ Position model.Position }

// AnswerBehind means that the database's state at Position is older than Dispatch
// allowed. Nothing went to the caller.
type AnswerBehind struct{ Position model.Position }

// AnswerFailed means that the database answered with an error, and it is certain that
// nothing was committed. The error went to the caller, whole.
type AnswerFailed struct{ State string }

// AnswerRefused means that the work was not started, with proof: it was never sent, or
// the database said so. Nothing went to the caller.
type AnswerRefused struct{ Why RefusedWhy }

// AnswerLost means that the connection broke, went silent or timed out after the work
// was sent.
type AnswerLost struct {
	// Committing says that a commit may have happened: an autocommit
	// statement or a COMMIT was sent. Without it nothing was committed.
	Committing bool
	// Passed says that a part of the answer has gone to the caller.
	Passed bool
	// Silent says that the connection was closed as mute, not broken.
	Silent bool
}

// RefusedWhy tells why work was not started.
type RefusedWhy int

// The values of RefusedWhy.
const (
	// RefusedUnreachable: no connection could be opened.
	RefusedUnreachable RefusedWhy = iota
	// RefusedTerm: the database is in another term than Dispatch names.
	RefusedTerm
	// RefusedReadOnly: the database is no primary.
	RefusedReadOnly
	// RefusedFull: the database accepts no further connection.
	RefusedFull
	// RefusedDuplicate: the key has been committed or settled before.
	RefusedDuplicate
	// RefusedStale: the pooled connection was found broken before the work
	// was sent.
	RefusedStale
	// RefusedLeaving: the database is shutting down.
	RefusedLeaving
)

// String names w for log lines.
func (w RefusedWhy) String() string {
	return [...]string{"unreachable", "term", "read-only", "full", "duplicate", "stale", "leaving"}[w]
}

func (SessionOpened) isEvent()   {}
func (SessionClosed) isEvent()   {}
func (RequestArrived) isEvent()  {}
func (RequestCanceled) isEvent() {}
func (AnswerHeld) isEvent()      {}
func (AnswerEnded) isEvent()     {}

func (AnswerCommitted) isAnswer() {}
func (AnswerRead) isAnswer()      {}
func (AnswerBehind) isAnswer()    {}
func (AnswerFailed) isAnswer()    {}
func (AnswerRefused) isAnswer()   {}
func (AnswerLost) isAnswer()      {}

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
	// TokenPosition is the position of the token that the caller handed back, or
	// zero where it handed none.
	TokenPosition model.Position
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
	// IdempotencyKey is the idempotency key under which the databases log the commit;
	// it is unique over all instances and restarts.
	IdempotencyKey string
	// CallerSuppliedKey says that the caller chose Key itself.
	CallerSuppliedKey bool
	// Transaction says that the request keeps its backend connection from
	// BEGIN to COMMIT or ROLLBACK.
	Transaction bool
	// TokenPosition is that of a token named by the statement itself, or zero.
	TokenPosition model.Position
	// Deadline is the caller's own limit, or zero for that of the kind.
	Deadline time.Duration
}

// RequestCanceled tells that the caller has withdrawn the request, by
// CancelRequest or by closing its connection.
type RequestCanceled struct{ Request model.RequestID }

// ResultHeld tells that an answer of the primary waits at the edge, since its
// position is not known to be proven yet. The core answers by Release or
// Abandon.
type ResultHeld struct {
	Request  model.RequestID
	Attempt  model.Attempt
	Position model.Position
}

// AttemptEnded tells how a dispatched attempt ended.
type AttemptEnded struct {
	Request model.RequestID
	Attempt model.Attempt
	Outcome Outcome
	// Elapsed is the time since the statement was sent to the database.
	Elapsed time.Duration
	// ConnectTime is the part of it that went into opening a connection.
	ConnectTime time.Duration
}

// Outcome is how an attempt ended, as seen at the edge.
type Outcome interface{ isAnswer() }

// OutcomeCommitted means that the database reports a commit at Position. The answer is
// held at the edge until Acknowledge.
type OutcomeCommitted struct{ Position model.Position }

// OutcomeRead means that rows of a state at Position went to the caller, whole.
type OutcomeRead struct{ Position model.Position }

// OutcomeBehind means that the database's state at Position is older than Dispatch
// allowed. Nothing went to the caller.
type OutcomeBehind struct{ Position model.Position }

// OutcomeDatabaseError means that the database answered with an error, and it is certain that
// nothing was committed. The error went to the caller, whole.
type OutcomeDatabaseError struct{ SQLState string }

// OutcomeNotStarted means that the work was not started, with proof: it was never sent, or
// the database said so. Nothing went to the caller.
type OutcomeNotStarted struct{ Reason NotStartedReason }

// OutcomeConnectionLost means that the connection broke, went silent or timed out after the work
// was sent.
type OutcomeConnectionLost struct {
	// MayHaveCommitted says that a commit may have happened: an autocommit
	// statement or a COMMIT was sent. Without it nothing was committed.
	MayHaveCommitted bool
	// PartlySent says that a part of the answer has gone to the caller.
	PartlySent bool
	// Unresponsive says that the connection was closed as mute, not broken.
	Unresponsive bool
}

// NotStartedReason tells why work was not started.
type NotStartedReason int

// The values of NotStartedReason.
const (
	// NotStartedUnreachable: no connection could be opened.
	NotStartedUnreachable NotStartedReason = iota
	// NotStartedWrongTerm: the database is in another term than Dispatch names.
	NotStartedWrongTerm
	// NotStartedReadOnly: the database is no primary.
	NotStartedReadOnly
	// NotStartedTooManyConnections: the database accepts no further connection.
	NotStartedTooManyConnections
	// NotStartedDuplicateKey: the key has been committed or settled before.
	NotStartedDuplicateKey
	// NotStartedBrokenConnection: the pooled connection was found broken before the work
	// was sent.
	NotStartedBrokenConnection
	// NotStartedShuttingDown: the database is shutting down.
	NotStartedShuttingDown
)

// String names w for log lines.
func (w NotStartedReason) String() string {
	return [...]string{"unreachable", "term", "read-only", "full", "duplicate", "stale", "leaving"}[w]
}

func (SessionOpened) isEvent()   {}
func (SessionClosed) isEvent()   {}
func (RequestArrived) isEvent()  {}
func (RequestCanceled) isEvent() {}
func (ResultHeld) isEvent()      {}
func (AttemptEnded) isEvent()    {}

func (OutcomeCommitted) isAnswer()      {}
func (OutcomeRead) isAnswer()           {}
func (OutcomeBehind) isAnswer()         {}
func (OutcomeDatabaseError) isAnswer()  {}
func (OutcomeNotStarted) isAnswer()     {}
func (OutcomeConnectionLost) isAnswer() {}

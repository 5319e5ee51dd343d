package message

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Sessions.

// SessionOpened reports that a caller has connected and is authenticated.
type SessionOpened struct {
	Session model.SessionID
	Group   model.GroupID
	Caller  model.CallerID
	// TokenPosition is the position of the token that the caller presented, or zero if
	// it presented none.
	TokenPosition model.Position
	// Roaming is true for a multi-connection session: each read then needs its own
	// token or waits for a position barrier.
	Roaming bool
}

// SessionClosed reports that the caller's connection is closed. All requests of the
// session have ended for the caller; their outcomes are no longer sent to it.
type SessionClosed struct{ Session model.SessionID }

// -----------------------------------------------------------------------------
// Requests.

// RequestArrived reports a new request of a caller: a statement outside a transaction,
// or a transaction from its BEGIN on.
type RequestArrived struct {
	Request model.RequestID
	Session model.SessionID
	// Kind is the name of the request kind, or empty.
	Kind string
	// IdempotencyKey is the key under which the databases log the commit. It is unique
	// across all instances and restarts.
	IdempotencyKey string
	// CallerSuppliedKey is true if the caller supplied IdempotencyKey.
	CallerSuppliedKey bool
	// Transaction is true if the request keeps its backend connection from BEGIN to
	// COMMIT or ROLLBACK.
	Transaction bool
	// TokenPosition is the position of a token given in the statement itself, or zero.
	TokenPosition model.Position
	// Deadline is the caller's own limit, or zero for the limit of the request kind.
	Deadline time.Duration
}

// RequestCanceled reports that the caller has canceled the request, by a CancelRequest
// or by closing its connection.
type RequestCanceled struct{ Request model.RequestID }

// ResultHeld reports that the adapter holds an answer of the primary, since its
// position is not known to be durable yet. The core responds with ReleaseResult or
// AbortRequest.
type ResultHeld struct {
	Request  model.RequestID
	Attempt  model.Attempt
	Position model.Position
}

// AttemptEnded reports the outcome of a dispatched attempt.
type AttemptEnded struct {
	Request model.RequestID
	Attempt model.Attempt
	Outcome Outcome
	// Elapsed is the time since the statement was sent to the database.
	Elapsed time.Duration
	// ConnectTime is the part of Elapsed that was spent opening a connection.
	ConnectTime time.Duration
}

// Outcome is the outcome of an attempt as observed by the caller adapter.
type Outcome interface{ isOutcome() }

// OutcomeCommitted means that the database reports a commit at Position. The adapter
// holds the answer until AcknowledgeCommit.
type OutcomeCommitted struct{ Position model.Position }

// OutcomeRead means that all rows of the state at Position were sent to the caller.
type OutcomeRead struct{ Position model.Position }

// OutcomeBehind means that the database's state at Position is older than Dispatch
// allowed. Nothing was sent to the caller.
type OutcomeBehind struct{ Position model.Position }

// OutcomeDatabaseError means that the database answered with an error, and it is
// certain that nothing was committed. The whole error was sent to the caller.
type OutcomeDatabaseError struct{ SQLState string }

// OutcomeNotStarted means that the request has certainly not started: it was never
// sent, or the database reported that. Nothing was sent to the caller.
type OutcomeNotStarted struct{ Reason NotStartedReason }

// OutcomeConnectionLost means that the connection broke, became unresponsive or timed
// out after the request was sent.
type OutcomeConnectionLost struct {
	// MayHaveCommitted is true if an autocommit statement or a COMMIT was sent, so
	// that a commit may have happened. Otherwise nothing was committed.
	MayHaveCommitted bool
	// PartlySent is true if a part of the answer has been sent to the caller.
	PartlySent bool
	// Unresponsive is true if the connection was not broken, but was closed because no
	// answer arrived on it.
	Unresponsive bool
}

// NotStartedReason is the reason why a request was not started.
type NotStartedReason int

// The values of NotStartedReason.
const (
	// NotStartedUnreachable: no connection could be opened.
	NotStartedUnreachable NotStartedReason = iota
	// NotStartedWrongTerm: the database is in a term other than that in Dispatch.
	NotStartedWrongTerm
	// NotStartedReadOnly: the database is not a primary.
	NotStartedReadOnly
	// NotStartedTooManyConnections: the database accepts no further connection.
	NotStartedTooManyConnections
	// NotStartedDuplicateKey: the idempotency key has already been committed or
	// resolved.
	NotStartedDuplicateKey
	// NotStartedBrokenConnection: the pooled connection was found to be broken before
	// the request was sent.
	NotStartedBrokenConnection
	// NotStartedShuttingDown: the database is shutting down.
	NotStartedShuttingDown
)

// String returns the name of r for log lines.
func (r NotStartedReason) String() string {
	return [...]string{"unreachable", "term", "read-only", "full", "duplicate", "stale", "leaving"}[r]
}

func (SessionOpened) isEvent()   {}
func (SessionClosed) isEvent()   {}
func (RequestArrived) isEvent()  {}
func (RequestCanceled) isEvent() {}
func (ResultHeld) isEvent()      {}
func (AttemptEnded) isEvent()    {}

func (OutcomeCommitted) isOutcome()      {}
func (OutcomeRead) isOutcome()           {}
func (OutcomeBehind) isOutcome()         {}
func (OutcomeDatabaseError) isOutcome()  {}
func (OutcomeNotStarted) isOutcome()     {}
func (OutcomeConnectionLost) isOutcome() {}

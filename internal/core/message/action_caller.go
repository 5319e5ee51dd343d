package message

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Dispatch sends a request to a database.
type Dispatch struct {
	Request  model.RequestID
	Attempt  model.Attempt
	Database model.DatabaseID
	// Access is the kind of access that the request needs. With AccessRead the
	// database is set to reject writes.
	Access model.Access
	// HoldUntilDurable is true if no row may be sent to the caller before the position
	// of the answer is durable. The position is durable if it is at or below the last
	// SetDurablePosition of the group in the same term. Otherwise the adapter posts
	// ResultHeld and waits for ReleaseResult. Answers of a primary are always held
	// until they are durable.
	HoldUntilDurable bool
	// Term is sent with the request; a database in another term rejects the request.
	Term model.Term
	// IdempotencyKey is sent with writes.
	IdempotencyKey string
	// MinPosition is the oldest position whose state the caller may see. The adapter
	// compares it with the position of the answer before it forwards the first row.
	MinPosition model.Position
	// Token, if it is set, is sent to the caller with the answer: a position barrier
	// has determined the position of the session's earlier writes.
	Token model.Token
	// Deadline is the end of the caller's deadline.
	Deadline time.Time
	// SilenceTimeout is the time after which an unresponsive connection is checked by
	// probing the same database on a new one.
	SilenceTimeout time.Duration
}

// ReleaseResult releases a held answer to the caller, since its position is durable.
type ReleaseResult struct {
	Request model.RequestID
	Attempt model.Attempt
}

// SetDurablePosition gives the caller adapter the position up to which a group's log is
// durable, so that it survives any promotion. It replaces the previous position of the
// group and applies to positions of the same term only.
type SetDurablePosition struct {
	Group    model.GroupID
	Position model.Position
}

// AcknowledgeCommit releases the answer of a commit to the caller, with the session's
// new token. If the answer was lost with its connection, the adapter reports to the
// caller that the transaction is committed and its answer was lost.
type AcknowledgeCommit struct {
	Request model.RequestID
	Attempt model.Attempt
	Token   model.Token
}

// RefuseRequest ends a request that did not run: the caller gets the error "not run",
// with a SQLSTATE by Reason.
type RefuseRequest struct {
	Request model.RequestID
	Reason  RefusalReason
	// RetryAfter is the suggested time until a retry; zero if it is unknown.
	RetryAfter time.Duration
	// Detail is sent in the detail field of the error.
	Detail string
}

// RefusalReason is the reason why a request was not run.
type RefusalReason int

// The values of RefusalReason.
const (
	// RefuseOverload: the queue is full, or the request cannot be answered in time.
	RefuseOverload RefusalReason = iota
	// RefuseNoPrimary: no primary was confirmed before the deadline.
	RefuseNoPrimary
	// RefuseNoFreshDatabase: no database was fresh enough before the deadline.
	RefuseNoFreshDatabase
	// RefuseUnknownGroup: the manifest has no such group.
	RefuseUnknownGroup
	// RefuseUnknownKind: the manifest has no such request kind.
	RefuseUnknownKind
	// RefuseDraining: the instance is draining.
	RefuseDraining
	// RefuseNotCommitted: an in-doubt commit was resolved as not committed, and the
	// request is not retryable.
	RefuseNotCommitted
	// RefuseDeadline: the deadline passed before the request was sent.
	RefuseDeadline
	// RefuseCanceled: the caller canceled the request before it was sent.
	RefuseCanceled
	// RefuseDuplicateKey: the caller's own idempotency key has already been committed
	// or resolved.
	RefuseDuplicateKey
)

// String returns the name of r for log lines.
func (r RefusalReason) String() string {
	return [...]string{
		"overload", "no-primary", "stale", "unknown-group", "unknown-kind",
		"draining", "settled", "deadline", "canceled", "duplicate",
	}[r]
}

// AbortRequest ends a request whose attempt is running or whose answer was lost.
type AbortRequest struct {
	Request model.RequestID
	Attempt model.Attempt
	// OutcomeUnknown is true if it cannot be determined whether the request was
	// committed (SQLSTATE 08007). Otherwise nothing was committed (SQLSTATE 40001 or
	// 57014), but a part of the answer may have been sent to the caller.
	OutcomeUnknown bool
	// Reason is a short reason for the detail field of the error.
	Reason string
}

// CancelStatement cancels the running statement of an attempt at its database. The
// attempt still ends with an AttemptEnded.
type CancelStatement struct {
	Request model.RequestID
	Attempt model.Attempt
}

// CloseConnection closes the connection of an attempt at once, since its database has
// been replaced as the primary. The attempt still ends with an AttemptEnded with
// OutcomeConnectionLost. If an AttemptEnded has already been posted, CloseConnection
// has no effect.
type CloseConnection struct {
	Request model.RequestID
	Attempt model.Attempt
}

// Drain makes the caller adapter accept no further connections and close each
// connection once it is idle.
type Drain struct{}

func (Dispatch) isAction()           {}
func (ReleaseResult) isAction()      {}
func (SetDurablePosition) isAction() {}
func (AcknowledgeCommit) isAction()  {}
func (RefuseRequest) isAction()      {}
func (AbortRequest) isAction()       {}
func (CancelStatement) isAction()    {}
func (CloseConnection) isAction()    {}
func (Drain) isAction()              {}

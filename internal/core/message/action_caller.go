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
	// Access tells what the work may do: with AccessRead the database is told
	// to refuse writes.
	Access model.Access
	// HoldUntilDurable says that no row may go to the caller before the position of the
	// answer is proven: it is at or below the last Proven of the group in the
	// same term, or the edge sends ResultHeld and waits for Release. Answers of
	// a primary are gated always.
	HoldUntilDurable bool
	// Term is sent along; a database in another term refuses the work.
	Term model.Term
	// IdempotencyKey is the idempotency key, sent along with writes.
	IdempotencyKey string
	// MinPosition is the oldest position whose state the caller may see. The
	// edge compares the answer's own position before the first row.
	MinPosition model.Position
	// Token, where it is set, is given to the caller with the answer: a barrier
	// has shown how far the session's earlier writes reach.
	Token model.Token
	// Deadline is when the caller's deadline ends.
	Deadline time.Time
	// SilenceTimeout is the time after which a silent connection is checked by
	// asking the same database on a new one.
	SilenceTimeout time.Duration
}

// ReleaseResult lets a held answer go to the caller: its position is proven.
type ReleaseResult struct {
	Request model.RequestID
	Attempt model.Attempt
}

// SetDurablePosition tells the caller edge up to which position a group's log is proven to
// survive a promotion. It replaces what was told before, and holds for
// positions of the same term only.
type SetDurablePosition struct {
	Group    model.GroupID
	Position model.Position
}

// AcknowledgeCommit lets the answer of a commit go to the caller, with the session's
// new token. Where the connection was lost with the answer, the edge tells the
// caller that the work is committed and its answer is lost.
type AcknowledgeCommit struct {
	Request model.RequestID
	Attempt model.Attempt
	Token   model.Token
}

// RefuseRequest ends a request that did not run: the caller gets the error "not run"
// (a SQLSTATE by Why).
type RefuseRequest struct {
	Request model.RequestID
	Reason  RefusalReason
	// RetryAfter hints when to come again; zero where there is no telling.
	RetryAfter time.Duration
	// Detail goes into the error's detail field.
	Detail string
}

// RefusalReason tells why a request was not run.
type RefusalReason int

// The values of RefusalReason.
const (
	// RefuseOverload: the queue is full, or the request can't be in time.
	RefuseOverload RefusalReason = iota
	// RefuseNoPrimary: no primary is proven inside the deadline.
	RefuseNoPrimary
	// RefuseNoFreshDatabase: no database is fresh enough inside the deadline.
	RefuseNoFreshDatabase
	// RefuseUnknownGroup: the manifest has no such group.
	RefuseUnknownGroup
	// RefuseUnknownKind: the manifest has no such kind of work.
	RefuseUnknownKind
	// RefuseDraining: the instance is shutting down.
	RefuseDraining
	// RefuseNotCommitted: a lost commit is proven not to have happened, and the
	// work may not be repeated.
	RefuseNotCommitted
	// RefuseDeadline: the deadline ended before the work was sent.
	RefuseDeadline
	// RefuseCanceled: the caller withdrew it before it was sent.
	RefuseCanceled
	// RefuseDuplicateKey: the caller's own key was committed or settled before.
	RefuseDuplicateKey
)

// String names w for log lines.
func (w RefusalReason) String() string {
	return [...]string{
		"overload", "no-primary", "stale", "unknown-group", "unknown-kind",
		"draining", "settled", "deadline", "canceled", "duplicate",
	}[w]
}

// AbortRequest ends a request whose attempt is running or was lost.
type AbortRequest struct {
	Request model.RequestID
	Attempt model.Attempt
	// OutcomeUnknown says that it can't be known whether the work was committed
	// (SQLSTATE 08007). Without it nothing was committed (SQLSTATE 40001 or
	// 57014), but a part of the answer may have gone to the caller.
	OutcomeUnknown bool
	// Reason is a short reason for the error's detail field.
	Reason string
}

// CancelStatement asks the edge to cancel the running statement of an attempt at its
// database; the attempt still ends by an AttemptEnded.
type CancelStatement struct {
	Request model.RequestID
	Attempt model.Attempt
}

// CloseConnection asks the edge to close the connection of an attempt at once, since its
// database has been replaced; the attempt still ends by an AttemptEnded with
// OutcomeConnectionLost. It may cross an AttemptEnded on its way and is then of no effect.
type CloseConnection struct {
	Request model.RequestID
	Attempt model.Attempt
}

// Drain tells the caller edge to accept no further connection and to close
// each one when it is idle.
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

package backend

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

// rollbackTimeout bounds the rollback of a transaction whose connection returns to the
// pool afterwards.
const rollbackTimeout = time.Second

// RunIn synchronizes the connection with the state of a session, and then sends a
// statement and returns the reply to it. A prepared statement is executed under its name
// on the connection. Without a reply, the error is a *SyncError if the statement was not
// sent, and otherwise a *ConnectionLostError.
func (c *Conn) RunIn(ctx context.Context, timeout time.Duration, state SessionState, request statement.Request) (*Reply, error) {
	startedAt := clock.Now()
	if err := c.Synchronize(ctx, timeout, state); err != nil {
		return nil, err
	}
	if execute, isExecute := request.Statement.(statement.Execute); isExecute && state.Prepared != nil {
		request.Statement = statement.Execute{Name: c.PreparedName(*state.Prepared), Arguments: execute.Arguments}
	}
	return c.Run(ctx, timeout-clock.Since(startedAt), request)
}

// RollBack returns a connection to the pool after it has rolled back the transaction that
// is open on it, if there is one. It closes the connection if that fails.
func (p *Pool) RollBack(ctx context.Context, conn *Conn) {
	if conn.NeedsRollback() {
		reply, err := conn.Run(ctx, rollbackTimeout, statement.Request{Statement: statement.Rollback{}})
		if err != nil || reply.Failure != nil {
			conn.Close()
			return
		}
	}
	p.Put(conn)
}

// -----------------------------------------------------------------------------
// What outcomes say about a database.

// ResultOf returns what the outcome of a statement shows about its database, apart from
// the lag. isWrite is set for a statement that only a primary carries out.
func ResultOf(reply *Reply, err error, isWrite bool, elapsed time.Duration) placement.Result {
	var syncErr *SyncError
	if errors.As(err, &syncErr) {
		reply = syncErr.Refusal
	}
	result := placement.Result{Outcome: placement.OutcomeAnswered, Elapsed: elapsed}
	switch {
	case reply == nil:
		result.Outcome = placement.OutcomeConnectionLost
		var lost *ConnectionLostError
		if errors.As(err, &lost) && lost.IsTimeout() {
			// The database is unresponsive or slow, which the scheduler detects
			// itself.
			result.Outcome = placement.OutcomeNotSent
		}
	case reply.Failure == nil && isWrite:
		result.Outcome = placement.OutcomeWritten
	case reply.Failure != nil:
		result.Outcome = outcomeOfFailure(reply.Failure.Code, placement.OutcomeAnswered)
		if reply.Failure.Code == statement.CodeBusy {
			result.Outcome = placement.OutcomeBusy
		}
	}
	if reply != nil {
		result.Position = reply.Position
	}
	return result
}

// ResultOfConnect returns what the error of Pool.Get shows about the database.
func ResultOfConnect(err error) placement.Result {
	return placement.Result{Outcome: outcomeOfFailure(ConnectFailure(err).Code, placement.OutcomeUnreachable)}
}

// ConnectFailure returns the failure for a connection that could not be opened.
func ConnectFailure(err error) *statement.FailureError {
	var failure *statement.FailureError
	if errors.As(err, &failure) {
		return failure
	}
	return &statement.FailureError{Code: statement.CodeBusy, Message: err.Error()}
}

// outcomeOfFailure returns the placement outcome of a failure with the given code, or
// fallback if the code has no placement outcome of its own.
func outcomeOfFailure(code statement.Code, fallback placement.Outcome) placement.Outcome {
	switch code {
	case statement.CodeConnectionLimit:
		return placement.OutcomeConnectionLimit
	case statement.CodeBehind:
		return placement.OutcomeBehind
	case statement.CodeWrongDatabase:
		return placement.OutcomeUnreachable
	case statement.CodeNotPrimary:
		return placement.OutcomeNotPrimary
	case statement.CodeBusy, statement.CodeAborted, statement.CodePreparedStatementNotFound,
		statement.CodeMalformed, statement.CodeGroupNotFound, statement.CodeAccessDenied, statement.CodeExecutionFailed, statement.CodeTimeout,
		statement.CodeOutcomeUnknown, statement.CodeUnrecognized:
	}
	return fallback
}

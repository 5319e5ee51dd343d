package session

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// transaction is a transaction that a caller has begun and not ended.
type transaction struct {
	readOnly bool
	// beganAt is when BEGIN arrived; route and tenant are those in force at that time.
	beganAt time.Time
	route   route.Route
	tenant  model.TenantID
	// attempt holds the connection. It is nil before the first statement, and after
	// the connection was lost or released.
	attempt *attempt
	// sentWrite is set once a write was sent. failed is set once the transaction
	// accepts only COMMIT and ROLLBACK.
	sentWrite, failed bool
	// unreported is why the transaction has failed without a request from the caller,
	// until the caller has been told. It is nil otherwise.
	unreported *statement.FailureError
}

// handleInTransaction answers a request inside a transaction.
func (s *session) handleInTransaction(request Request, arrivedAt time.Time) statement.Answer {
	t := s.transaction
	req := &pendingRequest{Request: request, arrivedAt: arrivedAt, route: t.route, tenant: t.tenant}
	if _, isRollback := request.Statement.(statement.Rollback); isRollback {
		s.rollBackTransaction()
		return statement.Answer{TransactionState: statement.TransactionStateIdle}
	}
	if failure := t.unreported; failure != nil {
		t.unreported = nil
		return s.concludeNotSent(req, failure)
	}
	if t.failed {
		return s.handleFailed(req)
	}
	if s.server.hasReached(stageEnding) {
		return s.concludeNotSent(req, &statement.FailureError{Code: statement.CodeAborted, Message: shuttingDownText})
	}
	if answer, done := s.handleLocal(request.Statement); done {
		return answer
	}
	isWrite := false
	switch stmt := request.Statement.(type) {
	case statement.Read, statement.Commit:
	case statement.Write:
		isWrite = true
	case statement.Execute:
		prepare, found := s.prepared[stmt.Name]
		if !found {
			return s.failTransaction(req, &statement.FailureError{Code: statement.CodePreparedStatementNotFound, Message: stmt.Name})
		}
		isWrite = prepare.Access == model.AccessWrite
	default:
		return s.failTransaction(req, &statement.FailureError{Code: statement.CodeMalformed, Message: "the statement is malformed or not valid inside a transaction"})
	}
	if t.attempt == nil {
		return s.runFirst(req, isWrite)
	}
	s.server.options.Scheduler.StartStatement(t.attempt.reservation)
	t.sentWrite = t.sentWrite || isWrite
	reply, err := s.sendStatement(req, t.attempt, nil, req.remaining())
	s.reportOutcome(t.attempt, isWrite, reply, err)
	return s.concludeInTransaction(req, reply, err, false)
}

// handleFailed answers a request in a failed transaction. A COMMIT ends it, with an
// answer that says that it was rolled back.
func (s *session) handleFailed(req *pendingRequest) statement.Answer {
	if _, isCommit := req.Statement.(statement.Commit); isCommit {
		s.rollBackTransaction()
		return failureAnswer(statement.CodeAborted, "the transaction was rolled back", statement.TransactionStateIdle)
	}
	return failureAnswer(statement.CodeMalformed, "the transaction has failed; only COMMIT or ROLLBACK is accepted", statement.TransactionStateFailed)
}

// runFirst runs the transaction's first statement, after its BEGIN. Nothing of the
// transaction has run before, so that it may be retried at other databases.
func (s *session) runFirst(req *pendingRequest, isWrite bool) statement.Answer {
	t := s.transaction
	requirements := s.requirements(req, t.beganAt, !t.readOnly)
	for {
		req.attempts++
		att, failure := s.startAttempt(req, requirements)
		if failure == nil {
			begin := statement.Request{Statement: statement.Begin{ReadOnly: t.readOnly}}
			if t.readOnly {
				begin.MinPosition = att.reservation.MinPosition
			}
			t.attempt = att
			t.sentWrite = isWrite
			reply, err := s.sendStatement(req, att, &begin, req.remaining())
			s.reportOutcome(att, isWrite, reply, err)
			if failure = s.notSent(req, err); failure == nil {
				if reply == nil || reply.Failure == nil || req.hasForwarded || !reply.Failure.Code.GuaranteesNotExecuted() {
					return s.concludeInTransaction(req, reply, err, true)
				}
				failure = reply.Failure
			}
			s.rollBackAttempt(att)
			t.attempt = nil
			s.logRetry(req, att.reservation, failure.Error())
			s.excludeAttempt(req, &requirements, att)
		}
		if !s.mayRetry(req) {
			return s.concludeNotSent(req, notExecuted(failure))
		}
		if requirements.RequiresPrimary {
			s.reportSuspectedPrimary(req.route.Group)
			s.pause(retryPause(req.attempts))
		}
	}
}

// concludeInTransaction answers a statement that was sent inside the transaction.
// The answer to the first statement is returned only if its BEGIN carried a minimum
// position, as a read-only BEGIN may, or if the database is confirmed as the primary.
func (s *session) concludeInTransaction(req *pendingRequest, reply *backend.Reply, err error, isFirst bool) statement.Answer {
	t := s.transaction
	_, isCommit := req.Statement.(statement.Commit)
	if failure := s.notSent(req, err); failure != nil {
		return s.concludeNotSent(req, failure)
	}
	if reply == nil {
		return s.concludeLostInTransaction(req, isCommit, err)
	}
	if reply.Failure != nil {
		if isCommit {
			return s.concludeFailedCommit(req, reply)
		}
		if reply.Failure.Code == statement.CodePreparedStatementNotFound {
			// The session has the name: the database has lost it.
			return s.failTransaction(req, &statement.FailureError{Code: statement.CodeAborted, Message: reply.Failure.Error()})
		}
		return s.failTransaction(req, reply.Failure)
	}
	answer := statement.Answer{Rows: reply.Rows, Signature: reply.Signature, TransactionState: statement.TransactionStateOpen}
	if isCommit {
		return s.concludeCommit(req, reply, answer)
	}
	// proof states in the log why the answer is valid: an earlier statement of the
	// transaction was checked ("transaction"), the database has reached the minimum
	// position ("position"), or it is confirmed as the primary ("lease").
	proof := "transaction"
	if isFirst {
		proof = "position"
		if t.attempt.reservation.MinPosition.IsZero() {
			proof = "lease"
			if validity := s.confirmPrimary(req, t.attempt, reply); validity != lease.ValidityConfirmed {
				s.closeTransactionConn()
				return s.failTransaction(req, &statement.FailureError{Code: statement.CodeAborted, Message: "the primary is " + validity.String() + "; " + notConfirmedText})
			}
		}
	}
	s.logAnswer(req, t.attempt, reply, proof)
	return answer
}

// concludeNotSent answers a statement that no database has run. The transaction is
// rolled back, and a COMMIT ends it.
func (s *session) concludeNotSent(req *pendingRequest, failure *statement.FailureError) statement.Answer {
	answer := s.failTransaction(req, failure)
	if _, isCommit := req.Statement.(statement.Commit); isCommit {
		s.transaction = nil
		answer.TransactionState = statement.TransactionStateIdle
	}
	return answer
}

// concludeLostInTransaction answers a statement whose answer was lost. The outcome is
// unknown only for the COMMIT of a transaction with writes: before its COMMIT a
// transaction has changed nothing.
func (s *session) concludeLostInTransaction(req *pendingRequest, isCommit bool, err error) statement.Answer {
	t := s.transaction
	sentWrite := t.sentWrite
	reservation := t.attempt.reservation
	s.closeTransactionConn()
	s.reportSuspectedPrimary(req.route.Group)
	if isCommit && sentWrite {
		s.transaction = nil
		return s.logFailure(req, reservation, &statement.FailureError{Code: statement.CodeOutcomeUnknown, Message: "the answer to COMMIT was lost"}, statement.TransactionStateIdle)
	}
	failure := &statement.FailureError{Code: statement.CodeAborted, Message: "the transaction's database was lost: " + err.Error()}
	if isCommit {
		s.transaction = nil
		return s.logFailure(req, reservation, failure, statement.TransactionStateIdle)
	}
	return s.failTransaction(req, failure)
}

// concludeFailedCommit answers a COMMIT that the database answered with a failure.
func (s *session) concludeFailedCommit(req *pendingRequest, reply *backend.Reply) statement.Answer {
	reservation := s.transaction.attempt.reservation
	s.closeTransactionConn()
	s.transaction = nil
	return s.logFailure(req, reservation, reply.Failure, statement.TransactionStateIdle)
}

// concludeCommit answers a COMMIT that the database carried out. If the transaction
// has written and the primary can't be confirmed, the outcome is unknown.
func (s *session) concludeCommit(req *pendingRequest, reply *backend.Reply, answer statement.Answer) statement.Answer {
	t := s.transaction
	s.transaction = nil
	answer.TransactionState = statement.TransactionStateIdle
	att := t.attempt
	s.endAttempt(att)
	if !t.sentWrite {
		s.logAnswer(req, att, reply, "reads only")
		return answer
	}
	if validity := s.confirmPrimary(req, att, reply); validity != lease.ValidityConfirmed {
		return s.logFailure(req, att.reservation, &statement.FailureError{
			Code: statement.CodeOutcomeUnknown, Message: "the commit's primary is " + validity.String(),
		}, statement.TransactionStateIdle)
	}
	s.recordWrittenPosition(reply.Position)
	s.logAnswer(req, att, reply, "lease")
	return answer
}

// failTransaction answers with a failure and marks the transaction as failed. Its
// connection is released.
func (s *session) failTransaction(req *pendingRequest, failure *statement.FailureError) statement.Answer {
	t := s.transaction
	t.failed = true
	reservation := placement.Reservation{}
	if t.attempt != nil {
		reservation = t.attempt.reservation
		s.rollBackAttempt(t.attempt)
		t.attempt = nil
	}
	return s.logFailure(req, reservation, failure, statement.TransactionStateFailed)
}

// rollBackTransaction ends the session's transaction and rolls it back at the
// database.
func (s *session) rollBackTransaction() {
	if att := s.transaction.attempt; att != nil {
		s.rollBackAttempt(att)
	}
	s.transaction = nil
}

// closeTransactionConn closes the connection of the transaction, so that the database
// rolls it back.
func (s *session) closeTransactionConn() {
	s.closeAttempt(s.transaction.attempt)
	s.transaction.attempt = nil
}

// failIdleTransaction marks a transaction as failed and rolls it back, without a
// request from the caller. The caller's next statement is answered with the reason.
func (s *session) failIdleTransaction(reason string) {
	t := s.transaction
	id := model.DatabaseID("")
	if t.attempt != nil {
		id = t.attempt.reservation.Database.ID
		s.rollBackAttempt(t.attempt)
		t.attempt = nil
	}
	t.failed = true
	t.unreported = &statement.FailureError{Code: statement.CodeAborted, Message: reason}
	s.server.logEvent(event.TransactionEnded,
		event.F("request", ""), event.F("route", t.route.Name), event.F("database", id), event.F("why", reason))
}

// rollBackAttempt ends an attempt, and rolls back the transaction that is open on its
// connection. The rollback runs in the background, so that the caller does not wait
// for it.
func (s *session) rollBackAttempt(att *attempt) {
	conn, isOwn := att.conn.(*backend.Conn)
	if !isOwn || !conn.NeedsRollback() {
		s.endAttempt(att)
		return
	}
	s.server.spawn(func() {
		s.server.options.Pool.RollBack(s.server.requestCtx, conn)
		s.server.options.Scheduler.Release(att.reservation)
	})
}

// closeAttempt ends an attempt and closes its connection.
func (s *session) closeAttempt(att *attempt) {
	att.conn.Close()
	s.server.options.Scheduler.Release(att.reservation)
}

package session

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/metrics"
)

const (
	// queueShare is the part of a statement's timeout that it may spend waiting for
	// a reservation; the rest is for running it.
	queueShare = 0.8
	// partitionedTimeout is the longest wait for a reservation while this instance
	// is partitioned from the primary and other instances are not. It is long
	// enough for a reservation at a replica.
	partitionedTimeout = 25 * time.Millisecond
	// retryAfterText gives the time after which a caller whose statement was not
	// admitted should retry: about a dozen statements have ended by then.
	retryAfterText = "retry after 250 ms"
	// shuttingDownText is the message for a caller that has to connect to another
	// instance. It may do so at once.
	shuttingDownText = "this instance is shutting down; connect again"
	// notConfirmedText is the message for a statement whose database could not be
	// confirmed as the primary.
	notConfirmedText = "no primary is confirmed; retry after 500 ms"
)

// attempt is one attempt to run a statement: a reservation with its connection.
type attempt struct {
	reservation placement.Reservation
	conn        *backend.Conn
	sentAt      time.Time
}

// requirements returns the scheduling requirements of a statement. beganAt is the
// time from which the route's maximum staleness counts.
func (s *session) requirements(req *pendingRequest, beganAt time.Time, primary bool) placement.Requirements {
	requirements := placement.Requirements{
		Group:           req.route.Group,
		Rank:            req.route.Rank,
		Tenant:          req.tenant,
		ArrivedAt:       req.arrivedAt,
		Deadline:        req.arrivedAt.Add(time.Duration(queueShare * float64(req.route.Timeout))),
		RequiresPrimary: primary || req.route.Consistency == route.ConsistencyPrimary,
	}
	if req.route.LatencyTarget > 0 {
		requirements.Target = req.arrivedAt.Add(req.route.LatencyTarget)
	}
	if requirements.RequiresPrimary {
		return requirements
	}
	requirements.AsOf = beganAt.Add(-req.route.MaxStaleness)
	requirements.Samples = s.server.options.Samples.SamplesOf(req.route.Group)
	if req.route.Consistency == route.ConsistencyReadYourWrites {
		requirements.MinPosition, requirements.MinPositionAsOf = s.minPosition, s.minPositionAsOf
	}
	return requirements
}

// startAttempt gets a reservation and a connection. After a failure nothing was sent.
func (s *session) startAttempt(req *pendingRequest, requirements placement.Requirements) (*attempt, *statement.FailureError) {
	timeout := time.Duration(queueShare*float64(req.route.Timeout)) - clock.Since(req.arrivedAt)
	if s.server.options.PrimaryConfirmer.IsPartitioned(req.route.Group) {
		if requirements.RequiresPrimary {
			return nil, &statement.FailureError{Code: statement.CodeBusy, Message: "this instance is partitioned from the primary; " + retryAfterText}
		}
		timeout = min(timeout, partitionedTimeout)
	}
	ctx, cancel := context.WithTimeout(s.server.requestCtx, timeout)
	defer cancel()
	queuedAt := clock.Now()
	reservation, err := s.server.options.Scheduler.Acquire(ctx, requirements)
	req.queuedFor += clock.Since(queuedAt)
	var rejected *placement.RejectedError
	if errors.As(err, &rejected) {
		req.rejected = true
		return nil, rejection(rejected)
	}
	if err != nil {
		return nil, &statement.FailureError{Code: statement.CodeBusy, Message: "no database had room in time; " + retryAfterText}
	}
	conn, err := s.server.options.Pool.Get(ctx, reservation.Database, req.tenant, s.variables)
	if err != nil {
		failure := connectFailure(err)
		s.logRetry(req, reservation, err.Error())
		s.server.options.Scheduler.FinishStatement(reservation, placement.Result{Outcome: outcomeOfFailure(failure.Code, placement.OutcomeUnreachable)})
		s.server.options.Scheduler.Release(reservation)
		return nil, failure
	}
	return &attempt{reservation: reservation, conn: conn}, nil
}

// connectFailure returns the failure for a connection that could not be opened.
func connectFailure(err error) *statement.FailureError {
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

// sendStatement synchronizes the connection with the session, and then sends a
// statement and returns the reply to it. begin opens the transaction to which the
// statement belongs, unless it is nil. Without a reply, the error is a
// *backend.SyncError if the statement was not sent, and otherwise a
// *backend.ConnectionLostError.
func (s *session) sendStatement(req *pendingRequest, att *attempt, begin *statement.Request, timeout time.Duration) (*backend.Reply, error) {
	state := backend.SessionState{Variables: s.variables, Begin: begin}
	execute, isExecute := req.Statement.(statement.Execute)
	if isExecute {
		prepared := s.prepared[execute.Name]
		state.Prepared = &prepared
	}
	att.sentAt = clock.Now()
	if err := att.conn.Synchronize(s.server.requestCtx, timeout, state); err != nil {
		return nil, err
	}
	request := statement.Request{ID: req.ID, Statement: req.Statement}
	if isExecute {
		request.Statement = statement.Execute{Name: att.conn.PreparedName(*state.Prepared), Arguments: execute.Arguments}
	}
	if s.transaction == nil {
		request.MinPosition = att.reservation.MinPosition
	}
	return att.conn.Run(s.server.requestCtx, timeout-clock.Since(att.sentAt), request)
}

// notSent returns the failure for a statement that was not sent because its connection
// could not be synchronized with the session, or nil for any other error. The failure
// guarantees that nothing was kept, whatever the refused request's own code is.
func notSent(err error) *statement.FailureError {
	var syncErr *backend.SyncError
	if !errors.As(err, &syncErr) {
		return nil
	}
	if refusal := syncErr.Refusal; refusal != nil && refusal.Failure.Code.GuaranteesNotExecuted() && refusal.Failure.Code != statement.CodePreparedStatementNotFound {
		return refusal.Failure
	}
	return &statement.FailureError{Code: statement.CodeAborted, Message: syncErr.Error()}
}

// reportOutcome reports the outcome of an attempt's statement to the scheduler.
// isWrite is set for a statement that only a primary carries out.
func (s *session) reportOutcome(att *attempt, isWrite bool, reply *backend.Reply, err error) {
	var syncErr *backend.SyncError
	if errors.As(err, &syncErr) {
		reply = syncErr.Refusal
	}
	result := placement.Result{Outcome: placement.OutcomeAnswered, Elapsed: clock.Since(att.sentAt)}
	switch {
	case reply == nil:
		result.Outcome = placement.OutcomeConnectionLost
		var lost *backend.ConnectionLostError
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
		result.Lag = max(clock.Since(att.reservation.MinPositionAsOf), s.server.options.Samples.SamplesOf(att.reservation.Database.Group).Lag(clock.Now(), reply.Position))
	}
	if reply != nil {
		result.Position = reply.Position
	}
	s.server.options.Scheduler.FinishStatement(att.reservation, result)
}

// endAttempt releases an attempt's reservation, and returns its connection to the pool.
func (s *session) endAttempt(att *attempt) {
	s.server.options.Pool.Put(att.conn)
	s.server.options.Scheduler.Release(att.reservation)
}

// confirmPrimary waits until it is known whether the database of an attempt was the
// primary when it answered, within the statement's remaining time.
func (s *session) confirmPrimary(req *pendingRequest, att *attempt, reply *backend.Reply) lease.Validity {
	timeout := req.remaining()
	if _, isRead := req.Statement.(statement.Read); isRead && s.server.options.PrimaryConfirmer.IsPartitioned(req.route.Group) {
		timeout = min(timeout, partitionedTimeout)
	}
	ctx, cancel := context.WithTimeout(s.server.requestCtx, timeout)
	defer cancel()
	validity := s.server.options.PrimaryConfirmer.ConfirmPrimary(ctx, att.reservation.Grant, reply.ReceivedAt)
	if validity == lease.ValidityConfirmed && !reply.Position.IsZero() {
		s.server.options.Samples.SamplesOf(req.route.Group).Add(att.sentAt, reply.Position)
	}
	return validity
}

// -----------------------------------------------------------------------------
// Log lines.

func (s *session) logRetry(req *pendingRequest, reservation placement.Reservation, reason string) {
	s.server.logEvent(event.StatementRetried,
		event.F("request", req.ID), event.F("route", req.route.Name), event.F("database", reservation.Database.ID),
		event.F("epoch", reservation.Grant.Epoch), event.F("why", reason), event.F("attempt", req.attempts))
}

// observeMetrics adds a statement's duration and its time in queues to the
// histograms: by route, and by rank and group.
func (s *session) observeMetrics(req *pendingRequest, outcome string) {
	elapsed := clock.Since(req.arrivedAt)
	rankAndGroup := strconv.Itoa(int(req.route.Rank)) + "/" + string(req.route.Group)
	metrics.Observe("statements", req.route.Name+"/"+outcome, elapsed)
	metrics.Observe("ranks", rankAndGroup+"/"+outcome, elapsed)
	metrics.Observe("waits", rankAndGroup, req.queuedFor)
}

// logAnswer logs a successful answer to the caller. proof is the log field that says
// why the answer is valid: "reads only" for the COMMIT of a transaction without
// writes; for the other values see the callers.
func (s *session) logAnswer(req *pendingRequest, att *attempt, reply *backend.Reply, proof string) {
	s.observeMetrics(req, "ok")
	age := time.Duration(0)
	if !att.reservation.MinPositionAsOf.IsZero() {
		age = clock.Since(att.reservation.MinPositionAsOf)
	}
	s.server.logEvent(event.StatementAnswered,
		event.F("request", req.ID), event.F("route", req.route.Name), event.F("statement", statementName(req.Statement)),
		event.F("database", att.reservation.Database.ID), event.F("primary", att.reservation.IsPrimary),
		event.F("epoch", att.reservation.Grant.Epoch), event.F("after", att.reservation.MinPosition.String()), event.F("age", age.String()),
		event.F("position", reply.Position.String()), event.F("proof", proof), event.F("attempts", req.attempts),
		event.F("waited", req.queuedFor.String()), event.F("took", clock.Since(req.arrivedAt).String()))
}

// logFailure logs a failure that is returned to the caller, and returns the answer
// with it.
func (s *session) logFailure(req *pendingRequest, reservation placement.Reservation, failure *statement.FailureError, state statement.TransactionState) statement.Answer {
	s.observeMetrics(req, failure.Code.String())
	s.server.logEvent(event.StatementFailed,
		event.F("request", req.ID), event.F("route", req.route.Name), event.F("statement", statementName(req.Statement)),
		event.F("code", failure.Code.String()), event.F("text", failure.Message),
		event.F("database", reservation.Database.ID), event.F("epoch", reservation.Grant.Epoch),
		event.F("attempts", req.attempts), event.F("waited", req.queuedFor.String()),
		event.F("took", clock.Since(req.arrivedAt).String()))
	return statement.Answer{Failure: failure, TransactionState: state}
}

// statementName returns the name of a statement's type for log lines.
func statementName(s statement.Statement) string {
	switch s.(type) {
	case statement.Read:
		return "read"
	case statement.Write:
		return "write"
	case statement.Execute:
		return "execute"
	case statement.Commit:
		return "commit"
	default:
		return "other"
	}
}

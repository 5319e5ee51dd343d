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
	"github.com/eelgrassfold/eelgrassfold/internal/edge/relay"
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

// connection is the way to the database of an attempt: a connection of this instance
// (*backend.Conn), or one through a relay (*relay.Conn).
type connection interface {
	// RunIn sends a statement with the state of the session that it needs, and returns
	// the answer.
	RunIn(ctx context.Context, timeout time.Duration, state backend.SessionState, request statement.Request) (*backend.Reply, error)
	// Close ends it. The database then rolls back an open transaction.
	Close()
}

// attempt is one attempt to run a statement: a reservation with its connection.
type attempt struct {
	reservation placement.Reservation
	conn        connection
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
	if reservation.IsRelayed {
		conn, found := s.server.options.Relays.Open(requirements, reservation, req.excludedRelays)
		if !found {
			return nil, &statement.FailureError{Code: statement.CodeBusy, Message: "no relay reaches the database; " + retryAfterText}
		}
		return &attempt{reservation: reservation, conn: conn}, nil
	}
	conn, err := s.server.options.Pool.Get(ctx, reservation.Database, req.tenant, s.variables)
	if err != nil {
		s.logRetry(req, reservation, err.Error())
		s.server.options.Scheduler.FinishStatement(reservation, backend.ResultOfConnect(err))
		s.server.options.Scheduler.Release(reservation)
		return nil, backend.ConnectFailure(err)
	}
	return &attempt{reservation: reservation, conn: conn}, nil
}

// sendStatement sends a statement, with the state of the session that the connection must
// have for it, and returns the reply to it. begin opens the transaction to which the
// statement belongs, unless it is nil. Without a reply, notSent tells whether the statement
// was sent.
func (s *session) sendStatement(req *pendingRequest, att *attempt, begin *statement.Request, timeout time.Duration) (*backend.Reply, error) {
	state := backend.SessionState{Variables: s.variables, Begin: begin}
	if execute, isExecute := req.Statement.(statement.Execute); isExecute {
		prepared := s.prepared[execute.Name]
		state.Prepared = &prepared
	}
	att.sentAt = clock.Now()
	request := statement.Request{ID: req.ID, Statement: req.Statement, Forward: func(rows []string) error {
		return s.forward(req, att, rows)
	}}
	if s.transaction == nil {
		request.MinPosition = att.reservation.MinPosition
	}
	return att.conn.RunIn(s.server.requestCtx, timeout, state, request)
}

// forward writes rows to the caller before the rest of their answer is there. The whole
// answer has the statement's remaining time. A caller that does not read it in that time is
// disconnected, since it would keep the connection to the database.
func (s *session) forward(req *pendingRequest, att *attempt, rows []string) error {
	req.hasForwarded = true
	held := s.account.HoldAnswer(sizeOf(rows))
	defer s.account.Return(held)
	expiry := time.AfterFunc(req.remaining(), func() { _ = s.conn.Close() })
	defer expiry.Stop()
	if err := s.codec.WriteRows(rows); err != nil {
		return err
	}
	if conn, isOwn := att.conn.(*backend.Conn); isOwn && s.server.requestCtx.Err() == nil {
		return conn.Extend(req.remaining())
	}
	return s.server.requestCtx.Err()
}

// sizeOf returns the size of rows in bytes.
func sizeOf(rows []string) int {
	size := 0
	for _, row := range rows {
		size += len(row)
	}
	return size
}

// notSent returns the failure for a statement that was not sent to a database, because its
// connection could not be synchronized with the session or its relay did not run it. It
// returns nil for any other error. The failure guarantees that nothing was kept, whatever
// the refused request's own code is.
func (s *session) notSent(req *pendingRequest, err error) *statement.FailureError {
	var notRun *relay.NotRunError
	if errors.As(err, &notRun) {
		if notRun.Reason == relay.ReasonRejected {
			req.rejected = true
			return rejection(&placement.RejectedError{ExpectedWait: notRun.ExpectedWait})
		}
		return &statement.FailureError{Code: statement.CodeAborted, Message: notRun.Error()}
	}
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
	result := backend.ResultOf(reply, err, isWrite, clock.Since(att.sentAt))
	if result.Outcome == placement.OutcomeBehind {
		result.Lag = max(clock.Since(att.reservation.MinPositionAsOf), s.server.options.Samples.SamplesOf(att.reservation.Database.Group).Lag(clock.Now(), result.Position))
	}
	s.server.options.Scheduler.FinishStatement(att.reservation, result)
}

// excludeAttempt leaves the database of an attempt that has failed out of the next ones, or
// only the relay if it went through one.
func (s *session) excludeAttempt(req *pendingRequest, requirements *placement.Requirements, att *attempt) {
	if conn, isRelayed := att.conn.(*relay.Conn); isRelayed {
		req.excludedRelays = append(req.excludedRelays, conn.Relay())
		return
	}
	requirements.ExcludedDatabases = append(requirements.ExcludedDatabases, att.reservation.Database.ID)
}

// endAttempt releases an attempt's reservation, and returns its connection to the pool.
func (s *session) endAttempt(att *attempt) {
	if conn, isOwn := att.conn.(*backend.Conn); isOwn {
		s.server.options.Pool.Put(conn)
	} else {
		att.conn.Close()
	}
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

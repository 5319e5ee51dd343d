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
	// waitShare is the part of a statement's time that it may wait for a seat;
	// what is left is for running it.
	waitShare = 0.8
	// cutOffPatience is the longest wait for a seat while this instance is cut
	// off and others are not: enough for a replica's seat.
	cutOffPatience = 25 * time.Millisecond
	// comeBack is the time after which a caller whose statement was refused for
	// lack of room should come again: some dozen statements have ended by then.
	comeBack = "retry after 250 ms"
	// notProven says why a statement was refused whose database could not be
	// shown to be the primary.
	notProven = "no primary is proven; retry after 500 ms"
)

// visit is one attempt at a database: a seat with its connection.
type visit struct {
	seat placement.Reservation
	conn *backend.Conn
	sent time.Time
}

// need describes to the scheduler what a statement that began at a time wants.
func (s *session) need(a *asked, began time.Time, primary bool) placement.Requirements {
	need := placement.Requirements{
		Group:           a.route.Group,
		Rank:            a.route.Rank,
		ArrivedAt:       a.arrived,
		RequiresPrimary: primary || a.route.Consistency == route.ConsistencyPrimary,
	}
	if need.RequiresPrimary {
		return need
	}
	need.AsOf = began.Add(-a.route.MaxStaleness)
	need.Samples = s.server.options.Samples.SamplesOf(a.route.Group)
	if a.route.Consistency == route.ConsistencyReadYourWrites {
		need.MinPosition, need.MinPositionAsOf = s.floor, s.floorAt
	}
	return need
}

// enter gets a seat and a connection. Its failure says that nothing was sent.
func (s *session) enter(a *asked, need placement.Requirements) (*visit, *statement.FailureError) {
	patience := time.Duration(waitShare*float64(a.route.Timeout)) - clock.Since(a.arrived)
	if s.server.options.PrimaryConfirmer.IsPartitioned(a.route.Group) {
		if need.RequiresPrimary {
			return nil, &statement.FailureError{Code: statement.CodeBusy, Message: "this instance is cut off; " + comeBack}
		}
		patience = min(patience, cutOffPatience)
	}
	ctx, cancel := context.WithTimeout(s.server.ctx, patience)
	defer cancel()
	began := clock.Now()
	seat, err := s.server.options.Scheduler.Acquire(ctx, need)
	a.waited += clock.Since(began)
	if err != nil {
		return nil, &statement.FailureError{Code: statement.CodeBusy, Message: "no database had room in time; " + comeBack}
	}
	conn, err := s.server.options.Pool.Get(ctx, seat.Database, s.values)
	if err != nil {
		failure := openFailure(err)
		s.retried(a, seat, err.Error())
		s.server.options.Scheduler.FinishStatement(seat, placement.Result{Outcome: endingOf(failure.Code, placement.OutcomeUnreachable)})
		s.server.options.Scheduler.Release(seat)
		return nil, failure
	}
	return &visit{seat: seat, conn: conn}, nil
}

// openFailure returns why a connection was not opened.
func openFailure(err error) *statement.FailureError {
	var failure *statement.FailureError
	if errors.As(err, &failure) {
		return failure
	}
	return &statement.FailureError{Code: statement.CodeBusy, Message: err.Error()}
}

// endingOf returns what a failure says of its database.
func endingOf(code statement.Code, otherwise placement.Outcome) placement.Outcome {
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
		statement.CodeMalformed, statement.CodeGroupNotFound, statement.CodeExecutionFailed, statement.CodeTimeout,
		statement.CodeOutcomeUnknown, statement.CodeUnrecognized:
	}
	return otherwise
}

// run sends a statement, behind what brings the connection into the session's
// state, and returns the reply to it. A nil reply means that the connection was
// lost. With begin, the transaction is opened first, and its failure is
// returned in place of the statement's: sent together, the statement would run
// outside of a transaction that was refused.
func (s *session) run(a *asked, v *visit, begin *statement.Request, timeout time.Duration) (*backend.Reply, error) {
	inside := begin == nil && s.transaction != nil
	calls := v.conn.SyncVariables(s.values, inside)
	v.sent = clock.Now()
	if begin != nil {
		opened, err := exchange(v.conn, append(calls, *begin), timeout)
		if err != nil || opened.Failure != nil {
			return opened, err
		}
		timeout -= clock.Since(v.sent)
		calls = nil
	}
	wanted := a.Statement
	if execute, is := wanted.(statement.Execute); is {
		name, prepare := v.conn.EnsurePrepared(s.prepared[execute.Name])
		calls = append(calls, prepare...)
		wanted = statement.Execute{Name: name, Arguments: execute.Arguments}
	}
	call := statement.Request{ID: a.ID, Statement: wanted}
	if s.transaction == nil {
		call.MinPosition = v.seat.MinPosition
	}
	return exchange(v.conn, append(calls, call), timeout)
}

// exchange sends calls together and returns the reply to the last one, or to the
// first that failed: what comes behind a failure ran in another state than it
// was meant for.
func exchange(conn *backend.Conn, calls []statement.Request, timeout time.Duration) (*backend.Reply, error) {
	replies, err := conn.Exchange(timeout, calls)
	for i := range replies {
		if replies[i].Failure != nil || i == len(calls)-1 {
			return &replies[i], nil
		}
	}
	return nil, err
}

// finish tells the scheduler how a visit's statement ended; wrote says that only
// a primary carries it out.
func (s *session) finish(v *visit, wrote bool, reply *backend.Reply, err error) {
	result := placement.Result{Outcome: placement.OutcomeAnswered, Elapsed: clock.Since(v.sent)}
	switch {
	case reply == nil:
		result.Outcome = placement.OutcomeConnectionLost
		var lost *backend.ConnectionLostError
		if errors.As(err, &lost) && lost.IsTimeout() {
			// The database is silent or slow; the scheduler sees that by itself.
			result.Outcome = placement.OutcomeNotSent
		}
	case reply.Failure == nil && wrote:
		result.Outcome = placement.OutcomeWritten
	case reply.Failure != nil:
		result.Outcome = endingOf(reply.Failure.Code, placement.OutcomeAnswered)
		if reply.Failure.Code == statement.CodeBusy {
			result.Outcome = placement.OutcomeBusy
		}
		result.Lag = clock.Since(v.seat.MinPositionAsOf)
	}
	if reply != nil {
		result.Position = reply.Position
	}
	s.server.options.Scheduler.FinishStatement(v.seat, result)
}

// leave ends a visit: its connection is kept where it is in good order.
func (s *session) leave(v *visit, keep bool) {
	if keep {
		s.server.options.Pool.Put(v.conn)
	} else {
		v.conn.Close()
	}
	s.server.options.Scheduler.Release(v.seat)
}

// prove waits until it is known whether the database of a visit was the primary
// when it answered.
func (s *session) prove(a *asked, v *visit, reply *backend.Reply) lease.Validity {
	wait := a.remaining()
	if _, reads := a.Statement.(statement.Read); reads && s.server.options.PrimaryConfirmer.IsPartitioned(a.route.Group) {
		wait = min(wait, cutOffPatience)
	}
	ctx, cancel := context.WithTimeout(s.server.ctx, wait)
	defer cancel()
	verdict := s.server.options.PrimaryConfirmer.ConfirmPrimary(ctx, v.seat.Grant, reply.ReceivedAt)
	if verdict == lease.ValidityConfirmed && !reply.Position.IsZero() {
		s.server.options.Samples.SamplesOf(a.route.Group).Add(v.sent, reply.Position)
	}
	return verdict
}

// -----------------------------------------------------------------------------
// Log lines.

func (s *session) retried(a *asked, seat placement.Reservation, why string) {
	s.server.note(event.StatementRetried,
		event.F("request", a.ID), event.F("route", a.route.Name), event.F("database", seat.Database.ID),
		event.F("epoch", seat.Grant.Epoch), event.F("why", why), event.F("attempt", a.attempts))
}

// measure takes the time of a statement, and its part in queues, into the
// histograms: by route, and by rank and group.
func (s *session) measure(a *asked, outcome string) {
	took := clock.Since(a.arrived)
	by := strconv.Itoa(int(a.route.Rank)) + "/" + string(a.route.Group)
	metrics.Observe("statements", a.route.Name+"/"+outcome, took)
	metrics.Observe("ranks", by+"/"+outcome, took)
	metrics.Observe("waits", by, a.waited)
}

// succeeded logs an answer that goes to the caller.
func (s *session) succeeded(a *asked, v *visit, reply *backend.Reply, proof string) {
	s.measure(a, "ok")
	age := time.Duration(0)
	if !v.seat.MinPositionAsOf.IsZero() {
		age = clock.Since(v.seat.MinPositionAsOf)
	}
	s.server.note(event.StatementAnswered,
		event.F("request", a.ID), event.F("route", a.route.Name), event.F("statement", nameOf(a.Statement)),
		event.F("database", v.seat.Database.ID), event.F("primary", v.seat.IsPrimary),
		event.F("epoch", v.seat.Grant.Epoch), event.F("after", v.seat.MinPosition.String()), event.F("age", age.String()),
		event.F("position", reply.Position.String()), event.F("proof", proof), event.F("attempts", a.attempts),
		event.F("waited", a.waited.String()), event.F("took", clock.Since(a.arrived).String()))
}

// refused logs a failure that goes to the caller, and returns the answer.
func (s *session) refused(a *asked, seat placement.Reservation, failure *statement.FailureError, state statement.TransactionState) statement.Answer {
	s.measure(a, failure.Code.String())
	s.server.note(event.StatementFailed,
		event.F("request", a.ID), event.F("route", a.route.Name), event.F("statement", nameOf(a.Statement)),
		event.F("code", failure.Code.String()), event.F("text", failure.Message),
		event.F("database", seat.Database.ID), event.F("epoch", seat.Grant.Epoch),
		event.F("attempts", a.attempts), event.F("waited", a.waited.String()),
		event.F("took", clock.Since(a.arrived).String()))
	return statement.Answer{Failure: failure, TransactionState: state}
}

// nameOf names a statement for log lines.
func nameOf(s statement.Statement) string {
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

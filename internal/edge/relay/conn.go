package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// Conn is the way of one statement or transaction through a relay to its database. It may
// be used by one goroutine at a time.
type Conn struct {
	client       *Client
	relay        netip.AddrPort
	requirements placement.Requirements
	reservation  placement.Reservation
	// state is that of the session for the next statement.
	state backend.SessionState
	// link carries the open transaction, whose number is transaction. Both are zero
	// outside any.
	link        *link
	transaction uint64
	// isDatabaseFailure is true if the relay has not got an answer from the database.
	isDatabaseFailure bool
}

// IsDatabaseFailure reports whether the last statement failed because the relay has not got
// an answer from the database, rather than because of the relay itself.
func (c *Conn) IsDatabaseFailure() bool { return c.isDatabaseFailure }

// Relay returns the address of the relay.
func (c *Conn) Relay() netip.AddrPort { return c.relay }

// Close ends the way. The relay rolls back a transaction that is open.
func (c *Conn) Close() {
	if c.link != nil {
		c.link.endTransaction(c.transaction)
	}
	c.link, c.transaction = nil, 0
}

// RunIn passes a statement to the relay with the state of the session, into which the
// relay brings its connection before it sends the statement, and returns the database's
// answer, received when it arrived here. timeout bounds the whole way, and so does the end
// of ctx. Its errors are *NotRunError and *LostError. After either the relay rolls a
// transaction back that was open.
func (c *Conn) RunIn(ctx context.Context, timeout time.Duration, state backend.SessionState, request statement.Request) (*backend.Reply, error) {
	startedAt := clock.Now()
	c.state, c.isDatabaseFailure = state, false
	answer, err := c.exchange(ctx, timeout, request)
	outcome, text := "answered", ""
	var notRun *NotRunError
	var lost *LostError
	switch {
	case errors.As(err, &notRun):
		outcome = notRun.Reason.String()
		if notRun.Reason.isFailure() {
			c.client.options.Chooser.RecordFailure(clock.Now(), c.relay, "")
		}
		c.isDatabaseFailure = notRun.Reason == ReasonNoWay
		if notRun.Reason.isFailureOfDatabase() {
			c.client.options.Chooser.RecordFailure(clock.Now(), c.relay, c.reservation.Database.ID)
		}
	case errors.As(err, &lost):
		outcome = "lost"
		c.isDatabaseFailure = lost.IsRelayFailure
		if lost.IsRelayFailure {
			c.client.options.Chooser.RecordFailure(clock.Now(), c.relay, c.reservation.Database.ID)
		}
	default:
		c.client.options.Chooser.RecordAnswer(c.relay, c.reservation.Database.ID)
	}
	if err != nil {
		text = err.Error()
	}
	counters.Add("passed."+outcome, 1)
	c.client.logEvent(event.StatementRelayed, event.F("request", request.ID), event.F("database", c.reservation.Database.ID),
		event.F("relay", c.relay.String()), event.F("epoch", c.reservation.Grant.Epoch), event.F("transaction", c.transaction),
		event.F("outcome", outcome), event.F("text", text), event.F("took", clock.Since(startedAt).String()))
	return answer, err
}

// exchange sends a statement and waits for the outcome.
func (c *Conn) exchange(ctx context.Context, timeout time.Duration, request statement.Request) (*backend.Reply, error) {
	message, ok := c.message(timeout, request)
	if !ok {
		return nil, notRun(c.relay, ReasonRefused, "this statement is not relayed")
	}
	l := c.link
	if l == nil {
		l = c.client.linkTo(c.relay)
	}
	if l == nil {
		return nil, notRun(c.relay, ReasonUnreachable, "this instance is shutting down")
	}
	answer, err := l.exchange(ctx, timeout, message)
	if c.state.Begin != nil && message.Transaction != 0 {
		c.link, c.transaction = l, message.Transaction
	}
	if err != nil {
		return nil, err
	}
	return &backend.Reply{
		Answer: statement.Answer{
			Rows: answer.Rows, Signature: answer.Signature, Failure: answer.Failure,
			TransactionState: answer.TransactionState, Position: answer.Position,
		},
		ReceivedAt: clock.Now(),
	}, nil
}

// message returns the message for a request. It returns false if the statement is of a
// type that is not relayed.
func (c *Conn) message(timeout time.Duration, request statement.Request) (*run, bool) {
	encoded, ok := encodeStatement(request.Statement)
	if !ok {
		return nil, false
	}
	now, target := clock.Now(), c.reservation.Database
	message := &run{
		Transaction: c.transaction, Group: target.Group, Database: target.ID, Address: target.Address, Incarnation: target.Incarnation,
		NeedsPrimary: c.requirements.RequiresPrimary || c.reservation.MinPosition.IsZero(),
		Tenant:       c.requirements.Tenant, Rank: c.requirements.Rank,
		Age: now.Sub(c.requirements.ArrivedAt), Wait: timeout, Remaining: timeout,
		Variables: c.state.Variables, Prepared: c.state.Prepared,
		RequestID: request.ID, MinPosition: request.MinPosition, Statement: encoded,
	}
	if !c.requirements.Deadline.IsZero() {
		message.Wait = min(timeout, c.requirements.Deadline.Sub(now))
	}
	if !c.requirements.Target.IsZero() {
		message.Target, message.HasTarget = c.requirements.Target.Sub(now), true
	}
	if !c.reservation.MinPositionAsOf.IsZero() {
		message.PositionAge = now.Sub(c.reservation.MinPositionAsOf)
	}
	if opening := c.state.Begin; opening != nil {
		stmt, _ := opening.Statement.(statement.Begin)
		message.Begin = &begin{ReadOnly: stmt.ReadOnly, MinPosition: opening.MinPosition}
	}
	return message, true
}

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
)

// probeAge is the age of a database's last answer from which on AnswerAge has it probed.
const probeAge = 100 * time.Millisecond

// PoolExecutor runs statements of peers with the scheduler and the connections with which
// this instance runs those of its own callers.
type PoolExecutor struct {
	Scheduler *placement.Scheduler
	Pool      *backend.Pool
	// LagOf returns by how much a group's database that has reported a position is behind,
	// as far as position samples tell.
	LagOf func(group model.GroupID, position model.Position) time.Duration
	// Probe starts a query of a database's status, so that it is known whether it answers.
	Probe func(database placement.Database)
}

// Reserve implements Executor. It refuses at once if this instance does not reach the
// database either, or knows it differently.
func (e *PoolExecutor) Reserve(ctx context.Context, order Order) (Execution, error) {
	if _, err := e.check(order); err != nil {
		return nil, err
	}
	reservation, err := e.Scheduler.Acquire(ctx, order.Requirements)
	var rejected *placement.RejectedError
	if errors.As(err, &rejected) {
		return nil, &RefusalError{Reason: ReasonRejected, Text: rejected.Error(), ExpectedWait: rejected.ExpectedWait}
	}
	if err != nil {
		return nil, &RefusalError{Reason: ReasonNoRoom, Text: "the database had no room in time"}
	}
	conn, err := e.Pool.Get(ctx, reservation.Database, order.Requirements.Tenant, order.Variables)
	if err != nil {
		e.Scheduler.FinishStatement(reservation, backend.ResultOfConnect(err))
		e.Scheduler.Release(reservation)
		return nil, &RefusalError{Reason: ReasonNoWay, Text: err.Error()}
	}
	return &poolExecution{executor: e, reservation: reservation, conn: conn, isReserved: true}, nil
}

// AnswerAge implements Executor. It has a database probed that has not answered lately.
func (e *PoolExecutor) AnswerAge(order Order) (time.Duration, error) {
	database, err := e.check(order)
	if err != nil {
		return 0, err
	}
	age := clock.Since(e.Scheduler.AnsweredAt(database.ID))
	if age > probeAge {
		e.Probe(database)
	}
	return age, nil
}

// check returns the database of an order, or a *RefusalError if a statement there would be
// refused at once.
func (e *PoolExecutor) check(order Order) (placement.Database, error) {
	known, found := e.Scheduler.DatabaseOf(order.Database.ID)
	switch {
	case !found, known.Group != order.Database.Group, known.Address != order.Database.Address, known.Incarnation != order.Database.Incarnation:
		return known, &RefusalError{Reason: ReasonUnknownDatabase, Text: "the database is known differently here"}
	case order.Requirements.RequiresPrimary && !e.Scheduler.IsPrimary(order.Database.ID):
		return known, &RefusalError{Reason: ReasonNotPrimary, Text: "the database is not the primary here"}
	case e.Scheduler.IsSuspected(order.Database.ID):
		return known, &RefusalError{Reason: ReasonNoWay, Text: "the database does not answer here either"}
	}
	return known, nil
}

// poolExecution is a reservation of the scheduler with a connection of the pool.
type poolExecution struct {
	executor    *PoolExecutor
	reservation placement.Reservation
	conn        *backend.Conn
	// isReserved is set until the first statement: the reservation includes it.
	isReserved bool
}

// Run implements Execution.
func (e *poolExecution) Run(ctx context.Context, timeout time.Duration, state backend.SessionState, request statement.Request, isWrite bool) (*backend.Reply, error) {
	if !e.isReserved {
		e.executor.Scheduler.StartStatement(e.reservation)
	}
	e.isReserved = false
	sentAt := clock.Now()
	reply, err := e.conn.RunIn(ctx, timeout, state, request)
	result := backend.ResultOf(reply, err, isWrite, clock.Since(sentAt))
	if result.Outcome == placement.OutcomeBehind {
		result.Lag = max(clock.Since(e.reservation.MinPositionAsOf), e.executor.LagOf(e.reservation.Database.Group, result.Position))
	}
	e.executor.Scheduler.FinishStatement(e.reservation, result)
	var syncErr *backend.SyncError
	if errors.As(err, &syncErr) {
		return nil, &RefusalError{Reason: ReasonRefused, Text: err.Error()}
	}
	return reply, err
}

// End implements Execution.
func (e *poolExecution) End() {
	if e.isReserved {
		// The statement was not sent: its time had passed.
		e.executor.Scheduler.FinishStatement(e.reservation, placement.Result{Outcome: placement.OutcomeNotSent})
	}
	e.executor.Pool.RollBack(context.Background(), e.conn)
	e.executor.Scheduler.Release(e.reservation)
}

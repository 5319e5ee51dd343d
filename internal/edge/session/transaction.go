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

// rollbackTimeout bounds the rollback of a transaction on a connection that is
// kept afterwards.
const rollbackTimeout = time.Second

// transaction is what a caller has begun and not ended.
type transaction struct {
	readOnly bool
	// began is when its BEGIN arrived; route is the one in force then.
	began time.Time
	route route.Route
	// visit is nil before the first statement, and after the connection was
	// lost or given up.
	visit *visit
	// wrote says that a write was sent, failed that only its end is left.
	wrote, failed bool
}

// handleInside answers a request inside a transaction.
func (s *session) handleInside(request Request, arrived time.Time) statement.Answer {
	t := s.transaction
	a := &asked{Request: request, arrived: arrived, route: t.route}
	if _, is := request.Statement.(statement.Rollback); is {
		s.endTransaction()
		return statement.Answer{TransactionState: statement.TransactionStateIdle}
	}
	if t.failed {
		return s.handleFailed(a)
	}
	if answer, done := s.handleLocal(request.Statement); done {
		return answer
	}
	writes := false
	switch wanted := request.Statement.(type) {
	case statement.Read, statement.Commit:
	case statement.Write:
		writes = true
	case statement.Execute:
		known, found := s.prepared[wanted.Name]
		if !found {
			return s.failTransaction(a, &statement.FailureError{Code: statement.CodePreparedStatementNotFound, Message: wanted.Name})
		}
		writes = known.Access == model.AccessWrite
	default:
		return s.failTransaction(a, &statement.FailureError{Code: statement.CodeMalformed, Message: "not inside a transaction"})
	}
	if t.visit == nil {
		return s.first(a, writes)
	}
	s.server.options.Scheduler.StartStatement(t.visit.seat)
	t.wrote = t.wrote || writes
	reply, err := s.run(a, t.visit, nil, a.remaining())
	s.finish(t.visit, writes, reply, err)
	return s.concludeInside(a, reply, err, false)
}

// handleFailed answers a request while only the transaction's end is left.
func (s *session) handleFailed(a *asked) statement.Answer {
	if _, is := a.Statement.(statement.Commit); is {
		s.endTransaction()
		return failed(statement.CodeAborted, "the transaction was rolled back", statement.TransactionStateIdle)
	}
	return failed(statement.CodeMalformed, "the transaction has failed and waits for its end", statement.TransactionStateFailed)
}

// first runs the transaction's first statement, behind its BEGIN. Nothing has
// run before, so that it may be tried at several databases.
func (s *session) first(a *asked, writes bool) statement.Answer {
	t := s.transaction
	need := s.need(a, t.began, !t.readOnly)
	for {
		a.attempts++
		v, failure := s.enter(a, need)
		if failure == nil {
			begin := statement.Request{Statement: statement.Begin{ReadOnly: t.readOnly}}
			if t.readOnly {
				begin.MinPosition = v.seat.MinPosition
			}
			t.visit = v
			t.wrote = writes
			reply, err := s.run(a, v, &begin, a.remaining())
			s.finish(v, writes, reply, err)
			if reply == nil || reply.Failure == nil || !reply.Failure.Code.GuaranteesNotExecuted() {
				return s.concludeInside(a, reply, err, true)
			}
			failure = reply.Failure
			s.recycle(v, reply)
			t.visit = nil
			s.retried(a, v.seat, failure.Error())
			need.ExcludedDatabases = append(need.ExcludedDatabases, v.seat.Database.ID)
		}
		if !s.mayRetry(a) {
			return s.failTransaction(a, asNotRun(failure))
		}
		if need.RequiresPrimary {
			s.server.options.PrimaryConfirmer.ReportSuspectedPrimary(a.route.Group)
			time.Sleep(retryPause)
		}
	}
}

// concludeInside answers a statement that was sent inside the transaction.
func (s *session) concludeInside(a *asked, reply *backend.Reply, err error, first bool) statement.Answer {
	t := s.transaction
	_, commits := a.Statement.(statement.Commit)
	if reply == nil {
		return s.lostInside(a, commits, err)
	}
	if reply.Failure != nil {
		if commits {
			return s.failedCommit(a, reply)
		}
		return s.failTransaction(a, reply.Failure)
	}
	answer := statement.Answer{Rows: reply.Rows, Signature: reply.Signature, TransactionState: statement.TransactionStateOpen}
	if commits {
		return s.committed(a, reply, answer)
	}
	proof := "transaction"
	if first {
		proof = "position"
		if t.visit.seat.MinPosition.IsZero() {
			proof = "lease"
			if verdict := s.prove(a, t.visit, reply); verdict != lease.ValidityConfirmed {
				s.abandonVisit()
				return s.failTransaction(a, &statement.FailureError{Code: statement.CodeAborted, Message: "the primary is " + verdict.String() + "; " + notProven})
			}
		}
	}
	s.succeeded(a, t.visit, reply, proof)
	return answer
}

// lostInside answers a statement whose answer was lost. Without its COMMIT
// nothing of a transaction is kept.
func (s *session) lostInside(a *asked, commits bool, err error) statement.Answer {
	t := s.transaction
	wrote := t.wrote
	seat := t.visit.seat
	s.abandonVisit()
	s.server.options.PrimaryConfirmer.ReportSuspectedPrimary(a.route.Group)
	if commits && wrote {
		s.transaction = nil
		return s.refused(a, seat, &statement.FailureError{Code: statement.CodeOutcomeUnknown, Message: "the answer to COMMIT was lost"}, statement.TransactionStateIdle)
	}
	failure := &statement.FailureError{Code: statement.CodeAborted, Message: "the transaction's database was lost: " + err.Error()}
	if commits {
		s.transaction = nil
		return s.refused(a, seat, failure, statement.TransactionStateIdle)
	}
	return s.failTransaction(a, failure)
}

// failedCommit answers a COMMIT that the database did not carry out.
func (s *session) failedCommit(a *asked, reply *backend.Reply) statement.Answer {
	seat := s.transaction.visit.seat
	s.abandonVisit()
	s.transaction = nil
	return s.refused(a, seat, reply.Failure, statement.TransactionStateIdle)
}

// committed answers a COMMIT that the database carried out.
func (s *session) committed(a *asked, reply *backend.Reply, answer statement.Answer) statement.Answer {
	t := s.transaction
	s.transaction = nil
	answer.TransactionState = statement.TransactionStateIdle
	v := t.visit
	s.leave(v, reply.TransactionState == statement.TransactionStateIdle)
	if !t.wrote {
		s.succeeded(a, v, reply, "reads only")
		return answer
	}
	if verdict := s.prove(a, v, reply); verdict != lease.ValidityConfirmed {
		return s.refused(a, v.seat, &statement.FailureError{
			Code: statement.CodeOutcomeUnknown, Message: "the commit's primary is " + verdict.String(),
		}, statement.TransactionStateIdle)
	}
	s.wrote(reply.Position)
	s.succeeded(a, v, reply, "lease")
	return answer
}

// failTransaction answers with a failure, after which only the end of the
// transaction is left.
func (s *session) failTransaction(a *asked, failure *statement.FailureError) statement.Answer {
	t := s.transaction
	t.failed = true
	seat := placement.Reservation{}
	if t.visit != nil {
		seat = t.visit.seat
		s.release(t.visit)
		t.visit = nil
	}
	return s.refused(a, seat, failure, statement.TransactionStateFailed)
}

// endTransaction rolls back what is open.
func (s *session) endTransaction() {
	if v := s.transaction.visit; v != nil {
		s.release(v)
	}
	s.transaction = nil
}

// abandonVisit closes the connection of the transaction; the database rolls it
// back.
func (s *session) abandonVisit() {
	s.leave(s.transaction.visit, false)
	s.transaction.visit = nil
}

// interrupt rolls a transaction back without its caller having asked.
func (s *session) interrupt(why string) {
	t := s.transaction
	id := model.DatabaseID("")
	if t.visit != nil {
		id = t.visit.seat.Database.ID
		s.release(t.visit)
		t.visit = nil
	}
	t.failed = true
	s.server.note(event.TransactionEnded,
		event.F("request", ""), event.F("route", t.route.Name), event.F("database", id), event.F("why", why))
}

// recycle keeps the connection of a visit whose first statement did not run.
func (s *session) recycle(v *visit, reply *backend.Reply) {
	if reply.Failure.Code == statement.CodePreparedStatementNotFound || reply.TransactionState == statement.TransactionStateIdle {
		s.leave(v, reply.Failure.Code != statement.CodePreparedStatementNotFound)
		return
	}
	s.release(v)
}

// release rolls back what is open on a visit's connection and keeps it, in the
// background: the caller need not wait for it.
func (s *session) release(v *visit) {
	s.server.spawn(func() {
		replies, err := v.conn.Exchange(rollbackTimeout, []statement.Request{{Statement: statement.Rollback{}}})
		s.leave(v, err == nil && len(replies) == 1 && replies[0].Failure == nil && replies[0].TransactionState == statement.TransactionStateIdle)
	})
}

package session

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
)

const (
	// maxAttempts bounds the tries of one statement.
	maxAttempts = 5
	// firstShare is the part of a read's remaining time that the first database
	// gets before another is asked: answers get lost, and the slowest statements
	// take less.
	firstShare = 0.35
	// retryPause is the pause before a statement is sent again that the primary
	// refused to run.
	retryPause = 20 * time.Millisecond
)

// conclusion is what the end of an attempt means for its statement.
type conclusion struct {
	// answer goes to the caller, unless again says that the statement is sent
	// once more; why then tells the reason.
	answer statement.Answer
	again  bool
	why    *statement.FailureError
}

// single runs a statement outside any transaction.
func (s *session) single(a *asked, writes bool) statement.Answer {
	need := s.need(a, a.arrived, writes)
	for {
		a.attempts++
		v, failure := s.enter(a, need)
		seat := placement.Reservation{}
		if failure == nil {
			seat = v.seat
			ended := s.attempt(a, v, writes)
			if !ended.again {
				return ended.answer
			}
			failure = ended.why
			s.retried(a, seat, failure.Error())
			need.ExcludedDatabases = append(need.ExcludedDatabases, seat.Database.ID)
		}
		if !s.mayRetry(a) {
			return s.refused(a, seat, asNotRun(failure), statement.TransactionStateIdle)
		}
		if need.RequiresPrimary {
			s.server.options.PrimaryConfirmer.ReportSuspectedPrimary(a.route.Group)
			time.Sleep(retryPause)
		}
	}
}

// mayRetry reports whether a statement that did not run may be sent again.
func (s *session) mayRetry(a *asked) bool {
	return a.attempts < maxAttempts && !s.server.options.PrimaryConfirmer.IsPartitioned(a.route.Group) && clock.Since(a.arrived) < time.Duration(waitShare*float64(a.route.Timeout))
}

// asNotRun returns the failure for a statement that did not run: whatever the
// databases said, the caller may come again.
func asNotRun(failure *statement.FailureError) *statement.FailureError {
	if failure.Code == statement.CodeBusy {
		return failure
	}
	return &statement.FailureError{Code: statement.CodeBusy, Message: "not run (" + failure.Error() + "); " + comeBack}
}

// attempt runs a statement at the database of a visit.
func (s *session) attempt(a *asked, v *visit, writes bool) conclusion {
	timeout := a.remaining()
	if !writes && a.attempts == 1 {
		timeout = time.Duration(firstShare * float64(timeout))
	}
	reply, err := s.run(a, v, nil, timeout)
	s.finish(v, writes, reply, err)
	if reply == nil {
		s.leave(v, false)
		return s.lost(a, v, writes, err)
	}
	keep := reply.TransactionState == statement.TransactionStateIdle && (reply.Failure == nil || reply.Failure.Code != statement.CodePreparedStatementNotFound)
	s.leave(v, keep)
	if reply.Failure != nil {
		return s.failure(a, v, reply, writes)
	}
	return s.success(a, v, reply, writes)
}

// lost concludes an attempt without an answer.
func (s *session) lost(a *asked, v *visit, writes bool, err error) conclusion {
	if !writes {
		if a.remaining() <= 0 {
			return conclusion{answer: s.refused(a, v.seat,
				&statement.FailureError{Code: statement.CodeTimeout, Message: "no answer inside the route's time-out"}, statement.TransactionStateIdle)}
		}
		return conclusion{again: true, why: &statement.FailureError{Code: statement.CodeBusy, Message: err.Error()}}
	}
	s.server.options.PrimaryConfirmer.ReportSuspectedPrimary(a.route.Group)
	return conclusion{answer: s.refused(a, v.seat,
		&statement.FailureError{Code: statement.CodeOutcomeUnknown, Message: "the answer of the database was lost"}, statement.TransactionStateIdle)}
}

// failure concludes an attempt that the database refused or failed.
func (s *session) failure(a *asked, v *visit, reply *backend.Reply, writes bool) conclusion {
	if reply.Failure.Code.GuaranteesNotExecuted() || !writes && reply.Failure.Code == statement.CodeExecutionFailed {
		return conclusion{again: true, why: reply.Failure}
	}
	return conclusion{answer: s.refused(a, v.seat, reply.Failure, statement.TransactionStateIdle)}
}

// success concludes an attempt that the database answered: the answer holds if
// its position was asked for, or if the database was the primary.
func (s *session) success(a *asked, v *visit, reply *backend.Reply, writes bool) conclusion {
	answer := statement.Answer{Rows: reply.Rows, Signature: reply.Signature, TransactionState: statement.TransactionStateIdle}
	if !writes && !v.seat.MinPosition.IsZero() {
		s.succeeded(a, v, reply, "position")
		return conclusion{answer: answer}
	}
	switch verdict := s.prove(a, v, reply); {
	case verdict == lease.ValidityConfirmed:
		if writes {
			s.wrote(reply.Position)
		}
		s.succeeded(a, v, reply, "lease")
		return conclusion{answer: answer}
	case writes:
		return conclusion{answer: s.refused(a, v.seat, &statement.FailureError{
			Code: statement.CodeOutcomeUnknown, Message: "the commit's primary is " + verdict.String(),
		}, statement.TransactionStateIdle)}
	case verdict == lease.ValidityReplaced:
		return conclusion{again: true, why: &statement.FailureError{Code: statement.CodeBusy, Message: "the primary was replaced"}}
	default:
		return conclusion{answer: s.refused(a, v.seat, &statement.FailureError{Code: statement.CodeBusy, Message: notProven}, statement.TransactionStateIdle)}
	}
}

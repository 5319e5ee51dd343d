package session

import (
	"math/rand/v2"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
)

const (
	// maxAttempts bounds the attempts for one statement.
	maxAttempts = 5
	// firstAttemptShare is the part of a read's remaining time after which its first
	// attempt times out and another database is tried, because the answer may have
	// been lost. Even the slowest statements take less than this part of their time.
	firstAttemptShare = 0.35
	// retryDelay is the mean delay before a statement that needs the primary and was
	// not executed is sent again for the first time. It doubles with each attempt: a
	// primary that sheds statements must not be sent the same ones over and over.
	retryDelay = 20 * time.Millisecond
)

// conclusion is the consequence of an attempt's outcome for its statement.
type conclusion struct {
	// answer is returned to the caller, unless retry is set: then the statement is
	// sent again, for the given reason.
	answer statement.Answer
	retry  bool
	reason *statement.FailureError
}

// runSingle runs a statement outside any transaction.
func (s *session) runSingle(req *pendingRequest, isWrite bool) statement.Answer {
	requirements := s.requirements(req, req.arrivedAt, isWrite)
	for {
		req.attempts++
		att, failure := s.startAttempt(req, requirements)
		reservation := placement.Reservation{}
		if failure == nil {
			reservation = att.reservation
			result := s.runAttempt(req, att, isWrite)
			if !result.retry {
				return result.answer
			}
			failure = result.reason
			if req.hasForwarded {
				return s.logFailure(req, reservation, interrupted(failure), statement.TransactionStateIdle)
			}
			s.logRetry(req, reservation, failure.Error())
			s.excludeAttempt(req, &requirements, att)
		}
		if !s.mayRetry(req) {
			return s.logFailure(req, reservation, notExecuted(failure), statement.TransactionStateIdle)
		}
		if requirements.RequiresPrimary {
			s.reportSuspectedPrimary(req.route.Group)
			s.pause(retryPause(req.attempts))
		}
	}
}

// mayRetry reports whether a statement that was not executed may be sent again.
func (s *session) mayRetry(req *pendingRequest) bool {
	return !req.rejected && s.server.requestCtx.Err() == nil && req.attempts < maxAttempts && !s.server.options.PrimaryConfirmer.IsPartitioned(req.route.Group) && clock.Since(req.arrivedAt) < time.Duration(queueShare*float64(req.route.Timeout))
}

// retryPause returns the delay before an attempt, after the given number of attempts:
// from half to one and a half times the mean, so that statements that were shed together
// do not return together.
func retryPause(attempts int) time.Duration {
	mean := retryDelay << max(0, attempts-1)
	return mean/2 + rand.N(mean)
}

// pause waits for a delay, or until the end of the server's requests.
func (s *session) pause(delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-s.server.requestCtx.Done():
	}
}

// reportSuspectedPrimary reports that a primary did not answer, unless the server has
// interrupted the request itself.
func (s *session) reportSuspectedPrimary(group model.GroupID) {
	if s.server.requestCtx.Err() == nil {
		s.server.options.PrimaryConfirmer.ReportSuspectedPrimary(group)
	}
}

// notExecuted returns the failure for a statement that was not executed. Its code is
// always busy, because the caller may retry whatever the database's own code is.
func notExecuted(failure *statement.FailureError) *statement.FailureError {
	if failure.Code == statement.CodeBusy {
		return failure
	}
	return &statement.FailureError{Code: statement.CodeBusy, Message: "not run (" + failure.Error() + "); " + retryAfterText}
}

// interrupted returns the failure for a read of whose answer the caller has got a part.
func interrupted(failure *statement.FailureError) *statement.FailureError {
	return &statement.FailureError{Code: statement.CodeExecutionFailed, Message: "the answer was interrupted (" + failure.Error() + ")"}
}

// runAttempt runs a statement at the database of an attempt and ends the attempt.
func (s *session) runAttempt(req *pendingRequest, att *attempt, isWrite bool) conclusion {
	timeout := req.remaining()
	if !isWrite && req.attempts == 1 {
		timeout = time.Duration(firstAttemptShare * float64(timeout))
	}
	reply, err := s.sendStatement(req, att, nil, timeout)
	s.reportOutcome(att, isWrite, reply, err)
	s.endAttempt(att)
	if failure := s.notSent(req, err); failure != nil {
		return conclusion{retry: true, reason: failure}
	}
	if reply == nil {
		return s.concludeLost(req, att, isWrite, err)
	}
	if reply.Failure != nil {
		return s.concludeFailure(req, att, reply, isWrite)
	}
	return s.concludeSuccess(req, att, reply, isWrite)
}

// concludeLost concludes an attempt that got no answer. A read is retried while
// there is time; the outcome of a write is unknown.
func (s *session) concludeLost(req *pendingRequest, att *attempt, isWrite bool, err error) conclusion {
	if !isWrite {
		if req.remaining() <= 0 {
			return conclusion{answer: s.logFailure(req, att.reservation,
				&statement.FailureError{Code: statement.CodeTimeout, Message: "no answer within the route's timeout"}, statement.TransactionStateIdle)}
		}
		return conclusion{retry: true, reason: &statement.FailureError{Code: statement.CodeBusy, Message: err.Error()}}
	}
	s.reportSuspectedPrimary(req.route.Group)
	return conclusion{answer: s.logFailure(req, att.reservation,
		&statement.FailureError{Code: statement.CodeOutcomeUnknown, Message: "the answer of the database was lost"}, statement.TransactionStateIdle)}
}

// concludeFailure concludes an attempt that the database answered with a failure. A
// statement that was not executed is sent again, and so is a read that was executed
// and failed, since a read changes nothing.
func (s *session) concludeFailure(req *pendingRequest, att *attempt, reply *backend.Reply, isWrite bool) conclusion {
	if reply.Failure.Code.GuaranteesNotExecuted() || !isWrite && reply.Failure.Code == statement.CodeExecutionFailed {
		return conclusion{retry: true, reason: reply.Failure}
	}
	return conclusion{answer: s.logFailure(req, att.reservation, reply.Failure, statement.TransactionStateIdle)}
}

// concludeSuccess concludes an attempt that the database answered with success. The
// answer to a read with a minimum position is valid as it is. Any other answer,
// including that to a write with a minimum position, is valid if the database is
// confirmed to have been the primary when it answered.
func (s *session) concludeSuccess(req *pendingRequest, att *attempt, reply *backend.Reply, isWrite bool) conclusion {
	answer := statement.Answer{Rows: reply.Rows, Signature: reply.Signature, TransactionState: statement.TransactionStateIdle}
	if !isWrite && !att.reservation.MinPosition.IsZero() {
		s.logAnswer(req, att, reply, "position")
		return conclusion{answer: answer}
	}
	switch validity := s.confirmPrimary(req, att, reply); {
	case validity == lease.ValidityConfirmed:
		if isWrite {
			s.recordWrittenPosition(reply.Position)
		}
		s.logAnswer(req, att, reply, "lease")
		return conclusion{answer: answer}
	case isWrite:
		return conclusion{answer: s.logFailure(req, att.reservation, &statement.FailureError{
			Code: statement.CodeOutcomeUnknown, Message: "the commit's primary is " + validity.String(),
		}, statement.TransactionStateIdle)}
	case validity == lease.ValidityReplaced:
		return conclusion{retry: true, reason: &statement.FailureError{Code: statement.CodeBusy, Message: "the primary was replaced"}}
	default:
		return conclusion{answer: s.logFailure(req, att.reservation, &statement.FailureError{Code: statement.CodeBusy, Message: notConfirmedText}, statement.TransactionStateIdle)}
	}
}

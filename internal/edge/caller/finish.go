package caller

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// finishExchange handles the result of an exchange. Its results are those of
// runAttempt.
func (s *session) finishExchange(ctx context.Context, r *request, b *batch, res result) (bool, error) {
	switch end := res.(type) {
	case resultConnectionLost:
		return s.finishConnectionLost(r, b, end)
	case resultNotStarted:
		s.returnConn(r)
		s.reportOutcome(r, message.OutcomeNotStarted{Reason: end.reason})
		return false, nil
	case resultBehind:
		s.returnConn(r)
		s.reportOutcome(r, message.OutcomeBehind{Position: r.position})
		return false, nil
	case resultAborted:
		s.discardConn(r)
		s.reportOutcome(r, message.OutcomeDatabaseError{SQLState: end.problem.sqlState})
		return true, s.endLostTransaction(r, b, end.problem)
	case resultSessionEnded:
		s.discardConn(r)
		s.reportOutcome(r, message.OutcomeConnectionLost{MayHaveCommitted: mayHaveCommitted(r, b), PartlySent: true})
		s.endRequest(r)
		return true, end.cause
	case resultComplete:
		return s.finishCompleteAnswer(ctx, r, b, end)
	}
	return false, nil
}

// returnConn gives up the connection of an attempt whose answer is not sent to
// the caller. It is closed if a transaction is open on it.
func (s *session) returnConn(r *request) {
	if r.transactionStatus != statusIdle {
		s.discardConn(r)
		return
	}
	s.releaseConn(r)
}

// finishCompleteAnswer sends the rest of a complete answer, once its position
// is durable.
func (s *session) finishCompleteAnswer(ctx context.Context, r *request, b *batch, res resultComplete) (bool, error) {
	if res.databaseError == nil {
		s.storeSetting(r, b)
	}
	if r.transactionStatus == statusIdle {
		s.releaseConn(r)
	}
	switch {
	case !res.commitPosition.IsZero():
		return s.finishCommit(ctx, r, res.commitPosition)
	case res.mustHold:
		failure := s.awaitRelease(ctx, r)
		if failure != nil {
			return s.discardHeldAnswer(r, b, failure)
		}
	}
	return true, s.sendRestOfAnswer(r, res)
}

// discardHeldAnswer ends a request whose complete answer was held and must not
// be sent. The batch committed nothing.
func (s *session) discardHeldAnswer(r *request, b *batch, res result) (bool, error) {
	s.discardConn(r)
	switch end := res.(type) {
	case resultConnectionLost:
		s.reportOutcome(r, message.OutcomeConnectionLost{PartlySent: r.partlySent})
		return false, nil
	case resultAborted:
		s.reportOutcome(r, message.OutcomeDatabaseError{SQLState: end.problem.sqlState})
		return true, s.endLostTransaction(r, b, end.problem)
	case resultSessionEnded:
		s.endRequest(r)
		return true, end.cause
	}
	return false, nil
}

// sendRestOfAnswer sends the rest of an answer that need not be held any
// longer.
func (s *session) sendRestOfAnswer(r *request, res resultComplete) error {
	if !r.dispatch.Token.Position.IsZero() {
		s.appendToken(r.dispatch.Token)
		r.dispatch.Token = model.Token{}
	}
	s.appendReady(r.transactionStatus)
	// A caller that has its answer can't mean this request when it cancels.
	s.currentRequest.Store(0)
	err := s.flush()
	r.partlySent = true
	if r.transactionStatus != statusIdle {
		r.alreadyFailed = r.transactionStatus == statusFailed
		s.request = r
		return err
	}
	if res.databaseError != nil || r.alreadyFailed {
		s.reportOutcome(r, message.OutcomeDatabaseError{SQLState: r.sqlState})
	} else {
		s.reportOutcome(r, message.OutcomeRead{Position: r.position})
	}
	s.endRequest(r)
	return err
}

// awaitRelease waits until the core reports that the position of an answer is
// durable. It then returns nil; otherwise it returns how the exchange ends.
func (s *session) awaitRelease(ctx context.Context, r *request) result {
	s.reportHeld(r)
	for {
		item, err := s.awaitAction(ctx, r)
		if err != nil {
			return resultSessionEnded{cause: err}
		}
		switch item := item.(type) {
		case message.ReleaseResult:
			r.releasedPosition = r.position
			return nil
		case message.CloseConnection:
			return resultConnectionLost{}
		case message.AbortRequest:
			return resultAborted{problem: abortProblem(item)}
		case message.RefuseRequest:
			return resultAborted{problem: refusalProblem(item)}
		}
	}
}

// reportHeld reports to the core that an answer is held until its position is
// durable.
func (s *session) reportHeld(r *request) {
	heldAnswers.Add(1)
	s.server.sink.Post(message.ResultHeld{Request: r.id, Attempt: r.attempt, Position: r.position})
}

// finishCommit holds the answer of a commit until the core acknowledges it, or
// dispatches the request again because the commit is confirmed not to have
// survived.
func (s *session) finishCommit(ctx context.Context, r *request, position model.Position) (bool, error) {
	chained := r.transactionStatus != statusIdle
	s.discardConn(r)
	s.reportOutcome(r, message.OutcomeCommitted{Position: position})
	for {
		item, err := s.awaitAction(ctx, r)
		if err != nil {
			s.endRequest(r)
			return true, err
		}
		switch item := item.(type) {
		case message.AcknowledgeCommit:
			s.appendToken(item.Token)
			return true, s.finishAcknowledgedCommit(r, chained)
		case message.Dispatch:
			s.mailbox.putBack(item)
			return false, nil
		case message.AbortRequest:
			return true, s.endWithProblem(r, abortProblem(item), statusIdle)
		case message.RefuseRequest:
			return true, s.endWithProblem(r, refusalProblem(item), statusIdle)
		}
	}
}

// finishAcknowledgedCommit sends the answer of a commit. If the same batch
// opened a transaction after its commit, that transaction has no request and
// was rolled back when the connection was closed.
func (s *session) finishAcknowledgedCommit(r *request, chained bool) error {
	s.endRequest(r)
	if chained {
		s.inFailedTransaction = true
		s.appendProblem(problemChained)
	}
	s.appendReady(s.status())
	return s.flush()
}

package caller

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// handleBatch answers one batch. An error ends the session.
func (s *session) handleBatch(ctx context.Context, b *batch) error {
	if b.flushRejected {
		s.appendReady(s.status())
		return s.flush()
	}
	// An action that arrived too late for the last batch must not affect this
	// one.
	err := s.handleIdleItems(ctx)
	if err != nil {
		return err
	}
	if s.inFailedTransaction {
		return s.handleInFailedTransaction(b)
	}
	if b.problem != nil {
		return s.handleProblem(b)
	}
	if b.isLocal(s.request != nil) {
		return s.handleLocal(b)
	}
	if b.traits.firstWord == "LISTEN" {
		b.reject(problemListen)
		return s.handleProblem(b)
	}
	if s.request != nil {
		return s.continueTransaction(ctx, b)
	}
	if b.traits.firstWord == "COPY" {
		return s.answerProblem(problemCopy, statusIdle)
	}
	if c := b.command(); c != nil && !s.settings.hasRoom(setting{name: c.name, text: c.text}) {
		return s.answerProblem(problemTooManySettings, statusIdle)
	}
	return s.runRequest(ctx, b)
}

// status returns the transaction status that the caller was last sent.
func (s *session) status() byte {
	switch {
	case s.inFailedTransaction:
		return statusFailed
	case s.request != nil:
		return s.request.transactionStatus
	}
	return statusIdle
}

// handleInFailedTransaction answers a batch while the caller has not yet ended
// a failed transaction.
func (s *session) handleInFailedTransaction(b *batch) error {
	if b.isEmpty() {
		s.appendReady(statusFailed)
		return s.flush()
	}
	if b.problem == nil && b.traits.endsTransaction() && !b.traits.multipleStatements {
		return s.endFailedTransaction(b)
	}
	p := problemInFailedTransaction
	if s.unreportedProblem != nil {
		p = s.unreportedProblem
		s.unreportedProblem = nil
	}
	return s.answerProblem(p, statusFailed)
}

// endFailedTransaction ends a failed transaction. If the caller meant to commit
// and the failure was not yet reported to it, it receives the error now.
func (s *session) endFailedTransaction(b *batch) error {
	if !b.executes() {
		return s.answerLocally(b, "ROLLBACK", nil)
	}
	unreported := s.unreportedProblem
	s.inFailedTransaction = false
	s.unreportedProblem = nil
	if unreported != nil && b.traits.commits {
		return s.answerProblem(unreported, statusIdle)
	}
	return s.answerLocally(b, "ROLLBACK", nil)
}

// handleProblem rejects a batch. An open transaction fails with it, as it would
// at the database.
func (s *session) handleProblem(b *batch) error {
	if s.request != nil {
		s.abortTransaction(message.OutcomeDatabaseError{SQLState: b.problem.sqlState})
	}
	return s.answerProblem(b.problem, s.status())
}

// runRequest runs one request of the caller, until the request ends or its
// first batch was answered inside a transaction.
func (s *session) runRequest(ctx context.Context, b *batch) error {
	r := s.startRequest(b)
	for {
		item, err := s.awaitAction(ctx, r)
		if err != nil {
			s.endRequest(r)
			return err
		}
		switch item := item.(type) {
		case message.Dispatch:
			done, err := s.runAttempt(ctx, r, b, item)
			if done || err != nil {
				return err
			}
		case message.RefuseRequest:
			return s.endWithProblem(r, refusalProblem(item), statusIdle)
		case message.AbortRequest:
			return s.endWithProblem(r, abortProblem(item), statusIdle)
		case message.AcknowledgeCommit:
			return s.endCommitted(r, b, item)
		}
	}
}

// continueTransaction runs a further batch of an open transaction.
func (s *session) continueTransaction(ctx context.Context, b *batch) error {
	r := s.request
	r.firstBatch = false
	s.currentRequest.Store(uint64(r.id))
	done, err := s.exchange(ctx, r, b)
	if done || err != nil {
		return err
	}
	return s.awaitLostTransaction(ctx, r, b)
}

// awaitLostTransaction waits until the core decides about a transaction whose
// connection was lost. Parts of it were sent to the caller, so it cannot be run
// again here.
func (s *session) awaitLostTransaction(ctx context.Context, r *request, b *batch) error {
	for {
		item, err := s.awaitAction(ctx, r)
		if err != nil {
			s.endRequest(r)
			return err
		}
		switch item := item.(type) {
		case message.Dispatch:
			r.attempt = item.Attempt
			s.reportOutcome(r, message.OutcomeDatabaseError{SQLState: stateSerialization})
			return s.endLostTransaction(r, b, problemConnectionLost)
		case message.RefuseRequest:
			return s.endLostTransaction(r, b, refusalProblem(item))
		case message.AbortRequest:
			return s.endLostTransaction(r, b, abortProblem(item))
		case message.AcknowledgeCommit:
			return s.endCommitted(r, b, item)
		}
	}
}

// endLostTransaction reports to the caller that its transaction was lost.
// Unless the batch ends the transaction, the caller still has to end it, and
// until then no statement is run for it.
func (s *session) endLostTransaction(r *request, b *batch, p *problem) error {
	s.inFailedTransaction = !r.firstBatch && !b.traits.endsTransaction()
	status := statusIdle
	if s.inFailedTransaction {
		status = statusFailed
	}
	return s.endWithProblem(r, p, status)
}

package caller

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// handle answers one batch. Its error ends the session.
func (s *session) handle(ctx context.Context, b *batch) error {
	if b.early {
		s.ready(s.status())
		return s.flush()
	}
	// A word of the core that came too late for the last batch must not hit
	// this one.
	err := s.idleItems(ctx)
	if err != nil {
		return err
	}
	if s.failed {
		return s.handleFailed(b)
	}
	if b.problem != nil {
		return s.handleProblem(b)
	}
	if b.isLocal(s.request != nil) {
		return s.handleLocal(b)
	}
	if b.traits.first == "LISTEN" {
		b.refuse(problemListen)
		return s.handleProblem(b)
	}
	if s.request != nil {
		return s.goOn(ctx, b)
	}
	if b.traits.first == "COPY" {
		return s.answerProblem(problemCopy, statusIdle)
	}
	if c := b.command(); c != nil && !s.settings.hasRoom(setting{name: c.name, text: c.text}) {
		return s.answerProblem(problemSettings, statusIdle)
	}
	return s.serve(ctx, b)
}

// status is the state of the transaction that the caller believes in.
func (s *session) status() byte {
	switch {
	case s.failed:
		return statusFailed
	case s.request != nil:
		return s.request.status
	}
	return statusIdle
}

// handleFailed answers while a lost transaction waits for its end.
func (s *session) handleFailed(b *batch) error {
	if b.isEmpty() {
		s.ready(statusFailed)
		return s.flush()
	}
	if b.problem == nil && b.traits.endsTransaction() && !b.traits.several {
		return s.endFailed(b)
	}
	p := problemFailed
	if s.why != nil {
		p = s.why
		s.why = nil
	}
	return s.answerProblem(p, statusFailed)
}

// endFailed ends a lost transaction. A caller that wanted to commit and has not
// been told of the loss is told now.
func (s *session) endFailed(b *batch) error {
	if !b.runs() {
		return s.answerLocally(b, "ROLLBACK", nil)
	}
	why := s.why
	s.failed = false
	s.why = nil
	if why != nil && b.traits.commits {
		return s.answerProblem(why, statusIdle)
	}
	return s.answerLocally(b, "ROLLBACK", nil)
}

// handleProblem refuses a batch. An open transaction fails by it, as at the
// database.
func (s *session) handleProblem(b *batch) error {
	if s.request != nil {
		s.breakTransaction(message.OutcomeDatabaseError{SQLState: b.problem.state})
	}
	return s.answerProblem(b.problem, s.status())
}

// serve has one request of the caller done, from its arrival to its end or to
// the first answer inside of a transaction.
func (s *session) serve(ctx context.Context, b *batch) error {
	r := s.arrive(b)
	for {
		item, err := s.await(ctx, r)
		if err != nil {
			s.endRequest(r)
			return err
		}
		switch item := item.(type) {
		case message.Dispatch:
			done, err := s.attempt(ctx, r, b, item)
			if done || err != nil {
				return err
			}
		case message.RefuseRequest:
			return s.endWith(r, refusalProblem(item), statusIdle)
		case message.AbortRequest:
			return s.endWith(r, abandonProblem(item), statusIdle)
		case message.AcknowledgeCommit:
			return s.endCommitted(r, b, item)
		}
	}
}

// goOn runs a further batch of an open transaction.
func (s *session) goOn(ctx context.Context, b *batch) error {
	r := s.request
	r.first = false
	s.current.Store(uint64(r.id))
	done, err := s.exchange(ctx, r, b)
	if done || err != nil {
		return err
	}
	return s.settleLost(ctx, r, b)
}

// settleLost waits for the word of the core on a transaction whose connection
// was lost. Parts of it have gone to the caller, so it can't be run again here.
func (s *session) settleLost(ctx context.Context, r *request, b *batch) error {
	for {
		item, err := s.await(ctx, r)
		if err != nil {
			s.endRequest(r)
			return err
		}
		switch item := item.(type) {
		case message.Dispatch:
			r.attempt = item.Attempt
			s.ended(r, message.OutcomeDatabaseError{SQLState: stateSerialization})
			return s.endLost(r, b, problemBroken)
		case message.RefuseRequest:
			return s.endLost(r, b, refusalProblem(item))
		case message.AbortRequest:
			return s.endLost(r, b, abandonProblem(item))
		case message.AcknowledgeCommit:
			return s.endCommitted(r, b, item)
		}
	}
}

// endLost tells the caller of a lost transaction. Unless the batch would have
// ended it, the caller still has to: until then nothing is run for it.
func (s *session) endLost(r *request, b *batch, p *problem) error {
	s.failed = !r.first && !b.traits.endsTransaction()
	status := statusIdle
	if s.failed {
		status = statusFailed
	}
	return s.endWith(r, p, status)
}

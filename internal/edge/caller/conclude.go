package caller

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// conclude acts on the end of an exchange.
func (s *session) conclude(ctx context.Context, r *request, b *batch, end result) (bool, error) {
	switch end := end.(type) {
	case resultLost:
		return s.lost(r, b, end)
	case resultRefused:
		s.putBack(r)
		s.ended(r, message.OutcomeNotStarted{Reason: end.why})
		return false, nil
	case resultBehind:
		s.putBack(r)
		s.ended(r, message.OutcomeBehind{Position: r.position})
		return false, nil
	case resultStopped:
		s.dropConn(r)
		s.ended(r, message.OutcomeDatabaseError{SQLState: end.problem.state})
		return true, s.endLost(r, b, end.problem)
	case resultUnread:
		s.dropConn(r)
		s.ended(r, message.OutcomeConnectionLost{MayHaveCommitted: mayCommit(r, b), PartlySent: true})
		s.endRequest(r)
		return true, end.cause
	case resultWhole:
		return s.concludeWhole(ctx, r, b, end)
	}
	return false, nil
}

// putBack gives up the connection of an attempt that is not passed on.
func (s *session) putBack(r *request) {
	if r.status != statusIdle {
		s.dropConn(r)
		return
	}
	s.freeConn(r)
}

// concludeWhole passes on what is left of a whole answer, once it may be.
func (s *session) concludeWhole(ctx context.Context, r *request, b *batch, end resultWhole) (bool, error) {
	if end.failure == nil {
		s.keepSetting(r, b)
	}
	if r.status == statusIdle {
		s.freeConn(r)
	}
	switch {
	case !end.commit.IsZero():
		return s.concludeCommit(ctx, r, end.commit)
	case end.unproven:
		refused := s.awaitRelease(ctx, r)
		if refused != nil {
			return s.concludeHeld(r, b, refused)
		}
	}
	return true, s.passOn(r, end)
}

// concludeHeld drops a whole answer that may not be passed on. Nothing was
// committed by it.
func (s *session) concludeHeld(r *request, b *batch, end result) (bool, error) {
	s.dropConn(r)
	switch end := end.(type) {
	case resultLost:
		s.ended(r, message.OutcomeConnectionLost{PartlySent: r.passed})
		return false, nil
	case resultStopped:
		s.ended(r, message.OutcomeDatabaseError{SQLState: end.problem.state})
		return true, s.endLost(r, b, end.problem)
	case resultUnread:
		s.endRequest(r)
		return true, end.cause
	}
	return false, nil
}

// passOn sends the rest of an answer that nothing holds back any more.
func (s *session) passOn(r *request, end resultWhole) error {
	if !r.dispatch.Token.Position.IsZero() {
		s.giveToken(r.dispatch.Token)
		r.dispatch.Token = model.Token{}
	}
	s.ready(r.status)
	err := s.flush()
	r.passed = true
	if r.status != statusIdle {
		r.failed = r.status == statusFailed
		s.request = r
		s.current.Store(0)
		return err
	}
	if end.failure != nil || r.failed {
		s.ended(r, message.OutcomeDatabaseError{SQLState: r.state})
	} else {
		s.ended(r, message.OutcomeRead{Position: r.position})
	}
	s.endRequest(r)
	return err
}

// awaitRelease waits until the core has proven the position of an answer. It
// returns nil then, or how the answer ends instead.
func (s *session) awaitRelease(ctx context.Context, r *request) result {
	s.hold(r)
	for {
		item, err := s.await(ctx, r)
		if err != nil {
			return resultUnread{cause: err}
		}
		switch item := item.(type) {
		case message.ReleaseResult:
			r.released = r.position
			return nil
		case message.CloseConnection:
			return resultLost{}
		case message.AbortRequest:
			return resultStopped{problem: abandonProblem(item)}
		case message.RefuseRequest:
			return resultStopped{problem: refusalProblem(item)}
		}
	}
}

// hold tells the core that an answer waits for the proof of its position.
func (s *session) hold(r *request) {
	heldAnswers.Add(1)
	s.edge.sink.Post(message.ResultHeld{Request: r.id, Attempt: r.attempt, Position: r.position})
}

// concludeCommit holds the answer of a commit until the core acknowledges it, or
// has it run again after proof that it never will be committed.
func (s *session) concludeCommit(ctx context.Context, r *request, position model.Position) (bool, error) {
	chained := r.status != statusIdle
	s.dropConn(r)
	s.ended(r, message.OutcomeCommitted{Position: position})
	for {
		item, err := s.await(ctx, r)
		if err != nil {
			s.endRequest(r)
			return true, err
		}
		switch item := item.(type) {
		case message.AcknowledgeCommit:
			s.giveToken(item.Token)
			return true, s.concludeAcknowledged(r, chained)
		case message.Dispatch:
			s.mailbox.putBack(item)
			return false, nil
		case message.AbortRequest:
			return true, s.endWith(r, abandonProblem(item), statusIdle)
		case message.RefuseRequest:
			return true, s.endWith(r, refusalProblem(item), statusIdle)
		}
	}
}

// concludeAcknowledged passes on the answer of a commit. A transaction that the
// same batch opened after its commit has no request of its own and was rolled
// back with its connection.
func (s *session) concludeAcknowledged(r *request, chained bool) error {
	s.endRequest(r)
	if chained {
		s.failed = true
		s.say(problemChained)
	}
	s.ready(s.status())
	return s.flush()
}

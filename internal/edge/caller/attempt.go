package caller

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
)

// sendTimeout bounds the sending of a batch to a database.
const sendTimeout = 5 * time.Second

// attempt runs a dispatched request. It reports whether the request is done
// with for now: it has ended, or its transaction is open. Otherwise the core
// has the next word.
func (s *session) attempt(ctx context.Context, r *request, b *batch, d message.Dispatch) (bool, error) {
	r.attempt = d.Attempt
	r.dispatch = d
	r.sent = time.Time{}
	r.opened = 0
	r.position = model.Position{}
	r.released = model.Position{}
	r.state = ""
	conn, opened, err := s.edge.pool.Acquire(ctx, d.Database, d.Expires)
	r.opened = opened
	if err != nil {
		s.ended(r, message.AnswerRefused{Why: whyRefused(err)})
		return false, nil
	}
	r.conn = conn
	p, err := s.replay(conn)
	if err != nil {
		s.dropConn(r)
		s.ended(r, message.AnswerRefused{Why: message.RefusedStale})
		return false, nil
	}
	if p != nil {
		s.freeConn(r)
		s.ended(r, message.AnswerFailed{State: p.state})
		return true, s.endWith(r, p, statusIdle)
	}
	return s.exchange(ctx, r, b)
}

func whyRefused(err error) message.RefusedWhy {
	var refused *database.AcquireError
	if errors.As(err, &refused) {
		return refused.Why
	}
	return message.RefusedUnreachable
}

// exchange sends a batch and relays its answer. It reports whether the request
// is done with for now.
func (s *session) exchange(ctx context.Context, r *request, b *batch) (bool, error) {
	s.resetOut()
	o := &s.work.outgoing
	o.reset()
	if r.first {
		o.prelude(r.conn, r.dispatch, b.extended)
	}
	o.body(r.conn, b)
	kept := r.first && b.isSetting()
	if b.traits.leavesState && !kept {
		r.conn.State.Dirty = true
	}
	r.sent = time.Now()
	n, err := r.conn.Write(o.bytes, sendTimeout)
	if err != nil {
		return s.unsent(r, b, n)
	}
	y := newRelay(s, r, b)
	result := y.run(ctx)
	s.mailbox.done()
	s.stopWatch()
	return s.conclude(ctx, r, b, result)
}

// unsent ends an attempt whose batch could not be sent whole.
func (s *session) unsent(r *request, b *batch, n int) (bool, error) {
	if n == 0 && r.first {
		s.dropConn(r)
		s.ended(r, message.AnswerRefused{Why: message.RefusedStale})
		return false, nil
	}
	return s.lost(r, b, resultLost{})
}

// lost ends an attempt whose connection is of no more use.
func (s *session) lost(r *request, b *batch, l resultLost) (bool, error) {
	s.dropConn(r)
	lostConnections.Add(1)
	s.ended(r, message.AnswerLost{
		Committing: mayCommit(r, b),
		Passed:     r.passed,
		Silent:     l.silent,
	})
	return false, nil
}

// mayCommit reports whether the batch, once sent, may have committed something.
func mayCommit(r *request, b *batch) bool {
	if r.dispatch.Access == model.AccessRead || !b.runs() {
		return false
	}
	if r.first && !b.traits.opensTransaction() {
		return true
	}
	return b.traits.commits
}

// -----------------------------------------------------------------------------
// After the answer.

// conclude acts on the end of an exchange.
func (s *session) conclude(ctx context.Context, r *request, b *batch, end result) (bool, error) {
	switch end := end.(type) {
	case resultLost:
		return s.lost(r, b, end)
	case resultRefused:
		s.putBack(r)
		s.ended(r, message.AnswerRefused{Why: end.why})
		return false, nil
	case resultBehind:
		s.putBack(r)
		s.ended(r, message.AnswerBehind{Position: r.position})
		return false, nil
	case resultStopped:
		s.dropConn(r)
		s.ended(r, message.AnswerFailed{State: end.problem.state})
		return true, s.endLost(r, b, end.problem)
	case resultUnread:
		s.dropConn(r)
		s.ended(r, message.AnswerLost{Committing: mayCommit(r, b), Passed: true})
		s.endRequest(r)
		return true, end.cause
	case resultWhole:
		return true, s.concludeWhole(ctx, r, b, end)
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
func (s *session) concludeWhole(ctx context.Context, r *request, b *batch, end resultWhole) error {
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
		p, err := s.awaitRelease(ctx, r)
		if err != nil {
			s.dropConn(r)
			s.endRequest(r)
			return err
		}
		if p != nil {
			s.dropConn(r)
			s.ended(r, message.AnswerFailed{State: p.state})
			return s.endLost(r, b, p)
		}
	}
	return s.passOn(r, end)
}

// passOn sends the rest of an answer that nothing holds back any more.
func (s *session) passOn(r *request, end resultWhole) error {
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
		s.ended(r, message.AnswerFailed{State: r.state})
	} else {
		s.ended(r, message.AnswerRead{Position: r.position})
	}
	s.endRequest(r)
	return err
}

// awaitRelease waits until the core has proven the position of an answer. It
// returns the error for the caller where that fails.
func (s *session) awaitRelease(ctx context.Context, r *request) (*problem, error) {
	s.hold(r)
	for {
		item, err := s.await(ctx, r)
		if err != nil {
			return nil, err
		}
		switch item := item.(type) {
		case message.Release:
			r.released = r.position
			return nil, nil
		case message.Abandon:
			return abandonProblem(item), nil
		case message.Refuse:
			return refusalProblem(item), nil
		}
	}
}

// hold tells the core that an answer waits for the proof of its position.
func (s *session) hold(r *request) {
	heldAnswers.Add(1)
	s.edge.sink.Post(message.AnswerHeld{Request: r.id, Attempt: r.attempt, Position: r.position})
}

// concludeCommit holds the answer of a commit until the core acknowledges it.
func (s *session) concludeCommit(ctx context.Context, r *request, position model.Position) error {
	chained := r.status != statusIdle
	s.dropConn(r)
	s.ended(r, message.AnswerCommitted{Position: position})
	for {
		item, err := s.await(ctx, r)
		if err != nil {
			s.endRequest(r)
			return err
		}
		switch item := item.(type) {
		case message.Acknowledge:
			s.giveToken(item.Token)
			return s.concludeAcknowledged(r, chained)
		case message.Abandon:
			return s.endWith(r, abandonProblem(item), statusIdle)
		case message.Refuse:
			return s.endWith(r, refusalProblem(item), statusIdle)
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

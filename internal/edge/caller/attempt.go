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
	if r.passed {
		s.ended(r, message.OutcomeDatabaseError{SQLState: problemBroken.state})
		return true, s.endWith(r, problemBroken, statusIdle)
	}
	r.sent = time.Time{}
	r.opened = 0
	r.position = model.Position{}
	r.released = model.Position{}
	r.state = ""
	conn, opened, err := s.edge.pool.Acquire(ctx, d.Database, d.Deadline)
	r.opened = opened
	if err != nil {
		s.ended(r, message.OutcomeNotStarted{Reason: whyRefused(err)})
		return false, nil
	}
	r.conn = conn
	p, err := s.replay(conn)
	if err != nil {
		s.dropConn(r)
		s.ended(r, message.OutcomeNotStarted{Reason: message.NotStartedBrokenConnection})
		return false, nil
	}
	if p != nil {
		s.freeConn(r)
		s.ended(r, message.OutcomeDatabaseError{SQLState: p.state})
		return true, s.endWith(r, p, statusIdle)
	}
	return s.exchange(ctx, r, b)
}

func whyRefused(err error) message.NotStartedReason {
	var refused *database.AcquireError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return message.NotStartedUnreachable
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
		r.conn.State.NeedsReset = true
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
		s.ended(r, message.OutcomeNotStarted{Reason: message.NotStartedBrokenConnection})
		return false, nil
	}
	return s.lost(r, b, resultLost{})
}

// lost ends an attempt whose connection is of no more use.
func (s *session) lost(r *request, b *batch, l resultLost) (bool, error) {
	s.dropConn(r)
	lostConnections.Add(1)
	s.ended(r, message.OutcomeConnectionLost{
		MayHaveCommitted: mayCommit(r, b),
		PartlySent:       r.passed,
		Unresponsive:     l.silent,
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

package caller

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
)

// sendTimeout is the maximum time for sending a batch to a database.
const sendTimeout = 5 * time.Second

// runAttempt runs a dispatched request on a backend connection. It returns true
// if the request has ended or its transaction is open, and false if the core
// decides what happens next. An error ends the session.
func (s *session) runAttempt(ctx context.Context, r *request, b *batch, d message.Dispatch) (bool, error) {
	r.attempt = d.Attempt
	r.dispatch = d
	if r.partlySent {
		s.reportOutcome(r, message.OutcomeDatabaseError{SQLState: problemConnectionLost.sqlState})
		return true, s.endWithProblem(r, problemConnectionLost, statusIdle)
	}
	r.sentAt = time.Time{}
	r.connectTime = 0
	r.position = model.Position{}
	r.releasedPosition = model.Position{}
	r.sqlState = ""
	conn, connectTime, err := s.server.pool.Acquire(ctx, d.Database, d.Deadline)
	r.connectTime = connectTime
	if err != nil {
		s.reportOutcome(r, message.OutcomeNotStarted{Reason: notStartedReason(err)})
		return false, nil
	}
	r.conn = conn
	p, err := s.replaySettings(conn)
	if err != nil {
		s.discardConn(r)
		s.reportOutcome(r, message.OutcomeNotStarted{Reason: message.NotStartedBrokenConnection})
		return false, nil
	}
	if p != nil {
		s.releaseConn(r)
		s.reportOutcome(r, message.OutcomeDatabaseError{SQLState: p.sqlState})
		return true, s.endWithProblem(r, p, statusIdle)
	}
	return s.exchange(ctx, r, b)
}

func notStartedReason(err error) message.NotStartedReason {
	var acquireErr *database.AcquireError
	if errors.As(err, &acquireErr) {
		return acquireErr.Reason
	}
	return message.NotStartedUnreachable
}

// exchange sends a batch and relays its answer. Its results are those of
// runAttempt.
func (s *session) exchange(ctx context.Context, r *request, b *batch) (bool, error) {
	s.resetOutput()
	o := &s.workspace.outgoing
	o.reset()
	if r.firstBatch {
		o.appendSetup(r.conn, r.dispatch, b.extended)
	}
	o.appendBatch(r.conn, b)
	kept := r.firstBatch && b.isSet()
	if b.traits.leavesState && !kept {
		r.conn.State.NeedsReset = true
	}
	r.sentAt = time.Now()
	n, err := r.conn.Write(o.bytes, sendTimeout)
	if err != nil {
		return s.finishUnsent(r, b, n)
	}
	rl := newRelay(s, r, b)
	result := rl.run(ctx)
	s.mailbox.endRead()
	s.stopWatch()
	return s.finishExchange(ctx, r, b, result)
}

// finishUnsent ends an attempt of whose batch only the first n bytes could be
// sent. If nothing was sent of the batch that opens the request, nothing can
// have run.
func (s *session) finishUnsent(r *request, b *batch, n int) (bool, error) {
	if n == 0 && r.firstBatch {
		s.discardConn(r)
		s.reportOutcome(r, message.OutcomeNotStarted{Reason: message.NotStartedBrokenConnection})
		return false, nil
	}
	return s.finishConnectionLost(r, b, resultConnectionLost{})
}

// finishConnectionLost closes the connection of an attempt and reports it as
// lost.
func (s *session) finishConnectionLost(r *request, b *batch, lost resultConnectionLost) (bool, error) {
	s.discardConn(r)
	lostConnections.Add(1)
	s.reportOutcome(r, message.OutcomeConnectionLost{
		MayHaveCommitted: mayHaveCommitted(r, b),
		PartlySent:       r.partlySent,
		Unresponsive:     lost.unresponsive,
	})
	return false, nil
}

// mayHaveCommitted reports whether the batch, once sent, may have committed
// something.
func mayHaveCommitted(r *request, b *batch) bool {
	if r.dispatch.Access == model.AccessRead || !b.executes() {
		return false
	}
	if r.firstBatch && !b.traits.opensTransaction() {
		return true
	}
	return b.traits.commits
}

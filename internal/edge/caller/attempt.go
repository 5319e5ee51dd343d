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
		// The core dispatches a request again once a lost commit is known not to
		// have taken effect. A part of the earlier answer was already sent to the
		// caller, so the request can't be run again. The database error ends the
		// request in the core.
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
	// A SET that opens the request is stored in the session's settings, and need not
	// be undone on the connection.
	storedBySession := r.firstBatch && b.isSet()
	if b.traits.leavesState && !storedBySession {
		r.conn.State.NeedsReset = true
	}
	r.sentAt = time.Now()
	n, err := r.conn.Write(o.bytes, sendTimeout)
	if err != nil {
		return s.finishUnsent(r, b, n)
	}
	rl := newRelay(s, r, b)
	result := rl.run(ctx)
	s.mailbox.endReadLimit()
	s.stopCallerWatch()
	return s.finishExchange(ctx, r, b, result)
}

// finishUnsent ends an attempt after a failed write: only the first n bytes of its
// batch were sent. If n is 0 and the batch opens the request, nothing can have run.
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

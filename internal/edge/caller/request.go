package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
)

// watchDelay is how long a request waits or runs before the caller's connection
// is watched.
const watchDelay = 20 * time.Millisecond

// request is a statement or a transaction of a caller.
type request struct {
	id       model.RequestID
	attempt  model.Attempt
	dispatch message.Dispatch
	// callerSuppliedKey is true if the caller supplied the idempotency key.
	callerSuppliedKey bool
	// conn is the backend connection, from the start of the attempt until a
	// complete answer was read outside a transaction.
	conn *database.Conn
	// firstBatch is true while the batch that opened the request is running.
	firstBatch bool
	// partlySent is true once a part of an answer was sent to the caller.
	partlySent bool
	// transactionStatus is the status in the last ReadyForQuery.
	transactionStatus byte
	// sentAt is when the attempt was sent; connectTime is how long it took to
	// open a connection for it.
	sentAt      time.Time
	connectTime time.Duration
	// position is the highest position that an answer has reported.
	position model.Position
	// releasedPosition is the position up to which the core has released
	// answers.
	releasedPosition model.Position
	// alreadyFailed is true if the transaction had failed before its last
	// batch.
	alreadyFailed bool
	// sqlState is the SQLSTATE of the last error in an answer.
	sqlState string
	// cancelReported is true once the cancellation by the caller was reported
	// to the core.
	cancelReported bool
}

// startRequest creates a request for the batch and reports it to the core.
func (s *session) startRequest(b *batch) *request {
	h := b.hint.withDefaults(s.hint)
	id := s.server.register(s)
	r := &request{id: id, firstBatch: true, transactionStatus: statusIdle, callerSuppliedKey: h.key != ""}
	s.currentRequest.Store(uint64(id))
	key := h.key
	if key == "" {
		key = s.server.options.IdempotencyKeyPrefix + "-" + strconv.FormatUint(uint64(id), 10)
	}
	requests.Add(1)
	s.server.sink.Post(message.RequestArrived{
		Request:           id,
		Session:           s.id,
		Kind:              h.kind,
		IdempotencyKey:    key,
		CallerSuppliedKey: r.callerSuppliedKey,
		Transaction:       b.executes() && b.traits.opensTransaction(),
		TokenPosition:     h.token.Position,
		Deadline:          h.deadline,
	})
	return r
}

// reportOutcome reports to the core how the attempt ended.
func (s *session) reportOutcome(r *request, outcome message.Outcome) {
	var elapsed time.Duration
	if !r.sentAt.IsZero() {
		elapsed = time.Since(r.sentAt)
	}
	s.server.sink.Post(message.AttemptEnded{
		Request:     r.id,
		Attempt:     r.attempt,
		Outcome:     outcome,
		Elapsed:     elapsed,
		ConnectTime: r.connectTime,
	})
}

// endRequest removes a request. Its backend connection must have been given up.
func (s *session) endRequest(r *request) {
	s.stopCallerWatch()
	s.currentRequest.Store(0)
	s.server.requests.drop(r.id)
	s.request = nil
}

// endWithProblem ends a request with an error. The held part of its answer is
// dropped.
func (s *session) endWithProblem(r *request, p *problem, status byte) error {
	s.endRequest(r)
	s.resetOutput()
	s.appendProblem(p)
	s.appendReady(status)
	return s.flush()
}

// endCommitted ends a request whose connection was lost and whose commit is
// confirmed nevertheless. The answer to a COMMIT can be generated; the answer
// to any other statement is lost with its rows.
func (s *session) endCommitted(r *request, b *batch, a message.AcknowledgeCommit) error {
	s.endRequest(r)
	s.resetOutput()
	s.appendToken(a.Token)
	if b.traits.firstWord == "COMMIT" && !b.traits.multipleStatements {
		return s.answerLocally(b, "COMMIT", nil)
	}
	s.appendProblem(&problem{
		sqlState: stateUnknownOutcome,
		message:  "the work was committed, but its answer was lost",
		detail:   "Committed at " + a.Token.String() + ".",
		hint:     "Do not send it again.",
	})
	s.appendReady(statusIdle)
	return s.flush()
}

// appendToken appends the new token of the session to the output.
func (s *session) appendToken(token model.Token) {
	s.token = token
	status := pgproto3.ParameterStatus{Name: tokenParameter, Value: token.String()}
	s.workspace.output, _ = status.Encode(s.workspace.output)
}

// discardConn closes the backend connection of a request. The database rolls
// back a transaction that was open on it.
func (s *session) discardConn(r *request) {
	if r.conn == nil {
		return
	}
	s.server.pool.Discard(r.conn)
	r.conn = nil
}

// releaseConn returns the backend connection to the pool after a complete
// answer.
func (s *session) releaseConn(r *request) {
	if r.conn == nil {
		return
	}
	s.server.pool.Release(r.conn)
	r.conn = nil
}

// -----------------------------------------------------------------------------
// Waiting for the core.

// awaitAction waits for the next action of the core on a request.
func (s *session) awaitAction(ctx context.Context, r *request) (any, error) {
	timer := s.workspace.timer
	timer.Reset(watchDelay)
	defer timer.Stop()
	for {
		item, ok := s.mailbox.take()
		if ok {
			item = s.filterItem(r, item)
			if item != nil {
				return item, nil
			}
			continue
		}
		select {
		case <-s.mailbox.signal:
		case <-timer.C:
			s.startCallerWatch()
		case <-ctx.Done():
			return nil, errTerminating
		}
	}
}

// filterItem returns the item if it is an action on the request and its current
// attempt, and nil otherwise.
func (s *session) filterItem(r *request, item any) any {
	matches := false
	switch item := item.(type) {
	case message.Dispatch:
		matches = item.Request == r.id && item.Attempt > r.attempt
	case message.RefuseRequest:
		matches = item.Request == r.id
	case message.AbortRequest:
		matches = item.Request == r.id
	case message.ReleaseResult:
		matches = item.Request == r.id && item.Attempt == r.attempt
	case message.CloseConnection:
		matches = item.Request == r.id && item.Attempt == r.attempt
	case message.AcknowledgeCommit:
		matches = item.Request == r.id && item.Attempt == r.attempt
	case callerDisconnected:
		s.reportCanceled(r)
	}
	if matches {
		return item
	}
	return nil
}

// reportCanceled reports to the core, once, that the caller canceled the
// request.
func (s *session) reportCanceled(r *request) {
	if r.cancelReported {
		return
	}
	r.cancelReported = true
	s.server.sink.Post(message.RequestCanceled{Request: r.id})
}

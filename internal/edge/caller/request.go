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

// watchDelay is the time after which the caller's connection is watched while
// its request waits or runs.
const watchDelay = 20 * time.Millisecond

// request is one unit of work on its way.
type request struct {
	id       model.RequestID
	attempt  model.Attempt
	dispatch message.Dispatch
	// ownKey says that the caller gave the key itself.
	ownKey bool
	// conn is the backend connection, from the attempt's start until the
	// answer is read to its end outside of a transaction.
	conn *database.Conn
	// first says that the batch which opened the request is running.
	first bool
	// passed says that a part of an answer has gone to the caller.
	passed bool
	// status is that of the last ReadyForQuery.
	status byte
	// sent is when the attempt was sent, opened the time that opening a
	// connection took.
	sent   time.Time
	opened time.Duration
	// position is the newest that an answer has shown.
	position model.Position
	// released is the position that the core has released.
	released model.Position
	// failed says that the transaction had failed before its last batch.
	failed bool
	// state is the SQLSTATE of the last error in an answer.
	state string
	// canceled says that the core was told of the caller's withdrawal.
	canceled bool
}

// arrive tells the core of a new request.
func (s *session) arrive(b *batch) *request {
	h := b.hint.over(s.hint)
	id := s.edge.register(s)
	r := &request{id: id, first: true, status: statusIdle, ownKey: h.key != ""}
	s.current.Store(uint64(id))
	key := h.key
	if key == "" {
		key = s.edge.options.IdempotencyKeyPrefix + "-" + strconv.FormatUint(uint64(id), 10)
	}
	requests.Add(1)
	s.edge.sink.Post(message.RequestArrived{
		Request:           id,
		Session:           s.id,
		Kind:              h.kind,
		IdempotencyKey:    key,
		CallerSuppliedKey: r.ownKey,
		Transaction:       b.runs() && b.traits.opensTransaction(),
		TokenPosition:     h.token.Position,
		Deadline:          h.deadline,
	})
	return r
}

// ended tells the core how the attempt ended.
func (s *session) ended(r *request, answer message.Outcome) {
	var elapsed time.Duration
	if !r.sent.IsZero() {
		elapsed = time.Since(r.sent)
	}
	s.edge.sink.Post(message.AttemptEnded{
		Request:     r.id,
		Attempt:     r.attempt,
		Outcome:     answer,
		Elapsed:     elapsed,
		ConnectTime: r.opened,
	})
}

// endRequest forgets a request. Its backend connection is gone already.
func (s *session) endRequest(r *request) {
	s.stopWatch()
	s.current.Store(0)
	s.edge.requests.drop(r.id)
	s.request = nil
}

// endWith ends a request with an error. What was held back is dropped.
func (s *session) endWith(r *request, p *problem, status byte) error {
	s.endRequest(r)
	s.resetOut()
	s.say(p)
	s.ready(status)
	return s.flush()
}

// endCommitted ends a request whose connection was lost, and whose commit is
// proven nevertheless. The answer to a COMMIT can be given; that to another
// statement is lost with its rows.
func (s *session) endCommitted(r *request, b *batch, a message.AcknowledgeCommit) error {
	s.endRequest(r)
	s.resetOut()
	s.giveToken(a.Token)
	if b.traits.first == "COMMIT" && !b.traits.several {
		return s.answerLocally(b, "COMMIT", nil)
	}
	s.say(&problem{
		state:   stateUnknownOutcome,
		message: "the work was committed, but its answer was lost",
		detail:  "Committed at " + a.Token.String() + ".",
		hint:    "Do not send it again.",
	})
	s.ready(statusIdle)
	return s.flush()
}

// giveToken appends the session's new token for the caller.
func (s *session) giveToken(token model.Token) {
	s.token = token
	status := pgproto3.ParameterStatus{Name: tokenParameter, Value: token.String()}
	s.work.out, _ = status.Encode(s.work.out)
}

// dropConn closes the backend connection of a request. What was open on it is
// rolled back by the database.
func (s *session) dropConn(r *request) {
	if r.conn == nil {
		return
	}
	s.edge.pool.Discard(r.conn)
	r.conn = nil
}

// freeConn gives the backend connection back after a whole answer.
func (s *session) freeConn(r *request) {
	if r.conn == nil {
		return
	}
	s.edge.pool.Release(r.conn)
	r.conn = nil
}

// -----------------------------------------------------------------------------
// Waiting for the core.

// await waits for the core's next word on a request.
func (s *session) await(ctx context.Context, r *request) (any, error) {
	timer := s.work.timer
	timer.Reset(watchDelay)
	defer timer.Stop()
	for {
		item, ok := s.mailbox.take()
		if ok {
			item = s.forRequest(r, item)
			if item != nil {
				return item, nil
			}
			continue
		}
		select {
		case <-s.mailbox.signal:
		case <-timer.C:
			s.startWatch()
		case <-ctx.Done():
			return nil, errEnding
		}
	}
}

// forRequest returns the item where it is the core's word on the request and
// its present attempt.
func (s *session) forRequest(r *request, item any) any {
	concerns := false
	switch item := item.(type) {
	case message.Dispatch:
		concerns = item.Request == r.id && item.Attempt > r.attempt
	case message.RefuseRequest:
		concerns = item.Request == r.id
	case message.AbortRequest:
		concerns = item.Request == r.id
	case message.ReleaseResult:
		concerns = item.Request == r.id && item.Attempt == r.attempt
	case message.CloseConnection:
		concerns = item.Request == r.id && item.Attempt == r.attempt
	case message.AcknowledgeCommit:
		concerns = item.Request == r.id && item.Attempt == r.attempt
	case callerGone:
		s.withdraw(r)
	}
	if concerns {
		return item
	}
	return nil
}

// withdraw tells the core, once, that the caller does not want the request any
// more.
func (s *session) withdraw(r *request) {
	if r.canceled {
		return
	}
	r.canceled = true
	s.edge.sink.Post(message.RequestCanceled{Request: r.id})
}

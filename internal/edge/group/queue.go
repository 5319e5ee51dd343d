package group

import (
	"context"
	"expvar"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// sqlStateConflict is the SQLSTATE with which a database rejects a request because
// of its term or nonce.
const sqlStateConflict = "EG001"

// counters are the metrics of all control connections: the numbers of events, under
// "opened", "unreachable", "silent", "refused" and "broken", and the traffic, under
// "sent.bytes" and "received.bytes".
var counters = expvar.NewMap("control")

// -----------------------------------------------------------------------------
// Request queues.

// requestQueue is a queue of requests with a control connection of its own, which
// is opened as needed. Its goroutine sends one statement at a time.
type requestQueue struct {
	name    string
	target  target
	options Options
	sink    message.Sink
	log     *eventlog.Writer

	// wake has a buffer of one value. It wakes the goroutine after a change of
	// the fields below.
	wake chan struct{}

	mu sync.Mutex
	// pending holds the requests that have not been sent yet, the oldest first.
	pending []*request
	// retired is true if the queue accepts no further request.
	retired bool
	// connected is true if conn is set.
	connected bool

	// The fields below are used by the goroutine only.
	conn    *connection
	backoff backoff.ExponentialBackOff
	// reconnectAt is the earliest time for the next attempt to connect.
	reconnectAt time.Time
}

func newRequestQueue(name string, destination target, options Options, sink message.Sink, log *eventlog.Writer) *requestQueue {
	return &requestQueue{
		name: name, target: destination, options: options, sink: sink, log: log,
		wake: make(chan struct{}, 1),
		// A randomization factor of 1 around half of the interval gives a pause
		// that is uniform between 0 and the whole interval: full jitter.
		backoff: backoff.ExponentialBackOff{
			InitialInterval:     options.InitialBackoff / 2,
			MaxInterval:         options.MaxBackoff / 2,
			Multiplier:          2,
			RandomizationFactor: 1,
		},
	}
}

// enqueue adds a request to the queue, or answers it with ControlUnreachable if the
// queue is retired. It never blocks.
func (q *requestQueue) enqueue(req *request) {
	q.mu.Lock()
	req.timer = time.AfterFunc(req.timeout, func() { q.expire(req) })
	retired := q.retired
	if !retired {
		q.pending = append(q.pending, req)
	}
	q.mu.Unlock()
	if retired {
		q.answer(req, req.failureEvent(message.ControlUnreachable))
		return
	}
	q.wakeUp()
}

// retire answers all pending requests with ControlUnreachable, and lets the
// goroutine end after the batch that it is serving.
func (q *requestQueue) retire() {
	q.mu.Lock()
	q.retired = true
	waiting := slices.Clone(q.pending)
	q.mu.Unlock()
	q.failAll(waiting, message.ControlUnreachable)
	q.wakeUp()
}

// wakeUp makes the goroutine check the queue again.
func (q *requestQueue) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// expire answers a request that has expired: with ControlTimeout if there is a
// connection, with ControlUnreachable if there is none.
func (q *requestQueue) expire(req *request) {
	q.mu.Lock()
	controlResult := message.ControlUnreachable
	if q.connected {
		controlResult = message.ControlTimeout
	}
	event := req.failureEvent(controlResult)
	q.mu.Unlock()
	q.answer(req, event)
}

// answer posts the answer to a request, unless the request has been answered
// already, and removes the request from the queue.
func (q *requestQueue) answer(req *request, event message.Event) {
	q.mu.Lock()
	alreadyAnswered := req.answered
	req.answered = true
	q.pending = slices.DeleteFunc(q.pending, func(other *request) bool { return other == req })
	q.mu.Unlock()
	if alreadyAnswered {
		return
	}
	req.timer.Stop()
	q.sink.Post(event)
}

// failAll answers all requests with the same error.
func (q *requestQueue) failAll(requests []*request, controlResult message.ControlResult) {
	for _, req := range requests {
		q.mu.Lock()
		event := req.failureEvent(controlResult)
		q.mu.Unlock()
		q.answer(req, event)
	}
}

// -----------------------------------------------------------------------------
// The goroutine of a request queue.

// run serves the queue until ctx ends or the queue is retired.
func (q *requestQueue) run(ctx context.Context) {
	defer q.closeConnection()
	defer q.retire()
	for q.awaitRequest(ctx) {
		if !q.ensureConnected(ctx) {
			continue
		}
		if batch := q.takeBatch(); len(batch) > 0 {
			q.serveBatch(batch)
		}
	}
}

// awaitRequest waits until a request is pending and there is a connection or an
// attempt to connect is due. It returns false if ctx has ended or the queue is
// retired.
func (q *requestQueue) awaitRequest(ctx context.Context) bool {
	for {
		q.mu.Lock()
		waiting, retired := len(q.pending), q.retired
		q.mu.Unlock()
		pause := q.reconnectAt.Sub(q.options.Now())
		switch {
		case ctx.Err() != nil || retired:
			return false
		case waiting > 0 && (q.conn != nil || pause <= 0):
			return true
		case waiting > 0:
			q.waitForChange(ctx, pause)
		default:
			q.waitForChange(ctx, 0)
		}
	}
}

// waitForChange waits until the queue changes or ctx ends, and for at most pause
// if pause is above zero.
func (q *requestQueue) waitForChange(ctx context.Context, pause time.Duration) {
	var timeout <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
	case <-q.wake:
	case <-timeout:
	}
}

// ensureConnected opens the connection unless it is open, and reports whether it is
// open afterwards. If opening fails, it answers all requests that were pending when
// it began.
func (q *requestQueue) ensureConnected(ctx context.Context) bool {
	if q.conn != nil {
		return true
	}
	q.mu.Lock()
	waiting := slices.Clone(q.pending)
	q.mu.Unlock()
	if len(waiting) == 0 {
		return false
	}
	deadline := q.options.Now().Add(q.options.ConnectTimeout)
	if lastExpiry := latestExpiry(waiting); lastExpiry.Before(deadline) {
		deadline = lastExpiry
	}
	conn, err := open(ctx, q.target, q.options, deadline)
	if err != nil {
		q.scheduleReconnect(err)
		q.failAll(waiting, message.ControlUnreachable)
		return false
	}
	q.conn = conn
	q.setConnected(true)
	counters.Add("opened", 1)
	q.logEvent(event.ControlOpened, event.F("address", q.target.address.String()))
	return true
}

// scheduleReconnect sets the time of the next attempt after a failure to connect.
func (q *requestQueue) scheduleReconnect(err error) {
	pause := q.backoff.NextBackOff()
	q.reconnectAt = q.options.Now().Add(pause)
	counters.Add("unreachable", 1)
	q.logEvent(event.ControlUnreachable,
		event.F("address", q.target.address.String()),
		event.F("error", err.Error()),
		event.F("again", pause.String()))
}

// takeBatch removes from the queue the requests that one statement can answer: the
// oldest one and those directly behind it that can share its answer. The batch is
// ordered by position; the statement to send is that of its first request.
func (q *requestQueue) takeBatch() []*request {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := 0
	for count < len(q.pending) && (count == 0 || q.pending[0].sharesAnswerWith(q.pending[count])) {
		count++
	}
	batch := slices.Clone(q.pending[:count])
	q.pending = slices.Delete(q.pending, 0, count)
	slices.SortStableFunc(batch, comparePositions)
	return batch
}

// serveBatch sends the batch's statement and answers its requests.
func (q *requestQueue) serveBatch(batch []*request) {
	req := batch[0]
	sentAt := q.options.Now()
	statement := req.statement(sentAt)
	if !isSendable(statement) {
		q.failAll(batch, message.ControlRefused)
		return
	}
	q.mu.Lock()
	for _, req := range batch {
		req.sentAt = sentAt
	}
	q.mu.Unlock()
	deadline := batchDeadline(batch)
	reused := q.conn.hasAnswered
	result, err := q.exchange(statement, deadline)
	if err != nil {
		q.handleFailure(batch, err, reused, deadline)
		return
	}
	q.backoff.Reset()
	q.answerFromRow(batch, result, message.ControlOK)
}

// exchange sends a statement and returns its result. Both must end before the
// deadline.
func (q *requestQueue) exchange(statement string, deadline time.Time) (*row, error) {
	if err := q.conn.send(statement, deadline); err != nil {
		return nil, err
	}
	return q.conn.receive()
}

// answerFromRow answers a batch from the result of its statement. Requests for
// positions that have not been reached are queued again, except the first: it has
// the lowest position, and the database has waited for that one.
func (q *requestQueue) answerFromRow(batch []*request, result *row, controlResult message.ControlResult) {
	if batch[0].isResolveInDoubt() {
		q.answerResolveInDoubt(batch[0], result)
		return
	}
	status, err := result.status(q.target.database)
	if err != nil {
		q.closeBroken(err)
		q.failAll(batch, message.ControlUnreachable)
		return
	}
	var unsatisfied []*request
	for i, req := range batch {
		if i > 0 && !req.isSatisfiedBy(status) {
			unsatisfied = append(unsatisfied, req)
			continue
		}
		q.answer(req, message.ControlAnswered{
			Database: req.database, CorrelationID: req.correlationID, SentAt: req.sentAt, Status: status, Result: controlResult,
		})
	}
	q.requeue(unsatisfied)
}

// answerResolveInDoubt answers a ResolveInDoubt from its result.
func (q *requestQueue) answerResolveInDoubt(req *request, result *row) {
	event := message.InDoubtResolved{
		Database:       req.database,
		CorrelationID:  req.correlationID,
		IdempotencyKey: req.action.(message.ResolveInDoubt).IdempotencyKey,
		Committed:      result.bool("committed"),
		Position:       result.position("position"),
	}
	if result.err != nil {
		q.closeBroken(result.err)
		q.failAll([]*request{req}, message.ControlUnreachable)
		return
	}
	q.answer(req, event)
}

// handleFailure answers a batch whose statement failed. If a connection that was
// used before turned out to be broken, it queues the batch again instead, which is
// safe because every control statement is idempotent.
func (q *requestQueue) handleFailure(batch []*request, err error, reused bool, deadline time.Time) {
	var statementErr *StatementError
	if errors.As(err, &statementErr) {
		q.handleRefusal(batch, statementErr, deadline)
		return
	}
	if isTimeout(err) {
		q.handleTimeout(batch, deadline)
		return
	}
	q.closeBroken(err)
	if reused {
		q.requeue(batch)
		return
	}
	q.reconnectAt = q.options.Now().Add(q.backoff.NextBackOff())
	q.failAll(batch, message.ControlUnreachable)
}

// handleTimeout answers the requests of a batch that have expired, closes the
// connection, and queues the other requests again for a new connection.
func (q *requestQueue) handleTimeout(batch []*request, deadline time.Time) {
	counters.Add("silent", 1)
	q.logEvent(event.ControlSilent, event.F("statement", batch[0].statementName()))
	expiredCount := slices.IndexFunc(batch, func(req *request) bool { return req.expires.After(deadline) })
	if expiredCount < 0 {
		expiredCount = len(batch)
	}
	q.failAll(batch[:expiredCount], message.ControlTimeout)
	q.closeConnection()
	q.requeue(batch[expiredCount:])
}

// handleRefusal answers a batch whose statement the database rejected. After a
// conflict, the answer carries the database's status, which is read with a further
// statement; the answer to a ResolveInDoubt has no status.
func (q *requestQueue) handleRefusal(batch []*request, statementErr *StatementError, deadline time.Time) {
	counters.Add("refused", 1)
	q.logEvent(event.ControlRefused,
		event.F("statement", batch[0].statementName()),
		event.F("state", statementErr.SQLState),
		event.F("error", statementErr.Message))
	switch {
	case statementErr.SQLState != sqlStateConflict:
		q.failAll(batch, message.ControlRefused)
	case batch[0].isResolveInDoubt():
		q.failAll(batch, message.ControlConflict)
	default:
		q.handleConflict(batch, deadline)
	}
}

// handleConflict reads the database's status and answers a batch with
// ControlConflict and that status.
func (q *requestQueue) handleConflict(batch []*request, deadline time.Time) {
	result, err := q.exchange(callStatement("group_status"), deadline)
	var statementErr *StatementError
	switch {
	case errors.As(err, &statementErr):
		q.failAll(batch, message.ControlRefused)
	case err != nil:
		q.handleFailure(batch, err, false, deadline)
	default:
		q.answerFromRow(batch, result, message.ControlConflict)
	}
}

// requeue puts a batch back at the head of the queue, without the requests that
// were answered meanwhile.
func (q *requestQueue) requeue(batch []*request) {
	q.mu.Lock()
	batch = slices.DeleteFunc(slices.Clone(batch), func(req *request) bool { return req.answered })
	retired := q.retired
	if !retired {
		q.pending = append(batch, q.pending...)
	}
	q.mu.Unlock()
	if retired {
		q.failAll(batch, message.ControlUnreachable)
	}
}

// closeBroken counts and logs a failure of the connection, and closes it.
func (q *requestQueue) closeBroken(err error) {
	counters.Add("broken", 1)
	q.logEvent(event.ControlBroken, event.F("error", err.Error()))
	q.closeConnection()
}

// closeConnection closes the connection, if there is one. An answer that arrives
// late can then not be taken for the answer to the next request.
func (q *requestQueue) closeConnection() {
	if q.conn == nil {
		return
	}
	q.conn.close()
	q.conn = nil
	q.setConnected(false)
}

func (q *requestQueue) setConnected(connected bool) {
	q.mu.Lock()
	q.connected = connected
	q.mu.Unlock()
}

// logEvent logs an event with the database and the name of the queue.
func (q *requestQueue) logEvent(e event.Event, fields ...event.Field) {
	common := []event.Field{event.F("database", q.target.database), event.F("lane", q.name)}
	q.log.Write(q.options.Now(), e, append(common, fields...)...)
}

// -----------------------------------------------------------------------------
// Helpers.

// batchDeadline returns the deadline for the answer to a batch: the time at which
// the last request expires. For AwaitPosition it is the time at which the first
// request expires, since the statement makes the database answer before that.
func batchDeadline(batch []*request) time.Time {
	if _, blocks := batch[0].action.(message.AwaitPosition); blocks {
		return batch[0].expires
	}
	return latestExpiry(batch)
}

// latestExpiry returns the time at which the last of the requests expires.
func latestExpiry(requests []*request) time.Time {
	expiry := requests[0].expires
	for _, req := range requests[1:] {
		if req.expires.After(expiry) {
			expiry = req.expires
		}
	}
	return expiry
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

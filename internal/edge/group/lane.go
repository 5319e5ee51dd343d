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

// conflictState is the SQLSTATE of a question refused because of the term or
// the nonce.
const conflictState = "EG001"

// counters holds what happened on control connections, by name.
var counters = expvar.NewMap("control")

// -----------------------------------------------------------------------------
// Lanes.

// lane is a queue of questions for one control connection. Its goroutine
// sends one at a time.
type lane struct {
	name    string
	target  target
	options Options
	sink    message.Sink
	log     *eventlog.Writer

	// wake has room for one value: something changed below.
	wake chan struct{}

	mu sync.Mutex
	// queue holds the questions not sent yet, the oldest first.
	queue []*question
	// retired says that the lane takes no further question.
	retired bool
	// connected says that the lane has a connection.
	connected bool

	// What follows belongs to the goroutine.
	conn    *connection
	backoff backoff.ExponentialBackOff
	// again is the earliest time for the next try to connect.
	again time.Time
}

func newLane(name string, to target, options Options, sink message.Sink, log *eventlog.Writer) *lane {
	return &lane{
		name: name, target: to, options: options, sink: sink, log: log,
		wake: make(chan struct{}, 1),
		// With a factor of 1 around half the interval, the pause is uniform
		// between 0 and the whole interval: full jitter.
		backoff: backoff.ExponentialBackOff{
			InitialInterval:     options.InitialBackoff / 2,
			MaxInterval:         options.MaxBackoff / 2,
			Multiplier:          2,
			RandomizationFactor: 1,
		},
	}
}

// push queues a question. It never blocks.
func (l *lane) push(q *question) {
	l.mu.Lock()
	q.timer = time.AfterFunc(q.timeout, func() { l.expire(q) })
	retired := l.retired
	if !retired {
		l.queue = append(l.queue, q)
	}
	l.mu.Unlock()
	if retired {
		l.answer(q, q.failed(message.ControlUnreachable))
		return
	}
	l.stir()
}

// retire answers all that waits and lets the goroutine end after the question
// that it is at.
func (l *lane) retire() {
	l.mu.Lock()
	l.retired = true
	waiting := slices.Clone(l.queue)
	l.mu.Unlock()
	l.fail(waiting, message.ControlUnreachable)
	l.stir()
}

func (l *lane) stir() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// expire answers a question whose time is over.
func (l *lane) expire(q *question) {
	l.mu.Lock()
	why := message.ControlUnreachable
	if l.connected {
		why = message.ControlTimeout
	}
	event := q.failed(why)
	l.mu.Unlock()
	l.answer(q, event)
}

// answer posts the answer to a question, unless it has one.
func (l *lane) answer(q *question, event message.Event) {
	l.mu.Lock()
	done := q.done
	q.done = true
	l.queue = slices.DeleteFunc(l.queue, func(other *question) bool { return other == q })
	l.mu.Unlock()
	if done {
		return
	}
	q.timer.Stop()
	l.sink.Post(event)
}

func (l *lane) fail(questions []*question, why message.ControlErr) {
	for _, q := range questions {
		l.mu.Lock()
		event := q.failed(why)
		l.mu.Unlock()
		l.answer(q, event)
	}
}

// -----------------------------------------------------------------------------
// The goroutine of a lane.

// run serves the lane until ctx ends or the lane is retired.
func (l *lane) run(ctx context.Context) {
	defer l.drop()
	defer l.retire()
	for l.awaitQuestion(ctx) {
		if !l.connect(ctx) {
			continue
		}
		if batch := l.take(); len(batch) > 0 {
			l.serve(batch)
		}
	}
}

// awaitQuestion waits until a question is queued and a try to connect is due.
// It reports false when the lane shall end.
func (l *lane) awaitQuestion(ctx context.Context) bool {
	for {
		l.mu.Lock()
		waiting, retired := len(l.queue), l.retired
		l.mu.Unlock()
		pause := l.again.Sub(l.options.Now())
		switch {
		case ctx.Err() != nil || retired:
			return false
		case waiting > 0 && (l.conn != nil || pause <= 0):
			return true
		case waiting > 0:
			l.sleep(ctx, pause)
		default:
			l.sleep(ctx, 0)
		}
	}
}

// sleep waits for a change, and for no longer than pause where that is above
// zero.
func (l *lane) sleep(ctx context.Context, pause time.Duration) {
	var over <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-ctx.Done():
	case <-l.wake:
	case <-over:
	}
}

// connect makes sure that the lane has a connection. Where that fails, all
// questions that waited for it are answered.
func (l *lane) connect(ctx context.Context) bool {
	if l.conn != nil {
		return true
	}
	l.mu.Lock()
	waiting := slices.Clone(l.queue)
	l.mu.Unlock()
	if len(waiting) == 0 {
		return false
	}
	expires := l.options.Now().Add(l.options.ConnectTimeout)
	if last := latest(waiting); last.Before(expires) {
		expires = last
	}
	conn, err := open(ctx, l.target, l.options, expires)
	if err != nil {
		l.postpone(err)
		l.fail(waiting, message.ControlUnreachable)
		return false
	}
	l.conn = conn
	l.setConnected(true)
	counters.Add("opened", 1)
	l.note(event.ControlOpened, event.F("address", l.target.address.String()))
	return true
}

func (l *lane) postpone(err error) {
	pause := l.backoff.NextBackOff()
	l.again = l.options.Now().Add(pause)
	counters.Add("unreachable", 1)
	l.note(event.ControlUnreachable,
		event.F("address", l.target.address.String()),
		event.F("error", err.Error()),
		event.F("again", pause.String()))
}

// take removes from the queue what one statement may answer: the oldest
// question and those right behind it that can share its answer. The statement
// is that of the first in the batch.
func (l *lane) take() []*question {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for count < len(l.queue) && (count == 0 || l.queue[0].shares(l.queue[count])) {
		count++
	}
	batch := slices.Clone(l.queue[:count])
	l.queue = slices.Delete(l.queue, 0, count)
	slices.SortStableFunc(batch, comparePositions)
	return batch
}

// serve sends the batch's statement and answers its questions.
func (l *lane) serve(batch []*question) {
	q := batch[0]
	asked := l.options.Now()
	statement := q.statement(asked)
	if !isSendable(statement) {
		l.fail(batch, message.ControlRefused)
		return
	}
	l.mu.Lock()
	for _, each := range batch {
		each.asked = asked
	}
	l.mu.Unlock()
	expires := batchExpires(batch)
	reused := l.conn.used
	answered, err := l.exchange(statement, expires)
	if err != nil {
		l.serveFailure(batch, err, reused, expires)
		return
	}
	l.backoff.Reset()
	l.serveRow(batch, answered, message.ControlOK)
}

func (l *lane) exchange(statement string, expires time.Time) (*row, error) {
	if err := l.conn.send(statement, expires); err != nil {
		return nil, err
	}
	return l.conn.receive()
}

// serveRow answers a batch from a row.
func (l *lane) serveRow(batch []*question, answered *row, why message.ControlErr) {
	if batch[0].isSettle() {
		l.serveSettle(batch[0], answered)
		return
	}
	status, err := answered.status(l.target.database)
	if err != nil {
		l.breakOff(err)
		l.fail(batch, message.ControlUnreachable)
		return
	}
	var unmet []*question
	for i, q := range batch {
		if i > 0 && !q.isMet(status) {
			unmet = append(unmet, q)
			continue
		}
		l.answer(q, message.ControlAnswered{
			Database: q.database, CorrelationID: q.ask, SentAt: q.asked, Status: status, Err: why,
		})
	}
	l.requeue(unmet)
}

func (l *lane) serveSettle(q *question, answered *row) {
	event := message.InDoubtResolved{
		Database:       q.database,
		CorrelationID:  q.ask,
		IdempotencyKey: q.action.(message.ResolveInDoubt).IdempotencyKey,
		Committed:      answered.bool("committed"),
		Position:       answered.position("position"),
	}
	if answered.err != nil {
		l.breakOff(answered.err)
		l.fail([]*question{q}, message.ControlUnreachable)
		return
	}
	l.answer(q, event)
}

// serveFailure answers a batch whose statement failed, or queues it again
// where only a connection left over from before was broken: every control
// statement is idempotent.
func (l *lane) serveFailure(batch []*question, err error, reused bool, expires time.Time) {
	var refusal *StatementError
	if errors.As(err, &refusal) {
		l.serveRefusal(batch, refusal, expires)
		return
	}
	if isTimeout(err) {
		l.serveSilence(batch, expires)
		return
	}
	l.breakOff(err)
	if reused {
		l.requeue(batch)
		return
	}
	l.again = l.options.Now().Add(l.backoff.NextBackOff())
	l.fail(batch, message.ControlUnreachable)
}

// serveSilence answers the questions of a batch whose time is over, and queues
// the others again for a new connection.
func (l *lane) serveSilence(batch []*question, expires time.Time) {
	counters.Add("silent", 1)
	l.note(event.ControlSilent, event.F("statement", batch[0].name()))
	over := slices.IndexFunc(batch, func(q *question) bool { return q.expires.After(expires) })
	if over < 0 {
		over = len(batch)
	}
	l.fail(batch[:over], message.ControlTimeout)
	l.drop()
	l.requeue(batch[over:])
}

// serveRefusal answers a batch that the database refused. A conflict's answer
// carries the database's status, which has to be asked for.
func (l *lane) serveRefusal(batch []*question, refusal *StatementError, expires time.Time) {
	counters.Add("refused", 1)
	l.note(event.ControlRefused,
		event.F("statement", batch[0].name()),
		event.F("state", refusal.SQLState),
		event.F("error", refusal.Message))
	switch {
	case refusal.SQLState != conflictState:
		l.fail(batch, message.ControlRefused)
	case batch[0].isSettle():
		l.fail(batch, message.ControlConflict)
	default:
		l.serveConflict(batch, expires)
	}
}

func (l *lane) serveConflict(batch []*question, expires time.Time) {
	answered, err := l.exchange(call("group_status"), expires)
	var refusal *StatementError
	switch {
	case errors.As(err, &refusal):
		l.fail(batch, message.ControlRefused)
	case err != nil:
		l.serveFailure(batch, err, false, expires)
	default:
		l.serveRow(batch, answered, message.ControlConflict)
	}
}

// requeue puts a batch back to the head of the queue, without the questions
// that were answered meanwhile.
func (l *lane) requeue(batch []*question) {
	l.mu.Lock()
	batch = slices.DeleteFunc(slices.Clone(batch), func(q *question) bool { return q.done })
	retired := l.retired
	if !retired {
		l.queue = append(batch, l.queue...)
	}
	l.mu.Unlock()
	if retired {
		l.fail(batch, message.ControlUnreachable)
	}
}

// breakOff closes the connection after a failure.
func (l *lane) breakOff(err error) {
	counters.Add("broken", 1)
	l.note(event.ControlBroken, event.F("error", err.Error()))
	l.drop()
}

// drop closes the connection: an answer that is still on its way must never
// be taken for that of the next question.
func (l *lane) drop() {
	if l.conn == nil {
		return
	}
	l.conn.close()
	l.conn = nil
	l.setConnected(false)
}

func (l *lane) setConnected(connected bool) {
	l.mu.Lock()
	l.connected = connected
	l.mu.Unlock()
}

func (l *lane) note(e event.Event, fields ...event.Field) {
	head := []event.Field{event.F("database", l.target.database), event.F("lane", l.name)}
	l.log.Write(l.options.Now(), e, append(head, fields...)...)
}

// -----------------------------------------------------------------------------
// Helpers.

// batchExpires is how long the answer to a batch is waited for. A wait for a
// position ends with the first question's time, since the database was told to
// answer before it.
func batchExpires(batch []*question) time.Time {
	if _, blocks := batch[0].action.(message.AwaitPosition); blocks {
		return batch[0].expires
	}
	return latest(batch)
}

// latest is when the last of the questions expires.
func latest(questions []*question) time.Time {
	last := questions[0].expires
	for _, q := range questions[1:] {
		if q.expires.After(last) {
			last = q.expires
		}
	}
	return last
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

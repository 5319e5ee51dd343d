package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// The states of a transaction, as ReadyForQuery tells them.
const (
	statusIdle        byte = 'I'
	statusTransaction byte = 'T'
	statusFailed      byte = 'E'
)

// session is one caller's connection. Its goroutine reads the caller's batches,
// and reads the backend connection while one is running, so that no row passes
// from one goroutine to another.
type session struct {
	edge   *Server
	id     model.SessionID
	conn   net.Conn
	reader *postgres.Reader
	group  model.GroupID
	caller model.CallerID
	proven *provenCell

	// writeUntil is the deadline of writes to the caller.
	writeUntil time.Time
	// secret is what a cancel request has to know.
	secret []byte
	// current is the request that a cancel request is for, or zero.
	current atomic.Uint64
	mailbox *mailbox

	hint       hint
	token      model.Token
	statements statements
	settings   settings
	// request is the transaction that is open, or nil.
	request *request
	// failed says that a transaction was lost; the caller has to end it.
	failed bool
	// why is what the caller is still to be told of that, or nil.
	why *problem
	// canceling is closed when a cancel request to a database has ended; nil
	// where none was sent.
	canceling chan struct{}
	// watch is closed when the watch of the caller's connection has ended;
	// nil where there is none.
	watch chan struct{}
	// work holds the buffers while the session is not idle.
	work *workspace
}

// workspace is what a session needs only while it works.
type workspace struct {
	batch    batch
	outgoing outgoing
	relay    relay
	// out holds what goes to the caller next.
	out   []byte
	timer *time.Timer
}

// keptBuffer is the greatest buffer that a workspace keeps, in bytes.
const keptBuffer = 64 << 10

var workspaces = sync.Pool{New: func() any {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &workspace{timer: timer}
}}

func (s *session) takeWorkspace() {
	if s.work == nil {
		s.work = workspaces.Get().(*workspace)
	}
}

func (s *session) giveWorkspace() {
	if s.work == nil {
		return
	}
	s.work.batch.reset()
	s.work.outgoing.reset()
	s.work.relay = relay{}
	s.resetOut()
	workspaces.Put(s.work)
	s.work = nil
}

func (s *session) resetOut() {
	if cap(s.work.out) > keptBuffer {
		s.work.out = nil
	}
	s.work.out = s.work.out[:0]
}

// -----------------------------------------------------------------------------
// The life of a session.

// run serves the caller until it leaves, and returns the reason.
func (s *session) run(ctx context.Context) error {
	defer s.giveWorkspace()
	for {
		err := s.awaitBatch(ctx)
		if err != nil {
			return s.leave(err)
		}
		s.takeWorkspace()
		s.work.batch.reset()
		err = s.readWhole(ctx, &s.work.batch)
		if err == nil {
			err = s.handle(ctx, &s.work.batch)
			s.settle()
		}
		if err != nil {
			return s.leave(err)
		}
	}
}

// settle waits for what a batch has started beside itself.
func (s *session) settle() {
	s.stopWatch()
	if s.canceling != nil {
		<-s.canceling
		s.canceling = nil
	}
}

// awaitBatch waits until the caller has sent something. A session without an
// open transaction holds no buffers while it waits.
func (s *session) awaitBatch(ctx context.Context) error {
	for s.reader.Buffered() == 0 {
		if ctx.Err() != nil {
			return errEnding
		}
		if s.request == nil {
			if s.edge.draining.Load() {
				return errDrained
			}
			s.giveWorkspace()
		}
		s.mailbox.read(s.conn, s.idleDeadline())
		err := s.reader.Fill()
		s.mailbox.done()
		if err == nil {
			return nil
		}
		if !isTimeout(err) {
			return err
		}
		err = s.idleItems(ctx)
		if err != nil {
			return err
		}
	}
	return nil
}

// readWhole reads a batch to its end, also where it comes slowly.
func (s *session) readWhole(ctx context.Context, b *batch) error {
	for {
		s.mailbox.read(s.conn, s.idleDeadline())
		err := s.readBatch(b)
		s.mailbox.done()
		if err == nil || !isTimeout(err) {
			return err
		}
		err = s.idleItems(ctx)
		if err != nil {
			return err
		}
	}
}

// idleDeadline returns until when the caller may be silent: for ever, or until
// the deadline of its open transaction.
func (s *session) idleDeadline() time.Time {
	if s.request == nil {
		return time.Time{}
	}
	return s.request.dispatch.Deadline
}

// idleItems looks at what has come for a session that waits for its caller.
func (s *session) idleItems(ctx context.Context) error {
	if ctx.Err() != nil {
		return errEnding
	}
	for {
		item, ok := s.mailbox.take()
		if !ok {
			break
		}
		switch item := item.(type) {
		case message.AbortRequest:
			if s.owns(item.Request) {
				s.why = abandonProblem(item)
				s.breakTransaction(message.OutcomeDatabaseError{SQLState: s.why.state})
			}
		case message.CloseConnection:
			if s.owns(item.Request) && s.request.attempt == item.Attempt {
				s.why = problemFenced
				s.breakTransaction(message.OutcomeConnectionLost{PartlySent: true})
			}
		}
	}
	r := s.request
	if r != nil && !time.Now().Before(r.dispatch.Deadline) {
		s.edge.note(event.TransactionExpired, "session", s.id, "request", r.id)
		s.why = problemIdle
		s.breakTransaction(message.OutcomeDatabaseError{SQLState: s.why.state})
	}
	return nil
}

func (s *session) owns(id model.RequestID) bool { return s.request != nil && s.request.id == id }

// breakTransaction rolls back an open transaction whose caller is idle. The
// caller learns it with its next statement.
func (s *session) breakTransaction(answer message.Outcome) {
	r := s.request
	s.dropConn(r)
	s.ended(r, answer)
	s.endRequest(r)
	s.failed = true
}

// leave ends the session for a reason, with a last word where the caller still
// listens.
func (s *session) leave(reason error) error {
	s.stopWatch()
	if r := s.request; r != nil {
		s.dropConn(r)
		s.ended(r, message.OutcomeDatabaseError{SQLState: stateProtocolViolation})
		s.endRequest(r)
	}
	var violation *ProtocolError
	var size *postgres.SizeError
	s.takeWorkspace()
	s.resetOut()
	switch {
	case errors.As(reason, &violation), errors.As(reason, &size):
		s.edge.note(event.ProtocolViolated, "session", s.id, "reason", reason.Error())
		s.say(&problem{state: stateProtocolViolation, message: reason.Error(), fatal: true})
	case errors.Is(reason, errDrained), errors.Is(reason, errEnding):
		s.say(problemDrained)
	default:
		return reason
	}
	_ = s.flush()
	return reason
}

// -----------------------------------------------------------------------------
// Words to the caller.

// flush sends what is waiting. A caller that does not read in time loses its
// connection: what waits for it is bounded by the buffer here and that of the
// system.
func (s *session) flush() error {
	if len(s.work.out) == 0 {
		return nil
	}
	s.moveWriteDeadline()
	_, err := s.conn.Write(s.work.out)
	s.resetOut()
	return err
}

// moveWriteDeadline gives the caller once to twice the time that it has to take
// what is sent. Moving the deadline now and then only is cheaper.
func (s *session) moveWriteDeadline() {
	limit := s.edge.options.WriteTimeout
	now := time.Now()
	if s.writeUntil.Sub(now) >= limit {
		return
	}
	s.writeUntil = now.Add(2 * limit)
	_ = s.conn.SetWriteDeadline(s.writeUntil)
}

// say appends an error.
func (s *session) say(p *problem) { s.work.out = p.encode(s.work.out) }

// ready appends ReadyForQuery.
func (s *session) ready(status byte) {
	s.work.out = append(s.work.out, 'Z', 0, 0, 0, 5, status)
}

// answerProblem refuses a batch with an error and goes on.
func (s *session) answerProblem(p *problem, status byte) error {
	s.resetOut()
	s.say(p)
	s.ready(status)
	return s.flush()
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

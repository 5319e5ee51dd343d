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
	"github.com/eelgrassfold/eelgrassfold/internal/edge/intake"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// Transaction statuses in ReadyForQuery.
const (
	statusIdle        byte = 'I'
	statusTransaction byte = 'T'
	statusFailed      byte = 'E'
)

// session is the connection of one caller. Its goroutine reads the caller's
// batches, and reads the backend connection while a batch is running, so that
// no row passes from one goroutine to another.
type session struct {
	server  *Server
	id      model.SessionID
	conn    net.Conn
	account *intake.Account
	// heldState is what account holds for prepared statements and settings.
	heldState int64
	reader    *postgres.Reader
	group     model.GroupID
	caller    model.CallerID
	durable   *durablePosition

	// writeDeadline is the current deadline of writes to the caller.
	writeDeadline time.Time
	// cancelSecret is the secret key that a cancel request must present.
	cancelSecret []byte
	// currentRequest is the request that a cancel request applies to, or zero.
	currentRequest atomic.Uint64
	mailbox        *mailbox

	hint       hint
	token      model.Token
	statements statements
	settings   settings
	// request is the open transaction, or nil.
	request *request
	// inFailedTransaction is true if a transaction was lost and the caller has
	// not ended it yet.
	inFailedTransaction bool
	// unreportedProblem is the reason of that loss, until it was sent to the
	// caller; nil otherwise.
	unreportedProblem *problem
	// cancelDone is closed when the cancel request to a database has ended; nil
	// if none was sent.
	cancelDone chan struct{}
	// watchDone is closed when the watch of the caller's connection has ended;
	// nil if there is no watch.
	watchDone chan struct{}
	// workspace holds the buffers while the session is not idle.
	workspace *workspace
}

// workspace holds what a session needs only while it processes a batch.
type workspace struct {
	batch    batch
	outgoing outgoing
	relay    relay
	// output is the data to be sent to the caller next.
	output []byte
	timer  *time.Timer
}

// maxRetainedBuffer is the maximum size of a buffer that a workspace keeps, in
// bytes.
const maxRetainedBuffer = 64 << 10

var workspaces = sync.Pool{New: func() any {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &workspace{timer: timer}
}}

func (s *session) acquireWorkspace() {
	if s.workspace == nil {
		s.workspace = workspaces.Get().(*workspace)
	}
}

func (s *session) releaseWorkspace() {
	if s.workspace == nil {
		return
	}
	s.workspace.batch.reset()
	s.workspace.outgoing.reset()
	s.workspace.relay = relay{}
	s.resetOutput()
	workspaces.Put(s.workspace)
	s.workspace = nil
}

func (s *session) resetOutput() {
	if cap(s.workspace.output) > maxRetainedBuffer {
		s.workspace.output = nil
	}
	s.workspace.output = s.workspace.output[:0]
}

// -----------------------------------------------------------------------------
// Processing of batches.

// run serves the caller until the session ends, and returns the reason.
func (s *session) run(ctx context.Context) error {
	defer s.releaseWorkspace()
	for {
		err := s.awaitBatch(ctx)
		if err != nil {
			return s.end(err)
		}
		s.acquireWorkspace()
		s.workspace.batch.reset()
		err = s.readFullBatch(ctx, &s.workspace.batch)
		if err == nil {
			s.account.Proceed()
			err = s.account.AwaitRoom()
		}
		if err == nil {
			err = s.handleBatch(ctx, &s.workspace.batch)
			s.awaitBackground()
			s.account.EndMessage()
		}
		if err == nil {
			err = s.holdState()
		}
		if err != nil {
			return s.end(err)
		}
	}
}

// holdState draws what the prepared statements and settings of the session take, and gives
// back what they no longer do. Its error is an *intake.GaveWayError.
func (s *session) holdState() error {
	size := int64(s.statements.size() + 2*len(s.settings.joined))
	err := s.account.Resize(size - s.heldState)
	s.heldState = size
	return err
}

// awaitBackground waits for the goroutines that the batch has started.
func (s *session) awaitBackground() {
	s.stopCallerWatch()
	if s.cancelDone != nil {
		<-s.cancelDone
		s.cancelDone = nil
	}
}

// awaitBatch waits until the caller has sent something. A session without an
// open transaction holds no buffers while it waits.
func (s *session) awaitBatch(ctx context.Context) error {
	for s.reader.Buffered() == 0 {
		if ctx.Err() != nil {
			return errTerminating
		}
		if s.request == nil {
			if s.server.draining.Load() {
				return errDrained
			}
			s.releaseWorkspace()
		}
		s.account.AwaitCaller(s.request != nil)
		s.mailbox.startReadLimit(s.conn, s.idleDeadline())
		err := s.reader.Fill()
		s.mailbox.endReadLimit()
		if err == nil {
			return nil
		}
		if !isTimeout(err) {
			return err
		}
		err = s.handleIdleItems(ctx)
		if err != nil {
			return err
		}
	}
	return nil
}

// readFullBatch reads a complete batch, even if it arrives in parts.
func (s *session) readFullBatch(ctx context.Context, b *batch) error {
	for {
		s.mailbox.startReadLimit(s.conn, s.idleDeadline())
		err := s.readBatch(b)
		s.mailbox.endReadLimit()
		if err == nil || !isTimeout(err) {
			return err
		}
		err = s.handleIdleItems(ctx)
		if err != nil {
			return err
		}
	}
}

// idleDeadline returns the time until which the caller may be idle: the
// deadline of its open transaction, or zero for no limit.
func (s *session) idleDeadline() time.Time {
	if s.request == nil {
		return time.Time{}
	}
	return s.request.dispatch.Deadline
}

// handleIdleItems handles the items of the mailbox and the transaction deadline
// while the session waits for its caller.
func (s *session) handleIdleItems(ctx context.Context) error {
	if ctx.Err() != nil {
		return errTerminating
	}
	for {
		item, ok := s.mailbox.take()
		if !ok {
			break
		}
		switch item := item.(type) {
		case message.AbortRequest:
			if s.owns(item.Request) {
				s.unreportedProblem = abortProblem(item)
				s.abortTransaction(message.OutcomeDatabaseError{SQLState: s.unreportedProblem.sqlState})
			}
		case message.CloseConnection:
			if s.owns(item.Request) && s.request.attempt == item.Attempt {
				s.unreportedProblem = problemFenced
				s.abortTransaction(message.OutcomeConnectionLost{PartlySent: true})
			}
		}
	}
	r := s.request
	if r != nil && !time.Now().Before(r.dispatch.Deadline) {
		s.server.logEvent(event.TransactionExpired, "session", s.id, "request", r.id)
		s.unreportedProblem = problemDeadlinePassed
		s.abortTransaction(message.OutcomeDatabaseError{SQLState: s.unreportedProblem.sqlState})
	}
	return nil
}

func (s *session) owns(id model.RequestID) bool { return s.request != nil && s.request.id == id }

// abortTransaction rolls back an open transaction whose caller is idle. The
// caller receives the error with its next statement.
func (s *session) abortTransaction(outcome message.Outcome) {
	r := s.request
	s.discardConn(r)
	s.reportOutcome(r, outcome)
	s.endRequest(r)
	s.inFailedTransaction = true
}

// end ends the session for a reason, and sends a last error if the caller can
// still receive it.
func (s *session) end(reason error) error {
	s.stopCallerWatch()
	if r := s.request; r != nil {
		s.discardConn(r)
		s.reportOutcome(r, message.OutcomeDatabaseError{SQLState: stateProtocolViolation})
		s.endRequest(r)
	}
	var protocolErr *ProtocolError
	var sizeErr *postgres.SizeError
	s.acquireWorkspace()
	s.resetOutput()
	switch {
	case errors.As(reason, &protocolErr), errors.As(reason, &sizeErr):
		s.server.logEvent(event.ProtocolViolated, "session", s.id, "reason", reason.Error())
		s.appendProblem(&problem{sqlState: stateProtocolViolation, message: reason.Error(), fatal: true})
	case errors.Is(reason, errDrained), errors.Is(reason, errTerminating):
		s.appendProblem(problemTerminated)
	default:
		return reason
	}
	_ = s.flush()
	return reason
}

// -----------------------------------------------------------------------------
// Output to the caller.

// flush sends the output. A caller that does not read in time is disconnected:
// unsent data is limited to the output and the buffer of the operating system.
func (s *session) flush() error {
	if len(s.workspace.output) == 0 {
		return nil
	}
	s.extendWriteDeadline()
	_, err := s.conn.Write(s.workspace.output)
	s.resetOutput()
	return err
}

// extendWriteDeadline gives the caller once to twice the write timeout. The
// deadline is not moved with every write, because setting it costs time.
func (s *session) extendWriteDeadline() {
	timeout := s.server.options.WriteTimeout
	now := time.Now()
	if s.writeDeadline.Sub(now) >= timeout {
		return
	}
	s.writeDeadline = now.Add(2 * timeout)
	_ = s.conn.SetWriteDeadline(s.writeDeadline)
}

// appendProblem appends an error to the output.
func (s *session) appendProblem(p *problem) { s.workspace.output = p.encode(s.workspace.output) }

// appendReady appends a ReadyForQuery to the output.
func (s *session) appendReady(status byte) {
	s.workspace.output = append(s.workspace.output, 'Z', 0, 0, 0, 5, status)
}

// answerProblem rejects a batch with an error; the session continues.
func (s *session) answerProblem(p *problem, status byte) error {
	s.resetOutput()
	s.appendProblem(p)
	s.appendReady(status)
	return s.flush()
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

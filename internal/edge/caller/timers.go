package caller

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// cancelGrace is how long a database may take to answer after a cancel
	// request.
	cancelGrace = time.Second
	// checkTimeout is the maximum duration of the check of a silent connection: a
	// backend connection on which no bytes have arrived for the silence threshold
	// during an exchange.
	checkTimeout = 2 * time.Second
	// confirmDelay is the time between the check that finds no running
	// statement on a silent connection and its closing. An answer that was
	// under way during the check arrives in this time.
	confirmDelay = 100 * time.Millisecond
	// silenceThresholdGrowth is the factor by which each check raises the
	// threshold.
	silenceThresholdGrowth = 2
)

// timers holds the times at which the relay interrupts its reads.
type timers struct {
	// readCount is the number of reads that returned bytes, and lastReadAt the
	// time when it was last seen to grow.
	readCount  uint64
	lastReadAt time.Time
	// silenceThreshold is the time since lastReadAt after which the next check
	// is due; zero for no checks.
	silenceThreshold time.Duration
	// checkRunning is true while a check is running.
	checkRunning bool
	// closeAt is when the silent connection is closed unless bytes arrive
	// before; zero if no check has found it without a running statement.
	closeAt time.Time
	// databaseResponsive is true if the database answered the last check.
	databaseResponsive bool
	// watchAt is when the watch of the caller's connection starts; zero once it
	// has started.
	watchAt time.Time
	// cancelExpiresAt is when the connection is closed after a cancel request;
	// zero if none was sent.
	cancelExpiresAt time.Time
}

// checkResult is the result of the check of a silent connection.
type checkResult struct {
	request           *request
	attempt           uint32
	runningStatements int
	err               error
}

// startTimers initializes the timers of an exchange.
func (rl *relay) startTimers(now time.Time) {
	rl.timers = timers{
		readCount:        rl.request.conn.Reader.ReadCount(),
		lastReadAt:       now,
		silenceThreshold: rl.request.dispatch.SilenceTimeout,
		watchAt:          now.Add(watchDelay),
	}
	rl.rearm()
}

// rearm sets the read deadline of the backend connection to the next timer.
func (rl *relay) rearm() { rl.session.mailbox.startReadLimit(rl.request.conn, rl.nextTimer()) }

// nextTimer returns the time of the earliest timer.
func (rl *relay) nextTimer() time.Time {
	t := &rl.timers
	due := rl.request.dispatch.Deadline
	if !t.cancelExpiresAt.IsZero() {
		due = t.cancelExpiresAt
	}
	if t.silenceThreshold > 0 && !t.checkRunning && t.closeAt.IsZero() {
		due = earlier(due, t.lastReadAt.Add(t.silenceThreshold))
	}
	due = earlier(due, t.closeAt)
	return earlier(due, t.watchAt)
}

// earlier returns the earlier of two times. A zero b is ignored.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// readFrame reads the next frame of the backend connection. While it waits, it
// handles the items of the mailbox and the timers.
func (rl *relay) readFrame(ctx context.Context) (postgres.Frame, result) {
	for {
		frame, err := rl.request.conn.Reader.Next()
		if err == nil {
			return frame, nil
		}
		if !isTimeout(err) {
			return frame, resultConnectionLost{}
		}
		res := rl.handleWakeup(ctx, time.Now())
		if res != nil {
			return frame, res
		}
		rl.rearm()
	}
}

// handleWakeup handles the items of the mailbox and the timers that are due.
func (rl *relay) handleWakeup(ctx context.Context, now time.Time) result {
	if ctx.Err() != nil {
		return resultSessionEnded{cause: errTerminating}
	}
	res := rl.handleItems(ctx, now)
	if res != nil {
		return res
	}
	t := &rl.timers
	if reads := rl.request.conn.Reader.ReadCount(); reads != t.readCount {
		t.readCount = reads
		t.lastReadAt = now
		t.silenceThreshold = rl.request.dispatch.SilenceTimeout
		t.closeAt = time.Time{}
	}
	if !t.watchAt.IsZero() && !now.Before(t.watchAt) {
		t.watchAt = time.Time{}
		rl.session.startCallerWatch()
	}
	if !t.closeAt.IsZero() && !now.Before(t.closeAt) {
		return rl.closeUnresponsive(now)
	}
	if t.silenceThreshold > 0 && !t.checkRunning && t.closeAt.IsZero() &&
		!now.Before(t.lastReadAt.Add(t.silenceThreshold)) {
		rl.startCheck(ctx)
	}
	return rl.enforceDeadline(ctx, now)
}

// enforceDeadline cancels the statement at the deadline, and gives the
// connection up if the database does not answer within cancelGrace.
func (rl *relay) enforceDeadline(ctx context.Context, now time.Time) result {
	t := &rl.timers
	if t.cancelExpiresAt.IsZero() {
		if !now.Before(rl.request.dispatch.Deadline) {
			deadlineCancels.Add(1)
			rl.cancelStatement(ctx, now)
		}
		return nil
	}
	if now.Before(t.cancelExpiresAt) {
		return nil
	}
	return resultConnectionLost{unresponsive: t.databaseResponsive}
}

// handleItems handles the items of the mailbox during an exchange.
func (rl *relay) handleItems(ctx context.Context, now time.Time) result {
	for {
		item, ok := rl.session.mailbox.take()
		if !ok {
			return nil
		}
		switch item := item.(type) {
		case message.CancelStatement:
			if item.Request == rl.request.id && item.Attempt == rl.request.attempt {
				rl.cancelStatement(ctx, now)
			}
		case message.CloseConnection:
			if item.Request == rl.request.id && item.Attempt == rl.request.attempt {
				return resultConnectionLost{}
			}
		case message.AbortRequest:
			if item.Request == rl.request.id {
				return resultAborted{problem: abortProblem(item)}
			}
		case message.RefuseRequest:
			if item.Request == rl.request.id {
				return resultAborted{problem: refusalProblem(item)}
			}
		case callerDisconnected:
			rl.session.reportCanceled(rl.request)
		case checkResult:
			rl.handleCheckResult(item, now)
		}
	}
}

// cancelStatement sends the database one cancel request for the running
// statement. The connection is not used again, because the request might arrive
// late and cancel another statement.
func (rl *relay) cancelStatement(ctx context.Context, now time.Time) {
	t := &rl.timers
	if !t.cancelExpiresAt.IsZero() {
		return
	}
	t.cancelExpiresAt = now.Add(cancelGrace)
	conn := rl.request.conn
	conn.Taint()
	if rl.session.cancelDone != nil {
		return
	}
	done := make(chan struct{})
	rl.session.cancelDone = done
	pool := rl.session.server.pool
	go func() {
		defer close(done)
		_ = pool.Cancel(ctx, conn)
	}()
}

// -----------------------------------------------------------------------------
// Checks of silent connections.

// startCheck asks the database on a new connection how many statements it is
// running.
func (rl *relay) startCheck(ctx context.Context) {
	rl.timers.checkRunning = true
	silenceChecks.Add(1)
	s, req := rl.session, rl.request
	databaseID, attempt, since := req.dispatch.Database, req.attempt, rl.timers.lastReadAt
	done := s.server.trackGoroutine()
	go func() {
		defer done()
		running, err := s.server.pool.RunningStatements(ctx, databaseID, since, checkTimeout)
		s.mailbox.post(checkResult{request: req, attempt: uint32(attempt), runningStatements: running, err: err})
	}()
}

// handleCheckResult evaluates a check. A database that does not answer says
// nothing about this connection, and a database that runs statements may be
// running this one.
func (rl *relay) handleCheckResult(c checkResult, now time.Time) {
	if c.request != rl.request || c.attempt != uint32(rl.request.attempt) {
		return
	}
	t := &rl.timers
	t.checkRunning = false
	t.databaseResponsive = c.err == nil
	t.silenceThreshold *= silenceThresholdGrowth
	if c.err == nil && c.runningStatements == 0 {
		t.closeAt = now.Add(confirmDelay)
	}
}

// closeUnresponsive gives up a connection that has no running statement and
// receives no bytes. It also closes the idle connections that may have become
// unresponsive before it.
func (rl *relay) closeUnresponsive(now time.Time) result {
	silentClosed.Add(1)
	rl.session.server.pool.CloseIdle(rl.request.conn, rl.timers.lastReadAt)
	rl.session.server.logEvent(event.ConnectionSilent,
		"session", rl.session.id, "request", rl.request.id, "database", rl.request.dispatch.Database,
		"silence", now.Sub(rl.timers.lastReadAt))
	return resultConnectionLost{unresponsive: true}
}

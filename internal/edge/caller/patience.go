package caller

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// cancelGrace is the time that a database has to answer after a cancel
	// request.
	cancelGrace = time.Second
	// checkTimeout bounds the check of a silent connection.
	checkTimeout = 2 * time.Second
	// confirmDelay is the time between the finding that a silent connection
	// has no statement running and its closing: an answer that was on its way
	// has arrived by then.
	confirmDelay = 100 * time.Millisecond
	// checkGrowth is the factor between one check and the next.
	checkGrowth = 2
)

// timers tells when the relay has to look up from reading.
type timers struct {
	// reads and heard tell how many reads had brought bytes, and when.
	reads uint64
	heard time.Time
	// suspect is the silence after which the next check is due.
	suspect time.Duration
	// checking says that a check is running.
	checking bool
	// confirm is when a silent connection is closed unless it speaks before;
	// zero where no check has found it mute.
	confirm time.Time
	// silent says that the last check found the database answering.
	silent bool
	// watch is when the caller's connection is watched; zero once it is.
	watch time.Time
	// kill is when the connection is closed, after a cancel request; zero
	// where none was sent.
	kill time.Time
}

// checked tells a session what the check of a silent connection has found.
type checked struct {
	request *request
	attempt uint32
	busy    int
	err     error
}

// begin starts the timers of an exchange.
func (y *relay) begin(now time.Time) {
	y.times = timers{
		reads:   y.r.conn.Reader.ReadCount(),
		heard:   now,
		suspect: y.r.dispatch.SilenceTimeout,
		watch:   now.Add(watchDelay),
	}
	y.rearm()
}

// rearm bounds the reads of the backend connection by the next timer.
func (y *relay) rearm() { y.s.mailbox.read(y.r.conn, y.next()) }

// next returns when the first timer is due.
func (y *relay) next() time.Time {
	t := &y.times
	due := y.r.dispatch.Deadline
	if !t.kill.IsZero() {
		due = t.kill
	}
	if t.suspect > 0 && !t.checking && t.confirm.IsZero() {
		due = earlier(due, t.heard.Add(t.suspect))
	}
	due = earlier(due, t.confirm)
	return earlier(due, t.watch)
}

// earlier returns the earlier of two times, of which b may be none.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// receive reads the next frame of the backend connection. Meanwhile it hears
// what the core says, and sees to the timers.
func (y *relay) receive(ctx context.Context) (postgres.Frame, result) {
	for {
		frame, err := y.r.conn.Reader.Next()
		if err == nil {
			return frame, nil
		}
		if !isTimeout(err) {
			return frame, resultLost{}
		}
		end := y.lookUp(ctx, time.Now())
		if end != nil {
			return frame, end
		}
		y.rearm()
	}
}

// lookUp acts on what is due.
func (y *relay) lookUp(ctx context.Context, now time.Time) result {
	if ctx.Err() != nil {
		return resultUnread{cause: errEnding}
	}
	end := y.hear(ctx, now)
	if end != nil {
		return end
	}
	t := &y.times
	if reads := y.r.conn.Reader.ReadCount(); reads != t.reads {
		t.reads = reads
		t.heard = now
		t.suspect = y.r.dispatch.SilenceTimeout
		t.confirm = time.Time{}
	}
	if !t.watch.IsZero() && !now.Before(t.watch) {
		t.watch = time.Time{}
		y.s.startWatch()
	}
	if !t.confirm.IsZero() && !now.Before(t.confirm) {
		return y.closeSilent(now)
	}
	if t.suspect > 0 && !t.checking && t.confirm.IsZero() && !now.Before(t.heard.Add(t.suspect)) {
		y.check(ctx)
	}
	return y.lookAtDeadline(ctx, now)
}

// lookAtDeadline cancels the statement at the deadline, and gives the
// connection up where the database does not answer that either.
func (y *relay) lookAtDeadline(ctx context.Context, now time.Time) result {
	t := &y.times
	if t.kill.IsZero() {
		if !now.Before(y.r.dispatch.Deadline) {
			deadlineCancels.Add(1)
			y.interrupt(ctx, now)
		}
		return nil
	}
	if now.Before(t.kill) {
		return nil
	}
	return resultLost{silent: t.silent}
}

// hear takes what others have to say to a running exchange.
func (y *relay) hear(ctx context.Context, now time.Time) result {
	for {
		item, ok := y.s.mailbox.take()
		if !ok {
			return nil
		}
		switch item := item.(type) {
		case message.CancelStatement:
			if item.Request == y.r.id && item.Attempt == y.r.attempt {
				y.interrupt(ctx, now)
			}
		case message.CloseConnection:
			if item.Request == y.r.id && item.Attempt == y.r.attempt {
				return resultLost{}
			}
		case message.AbortRequest:
			if item.Request == y.r.id {
				return resultStopped{problem: abandonProblem(item)}
			}
		case message.RefuseRequest:
			if item.Request == y.r.id {
				return resultStopped{problem: refusalProblem(item)}
			}
		case callerGone:
			y.s.withdraw(y.r)
		case checked:
			y.takeCheck(item, now)
		}
	}
}

// interrupt asks the database, once, to cancel the running statement. The
// connection is not used again afterwards: the request might come late.
func (y *relay) interrupt(ctx context.Context, now time.Time) {
	t := &y.times
	if !t.kill.IsZero() {
		return
	}
	t.kill = now.Add(cancelGrace)
	conn := y.r.conn
	conn.Taint()
	if y.s.canceling != nil {
		return
	}
	ended := make(chan struct{})
	y.s.canceling = ended
	pool := y.s.edge.pool
	go func() {
		defer close(ended)
		_ = pool.Cancel(ctx, conn)
	}()
}

// -----------------------------------------------------------------------------
// Silent connections.

// check asks the database on a new connection whether it is alive and runs
// anything at all.
func (y *relay) check(ctx context.Context) {
	y.times.checking = true
	silenceChecks.Add(1)
	s, r := y.s, y.r
	database, attempt, since := r.dispatch.Database, r.attempt, y.times.heard
	ended := s.edge.background()
	go func() {
		defer ended()
		busy, err := s.edge.pool.RunningStatements(ctx, database, since, checkTimeout)
		s.mailbox.post(checked{request: r, attempt: uint32(attempt), busy: busy, err: err})
	}()
}

// takeCheck judges the finding. A database that does not answer at all says
// nothing about this connection; one that runs statements may run this one.
func (y *relay) takeCheck(c checked, now time.Time) {
	if c.request != y.r || c.attempt != uint32(y.r.attempt) {
		return
	}
	t := &y.times
	t.checking = false
	t.silent = c.err == nil
	t.suspect *= checkGrowth
	if c.err == nil && c.busy == 0 {
		t.confirm = now.Add(confirmDelay)
	}
}

// closeSilent gives up a connection on which nothing runs and nothing comes,
// and with it the idle ones that may have gone silent before it.
func (y *relay) closeSilent(now time.Time) result {
	silentClosed.Add(1)
	y.s.edge.pool.CloseIdle(y.r.conn, y.times.heard)
	y.s.edge.note(event.ConnectionSilent,
		"session", y.s.id, "request", y.r.id, "database", y.r.dispatch.Database,
		"silence", now.Sub(y.times.heard))
	return resultLost{silent: true}
}

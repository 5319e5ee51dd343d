package session

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
)

// -----------------------------------------------------------------------------
// The stages of the end of a server, and what its sessions wait for.

// stage is how far a server has ended. The restrictions of a stage hold in all later
// ones.
type stage int

// The values of stage.
const (
	stageServing stage = iota
	// stageDraining: no further session is accepted, and sessions are closed whenever
	// they are idle outside transactions.
	stageDraining
	// stageEnding: open transactions are rolled back, and statements are answered
	// without a database.
	stageEnding
	// stageClosing: sessions are closed whenever they wait for a request, and requests
	// that are being served are interrupted.
	stageClosing
	// stageClosed: all connections have been closed.
	stageClosed
)

// phase is the current activity of a session.
type phase int

// The values of phase.
const (
	phaseServing phase = iota
	// phaseIdle: the session waits for a request, outside any transaction.
	phaseIdle
	// phaseIdleInTransaction: the session waits for a request, inside a transaction.
	phaseIdleInTransaction
	// phaseIdleInFailedTransaction: the session waits for a request, inside a
	// transaction that has failed.
	phaseIdleInFailedTransaction
)

// record is the current phase of a session.
type record struct {
	phase phase
	// since is the time at which the wait for a request began. It is zero in
	// phaseServing.
	since time.Time
	// interrupted is set when the server has interrupted the wait for a request.
	interrupted bool
}

// startWaiting records that a session starts to wait for a request, and sets the
// deadline of the wait: after limit if isLimited is true, otherwise none, and a time in
// the past if the server's stage allows no wait.
func (s *Server) startWaiting(ses *session, limit time.Duration, isLimited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := &record{phase: phaseIdle, since: clock.Now()}
	switch {
	case ses.hasOpenTransaction():
		waiting.phase = phaseIdleInTransaction
	case ses.transaction != nil:
		waiting.phase = phaseIdleInFailedTransaction
	}
	s.sessions[ses] = waiting
	deadline := time.Time{}
	if isLimited {
		deadline = time.Now().Add(limit)
	}
	_ = ses.conn.SetReadDeadline(deadline)
	if s.mustEndWait(waiting.phase) || waiting.phase == phaseIdle && ses.isRevoked() {
		interruptWait(ses, waiting)
	}
}

// stopWaiting records that a session no longer waits for a request, sets the deadline for
// reading one, and reports whether the server has interrupted the wait.
func (s *Server) stopWaiting(ses *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	interrupted := s.sessions[ses].interrupted
	s.sessions[ses] = &record{phase: phaseServing}
	timeout := requestTimeout
	if s.stage >= stageClosing {
		timeout = lastRequestTimeout
	}
	_ = ses.conn.SetReadDeadline(time.Now().Add(timeout))
	return interrupted
}

// mustEndWait reports whether no session may stay in a phase at the server's stage. The
// caller holds s.mu.
func (s *Server) mustEndWait(p phase) bool {
	switch p {
	case phaseIdle:
		return s.stage >= stageDraining
	case phaseIdleInTransaction:
		return s.stage >= stageEnding
	case phaseIdleInFailedTransaction:
		return s.stage >= stageClosing
	case phaseServing:
	}
	return false
}

// interruptWait interrupts a session's wait for a request. The caller holds the mutex of
// the server.
func interruptWait(ses *session, waiting *record) {
	waiting.interrupted = true
	_ = ses.conn.SetReadDeadline(time.Unix(1, 0))
}

// enter raises the server's stage, and interrupts the waits that it does not allow.
func (s *Server) enter(next stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage = max(s.stage, next)
	for ses, current := range s.sessions {
		switch {
		case s.mustEndWait(current.phase):
			interruptWait(ses, current)
		case s.stage >= stageClosing:
			_ = ses.conn.SetReadDeadline(time.Now().Add(lastRequestTimeout))
		}
	}
}

// hasReached reports whether the server is at the given stage or a later one.
func (s *Server) hasReached(reached stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage >= reached
}

// StartDraining closes idle sessions, now and as soon as another becomes idle.
func (s *Server) StartDraining() { s.enter(stageDraining) }

// CloseIdleSessions closes the sessions that have been idle for minIdleTime, so that
// their callers reconnect to an instance that is ready.
func (s *Server) CloseIdleSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for ses, current := range s.sessions {
		if current.phase == phaseIdle && now.Sub(current.since) >= minIdleTime {
			interruptWait(ses, current)
		}
	}
}

// AwaitDrained waits until no session remains, for limit at most.
func (s *Server) AwaitDrained(limit time.Duration) {
	for start := clock.Now(); clock.Since(start) < limit && s.SessionCount() > 0; {
		time.Sleep(drainPollInterval)
	}
}

// EndSessions ends all sessions, so that each request that was read gets an answer. No
// further statement is sent to a database: open transactions are rolled back, and their
// callers are told so with the answer to their next statement. After interruptAfter, the
// requests that their databases have not answered are interrupted, and answered with what
// is known of them; idle sessions are closed. It returns once no session remains, at the
// latest after closeAfter.
func (s *Server) EndSessions(interruptAfter, closeAfter time.Duration) {
	start := clock.Now()
	s.enter(stageEnding)
	s.AwaitDrained(interruptAfter)
	s.enter(stageClosing)
	s.interruptRequests()
	s.AwaitDrained(closeAfter - clock.Since(start))
}

// closeAll closes the connections of all sessions that remain, and those whose startup
// message has not been read.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage = stageClosed
	for ses := range s.sessions {
		_ = ses.conn.Close()
	}
	for conn := range s.starting {
		_ = conn.Close()
	}
}

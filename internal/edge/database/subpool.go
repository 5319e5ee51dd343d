package database

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// subpool holds the connections to one database.
type subpool struct {
	pool     *Pool
	database model.DatabaseID

	mu sync.Mutex
	// currentTarget is the target set last: the address, the connection limit and
	// whether the database is draining.
	currentTarget message.DatabaseTarget
	// removed is true if the database is no longer among the targets.
	removed bool
	// openCount is the number of connections, including those that are being
	// opened or closed.
	openCount int
	// idle holds the idle connections, with the one used last at the end.
	idle []*Conn
	// waiters holds one channel for each waiting call of acquire, in order of
	// arrival. The waiter receives a connection, or nil when it should try
	// again.
	waiters []chan *Conn
	// activeCheck is the check that is running, or nil.
	activeCheck *activityCheck
}

func newSubpool(pool *Pool, database model.DatabaseID) *subpool {
	return &subpool{pool: pool, database: database}
}

// -----------------------------------------------------------------------------
// Acquiring and releasing.

// acquire implements Pool.Acquire.
func (s *subpool) acquire(ctx context.Context, expires time.Time) (*Conn, time.Duration, error) {
	for {
		conn, mayOpen, acquireErr := s.takeOrReserve()
		if acquireErr != nil {
			return nil, 0, acquireErr
		}
		if mayOpen {
			return s.openReserved(ctx, expires)
		}
		if conn == nil {
			var err error
			conn, err = s.wait(ctx, expires)
			if err != nil {
				return nil, 0, err
			}
		}
		// A nil connection from wait means that the loop has to try again: a
		// connection may be opened, or the target has changed.
		if conn != nil && s.checkOrClose(conn) {
			return conn, 0, nil
		}
	}
}

// takeOrReserve returns an idle connection if there is one. Otherwise, if the
// limit allows another connection, it counts one as open and returns true; the
// caller must then open it. If neither is possible, it returns nil and false.
// The error reports that the database is draining or was removed.
func (s *subpool) takeOrReserve() (*Conn, bool, *AcquireError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed || s.currentTarget.Leaving {
		return nil, false, &AcquireError{Database: s.database, Reason: message.NotStartedShuttingDown}
	}
	if n := len(s.idle); n > 0 {
		conn := s.idle[n-1]
		s.idle[n-1] = nil
		s.idle = s.idle[:n-1]
		return conn, false, nil
	}
	if s.openCount < s.currentTarget.Connections {
		s.openCount++
		return nil, true, nil
	}
	return nil, false, nil
}

// openReserved opens a connection. takeOrReserve has already counted it as open; if
// opening fails, openReserved counts it as closed. It returns the time that opening
// took, also with an error.
func (s *subpool) openReserved(ctx context.Context, expires time.Time) (*Conn, time.Duration, error) {
	startedAt := time.Now()
	conn, err := s.connect(ctx, expires)
	openTime := time.Since(startedAt)
	if err != nil {
		s.countClosed()
		openFailures.Add(1)
		return nil, openTime, &AcquireError{Database: s.database, Reason: notStartedReason(err), Cause: err}
	}
	openedConnections.Add(1)
	return conn, openTime, nil
}

// wait waits for a connection that another holder returns. A nil connection
// without an error means that the caller should try again.
func (s *subpool) wait(ctx context.Context, expires time.Time) (*Conn, error) {
	waiter := make(chan *Conn, 1)
	s.mu.Lock()
	if len(s.idle) > 0 || s.openCount < s.currentTarget.Connections {
		s.mu.Unlock()
		return nil, nil
	}
	s.waiters = append(s.waiters, waiter)
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(expires))
	defer timer.Stop()
	var cause error
	select {
	case conn := <-waiter:
		return conn, nil
	case <-timer.C:
	case <-ctx.Done():
		cause = ctx.Err()
	}
	s.cancelWait(waiter)
	return nil, &AcquireError{Database: s.database, Reason: message.NotStartedTooManyConnections, Cause: cause}
}

// cancelWait removes a waiter. If something was sent to the waiter meanwhile, it
// passes that on: a connection to the pool, a nil to the next waiter.
func (s *subpool) cancelWait(waiter chan *Conn) {
	s.mu.Lock()
	for i, other := range s.waiters {
		if other == waiter {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	conn := <-waiter
	if conn != nil {
		s.put(conn)
		return
	}
	s.wakeNextWaiter()
}

// put passes a connection to the first waiter, or keeps it as idle. It closes
// the connection if the database has been removed, is draining or has another
// address, or if the limit is exceeded.
func (s *subpool) put(conn *Conn) {
	s.mu.Lock()
	moved := conn.address != s.currentTarget.Address
	if s.removed || s.currentTarget.Leaving || moved || s.openCount > s.currentTarget.Connections {
		s.mu.Unlock()
		conn.terminate()
		s.countClosed()
		return
	}
	if len(s.waiters) > 0 {
		waiter := s.waiters[0]
		s.waiters = s.waiters[1:]
		s.mu.Unlock()
		waiter <- conn
		return
	}
	s.idle = append(s.idle, conn)
	s.mu.Unlock()
}

// countClosed counts a connection as closed and wakes the next waiter.
func (s *subpool) countClosed() {
	s.mu.Lock()
	s.openCount--
	s.mu.Unlock()
	s.wakeNextWaiter()
}

// wakeNextWaiter wakes the first waiter if a connection may be opened, or if the
// waiter has to fail because the database is draining or was removed.
func (s *subpool) wakeNextWaiter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) == 0 {
		return
	}
	if s.openCount >= s.currentTarget.Connections && !s.removed && !s.currentTarget.Leaving {
		return
	}
	waiter := s.waiters[0]
	s.waiters = s.waiters[1:]
	waiter <- nil
}

// checkOrClose checks an idle connection and reports whether it can be used. It
// closes the connection if it is broken. If the connection does not answer the query
// that checks it after a long idle time, checkOrClose also closes all connections
// that were idle for as long.
func (s *subpool) checkOrClose(conn *Conn) bool {
	if !conn.isSocketIdle() {
		staleConnections.Add(1)
		conn.close()
		s.countClosed()
		return false
	}
	if time.Since(conn.idleSince) < idleCheckThreshold {
		return true
	}
	if conn.answersEmptyQuery(idleCheckTimeout) {
		return true
	}
	staleConnections.Add(1)
	conn.close()
	s.countClosed()
	// Connections that were idle for as long are probably lost for the same
	// reason.
	s.closeIdle(conn.idleSince)
	return false
}

// -----------------------------------------------------------------------------
// Targets.

func (s *subpool) target() message.DatabaseTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentTarget
}

// setTarget replaces the target. It closes idle connections that the new target
// does not allow, and wakes all waiters.
func (s *subpool) setTarget(target message.DatabaseTarget) {
	s.mu.Lock()
	moved := s.currentTarget.Address.IsValid() && s.currentTarget.Address != target.Address
	s.currentTarget = target
	s.removed = false
	s.mu.Unlock()
	if target.Leaving || moved {
		s.closeIdle(time.Now())
	}
	s.trim()
	s.wakeAllWaiters()
}

// trim closes idle connections while the limit is exceeded.
func (s *subpool) trim() {
	for {
		s.mu.Lock()
		if s.openCount <= s.currentTarget.Connections || len(s.idle) == 0 {
			s.mu.Unlock()
			return
		}
		conn := s.idle[0]
		s.idle = s.idle[1:]
		s.mu.Unlock()
		conn.terminate()
		s.countClosed()
	}
}

// isDrained reports whether the database was removed and all its connections are
// closed.
func (s *subpool) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removed && s.openCount == 0
}

// markRemoved marks the database as removed: it closes the idle connections and lets
// all waiting and later calls of acquire fail.
func (s *subpool) markRemoved() {
	s.mu.Lock()
	s.removed = true
	s.mu.Unlock()
	s.closeIdle(time.Now())
	s.wakeAllWaiters()
}

// wakeAllWaiters lets all waiters try again.
func (s *subpool) wakeAllWaiters() {
	s.mu.Lock()
	waiters := s.waiters
	s.waiters = nil
	s.mu.Unlock()
	for _, waiter := range waiters {
		waiter <- nil
	}
}

// closeIdle closes the connections that have been idle since cutoff or longer.
func (s *subpool) closeIdle(cutoff time.Time) {
	s.mu.Lock()
	kept := s.idle[:0]
	var expired []*Conn
	for _, conn := range s.idle {
		if conn.idleSince.After(cutoff) {
			kept = append(kept, conn)
			continue
		}
		expired = append(expired, conn)
	}
	clear(s.idle[len(kept):])
	s.idle = kept
	s.mu.Unlock()
	for _, conn := range expired {
		conn.terminate()
		s.countClosed()
	}
}

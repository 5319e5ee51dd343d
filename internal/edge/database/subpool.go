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

	mu      sync.Mutex
	current message.DatabaseTarget
	retired bool
	// open counts the connections that exist, those being opened included.
	open int
	// idle holds the free ones, the one used last at the end.
	idle []*Conn
	// waiting holds those who wait for a connection, in order of arrival.
	waiting []chan *Conn
	// checking is the check that is running, or nil.
	checking *check
}

func newSubpool(pool *Pool, database model.DatabaseID) *subpool {
	return &subpool{pool: pool, database: database}
}

// -----------------------------------------------------------------------------
// Taking and giving back.

// acquire returns a connection that is fit for use.
func (s *subpool) acquire(ctx context.Context, expires time.Time) (*Conn, time.Duration, error) {
	for {
		conn, mayOpen, why := s.take()
		if why != nil {
			return nil, 0, why
		}
		if mayOpen {
			return s.openOne(ctx, expires)
		}
		if conn == nil {
			var err error
			conn, err = s.wait(ctx, expires)
			if err != nil {
				return nil, 0, err
			}
		}
		// A nil connection from wait says that room came free.
		if conn != nil && s.isFit(conn) {
			return conn, 0, nil
		}
	}
}

// take returns an idle connection, or the right to open one, or neither.
func (s *subpool) take() (*Conn, bool, *AcquireError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired || s.current.Leaving {
		return nil, false, &AcquireError{Database: s.database, Reason: message.NotStartedShuttingDown}
	}
	if n := len(s.idle); n > 0 {
		conn := s.idle[n-1]
		s.idle[n-1] = nil
		s.idle = s.idle[:n-1]
		return conn, false, nil
	}
	if s.open < s.current.Connections {
		s.open++
		return nil, true, nil
	}
	return nil, false, nil
}

func (s *subpool) openOne(ctx context.Context, expires time.Time) (*Conn, time.Duration, error) {
	begun := time.Now()
	conn, err := s.connect(ctx, expires)
	opened := time.Since(begun)
	if err != nil {
		s.forget()
		openFailures.Add(1)
		return nil, opened, &AcquireError{Database: s.database, Reason: refusedWhy(err), Cause: err}
	}
	opens.Add(1)
	return conn, opened, nil
}

// wait returns what comes free first. A nil connection says that there is room
// for a new one.
func (s *subpool) wait(ctx context.Context, expires time.Time) (*Conn, error) {
	turn := make(chan *Conn, 1)
	s.mu.Lock()
	if len(s.idle) > 0 || s.open < s.current.Connections {
		s.mu.Unlock()
		return nil, nil
	}
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(expires))
	defer timer.Stop()
	var cause error
	select {
	case conn := <-turn:
		return conn, nil
	case <-timer.C:
	case <-ctx.Done():
		cause = ctx.Err()
	}
	s.withdraw(turn)
	return nil, &AcquireError{Database: s.database, Reason: message.NotStartedTooManyConnections, Cause: cause}
}

// withdraw gives up a turn; what has come with it meanwhile goes on.
func (s *subpool) withdraw(turn chan *Conn) {
	s.mu.Lock()
	for i, other := range s.waiting {
		if other == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	conn := <-turn
	if conn != nil {
		s.put(conn)
		return
	}
	s.callNext()
}

// put gives an idle connection to the first who waits, or keeps it.
func (s *subpool) put(conn *Conn) {
	s.mu.Lock()
	moved := conn.address != s.current.Address
	if s.retired || s.current.Leaving || moved || s.open > s.current.Connections {
		s.mu.Unlock()
		conn.terminate()
		s.forget()
		return
	}
	if len(s.waiting) > 0 {
		turn := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.mu.Unlock()
		turn <- conn
		return
	}
	s.idle = append(s.idle, conn)
	s.mu.Unlock()
}

// forget counts a connection as closed and calls the next who waits.
func (s *subpool) forget() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	s.callNext()
}

// callNext tells the first who waits that there is room.
func (s *subpool) callNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return
	}
	if s.open >= s.current.Connections && !s.retired && !s.current.Leaving {
		return
	}
	turn := s.waiting[0]
	s.waiting = s.waiting[1:]
	turn <- nil
}

// isFit looks at an idle connection and closes it where it is broken.
func (s *subpool) isFit(conn *Conn) bool {
	if !conn.isQuiet() {
		staleFound.Add(1)
		conn.close()
		s.forget()
		return false
	}
	if time.Since(conn.idle) < idleCheck {
		return true
	}
	if conn.answers(idleAnswer) {
		return true
	}
	staleFound.Add(1)
	conn.close()
	s.forget()
	// Others that were idle as long are most likely lost by the same cause.
	s.closeIdle(conn.idle)
	return false
}

// -----------------------------------------------------------------------------
// Targets.

func (s *subpool) target() message.DatabaseTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *subpool) set(target message.DatabaseTarget) {
	s.mu.Lock()
	moved := s.current.Address.IsValid() && s.current.Address != target.Address
	s.current = target
	s.retired = false
	s.mu.Unlock()
	if target.Leaving || moved {
		s.closeIdle(time.Now())
	}
	s.trim()
	s.callAll()
}

// trim closes idle connections above the limit.
func (s *subpool) trim() {
	for {
		s.mu.Lock()
		if s.open <= s.current.Connections || len(s.idle) == 0 {
			s.mu.Unlock()
			return
		}
		conn := s.idle[0]
		s.idle = s.idle[1:]
		s.mu.Unlock()
		conn.terminate()
		s.forget()
	}
}

// isGone reports whether nothing is left of a database that was taken away.
func (s *subpool) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retired && s.open == 0
}

// retire closes what is idle and refuses everything else.
func (s *subpool) retire() {
	s.mu.Lock()
	s.retired = true
	s.mu.Unlock()
	s.closeIdle(time.Now())
	s.callAll()
}

// callAll lets those who wait look again.
func (s *subpool) callAll() {
	s.mu.Lock()
	waiting := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	for _, turn := range waiting {
		turn <- nil
	}
}

// closeIdle closes the connections that are idle since before that time.
func (s *subpool) closeIdle(before time.Time) {
	s.mu.Lock()
	kept := s.idle[:0]
	var gone []*Conn
	for _, conn := range s.idle {
		if conn.idle.After(before) {
			kept = append(kept, conn)
			continue
		}
		gone = append(gone, conn)
	}
	clear(s.idle[len(kept):])
	s.idle = kept
	s.mu.Unlock()
	for _, conn := range gone {
		conn.terminate()
		s.forget()
	}
}

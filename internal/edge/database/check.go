package database

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// statusColumns is the number of columns of a status row, and busyColumn
	// the place of the number of running statements in it.
	statusColumns = 11
	busyColumn    = 10
	// checkSamples is how often a check looks for a moment in which nothing
	// runs, and checkPause the time between two looks.
	checkSamples = 10
	checkPause   = 10 * time.Millisecond
)

// check is one check of a database, which several may wait for.
type check struct {
	begun time.Time
	done  chan struct{}
	busy  int
	err   error
}

// RunningStatements asks a database on a new connection how many statements it is running,
// several times, and returns the least. The question takes no slot: a database
// that is merely busy answers it. Where it returns zero, a statement that was
// sent before since was not running at that moment. Checks of one database at
// the same time are one. Its error is a *UnresponsiveError: the database does not
// answer at all.
func (p *Pool) RunningStatements(ctx context.Context, database model.DatabaseID, since time.Time, timeout time.Duration) (int, error) {
	s := p.subpool(database)
	if s == nil {
		return 0, &UnresponsiveError{Database: database, Cause: &StatusDecodeError{Detail: "not known"}}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		running, mine := s.joinCheck()
		if mine {
			s.runCheck(ctx, running)
			return running.busy, running.err
		}
		select {
		case <-running.done:
		case <-ctx.Done():
			return 0, &UnresponsiveError{Database: database, Cause: ctx.Err()}
		}
		if !running.begun.Before(since) {
			return running.busy, running.err
		}
	}
}

// joinCheck returns the check that is running, or a new one that the caller has
// to run.
func (s *subpool) joinCheck() (*check, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checking != nil {
		return s.checking, false
	}
	s.checking = &check{begun: time.Now(), done: make(chan struct{})}
	return s.checking, true
}

func (s *subpool) runCheck(ctx context.Context, c *check) {
	var err error
	c.busy, err = s.askBusy(ctx)
	if err != nil {
		c.err = &UnresponsiveError{Database: s.database, Cause: err}
	}
	s.mu.Lock()
	s.checking = nil
	s.mu.Unlock()
	close(c.done)
}

// askBusy returns the least number of running statements in several looks.
func (s *subpool) askBusy(ctx context.Context) (int, error) {
	opened, err := s.pool.open(ctx, s.target(), map[string]string{"group_control": "on"})
	if err != nil {
		return 0, err
	}
	conn, err := pgconn.Construct(opened)
	if err != nil {
		_ = opened.Conn.Close()
		return 0, err
	}
	defer func() { _ = conn.Close(ctx) }()
	least, err := lookBusy(ctx, conn)
	for range checkSamples - 1 {
		if err != nil || least == 0 {
			return least, err
		}
		select {
		case <-time.After(checkPause):
		case <-ctx.Done():
			return least, ctx.Err()
		}
		var busy int
		busy, err = lookBusy(ctx, conn)
		least = min(least, busy)
	}
	return least, err
}

func lookBusy(ctx context.Context, conn *pgconn.PgConn) (int, error) {
	results, err := conn.Exec(ctx, "CALL group_status()").ReadAll()
	if err != nil {
		return 0, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) < statusColumns {
		return 0, &StatusDecodeError{Detail: "not one row of its columns"}
	}
	return strconv.Atoi(string(results[0].Rows[0][busyColumn]))
}

package database

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// statusColumnCount is the number of columns of a status row, and
	// runningStatementsColumn the index of the number of running statements
	// in it.
	statusColumnCount       = 11
	runningStatementsColumn = 10
	// checkSamples is the number of status queries in one check, which looks
	// for a moment at which no statement runs. checkSampleInterval is the
	// pause between two of them.
	checkSamples        = 10
	checkSampleInterval = 10 * time.Millisecond
)

// activityCheck is one check whether a database is running statements. Several
// callers may wait for the same check.
type activityCheck struct {
	startedAt         time.Time
	done              chan struct{}
	runningStatements int
	err               error
}

// RunningStatements opens a new connection to a database, queries several times
// how many statements it is running, and returns the lowest number. The queries
// take no slot, so a database answers them also when all its slots are in use.
// If the result is zero, a statement that was sent before sentBefore was not
// running at the time of that query. Concurrent calls for one database share one
// check, unless it started before sentBefore: such a check is waited for, and
// then another one is run. The error is an *UnresponsiveError: the database gave
// no readable answer on a new connection within timeout.
func (p *Pool) RunningStatements(ctx context.Context, database model.DatabaseID, sentBefore time.Time, timeout time.Duration) (int, error) {
	s := p.subpool(database)
	if s == nil {
		return 0, &UnresponsiveError{Database: database, Cause: &StatusDecodeError{Detail: "the database is not in the list of databases"}}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		current, created := s.joinCheck()
		if created {
			s.runCheck(ctx, current)
			return current.runningStatements, current.err
		}
		select {
		case <-current.done:
		case <-ctx.Done():
			return 0, &UnresponsiveError{Database: database, Cause: ctx.Err()}
		}
		if !current.startedAt.Before(sentBefore) {
			return current.runningStatements, current.err
		}
	}
}

// joinCheck returns the check that is running and false, or a new check and
// true; the caller must run a new check by runCheck.
func (s *subpool) joinCheck() (*activityCheck, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeCheck != nil {
		return s.activeCheck, false
	}
	s.activeCheck = &activityCheck{startedAt: time.Now(), done: make(chan struct{})}
	return s.activeCheck, true
}

// runCheck runs c, then wakes all that wait for it.
func (s *subpool) runCheck(ctx context.Context, c *activityCheck) {
	var err error
	c.runningStatements, err = s.leastRunningStatements(ctx)
	if err != nil {
		c.err = &UnresponsiveError{Database: s.database, Cause: err}
	}
	s.mu.Lock()
	s.activeCheck = nil
	s.mu.Unlock()
	close(c.done)
}

// leastRunningStatements returns the lowest number of running statements that
// was found in checkSamples queries. It stops at the first zero.
func (s *subpool) leastRunningStatements(ctx context.Context) (int, error) {
	hijacked, err := s.pool.open(ctx, s.target(), map[string]string{"group_control": "on"})
	if err != nil {
		return 0, err
	}
	conn, err := pgconn.Construct(hijacked)
	if err != nil {
		_ = hijacked.Conn.Close()
		return 0, err
	}
	defer func() { _ = conn.Close(ctx) }()
	least, err := queryRunningStatements(ctx, conn)
	for range checkSamples - 1 {
		if err != nil || least == 0 {
			return least, err
		}
		select {
		case <-time.After(checkSampleInterval):
		case <-ctx.Done():
			return least, ctx.Err()
		}
		var running int
		running, err = queryRunningStatements(ctx, conn)
		least = min(least, running)
	}
	return least, err
}

// queryRunningStatements returns the number of running statements of one status
// row.
func queryRunningStatements(ctx context.Context, conn *pgconn.PgConn) (int, error) {
	results, err := conn.Exec(ctx, "CALL group_status()").ReadAll()
	if err != nil {
		return 0, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) < statusColumnCount {
		return 0, &StatusDecodeError{Detail: "expected one row with all status columns"}
	}
	return strconv.Atoi(string(results[0].Rows[0][runningStatementsColumn]))
}

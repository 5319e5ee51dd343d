package database

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// statusColumns is the number of columns of a status row, and busyColumn the
// place of the number of running statements in it.
const (
	statusColumns = 11
	busyColumn    = 10
)

// Check asks a database on a new connection how many statements it is running.
// The question takes no slot: a database that is merely busy answers it. Its
// error is a *CheckError: the database does not answer at all.
func (p *Pool) Check(ctx context.Context, database model.DatabaseID, timeout time.Duration) (int, error) {
	s := p.subpool(database)
	if s == nil {
		return 0, &CheckError{Database: database, Cause: &StatusError{Detail: "not known"}}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	busy, err := s.askBusy(ctx)
	if err != nil {
		return 0, &CheckError{Database: database, Cause: err}
	}
	return busy, nil
}

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
	results, err := conn.Exec(ctx, "CALL group_status()").ReadAll()
	if err != nil {
		return 0, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) < statusColumns {
		return 0, &StatusError{Detail: "not one row of its columns"}
	}
	return strconv.Atoi(string(results[0].Rows[0][busyColumn]))
}

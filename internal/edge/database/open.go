package database

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/socket"
)

// SQLSTATEs of a database that refuses a connection.
const (
	stateTooMany       = "53300"
	stateShutdown      = "57P01"
	stateCrashShutdown = "57P02"
	stateCannotConnect = "57P03"
)

// settings are what pgconn reads before it is told the address. The files are
// named so that nothing on the instance has a say in it.
const settings = "host=127.0.0.1 port=5432 user=eelgrassfold sslmode=disable" +
	" passfile=/nonexistent servicefile=/nonexistent"

// open connects to a target and goes through the startup. The connection and
// its authentication are pgconn's; from there on frames are read as they are.
func (p *Pool) open(ctx context.Context, target message.DatabaseTarget, parameters map[string]string) (*pgconn.HijackedConn, error) {
	config, err := pgconn.ParseConfig(settings)
	if err != nil {
		return nil, err
	}
	config.Host = target.Address.Addr().String()
	config.Port = target.Address.Port()
	config.User = p.options.User
	config.Password = p.options.Password
	config.Database = string(target.Group)
	config.TLSConfig = p.options.TLS
	config.Fallbacks = nil
	config.RuntimeParams = parameters
	config.DialFunc = socket.Dial
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	connected, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	return connected.Hijack()
}

// connect opens a data connection for the pool.
func (s *subpool) connect(ctx context.Context, expires time.Time) (*Conn, error) {
	limit := time.Now().Add(openTimeout)
	if expires.Before(limit) {
		limit = expires
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	target := s.target()
	opened, err := s.pool.open(ctx, target, map[string]string{"application_name": "eelgrassfold"})
	if err != nil {
		return nil, err
	}
	conn := &Conn{
		Database: s.database,
		Reader:   postgres.NewRetainingReader(opened.Conn, s.pool.options.MaxMessageBytes),
		State:    SessionState{PreparedStatements: map[string]struct{}{}},
		net:      opened.Conn,
		subpool:  s,
		address:  target.Address,
		process:  opened.PID,
		secret:   opened.SecretKey,
	}
	conn.watchSocket()
	return conn, nil
}

// refusedWhy tells what a failed connect means.
func refusedWhy(err error) message.NotStartedReason {
	var answer *pgconn.PgError
	if !errors.As(err, &answer) {
		return message.NotStartedUnreachable
	}
	switch answer.Code {
	case stateTooMany:
		return message.NotStartedTooManyConnections
	case stateShutdown, stateCrashShutdown, stateCannotConnect:
		return message.NotStartedShuttingDown
	}
	return message.NotStartedUnreachable
}

// Cancel asks the database to cancel the statement that runs on c, on a
// connection of its own, and waits until the database has taken the request.
// The caller must have marked c with Taint before.
func (p *Pool) Cancel(ctx context.Context, c *Conn) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	conn, err := socket.Dial(ctx, "tcp", c.address.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request := pgproto3.CancelRequest{ProcessID: c.process, SecretKey: c.secret}
	packet, err := request.Encode(nil)
	if err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(cancelTimeout))
	_, err = conn.Write(packet)
	if err != nil {
		return err
	}
	// The database closes the connection once it has taken the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

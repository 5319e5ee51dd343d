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

// SQLSTATEs with which a database rejects a connection.
const (
	sqlStateTooManyConnections = "53300"
	sqlStateAdminShutdown      = "57P01"
	sqlStateCrashShutdown      = "57P02"
	sqlStateCannotConnectNow   = "57P03"
)

// baseConnString is the configuration that pgconn parses before open sets the
// address and the credentials. It names password and service files that do not
// exist, so that no file of the host affects the connection.
const baseConnString = "host=127.0.0.1 port=5432 user=eelgrassfold sslmode=disable" +
	" passfile=/nonexistent servicefile=/nonexistent"

// open connects to a target and completes the startup phase. It uses pgconn for
// connecting and for authentication, then takes the connection over from pgconn,
// so that the caller reads and writes raw frames.
func (p *Pool) open(ctx context.Context, target message.DatabaseTarget, parameters map[string]string) (*pgconn.HijackedConn, error) {
	config, err := pgconn.ParseConfig(baseConnString)
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
	config.DialFunc = p.dial
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	pgConn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	// If a write took long, pgconn may still read in the background, and would take
	// the first bytes that the database sends from the new owner of the connection.
	if err := pgConn.SyncConn(ctx); err != nil {
		_ = pgConn.Conn().Close()
		return nil, err
	}
	return pgConn.Hijack()
}

// connect opens a data connection to the database. It fails after openTimeout or
// at expires, whichever is first.
func (s *subpool) connect(ctx context.Context, expires time.Time) (*Conn, error) {
	deadline := time.Now().Add(openTimeout)
	if expires.Before(deadline) {
		deadline = expires
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	target := s.target()
	hijacked, err := s.pool.open(ctx, target, map[string]string{"application_name": "eelgrassfold"})
	if err != nil {
		return nil, err
	}
	conn := &Conn{
		Database:  s.database,
		Reader:    postgres.NewRetainingReader(hijacked.Conn, s.pool.options.MaxMessageBytes),
		State:     SessionState{PreparedStatements: map[string]struct{}{}},
		netConn:   hijacked.Conn,
		subpool:   s,
		address:   target.Address,
		processID: hijacked.PID,
		secretKey: hijacked.SecretKey,
	}
	conn.preparePeek()
	return conn, nil
}

// notStartedReason maps an error of connect to the reason that is reported.
func notStartedReason(err error) message.NotStartedReason {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return message.NotStartedUnreachable
	}
	switch pgErr.Code {
	case sqlStateTooManyConnections:
		return message.NotStartedTooManyConnections
	case sqlStateAdminShutdown, sqlStateCrashShutdown, sqlStateCannotConnectNow:
		return message.NotStartedShuttingDown
	}
	return message.NotStartedUnreachable
}

// Cancel sends a cancel request for the statement that is running on c, over a
// separate connection, and waits until the database has read the request. Taint
// must have been called on c before.
func (p *Pool) Cancel(ctx context.Context, c *Conn) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	conn, err := socket.Dial(ctx, "tcp", c.address.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request := pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}
	packet, err := request.Encode(nil)
	if err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(cancelTimeout))
	_, err = conn.Write(packet)
	if err != nil {
		return err
	}
	// The database closes the connection once it has read the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

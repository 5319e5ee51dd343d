package load

import (
	"context"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Names of startup parameters and settings of the proxy, and the application name.
const (
	settingToken   = "eelgrassfold.token"
	settingRoaming = "eelgrassfold.roaming"
	applicationTag = "standin load"
)

// -----------------------------------------------------------------------------
// Connections.

// session is a caller's session with one connection to each address that it uses. It
// carries the session token from one connection to another.
type session struct {
	options Options
	conns   map[netip.AddrPort]*pgx.Conn
	token   model.Token
}

func newSession(options Options) *session {
	return &session{options: options, conns: map[netip.AddrPort]*pgx.Conn{}}
}

// conn returns an open connection to an address, and connects if there is none.
func (s *session) conn(ctx context.Context, address netip.AddrPort) (*pgx.Conn, error) {
	if conn := s.conns[address]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	config, err := s.config(address)
	if err != nil {
		return nil, err
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	s.conns[address] = conn
	return conn, nil
}

// config returns the configuration of a new connection, with the current session token
// among its startup parameters.
func (s *session) config(address netip.AddrPort) (*pgx.ConnConfig, error) {
	connectionURL := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(s.options.User, s.options.Password),
		Host:     address.String(),
		Path:     "/" + string(s.options.Group),
		RawQuery: "sslmode=disable",
	}
	config, err := pgx.ParseConfig(connectionURL.String())
	if err != nil {
		return nil, errors.Wrap(err, "parse connection settings")
	}
	config.RuntimeParams["application_name"] = applicationTag
	if !s.token.Position.IsZero() {
		config.RuntimeParams[settingToken] = s.token.String()
	}
	if s.options.RotateAddresses {
		config.RuntimeParams[settingRoaming] = "on"
	}
	switch {
	case s.options.SimpleProtocol:
		config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	case s.options.RotateAddresses:
		// The comment differs between statements, so a prepared statement would
		// never be used again.
		config.DefaultQueryExecMode = pgx.QueryExecModeExec
	}
	return config, nil
}

// updateToken replaces the session token by the one that a connection reports, if that
// one is newer.
func (s *session) updateToken(conn *pgx.Conn) {
	reported := conn.PgConn().ParameterStatus(settingToken)
	if reported == "" {
		return
	}
	token, err := model.ParseToken(reported)
	if err == nil && s.token.Position.Less(token.Position) {
		s.token = token
	}
}

func (s *session) close() {
	for _, conn := range s.conns {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		_ = conn.Close(ctx)
		cancel()
	}
}

// closeTimeout bounds the time that closing a connection may take.
const closeTimeout = time.Second

// -----------------------------------------------------------------------------
// Comments.

// withComment appends a comment in the sqlcommenter form to a statement. The comment
// holds the kind, the deadline and, if addresses rotate, the session token.
func (s *session) withComment(sql string, kind Kind) string {
	pairs := []string{commentPair("kind", kind.Name)}
	if kind.Deadline > 0 {
		pairs = append(pairs, commentPair("deadline", kind.Deadline.String()))
	}
	if s.options.RotateAddresses && !s.token.Position.IsZero() {
		pairs = append(pairs, commentPair("token", s.token.String()))
	}
	return sql + " /*" + strings.Join(pairs, ",") + "*/"
}

// commentPair formats one key and value of a comment.
func commentPair(key, value string) string { return key + "='" + url.PathEscape(value) + "'" }

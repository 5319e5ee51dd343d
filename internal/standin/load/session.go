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

// Names that the proxy knows.
const (
	settingToken   = "eelgrassfold.token"
	settingRoaming = "eelgrassfold.roaming"
	applicationTag = "standin load"
)

// -----------------------------------------------------------------------------
// Connections.

// session is a caller's session over one connection to each address that it
// uses. It carries the session token from one to the other.
type session struct {
	options Options
	conns   map[netip.AddrPort]*pgx.Conn
	token   model.Token
}

func newSession(options Options) *session {
	return &session{options: options, conns: map[netip.AddrPort]*pgx.Conn{}}
}

// conn returns an open connection to an address.
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

func (s *session) config(address netip.AddrPort) (*pgx.ConnConfig, error) {
	place := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(s.options.User, s.options.Password),
		Host:     address.String(),
		Path:     "/" + string(s.options.Group),
		RawQuery: "sslmode=disable",
	}
	config, err := pgx.ParseConfig(place.String())
	if err != nil {
		return nil, errors.Wrap(err, "connection settings")
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
		// The comments differ from statement to statement, so preparing them
		// would be in vain.
		config.DefaultQueryExecMode = pgx.QueryExecModeExec
	}
	return config, nil
}

// learn takes the session token that a connection reports, where it is newer.
func (s *session) learn(conn *pgx.Conn) {
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

// closeTimeout bounds the time that a connection's end may take.
const closeTimeout = time.Second

// -----------------------------------------------------------------------------
// Comments.

// commented appends a comment in the sqlcommenter form to a statement.
func (s *session) commented(sql string, kind Kind) string {
	pairs := []string{pair("kind", kind.Name)}
	if kind.Deadline > 0 {
		pairs = append(pairs, pair("deadline", kind.Deadline.String()))
	}
	if s.options.RotateAddresses && !s.token.Position.IsZero() {
		pairs = append(pairs, pair("token", s.token.String()))
	}
	return sql + " /*" + strings.Join(pairs, ",") + "*/"
}

func pair(key, value string) string { return key + "='" + url.PathEscape(value) + "'" }

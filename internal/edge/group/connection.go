package group

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// maxAnswer bounds one message of a database on a control connection, in
// bytes.
const maxAnswer = 1 << 20

// -----------------------------------------------------------------------------
// Control connections.

// connection is one open control connection. One goroutine uses it.
type connection struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	// used says that a statement was answered on it before.
	used bool
	// release takes away the hook that closes conn when the context ends.
	release func() bool
}

// countedConn counts the bytes of all control connections.
type countedConn struct{ net.Conn }

// Read implements net.Conn.
func (c countedConn) Read(body []byte) (int, error) {
	n, err := c.Conn.Read(body)
	counters.Add("received.bytes", int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(body []byte) (int, error) {
	n, err := c.Conn.Write(body)
	counters.Add("sent.bytes", int64(n))
	return n, err
}

// target is where a database's control connections go.
type target struct {
	database model.DatabaseID
	group    model.GroupID
	address  netip.AddrPort
}

// open connects to a database and logs in until expires. The connection
// closes itself when ctx ends.
func open(ctx context.Context, to target, options Options, expires time.Time) (*connection, error) {
	dialer := net.Dialer{Deadline: expires}
	dialed, err := dialer.DialContext(ctx, "tcp", to.address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	conn := countedConn{dialed}
	c := &connection{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	c.release = context.AfterFunc(ctx, func() { _ = conn.Close() })
	c.frontend.SetMaxBodyLen(maxAnswer)
	if err := c.login(to, options, expires); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *connection) close() {
	c.release()
	_ = c.conn.Close()
}

func (c *connection) login(to target, options Options, expires time.Time) error {
	if err := c.conn.SetDeadline(expires); err != nil {
		return errors.WithStack(err)
	}
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             options.User,
			"database":         string(to.group),
			"application_name": "eelgrassfold",
			"group_control":    "on",
		},
	})
	if err := c.frontend.Flush(); err != nil {
		return errors.WithStack(err)
	}
	return c.awaitReady(options.Password)
}

// awaitReady answers what the database asks of the startup message.
func (c *connection) awaitReady(password string) error {
	for {
		answer, err := c.frontend.Receive()
		if err != nil {
			return errors.WithStack(err)
		}
		switch answer := answer.(type) {
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.AuthenticationOk, *pgproto3.ParameterStatus, *pgproto3.BackendKeyData,
			*pgproto3.NoticeResponse, *pgproto3.NegotiateProtocolVersion:
			continue
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: password})
			if err := c.frontend.Flush(); err != nil {
				return errors.WithStack(err)
			}
		case *pgproto3.ErrorResponse:
			return &StatementError{SQLState: answer.Code, Message: answer.Message}
		default:
			return &ProtocolError{Step: "startup", MessageType: fmt.Sprintf("%T", answer)}
		}
	}
}

// send writes a statement.
func (c *connection) send(statement string, expires time.Time) error {
	if err := c.conn.SetDeadline(expires); err != nil {
		return errors.WithStack(err)
	}
	c.frontend.Send(&pgproto3.Query{String: statement})
	return errors.WithStack(c.frontend.Flush())
}

// receive reads the whole answer to one statement. A *StatementError leaves
// the connection usable; any other error does not.
func (c *connection) receive() (*row, error) {
	var names []string
	var found *row
	var refusal error
	for {
		answer, err := c.frontend.Receive()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		switch answer := answer.(type) {
		case *pgproto3.RowDescription:
			names = columnNames(answer)
		case *pgproto3.DataRow:
			if found != nil || len(answer.Values) != len(names) {
				return nil, &ProtocolError{Step: "answer", MessageType: "a row too many or of another length"}
			}
			found = newRow(names, answer.Values)
		case *pgproto3.ErrorResponse:
			refusal = &StatementError{SQLState: answer.Code, Message: answer.Message}
		case *pgproto3.ReadyForQuery:
			return c.finish(found, refusal)
		case *pgproto3.CommandComplete, *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
			continue
		default:
			return nil, &ProtocolError{Step: "answer", MessageType: fmt.Sprintf("%T", answer)}
		}
	}
}

func (c *connection) finish(found *row, refusal error) (*row, error) {
	c.used = true
	if refusal != nil {
		return nil, refusal
	}
	if found == nil {
		return nil, &ProtocolError{Step: "answer", MessageType: "no row"}
	}
	return found, nil
}

func columnNames(description *pgproto3.RowDescription) []string {
	names := make([]string, 0, len(description.Fields))
	for _, field := range description.Fields {
		names = append(names, string(field.Name))
	}
	return names
}

func newRow(names []string, values [][]byte) *row {
	r := &row{values: map[string]string{}}
	for i, value := range values {
		r.values[names[i]] = string(value)
	}
	return r
}

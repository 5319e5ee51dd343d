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

// maxMessageBytes is the size limit of one message from a database on a control
// connection, in bytes.
const maxMessageBytes = 1 << 20

// -----------------------------------------------------------------------------
// Control connections.

// connection is one open control connection. Only one goroutine uses it.
type connection struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	// hasAnswered is true if a statement has been answered on the connection.
	hasAnswered bool
	// stopCloseOnCancel removes the hook that closes conn when the context ends.
	stopCloseOnCancel func() bool
}

// countingConn adds the bytes that it receives and sends to the metrics of all
// control connections.
type countingConn struct{ net.Conn }

// Read implements net.Conn.
func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	counters.Add("received.bytes", int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	counters.Add("sent.bytes", int64(n))
	return n, err
}

// target is a database to which control connections are opened.
type target struct {
	database model.DatabaseID
	group    model.GroupID
	address  netip.AddrPort
}

// open connects to a database and completes the startup phase, or fails at
// expires. The connection is closed when ctx ends.
func open(ctx context.Context, destination target, options Options, expires time.Time) (*connection, error) {
	dialer := net.Dialer{Deadline: expires}
	netConn, err := dialer.DialContext(ctx, "tcp", destination.address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	conn := countingConn{netConn}
	c := &connection{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	c.stopCloseOnCancel = context.AfterFunc(ctx, func() { _ = conn.Close() })
	c.frontend.SetMaxBodyLen(maxMessageBytes)
	if err := c.login(destination, options, expires); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *connection) close() {
	c.stopCloseOnCancel()
	_ = c.conn.Close()
}

func (c *connection) login(destination target, options Options, expires time.Time) error {
	if err := c.conn.SetDeadline(expires); err != nil {
		return errors.WithStack(err)
	}
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             options.User,
			"database":         string(destination.group),
			"application_name": "eelgrassfold",
			"group_control":    "on",
		},
	})
	if err := c.frontend.Flush(); err != nil {
		return errors.WithStack(err)
	}
	return c.awaitReady(options.Password)
}

// awaitReady reads messages until the database is ready for a query, and sends the
// password if the database asks for it. It returns a *StatementError if the
// database rejects the connection.
func (c *connection) awaitReady(password string) error {
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return errors.WithStack(err)
		}
		switch msg := msg.(type) {
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
			return &StatementError{SQLState: msg.Code, Message: msg.Message}
		default:
			return &ProtocolError{Step: "startup", MessageType: fmt.Sprintf("%T", msg)}
		}
	}
}

// send sends a statement. It also sets the deadline for its answer.
func (c *connection) send(statement string, expires time.Time) error {
	if err := c.conn.SetDeadline(expires); err != nil {
		return errors.WithStack(err)
	}
	c.frontend.Send(&pgproto3.Query{String: statement})
	return errors.WithStack(c.frontend.Flush())
}

// receive reads the complete answer to one statement, which must be one row. After
// a *StatementError the connection is still usable; after an I/O error or an
// unexpected message it is not.
func (c *connection) receive() (*row, error) {
	var names []string
	var result *row
	var statementErr error
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.RowDescription:
			names = columnNames(msg)
		case *pgproto3.DataRow:
			if result != nil || len(msg.Values) != len(names) {
				return nil, &ProtocolError{Step: "answer", MessageType: "second row, or row with another number of columns,"}
			}
			result = newRow(names, msg.Values)
		case *pgproto3.ErrorResponse:
			statementErr = &StatementError{SQLState: msg.Code, Message: msg.Message}
		case *pgproto3.ReadyForQuery:
			return c.finishAnswer(result, statementErr)
		case *pgproto3.CommandComplete, *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
			continue
		default:
			return nil, &ProtocolError{Step: "answer", MessageType: fmt.Sprintf("%T", msg)}
		}
	}
}

// finishAnswer returns the result of an answer that was read to its end.
func (c *connection) finishAnswer(result *row, statementErr error) (*row, error) {
	c.hasAnswered = true
	if statementErr != nil {
		return nil, statementErr
	}
	if result == nil {
		return nil, &ProtocolError{Step: "answer", MessageType: "no row"}
	}
	return result, nil
}

func columnNames(description *pgproto3.RowDescription) []string {
	names := make([]string, 0, len(description.Fields))
	for _, field := range description.Fields {
		names = append(names, string(field.Name))
	}
	return names
}

// newRow returns the row whose columns have these names and values.
func newRow(names []string, values [][]byte) *row {
	r := &row{values: map[string]string{}}
	for i, value := range values {
		r.values[names[i]] = string(value)
	}
	return r
}

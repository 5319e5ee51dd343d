package backend

import (
	"context"
	"errors"
	"maps"
	"net"
	"strconv"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/socket"
)

// Variables are the variables of a session: their values by name.
type Variables map[string]string

// Equal reports whether both have the same names and values.
func (v Variables) Equal(other Variables) bool { return maps.Equal(v, other) }

// Conn is one connection to a database. It may be used by one goroutine at a time.
type Conn struct {
	target placement.Database
	// tenant is the one that the connection was opened for.
	tenant model.TenantID
	net    net.Conn
	codec  Codec
	// variables are those set on the connection. prepared maps each prepared
	// access and template to the statement's name on the connection. Both hold what
	// the database has acknowledged.
	variables Variables
	prepared  map[string]string
	// stateBytes is the size of the variables and prepared statements.
	stateBytes int
	// nameCount is the number of names given to prepared statements so far. The
	// next name is made from it.
	nameCount int
	// transactionState is that of the last answer.
	transactionState statement.TransactionState
	// isStateUnknown is set once the variables or prepared statements of the
	// connection may differ from those recorded here, or an answer was not read.
	isStateUnknown bool
	lastUsedAt     time.Time
	// onClose is called when the connection is closed; only its first call counts.
	onClose func()
}

// Target returns the database at the other end.
func (c *Conn) Target() placement.Database { return c.target }

// Run sends a request and returns its answer. timeout bounds the exchange, by the
// process's own clock, and so does the end of ctx. Its error is a *ConnectionLostError.
func (c *Conn) Run(ctx context.Context, timeout time.Duration, request statement.Request) (*Reply, error) {
	replies, err := c.exchange(ctx, timeout, []statement.Request{request})
	if err != nil {
		return nil, err
	}
	reply := &replies[0]
	if reply.Failure != nil && reply.Failure.Code == statement.CodePreparedStatementNotFound {
		c.isStateUnknown = true
	}
	return reply, nil
}

// exchange sends requests together and reads their answers. After a failure it
// returns the replies read so far along with the error.
func (c *Conn) exchange(ctx context.Context, timeout time.Duration, requests []statement.Request) ([]Reply, error) {
	replies := make([]Reply, 0, len(requests))
	lost := func(cause error) ([]Reply, error) {
		c.isStateUnknown = true
		return replies, &ConnectionLostError{Database: c.target.ID, Cause: cause}
	}
	if c.codec.HasUnread() {
		return lost(&UnexpectedMessageError{})
	}
	if err := c.net.SetDeadline(time.Now().Add(timeout)); err != nil {
		return lost(err)
	}
	stopInterrupt := interruptAtEnd(ctx, c.net)
	defer func() {
		if !stopInterrupt() {
			c.isStateUnknown = true
		}
	}()
	if err := c.codec.Send(requests); err != nil {
		return lost(err)
	}
	for _, request := range requests {
		reply, err := c.codec.Receive(request)
		if err != nil {
			return lost(err)
		}
		reply.ReceivedAt = clock.Now()
		c.transactionState = reply.TransactionState
		replies = append(replies, reply)
	}
	return replies, nil
}

// Extend gives the exchange that runs a further time from now on.
func (c *Conn) Extend(timeout time.Duration) error {
	return c.net.SetDeadline(time.Now().Add(timeout))
}

// interruptAtEnd interrupts what waits for a connection once ctx ends. The returned
// function stops that; it reports false if ctx has ended, so that the deadline of the
// connection may be changed at any moment.
func interruptAtEnd(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
}

// NeedsRollback reports whether a transaction has to be rolled back before another
// session may use the connection. A connection whose state is not known is closed
// instead, which rolls back too.
func (c *Conn) NeedsRollback() bool { return c.inTransaction() && !c.isStateUnknown }

func (c *Conn) inTransaction() bool { return c.transactionState != statement.TransactionStateIdle }

// isReusable reports whether another session may use the connection. One whose state is
// large is closed instead, since it would hold that for as long as it is idle.
func (c *Conn) isReusable() bool {
	return !c.isStateUnknown && !c.inTransaction() && c.stateBytes <= maxStateBytes
}

// -----------------------------------------------------------------------------
// Synchronization with the state of a session.

// SessionState is the state that a connection must have for a session's next
// statement.
type SessionState struct {
	Variables Variables
	// Prepared is the prepared statement that the statement executes, or nil.
	Prepared *statement.Prepare
	// Begin opens the transaction to which the statement belongs. It is nil if the
	// transaction is open already, and for a statement outside any.
	Begin *statement.Request
}

// Synchronize brings the connection into the given state, and returns once the
// database has acknowledged all of it. The session's statement must not be sent
// before: a database may refuse any request and run the next one. The connection is
// reset first if it has other variables, or if it has maxPreparedStatements prepared
// statements, which the reset removes too. Inside a transaction the connection is
// not reset, which is safe because a session can't remove a variable there.
// Its error is a *SyncError.
func (c *Conn) Synchronize(ctx context.Context, timeout time.Duration, wanted SessionState) error {
	requests := c.missing(wanted)
	if len(requests) == 0 {
		return nil
	}
	replies, err := c.exchange(ctx, timeout, requests)
	var refusal *Reply
	for i := range replies {
		switch failure := replies[i].Failure; {
		case failure == nil:
			c.record(requests[i].Statement)
			continue
		case !failure.Code.GuaranteesNotExecuted():
			c.isStateUnknown = true
		}
		if refusal == nil {
			refusal = &replies[i]
		}
	}
	switch {
	case err != nil:
		return &SyncError{Cause: err}
	case refusal != nil:
		return &SyncError{Refusal: refusal, Cause: refusal.Failure}
	default:
		return nil
	}
}

// missing returns the requests that bring the connection into the given state.
func (c *Conn) missing(wanted SessionState) []statement.Request {
	var requests []statement.Request
	variables, prepared := c.variables, c.prepared
	if !c.inTransaction() && (c.hasExtraVariables(wanted.Variables) || len(c.prepared) >= maxPreparedStatements || c.stateBytes > maxStateBytes) {
		requests = append(requests, statement.Request{Statement: statement.Discard{}})
		variables, prepared = nil, nil
	}
	for name, value := range wanted.Variables {
		if current, found := variables[name]; !found || current != value {
			requests = append(requests, statement.Request{Statement: statement.Set{Name: name, Value: value}})
		}
	}
	if wanted.Prepared != nil {
		if _, found := prepared[preparedKey(wanted.Prepared.Access, wanted.Prepared.Template)]; !found {
			c.nameCount++
			requests = append(requests, statement.Request{Statement: statement.Prepare{
				Name: "s" + strconv.Itoa(c.nameCount), Access: wanted.Prepared.Access, Template: wanted.Prepared.Template,
			}})
		}
	}
	if wanted.Begin != nil {
		requests = append(requests, *wanted.Begin)
	}
	return requests
}

// record notes a change of the connection's state that the database has
// acknowledged.
func (c *Conn) record(s statement.Statement) {
	switch s := s.(type) {
	case statement.Discard:
		clear(c.prepared)
		c.variables = nil
		c.stateBytes = 0
	case statement.Set:
		if c.variables == nil {
			c.variables = Variables{}
		}
		c.variables[s.Name] = s.Value
		c.stateBytes += len(s.Name) + len(s.Value)
	case statement.Prepare:
		c.prepared[preparedKey(s.Access, s.Template)] = s.Name
		c.stateBytes += len(s.Template)
	}
}

// hasExtraVariables reports whether a variable is set on the connection that is not
// among variables. Only a reset of the connection removes it.
func (c *Conn) hasExtraVariables(variables Variables) bool {
	for name := range c.variables {
		if _, found := variables[name]; !found {
			return true
		}
	}
	return false
}

// PreparedName returns the name of a prepared statement on a connection that is
// synchronized with it.
func (c *Conn) PreparedName(prepare statement.Prepare) string {
	return c.prepared[preparedKey(prepare.Access, prepare.Template)]
}

func preparedKey(access model.Access, template string) string {
	return strconv.Itoa(int(access)) + template
}

// -----------------------------------------------------------------------------
// The end of a connection.

// Close closes the connection at once. The database then rolls back an open
// transaction.
func (c *Conn) Close() {
	_ = c.net.Close()
	if c.onClose != nil {
		c.onClose()
	}
}

// isOpen reports whether the connection is still usable, as far as this end knows.
// An open idle connection has nothing to read, so that data or end of file in the
// receive buffer means that the connection can't be used.
func (c *Conn) isOpen() bool { return !c.codec.HasUnread() && !socket.HasUnread(c.net) }

// ConnectError reports that a connection to a database could not be opened.
type ConnectError struct {
	Database model.DatabaseID
	Cause    error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return "no connection to database " + string(e.Database) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// ConnectionLostError reports that a connection to a database broke, or that an
// answer did not arrive in time.
type ConnectionLostError struct {
	Database model.DatabaseID
	Cause    error
}

// Error implements error.
func (e *ConnectionLostError) Error() string {
	return "the connection to database " + string(e.Database) + " was lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// IsTimeout reports whether the cause is an answer that did not arrive in time.
func (e *ConnectionLostError) IsTimeout() bool {
	var netErr net.Error
	return errors.As(e.Cause, &netErr) && netErr.Timeout()
}

// SyncError reports that a connection could not be brought into the state of a
// session, so that the session's statement was not sent.
type SyncError struct {
	// Refusal is the first answer with a failure. It is nil if the connection was
	// lost.
	Refusal *Reply
	// Cause is a *ConnectionLostError, or the failure of Refusal.
	Cause error
}

// Error implements error.
func (e *SyncError) Error() string {
	return "the connection could not be synchronized with the session: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Cause }

// UnexpectedMessageError reports a message of a database that answers no request.
type UnexpectedMessageError struct{}

// Error implements error.
func (e *UnexpectedMessageError) Error() string {
	return "the database sent a message that answers no request"
}

package backend

import (
	"errors"
	"maps"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

// Variables are the variables of a session: their values by name.
type Variables map[string]string

// Equal reports whether both have the same names and values.
func (v Variables) Equal(other Variables) bool { return maps.Equal(v, other) }

// Conn is one connection to a database. It may be used by one goroutine at a time.
type Conn struct {
	target placement.Database
	net    net.Conn
	codec  Codec
	// variables are those set on the connection. prepared maps each prepared
	// access and template to the statement's name on the connection.
	variables Variables
	prepared  map[string]string
	// nameCount is the number of names given to prepared statements so far. The
	// next name is made from it.
	nameCount  int
	lastUsedAt time.Time
}

// Target returns the database at the other end.
func (c *Conn) Target() placement.Database { return c.target }

// Exchange sends requests together and reads their answers. timeout bounds the
// whole exchange, by the process's own clock. After a failure it returns the
// replies read so far along with the error, which is a *ConnectionLostError.
func (c *Conn) Exchange(timeout time.Duration, requests []statement.Request) ([]Reply, error) {
	if err := c.net.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, &ConnectionLostError{Database: c.target.ID, Cause: err}
	}
	if err := c.codec.Send(requests); err != nil {
		return nil, &ConnectionLostError{Database: c.target.ID, Cause: err}
	}
	replies := make([]Reply, 0, len(requests))
	for _, request := range requests {
		reply, err := c.codec.Receive(request)
		if err != nil {
			return replies, &ConnectionLostError{Database: c.target.ID, Cause: err}
		}
		reply.ReceivedAt = clock.Now()
		replies = append(replies, reply)
	}
	return replies, nil
}

// SyncVariables returns the requests that set the given variables on the
// connection, and records them as carried out: if one of them fails, the
// connection has to be closed. The connection is reset first if it has other
// variables, or if it has maxPreparedStatements prepared statements, which the
// reset removes too. Inside a transaction the connection is not reset, which is safe
// because a session can't remove a variable there.
func (c *Conn) SyncVariables(variables Variables, inTransaction bool) []statement.Request {
	var requests []statement.Request
	if !inTransaction && (c.hasExtraVariables(variables) || len(c.prepared) >= maxPreparedStatements) {
		requests = append(requests, statement.Request{Statement: statement.Discard{}})
		clear(c.prepared)
		c.variables = nil
	}
	for name, value := range variables {
		if current, found := c.variables[name]; found && current == value {
			continue
		}
		if c.variables == nil {
			c.variables = Variables{}
		}
		c.variables[name] = value
		requests = append(requests, statement.Request{Statement: statement.Set{Name: name, Value: value}})
	}
	return requests
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

// EnsurePrepared returns the name of a prepared statement on the connection, and
// the request that prepares it if the connection does not have it yet.
func (c *Conn) EnsurePrepared(prepare statement.Prepare) (string, []statement.Request) {
	key := strconv.Itoa(int(prepare.Access)) + prepare.Template
	if name, found := c.prepared[key]; found {
		return name, nil
	}
	c.nameCount++
	name := "s" + strconv.Itoa(c.nameCount)
	c.prepared[key] = name
	return name, []statement.Request{{Statement: statement.Prepare{Name: name, Access: prepare.Access, Template: prepare.Template}}}
}

// Close closes the connection at once. The database then rolls back an open
// transaction.
func (c *Conn) Close() { _ = c.net.Close() }

// isOpen reports whether the connection is still usable, as far as this end knows.
// An open idle connection has nothing to read, so that data or end of file in the
// receive buffer means that the connection can't be used.
func (c *Conn) isOpen() bool {
	// The deadline of the last exchange may have passed, which would fail the read.
	if c.net.SetDeadline(time.Time{}) != nil {
		return false
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		// The receive buffer can't be examined, so nothing shows that the connection
		// is unusable.
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

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

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

// Variables are the values of a session, by name.
type Variables map[string]string

// Equal reports whether two sessions have the same values.
func (v Variables) Equal(other Variables) bool { return maps.Equal(v, other) }

// Conn is one connection to a database. It is for one goroutine at a time.
type Conn struct {
	target placement.Database
	net    net.Conn
	wire   Codec
	// values and prepared are what the connection has; prepared holds the name
	// under which each access and shape is known.
	values   Variables
	prepared map[string]string
	// names counts the names given to prepared statements.
	names int
	used  time.Time
}

// Target returns the database at the other end.
func (c *Conn) Target() placement.Database { return c.target }

// Exchange sends calls together and reads their answers until deadline, by the
// process's own clock. The replies read before a failure are returned with it;
// its errors are *ConnectionLostError.
func (c *Conn) Exchange(timeout time.Duration, calls []statement.Request) ([]Reply, error) {
	if err := c.net.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, &ConnectionLostError{Database: c.target.ID, Cause: err}
	}
	if err := c.wire.Send(calls); err != nil {
		return nil, &ConnectionLostError{Database: c.target.ID, Cause: err}
	}
	replies := make([]Reply, 0, len(calls))
	for _, call := range calls {
		reply, err := c.wire.Receive(call)
		if err != nil {
			return replies, &ConnectionLostError{Database: c.target.ID, Cause: err}
		}
		reply.ReceivedAt = clock.Now()
		replies = append(replies, reply)
	}
	return replies, nil
}

// SyncVariables returns the calls that give the connection the values, and counts them
// as done: where one fails, the connection has to be closed. Inside a
// transaction nothing is cleared; a session's values only grow there.
func (c *Conn) SyncVariables(values Variables, inTransaction bool) []statement.Request {
	var calls []statement.Request
	if !inTransaction && (c.hasForeign(values) || len(c.prepared) >= preparedKept) {
		calls = append(calls, statement.Request{Statement: statement.Discard{}})
		clear(c.prepared)
		c.values = nil
	}
	for name, value := range values {
		if known, found := c.values[name]; found && known == value {
			continue
		}
		if c.values == nil {
			c.values = Variables{}
		}
		c.values[name] = value
		calls = append(calls, statement.Request{Statement: statement.Set{Name: name, Value: value}})
	}
	return calls
}

// hasForeign reports whether the connection has a value that is not among
// values, which only clearing takes away.
func (c *Conn) hasForeign(values Variables) bool {
	for name := range c.values {
		if _, found := values[name]; !found {
			return true
		}
	}
	return false
}

// EnsurePrepared returns the name under which the connection knows a statement, and
// the call that prepares it where there is need of one.
func (c *Conn) EnsurePrepared(wanted statement.Prepare) (string, []statement.Request) {
	key := strconv.Itoa(int(wanted.Access)) + wanted.Template
	if name, found := c.prepared[key]; found {
		return name, nil
	}
	c.names++
	name := "s" + strconv.Itoa(c.names)
	c.prepared[key] = name
	return name, []statement.Request{{Statement: statement.Prepare{Name: name, Access: wanted.Access, Template: wanted.Template}}}
}

// Close closes the connection at once; the database rolls back what is open.
func (c *Conn) Close() { _ = c.net.Close() }

// isOpen reports whether the other end has not closed the connection, as far
// as this end knows: there is nothing to read from an idle connection.
func (c *Conn) isOpen() bool {
	// The deadline of the last exchange may have passed, and would end the look.
	if c.net.SetDeadline(time.Time{}) != nil {
		return false
	}
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// ConnectError reports that no connection to a database could be opened.
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

// ConnectionLostError reports that a connection to a database broke, or that an answer
// did not come in time.
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

// IsTimeout reports whether an answer did not come in time.
func (e *ConnectionLostError) IsTimeout() bool {
	var failed net.Error
	return errors.As(e.Cause, &failed) && failed.Timeout()
}

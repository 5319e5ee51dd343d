package database

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
)

// Conn is a data connection to a database. It belongs to the pool while it is
// idle, and to one holder from Acquire to Release or Discard.
type Conn struct {
	// Database is the database at the other end.
	Database model.DatabaseID
	// Reader splits the database's answers into protocol frames.
	Reader *postgres.Reader
	// State is the session state at the database's end of the connection.
	State SessionState

	netConn   net.Conn
	subpool   *subpool
	address   netip.AddrPort
	processID uint32
	secretKey []byte
	idleSince time.Time
	tainted   bool
	// writeDeadline is the write deadline that is set on netConn. It is extended
	// only when too little of it remains, which is cheaper than setting a
	// deadline for each write.
	writeDeadline time.Time

	// rawConn, peekSocket, peekErr and peekBuffer are used by isSocketIdle;
	// rawConn is nil if the connection is not a plain socket (such as TLS).
	rawConn    syscall.RawConn
	peekSocket func(fd uintptr)
	peekErr    error
	peekBuffer [1]byte
}

// SessionState is the session state at the database's end of a connection. The
// holder of the connection keeps it up to date; the pool does not read it.
type SessionState struct {
	// GroupWork is the value of the setting group_work.
	GroupWork string
	// GroupRead is true if the setting group_read is on.
	GroupRead bool
	// GroupSettingsUncertain is true if GroupWork and GroupRead may not be in
	// force, because the transaction that set them has failed.
	GroupSettingsUncertain bool
	// PreparedStatements holds the names of the prepared statements.
	PreparedStatements map[string]struct{}
	// CallerSettings is the text of the callers' session variables that are in
	// force, or empty if there are none. Sessions with equal settings share the
	// connection.
	CallerSettings string
	// NeedsReset is true if the connection has to be reset before its next use.
	NeedsReset bool
}

// Write sends all of b, or fails after between one and two times the timeout. It
// returns how many bytes the operating system has accepted; if that is zero,
// nothing was sent.
func (c *Conn) Write(b []byte, timeout time.Duration) (int, error) {
	now := time.Now()
	remaining := c.writeDeadline.Sub(now)
	if remaining < timeout || remaining > 2*timeout {
		c.writeDeadline = now.Add(2 * timeout)
		err := c.netConn.SetWriteDeadline(c.writeDeadline)
		if err != nil {
			return 0, err
		}
	}
	return c.netConn.Write(b)
}

// SetReadDeadline sets the deadline for reads by Reader. It may be called from
// any goroutine and also applies to a read that is already blocked.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.netConn.SetReadDeadline(t) }

// Taint marks the connection as not to be reused after its current statement.
// It is needed for a connection for which a cancel request was sent: the request
// might arrive late and cancel the next statement.
func (c *Conn) Taint() { c.tainted = true }

// IsTainted reports whether Taint was called.
func (c *Conn) IsTainted() bool { return c.tainted }

// close closes the connection without sending a Terminate message.
func (c *Conn) close() {
	_ = c.netConn.Close()
	c.Reader.Close()
}

// terminate sends a Terminate message, as the protocol requires, and closes the
// connection.
func (c *Conn) terminate() {
	message, _ := (&pgproto3.Terminate{}).Encode(nil)
	_ = c.netConn.SetWriteDeadline(time.Now().Add(terminateTimeout))
	_, _ = c.netConn.Write(message)
	c.close()
}

// isSocketIdle reports whether, as far as this end can tell, the connection is
// open and there is no unread data from the database. It costs one system call.
func (c *Conn) isSocketIdle() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	err := c.rawConn.Control(c.peekSocket)
	return err == nil && errors.Is(c.peekErr, syscall.EAGAIN)
}

// preparePeek prepares isSocketIdle. A connection that is not a plain socket is
// left without it, since its socket can't be peeked at.
func (c *Conn) preparePeek() {
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	c.rawConn = raw
	c.peekSocket = func(fd uintptr) {
		_, _, c.peekErr = syscall.Recvfrom(int(fd), c.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
}

// answersEmptyQuery reports whether the database answers an empty query on the
// connection within timeout.
func (c *Conn) answersEmptyQuery(timeout time.Duration) bool {
	message, _ := (&pgproto3.Query{}).Encode(nil)
	_, err := c.Write(message, timeout)
	if err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	for {
		frame, err := c.Reader.Next()
		if err != nil || frame.Type == 'E' {
			return false
		}
		if frame.Type == 'Z' {
			return true
		}
	}
}

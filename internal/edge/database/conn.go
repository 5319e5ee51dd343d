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
	// Reader cuts the database's answers into frames.
	Reader *postgres.Reader
	// State tells what the connection's server side remembers.
	State SessionState

	net     net.Conn
	subpool *subpool
	address netip.AddrPort
	process uint32
	secret  []byte
	idle    time.Time
	tainted bool
	// writeUntil is the deadline of writes. It is moved on now and then only,
	// which is cheaper than with each write.
	writeUntil time.Time

	// raw, peek, peeked and peekBuffer serve isQuiet; raw is nil where the
	// connection is no plain socket.
	raw        syscall.RawConn
	peek       func(fd uintptr)
	peeked     error
	peekBuffer [1]byte
}

// SessionState is what the server side of a connection remembers. Its holder keeps it
// up to date; the pool only carries it.
type SessionState struct {
	// GroupWork is the value of the setting group_work.
	GroupWork string
	// GroupRead says that the setting group_read is on.
	GroupRead bool
	// GroupSettingsUncertain says that Work and Reads may not be in force: the transaction
	// that set them has failed.
	GroupSettingsUncertain bool
	// PreparedStatements holds the names of the prepared statements.
	PreparedStatements map[string]struct{}
	// CallerSettings is the text of the callers' settings that are in force; empty
	// where there are none. Sessions with the same settings share the
	// connection.
	CallerSettings string
	// NeedsReset says that the connection has to be reset before its next use.
	NeedsReset bool
}

// Write sends b whole, or fails within once to twice the timeout. It returns how
// many bytes the system has taken: with none, nothing was sent.
func (c *Conn) Write(b []byte, timeout time.Duration) (int, error) {
	now := time.Now()
	left := c.writeUntil.Sub(now)
	if left < timeout || left > 2*timeout {
		c.writeUntil = now.Add(2 * timeout)
		err := c.net.SetWriteDeadline(c.writeUntil)
		if err != nil {
			return 0, err
		}
	}
	return c.net.Write(b)
}

// SetReadDeadline bounds the reads of Reader. It may be called from any
// goroutine and takes effect on a read that is waiting.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.net.SetReadDeadline(t) }

// Taint marks the connection as one that must not be used again after its
// present statement, such as one that a cancel request was sent for: the
// request might arrive late and hit the next statement.
func (c *Conn) Taint() { c.tainted = true }

// IsTainted reports whether Taint was called.
func (c *Conn) IsTainted() bool { return c.tainted }

// Close closes the connection without a word.
func (c *Conn) close() {
	_ = c.net.Close()
	c.Reader.Close()
}

// terminate closes the connection as the protocol asks for.
func (c *Conn) terminate() {
	message, _ := (&pgproto3.Terminate{}).Encode(nil)
	_ = c.net.SetWriteDeadline(time.Now().Add(terminateTimeout))
	_, _ = c.net.Write(message)
	c.close()
}

// isQuiet reports whether the connection is open and the database has sent
// nothing unasked, as far as this end of it knows. It costs one system call.
func (c *Conn) isQuiet() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	err := c.raw.Control(c.peek)
	return err == nil && errors.Is(c.peeked, syscall.EAGAIN)
}

// watchSocket prepares isQuiet. A connection that is no plain socket can't be
// looked at.
func (c *Conn) watchSocket() {
	socket, ok := c.net.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	c.raw = raw
	c.peek = func(fd uintptr) {
		_, _, c.peeked = syscall.Recvfrom(int(fd), c.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
}

// answers reports whether the connection answers an empty query within
// timeout.
func (c *Conn) answers(timeout time.Duration) bool {
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

package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Channels: authenticated connections for protocols other than that of the links.

// Channel is an authenticated connection to a peer that carries frames. One goroutine
// may read and another one write at the same time.
type Channel struct {
	conn     net.Conn
	protocol Protocol
	session  session
	reader   *bufio.Reader
	writer   *bufio.Writer
}

// DialChannel authenticates a connection that this instance has opened, with the key
// that the instances share. It closes conn on an error, or when ctx ends before.
func DialChannel(ctx context.Context, conn net.Conn, protocol Protocol, self model.InstanceID, key []byte, timeout time.Duration) (*Channel, error) {
	return newChannel(ctx, conn, protocol, self, roleDialer, key, timeout)
}

// AcceptChannel is DialChannel for a connection that the other end has opened.
func AcceptChannel(ctx context.Context, conn net.Conn, protocol Protocol, self model.InstanceID, key []byte, timeout time.Duration) (*Channel, error) {
	return newChannel(ctx, conn, protocol, self, roleAcceptor, key, timeout)
}

func newChannel(ctx context.Context, conn net.Conn, protocol Protocol, self model.InstanceID, ownRole role, key []byte, timeout time.Duration) (*Channel, error) {
	if len(key) < minKeySize {
		_ = conn.Close()
		return nil, &ConfigError{Reason: "the shared key is shorter than 16 bytes"}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	err := conn.SetDeadline(time.Now().Add(timeout))
	if err == nil {
		var sess session
		if sess, err = handshake(conn, protocol, self, ownRole, key); err == nil {
			err = conn.SetDeadline(time.Time{})
			return &Channel{conn: conn, protocol: protocol, session: sess, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}, errors.WithStack(err)
		}
	}
	_ = conn.Close()
	return nil, errors.WithStack(err)
}

// Peer returns the instance at the other end.
func (c *Channel) Peer() model.InstanceID { return c.session.peer }

// Read returns the content of the next frame. Its errors are those of the connection
// and the errors of this package about frames.
func (c *Channel) Read() ([]byte, error) {
	frame, err := readFrame(c.reader, c.protocol.MaxFrame)
	if err != nil {
		return nil, err
	}
	return c.session.opener.open(frame)
}

// Write writes one frame, which Flush sends at the latest. Its error is
// *FrameSizeError, after which the channel may still be used, or one of the connection.
// The write and the next Flush together may take the given time.
func (c *Channel) Write(content []byte, timeout time.Duration) error {
	frame, err := c.session.sealer.seal(content)
	if err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return errors.WithStack(err)
	}
	return writeFrame(c.writer, frame)
}

// Flush sends the frames written so far.
func (c *Channel) Flush() error { return errors.WithStack(c.writer.Flush()) }

// Close closes the connection, which ends Read and Write.
func (c *Channel) Close() { _ = c.conn.Close() }

// SetReadTimeout sets the time within which the next frame must have arrived.
func (c *Channel) SetReadTimeout(timeout time.Duration) {
	// The error is that of a closed connection, which the next Read returns too.
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
}

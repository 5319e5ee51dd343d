package peer

import (
	"bufio"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Links.

// link is an authenticated connection to a peer.
type link struct {
	conn    net.Conn
	session session
	// dialed is true if this instance dialed the connection.
	dialed bool
	// number is higher than those of the connections that were opened before.
	number uint64
	// address is the address of the other end.
	address netip.AddrPort
	queue   *queue
	// hasReceived is set when the first frame has been received.
	hasReceived atomic.Bool
	// done is closed when the link has ended.
	done chan struct{}

	closeOnce sync.Once
	// reason is the error with which the link was closed. It may be read once
	// closed is closed.
	reason error
	closed chan struct{}
}

func newLink(conn net.Conn, sess session, dialed bool, address netip.AddrPort) *link {
	return &link{
		conn: conn, session: sess, dialed: dialed, address: address,
		queue:  newQueue(),
		done:   make(chan struct{}),
		closed: make(chan struct{}),
	}
}

func (l *link) peer() model.InstanceID { return l.session.peer }

// close closes the connection, which ends the link's goroutines. Only the reason of
// the first call is kept.
func (l *link) close(reason error) {
	l.closeOnce.Do(func() {
		l.reason = reason
		close(l.closed)
		_ = l.conn.Close()
	})
}

// run sends queued messages and passes received ones to handle until the link is
// closed. It returns the reason of closing, which is never nil.
func (l *link) run(options Options, handle func(message.PeerMessage)) error {
	writerEnded := make(chan struct{})
	go func() {
		l.close(l.write(options))
		writerEnded <- struct{}{}
	}()
	l.close(l.read(options, handle))
	<-writerEnded
	return l.reason
}

// read passes received messages to handle until the connection fails, nothing
// arrives within the idle timeout, or the other end violates the protocol.
func (l *link) read(options Options, handle func(message.PeerMessage)) error {
	buffered := bufio.NewReader(l.conn)
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(options.IdleTimeout)); err != nil {
			return errors.WithStack(err)
		}
		frame, err := readFrame(buffered, maxFrame)
		if err != nil {
			return err
		}
		counters.Add("received.bytes", int64(lengthSize+len(frame)))
		content, err := l.session.opener.open(frame)
		if err != nil {
			return err
		}
		m, err := decodeMessage(content)
		if err != nil {
			return err
		}
		l.hasReceived.Store(true)
		if m != nil {
			counters.Add("received", 1)
			countMessage("received", messageTypeOf(m).name, lengthSize+len(frame))
			handle(m)
		}
	}
}

// write sends queued messages, and a keepalive in each interval without a message, until
// the link is closed or a write fails or times out.
func (l *link) write(options Options) error {
	buffered := bufio.NewWriter(l.conn)
	ticker := time.NewTicker(options.KeepaliveInterval)
	defer ticker.Stop()
	content := []byte{keepaliveNumber}
	for {
		if err := l.writeQueued(buffered, content, options.WriteTimeout); err != nil {
			return err
		}
		content = nil
		select {
		case <-l.closed:
			return &LinkClosedError{}
		case <-l.queue.wake:
			ticker.Reset(options.KeepaliveInterval)
		case <-ticker.C:
			content = []byte{keepaliveNumber}
		}
	}
}

// writeQueued writes content, unless it is nil, and then all queued messages.
func (l *link) writeQueued(buffered *bufio.Writer, content []byte, timeout time.Duration) error {
	if content != nil {
		if err := l.writeContent(buffered, content, timeout); err != nil {
			return err
		}
	}
	for {
		m, found := l.queue.pop()
		if !found {
			return errors.WithStack(buffered.Flush())
		}
		body, err := encodeMessage(m, l.session.peerLevel)
		if err != nil || sequenceSize+len(body)+macSize > maxFrame {
			counters.Add("dropped.size", 1)
			continue
		}
		if err := l.writeContent(buffered, body, timeout); err != nil {
			return err
		}
		counters.Add("sent", 1)
		countMessage("sent", messageTypeOf(m).name, lengthSize+sequenceSize+len(body)+macSize)
	}
}

// countMessage counts a message of a type, and its bytes on the wire. direction is "sent" or
// "received".
func countMessage(direction, messageName string, size int) {
	counters.Add(direction+"."+messageName, 1)
	counters.Add(direction+".bytes."+messageName, int64(size))
}

func (l *link) writeContent(buffered *bufio.Writer, content []byte, timeout time.Duration) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return errors.WithStack(err)
	}
	frame, err := l.session.sealer.seal(content)
	if err != nil {
		return err
	}
	counters.Add("sent.bytes", int64(lengthSize+len(frame)))
	return writeFrame(buffered, frame)
}

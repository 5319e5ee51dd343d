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
	// dialed says that this instance made the connection.
	dialed bool
	// address is the other end's.
	address netip.AddrPort
	queue   *queue
	// heard says that a frame came.
	heard atomic.Bool
	// done is closed when the link has ended.
	done chan struct{}

	once sync.Once
	// reason is why the link was closed; done guards it.
	reason error
	closed chan struct{}
}

func newLink(conn net.Conn, agreed session, dialed bool, address netip.AddrPort) *link {
	return &link{
		conn: conn, session: agreed, dialed: dialed, address: address,
		queue:  newQueue(),
		done:   make(chan struct{}),
		closed: make(chan struct{}),
	}
}

func (l *link) peer() model.InstanceID { return l.session.peer }

// close lets the link's goroutines end. The first reason counts.
func (l *link) close(reason error) {
	l.once.Do(func() {
		l.reason = reason
		close(l.closed)
		_ = l.conn.Close()
	})
}

// run carries messages both ways until the link is closed, and returns why.
func (l *link) run(options Options, heard func(message.PeerMessage)) error {
	ended := make(chan struct{})
	go func() {
		l.close(l.write(options))
		ended <- struct{}{}
	}()
	l.close(l.read(options, heard))
	<-ended
	return l.reason
}

// read passes on what comes, until the link breaks, is silent for too long, or
// the other end commits a fault.
func (l *link) read(options Options, heard func(message.PeerMessage)) error {
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
		l.heard.Store(true)
		if m != nil {
			counters.Add("received", 1)
			heard(m)
		}
	}
}

// write sends what is queued, and a keepalive when there is nothing, until
// the link is closed or can't take it in time.
func (l *link) write(options Options) error {
	buffered := bufio.NewWriter(l.conn)
	ticker := time.NewTicker(options.KeepaliveInterval)
	defer ticker.Stop()
	content := []byte{keepalive}
	for {
		if err := l.writeQueued(buffered, content, options.WriteTimeout); err != nil {
			return err
		}
		content = nil
		select {
		case <-l.closed:
			return &LinkClosedError{}
		case <-l.queue.wake:
		case <-ticker.C:
			content = []byte{keepalive}
		}
	}
}

// writeQueued writes content, unless it is nil, and all that is queued.
func (l *link) writeQueued(buffered *bufio.Writer, content []byte, limit time.Duration) error {
	if content != nil {
		if err := l.writeContent(buffered, content, limit); err != nil {
			return err
		}
	}
	for {
		m, found := l.queue.pop()
		if !found {
			return errors.WithStack(buffered.Flush())
		}
		body, err := encodeMessage(m)
		if err != nil || sequenceSize+len(body)+codeSize > maxFrame {
			counters.Add("dropped.size", 1)
			continue
		}
		if err := l.writeContent(buffered, body, limit); err != nil {
			return err
		}
		counters.Add("sent", 1)
	}
}

func (l *link) writeContent(buffered *bufio.Writer, content []byte, limit time.Duration) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return errors.WithStack(err)
	}
	frame, err := l.session.sealer.seal(content)
	if err != nil {
		return err
	}
	counters.Add("sent.bytes", int64(lengthSize+len(frame)))
	return writeFrame(buffered, frame)
}

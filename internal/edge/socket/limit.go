package socket

import (
	"container/list"
	"net"
	"sync"
)

// LimitListener returns a listener that keeps at most limit accepted connections open: the
// oldest is closed when another is accepted. It suits ports whose requests are short, so
// that an old connection is one whose other end does nothing.
func LimitListener(listener net.Listener, limit int) net.Listener {
	return &limitListener{Listener: listener, limit: limit, open: list.New()}
}

type limitListener struct {
	net.Listener
	limit int

	mu sync.Mutex
	// open holds the open connections, the oldest first.
	open *list.List
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &limitedConn{Conn: accepted, listener: l}
	l.mu.Lock()
	conn.element = l.open.PushBack(conn)
	var oldest *limitedConn
	if l.open.Len() > l.limit {
		oldest = l.open.Front().Value.(*limitedConn)
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return conn, nil
}

// limitedConn is a connection of a limitListener.
type limitedConn struct {
	net.Conn
	listener *limitListener
	element  *list.Element
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open.Remove(c.element)
	})
	return c.Conn.Close()
}

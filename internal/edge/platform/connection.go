package platform

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// -----------------------------------------------------------------------------
// Whether anything was sent.

// countedConn counts the bytes handed to the network. Once sealed it takes no
// more, so that the count is final.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	written int
	sealed  bool
}

// Write implements net.Conn. Bytes count before they are handed on: a write
// that failed may have sent some.
func (c *countedConn) Write(body []byte) (int, error) {
	c.mu.Lock()
	sealed := c.sealed
	if !sealed {
		c.written += len(body)
	}
	c.mu.Unlock()
	if sealed {
		return 0, &AbandonedConnError{}
	}
	n, err := c.Conn.Write(body)
	counters.Add("sent.bytes", int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(body []byte) (int, error) {
	n, err := c.Conn.Read(body)
	counters.Add("received.bytes", int64(n))
	return n, err
}

func (c *countedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal refuses all further writes and returns the final count.
func (c *countedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sending watches whether a request got onto a connection.
type sending struct {
	mu     sync.Mutex
	conn   *countedConn
	before int
}

// trace returns the hook that tells which connection the request takes.
func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn
		if secure, found := conn.(*tls.Conn); found {
			conn = secure.NetConn()
		}
		counted := conn.(*countedConn)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conn = counted
		s.before = counted.count()
	}}
}

// isUnsent gives the connection up and reports whether it is certain that no
// byte of the request was sent. It is called after the request has failed.
func (s *sending) isUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return true
	}
	return s.conn.seal() == s.before
}

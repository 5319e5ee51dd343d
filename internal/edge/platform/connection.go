package platform

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// -----------------------------------------------------------------------------
// Tracking of sent bytes.

// countingConn counts the bytes passed to the network. After seal it rejects
// writes, so that the count is final.
type countingConn struct {
	net.Conn

	mu     sync.Mutex
	bytes  int
	sealed bool
}

// Write implements net.Conn. It counts bytes before passing them on, since a failed
// write may have sent some of them.
func (c *countingConn) Write(body []byte) (int, error) {
	c.mu.Lock()
	sealed := c.sealed
	if !sealed {
		c.bytes += len(body)
	}
	c.mu.Unlock()
	if sealed {
		return 0, &SealedConnError{}
	}
	n, err := c.Conn.Write(body)
	counters.Add("sent.bytes", int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *countingConn) Read(body []byte) (int, error) {
	n, err := c.Conn.Read(body)
	counters.Add("received.bytes", int64(n))
	return n, err
}

// bytesCounted returns the number of bytes passed to Write. Not all of them need
// have been sent.
func (c *countingConn) bytesCounted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// seal makes all further writes fail with *SealedConnError, and returns the final
// count.
func (c *countingConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.bytes
}

// sendTracker determines whether any byte of a request was written to a connection.
type sendTracker struct {
	mu sync.Mutex
	// conn is the connection of the request, nil until one is assigned.
	conn *countingConn
	// bytesBefore is the connection's byte count before the request.
	bytesBefore int
}

// clientTrace returns the hook that records the request's connection.
func (s *sendTracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn
		if tlsConn, found := conn.(*tls.Conn); found {
			conn = tlsConn.NetConn()
		}
		counted := conn.(*countingConn)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conn = counted
		s.bytesBefore = counted.bytesCounted()
	}}
}

// isUnsent seals the connection and reports whether it is certain that no byte of
// the request was sent. It must be called after the request has failed.
func (s *sendTracker) isUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return true
	}
	return s.conn.seal() == s.bytesBefore
}

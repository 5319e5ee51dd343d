package database

import (
	"net"
	"sync/atomic"
)

// faultConn is a connection to which the faults apply. While the database is
// frozen, reads and writes block. Once silent is set, received bytes are
// discarded and written bytes are not sent.
type faultConn struct {
	net.Conn
	faults *faultState
	// done is closed when the database stops.
	done   <-chan struct{}
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *faultConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if !c.faults.awaitThaw(c.done) {
			return 0, net.ErrClosed
		}
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *faultConn) Write(buffer []byte) (int, error) {
	if !c.faults.awaitThaw(c.done) {
		return 0, net.ErrClosed
	}
	if c.silent.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

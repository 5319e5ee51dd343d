package database

import (
	"net"
	"sync/atomic"
)

// gatedConn is a connection under the faults: while the database is frozen
// nothing passes, and once it is silent all is lost.
type gatedConn struct {
	net.Conn
	faults *faults
	done   <-chan struct{}
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *gatedConn) Read(buffer []byte) (int, error) {
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
func (c *gatedConn) Write(buffer []byte) (int, error) {
	if !c.faults.awaitThaw(c.done) {
		return 0, net.ErrClosed
	}
	if c.silent.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

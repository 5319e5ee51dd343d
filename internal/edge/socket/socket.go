// Package socket opens TCP connections on which the operating system detects a
// peer that is gone.
//
// # What flows in and out
//
// The input is an address. The output is a connection that the operating system
// closes when the other end stops acknowledging data or keepalive probes.
//
// The receive buffer of any connection can be examined without reading from it.
//
// # Usage
//
//	conn, err := socket.Dial(ctx, "tcp", address.String())
//	if socket.HasUnread(conn) { ... }
package socket

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// keepaliveIdle, keepaliveInterval and keepaliveCount configure the TCP
	// keepalive so that a broken connection without traffic is detected after 8 s.
	keepaliveIdle     = 5 * time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 3
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the
	// operating system closes the connection.
	unacknowledgedTimeout = 5 * time.Second
)

// Dial opens a connection. It has the signature of net.Dialer.DialContext, so that
// it can be used as the DialContext of an http.Transport.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepaliveIdle,
			Interval: keepaliveInterval,
			Count:    keepaliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return dialer.DialContext(ctx, network, address)
}

// HasUnread reports whether a read from a connection would return at once, because data,
// the end of the stream or an error has arrived. Deadlines of the connection don't
// matter. It reports false for a connection that can't be examined.
func HasUnread(conn net.Conn) bool {
	examinable, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := examinable.SyscallConn()
	if err != nil {
		return true
	}
	hasUnread := true
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasUnread = err != syscall.EAGAIN
	})
	return err != nil || hasUnread
}

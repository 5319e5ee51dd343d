// Package socket opens TCP connections on which the system itself finds out a
// peer that is gone.
//
// # What flows in and out
//
// An address flows in; a connection flows out that the system breaks when the
// other end acknowledges nothing for a while, be it data or keepalive probes.
//
// # Usage
//
//	conn, err := socket.Dial(ctx, "tcp", address.String())
package socket

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// keepaliveIdle, keepaliveInterval and keepaliveCount set the TCP
	// keepalive: a connection without traffic is found broken after 8 s.
	keepaliveIdle     = 5 * time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 3
	// unacknowledged is the time after which the system breaks a connection
	// whose other end does not acknowledge what was sent.
	unacknowledged = 5 * time.Second
)

// Dial opens a connection. Its signature is that of net.Dialer.DialContext.
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

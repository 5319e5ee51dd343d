package socket

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// The oldest connection is closed when there is one too many; one that was closed before
// makes room.
func TestLimitListenerClosesOldest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := LimitListener(inner, 2)
	t.Cleanup(func() { _ = listener.Close() })
	var accepted []net.Conn
	var dialed []net.Conn
	open := func() {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		dialed = append(dialed, conn)
		end, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, end)
	}
	isClosed := func(i int) bool {
		_ = accepted[i].SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := accepted[i].Read(make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	for range 3 {
		open()
	}
	if !isClosed(0) || isClosed(1) || isClosed(2) {
		t.Fatal("want only the oldest connection closed")
	}
	_ = accepted[2].Close()
	open()
	if isClosed(1) || isClosed(3) {
		t.Error("a connection was closed although there was room")
	}
}

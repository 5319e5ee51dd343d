package deploy

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// echoServer answers each line with the same line, until the test ends.
func echoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, address, err := task.Listen(netip.AddrPortFrom(loopback, 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				lines := bufio.NewReader(conn)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := conn.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return address
}

// Each fault must concern the connection that is open when it begins, and the link must
// forward again when it ends.
func TestLinkFaults(t *testing.T) {
	const wait = 150 * time.Millisecond
	target := echoServer(t)
	for name, c := range map[string]struct {
		fault LinkFault
		// during and after are the results of a line sent during the fault and after it.
		during, after string
	}{
		"up":      {LinkUp{}, "echo", "echo"},
		"reset":   {LinkReset{}, "closed", "closed"},
		"silent":  {LinkSilent{}, "nothing", "echo"},
		"one way": {LinkOneWay{}, "nothing", "echo"},
		"slow":    {LinkSlow{Delay: wait}, "nothing", "echo"},
	} {
		t.Run(name, func(t *testing.T) {
			link, err := newLink(target)
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := link.Close(); err != nil {
					t.Error(err)
				}
			}()
			conn, lines := dial(t, link.Address)
			defer func() { _ = conn.Close() }()
			if got := exchange(conn, lines, 10*wait); got != "echo" {
				t.Fatalf("before the fault: %s", got)
			}
			link.Set(c.fault)
			during := exchange(conn, lines, wait)
			link.Set(LinkUp{})
			after := exchange(conn, lines, 10*wait)
			if diff := cmp.Diff([]string{c.during, c.after}, []string{during, after}); diff != "" {
				t.Error(diff)
			}
			other, otherLines := dial(t, link.Address)
			defer func() { _ = other.Close() }()
			if got := exchange(other, otherLines, 10*wait); got != "echo" {
				t.Errorf("a new connection: %s", got)
			}
		})
	}
}

func dial(t *testing.T, address netip.AddrPort) (net.Conn, *bufio.Reader) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// exchange sends a line and describes what arrives before the timeout.
func exchange(conn net.Conn, lines *bufio.Reader, timeout time.Duration) string {
	if _, err := conn.Write([]byte("line\n")); err != nil {
		return "closed"
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := lines.ReadString('\n')
	netErr, isNet := err.(net.Error) //nolint:errorlint // the reader returns it as it is
	switch {
	case err == nil:
		return "echo"
	case isNet && netErr.Timeout():
		return "nothing"
	default:
		return "closed"
	}
}

package backend

import (
	"bufio"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

// lines is a protocol of one line a statement, answered by the same line.
type lines struct{}

// Handshake implements Protocol.
func (lines) Handshake(conn net.Conn, _ placement.Database) (Codec, error) {
	return &lineWire{conn: conn, reader: bufio.NewReader(conn)}, nil
}

type lineWire struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Send implements Wire.
func (w *lineWire) Send(calls []statement.Request) error {
	for _, call := range calls {
		if _, err := w.conn.Write([]byte(call.ID + "\n")); err != nil {
			return err
		}
	}
	return nil
}

// Receive implements Wire.
func (w *lineWire) Receive(statement.Request) (Reply, error) {
	line, err := w.reader.ReadString('\n')
	return Reply{Answer: statement.Answer{Signature: line}}, err
}

// echo listens for connections and sends each line back.
func echo(t *testing.T) (netip.AddrPort, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			go func() {
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadString('\n')
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
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort(), func() { _ = (<-accepted).Close() }
}

// A connection that rested longer than its last statement was allowed to take is
// used again, and one that the other end has closed is not.
func TestRestedConnection(t *testing.T) {
	for name, c := range map[string]struct {
		isClosed, isSame bool
	}{
		"open":   {false, true},
		"closed": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			address, closeOne := echo(t)
			pool := NewPool(lines{})
			target := placement.Database{ID: "a", Address: address}
			conn, err := pool.Get(t.Context(), target, nil)
			if err != nil {
				t.Fatal(err)
			}
			const timeout = 50 * time.Millisecond
			if _, err := conn.Exchange(timeout, []statement.Request{{ID: "1"}}); err != nil {
				t.Fatal(err)
			}
			pool.Put(conn)
			if c.isClosed {
				closeOne()
			}
			time.Sleep(2 * timeout)
			next, err := pool.Get(t.Context(), target, nil)
			if err != nil {
				t.Fatal(err)
			}
			if (next == conn) != c.isSame {
				t.Errorf("the same connection: %v, want %v", next == conn, c.isSame)
			}
		})
	}
}

// A connection of which there are few is closed soon after its last use, and not
// while it is used.
func TestScarceConnectionIsGivenBack(t *testing.T) {
	address, _ := echo(t)
	pool := NewPool(lines{})
	target := placement.Database{ID: "a", Address: address, HasScarceConnections: true}
	conn, err := pool.Get(t.Context(), target, nil)
	if err != nil {
		t.Fatal(err)
	}
	pool.Put(conn)
	if again, err := pool.Get(t.Context(), target, nil); err != nil || again != conn {
		t.Fatalf("not used again at once: %v", err)
	}
	time.Sleep(2 * scarceKept)
	if _, err := conn.Exchange(time.Second, []statement.Request{{ID: "1"}}); err != nil {
		t.Fatalf("closed while it was used: %v", err)
	}
	pool.Put(conn)
	for end := time.Now().Add(10 * time.Second); conn.isOpen(); time.Sleep(scarceKept / 4) {
		if time.Now().After(end) {
			t.Fatal("kept although it is scarce")
		}
	}
}

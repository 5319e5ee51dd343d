package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

// lineProtocol is a test protocol: a request is one line, and its answer is the
// same line.
type lineProtocol struct{}

// Handshake implements Protocol.
func (lineProtocol) Handshake(conn net.Conn, _ placement.Database, _ model.TenantID) (Codec, error) {
	return &lineCodec{conn: conn, reader: bufio.NewReader(conn)}, nil
}

type lineCodec struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Send implements Codec.
func (c *lineCodec) Send(requests []statement.Request) error {
	for _, request := range requests {
		if _, err := c.conn.Write([]byte(request.ID + "\n")); err != nil {
			return err
		}
	}
	return nil
}

// Receive implements Codec.
func (c *lineCodec) Receive(statement.Request) (Reply, error) {
	line, err := c.reader.ReadString('\n')
	return Reply{Answer: statement.Answer{Signature: line}}, err
}

// HasUnread implements Codec.
func (c *lineCodec) HasUnread() bool { return c.reader.Buffered() > 0 }

// startEchoServer starts a server that sends each line back. It returns the
// server's address and a function that closes the next accepted connection, in the
// order of acceptance.
func startEchoServer(t *testing.T) (netip.AddrPort, func()) {
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

// confirmingProtocol is lineProtocol with a handshake that the database has to confirm.
type confirmingProtocol struct{ lineProtocol }

// Handshake implements Protocol.
func (p confirmingProtocol) Handshake(conn net.Conn, target placement.Database, tenant model.TenantID) (Codec, error) {
	codec, err := p.lineProtocol.Handshake(conn, target, tenant)
	if err == nil {
		_, err = codec.Receive(statement.Request{})
	}
	return codec, err
}

// Guards against a request that waits for a new connection when its instance ends, and
// gets no answer in time: the handshake is interrupted too.
func TestConnectingIsInterrupted(t *testing.T) {
	address, _ := startEchoServer(t)
	pool := NewPool(confirmingProtocol{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const interruptAfter = connectTimeout / 8
	time.AfterFunc(interruptAfter, cancel)
	startedAt := time.Now()
	_, err := pool.Get(ctx, placement.Database{ID: "a", Address: address}, "", nil)
	var connectErr *ConnectError
	if !errors.As(err, &connectErr) {
		t.Fatalf("error %v, want a *ConnectError", err)
	}
	if took := time.Since(startedAt); took < interruptAfter || took >= connectTimeout {
		t.Errorf("interrupted after %v, want less than %v", took, connectTimeout)
	}
}

// Guards against the deadline of the last exchange staying set on an idle
// connection: once it had passed, the check whether the connection is open failed
// and the pool dropped a good connection. A connection that the other end has
// closed must not be reused.
func TestIdleConnectionReuse(t *testing.T) {
	for name, c := range map[string]struct {
		isClosed, isSame bool
	}{
		"open":   {false, true},
		"closed": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			address, closeOne := startEchoServer(t)
			pool := NewPool(lineProtocol{})
			target := placement.Database{ID: "a", Address: address}
			conn, err := pool.Get(t.Context(), target, "", nil)
			if err != nil {
				t.Fatal(err)
			}
			const timeout = 50 * time.Millisecond
			if _, err := conn.Run(t.Context(), timeout, statement.Request{ID: "1"}); err != nil {
				t.Fatal(err)
			}
			pool.Put(conn)
			if c.isClosed {
				closeOne()
			}
			time.Sleep(2 * timeout)
			next, err := pool.Get(t.Context(), target, "", nil)
			if err != nil {
				t.Fatal(err)
			}
			if (next == conn) != c.isSame {
				t.Errorf("connection reused: %v, want %v", next == conn, c.isSame)
			}
		})
	}
}

// A scarce connection is closed soon after its last use, but not while it is in use
// again when the timer of an earlier Put fires.
func TestScarceConnectionIsClosedAfterUse(t *testing.T) {
	address, _ := startEchoServer(t)
	pool := NewPool(lineProtocol{})
	target := placement.Database{ID: "a", Address: address, HasScarceConnections: true}
	conn, err := pool.Get(t.Context(), target, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	pool.Put(conn)
	if reused, err := pool.Get(t.Context(), target, "", nil); err != nil || reused != conn {
		t.Fatalf("the idle connection was not reused: %v", err)
	}
	time.Sleep(2 * scarceIdleTimeout)
	if _, err := conn.Run(t.Context(), time.Second, statement.Request{ID: "1"}); err != nil {
		t.Fatalf("the connection was closed while in use: %v", err)
	}
	pool.Put(conn)
	for deadline := time.Now().Add(10 * time.Second); conn.isOpen(); time.Sleep(scarceIdleTimeout / 4) {
		if time.Now().After(deadline) {
			t.Fatal("the scarce connection was not closed after its last use")
		}
	}
}

// Guards against an instance that hangs for good: the function that decides about an
// eviction takes locks under which others call the pool, so that it must not be called
// under the pool's own.
func TestEvictionHoldsNoLockMeanwhile(t *testing.T) {
	address, _ := startEchoServer(t)
	pool := NewPool(lineProtocol{})
	target := placement.Database{ID: "a", Address: address}
	conn, err := pool.Get(t.Context(), target, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	pool.Put(conn)
	ended := make(chan bool, 1)
	go func() {
		wasIdle := false
		pool.EvictStale(func(id model.DatabaseID) bool { wasIdle = pool.HasIdle(id, ""); return false })
		ended <- wasIdle && !pool.HasIdle("a", "")
	}()
	select {
	case evicted := <-ended:
		if !evicted {
			t.Error("the connection was not evicted")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the eviction hangs")
	}
}

package database

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/socket"
)

// testServer implements the part of the database protocol that the pool uses: the
// startup phase and empty answers to all queries.
type testServer struct {
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
	// startedSessions is the number of connections that completed the startup.
	startedSessions int
	// startupErrorCode is the SQLSTATE with which each new connection is
	// rejected, if it is not empty.
	startupErrorCode string
	// unresponsive makes the server leave queries unanswered.
	unresponsive bool
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{listener: listener}
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			running.Add(1)
			go func() {
				defer running.Done()
				defer conn.Close()
				s.serve(conn)
			}()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		s.closeConnections()
		running.Wait()
	})
	return s
}

// closeConnections closes all connections that were accepted so far.
func (s *testServer) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
	s.conns = nil
}

func (s *testServer) setUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
}

func (s *testServer) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresponsive
}

func (s *testServer) sessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedSessions
}

func (s *testServer) serve(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	_, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if s.startupErrorCode != "" {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: s.startupErrorCode})
		backend.Flush()
		return
	}
	s.mu.Lock()
	s.startedSessions++
	s.mu.Unlock()
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		_, err = backend.Receive()
		if err != nil {
			return
		}
		if !s.isUnresponsive() {
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
	}
}

// newPool returns a running pool that may open two connections to s, which has
// the name "a".
func newPool(t *testing.T, s *testServer) *Pool {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	pool := NewPool(PoolOptions{User: "eelgrassfold"}, logr.Discard())
	done, err := pool.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-done
	})
	setDatabase(pool, s.address(), 2, false)
	return pool
}

func (s *testServer) address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// setDatabase makes the server at address the only database of the pool, under
// the name "a".
func setDatabase(pool *Pool, address netip.AddrPort, connections int, draining bool) {
	pool.HandleAction(message.SetDatabases{Databases: []message.DatabaseTarget{
		{Database: "a", Group: "ratings", Address: address, Connections: connections, Leaving: draining},
	}})
}

// acquire returns a connection to database "a".
func acquire(t *testing.T, pool *Pool) *Conn {
	t.Helper()
	conn, _, err := pool.Acquire(context.Background(), "a", time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// reasonOf returns the reason of an *AcquireError, or -1 for any other error.
func reasonOf(err error) message.NotStartedReason {
	var acquireErr *AcquireError
	if errors.As(err, &acquireErr) {
		return acquireErr.Reason
	}
	return -1
}

// TestReuseOfReturnedConnections returns a connection and acquires one again. The
// number of sessions shows whether the returned one was reused, which must happen
// only if it is intact and still allowed.
func TestReuseOfReturnedConnections(t *testing.T) {
	cases := []struct {
		name         string
		giveBack     func(s *testServer, pool *Pool, conn *Conn)
		wantSessions int
	}{
		{"released", func(_ *testServer, pool *Pool, conn *Conn) { pool.Release(conn) }, 1},
		{"discarded", func(_ *testServer, pool *Pool, conn *Conn) { pool.Discard(conn) }, 2},
		{"tainted", func(_ *testServer, pool *Pool, conn *Conn) { conn.Taint(); pool.Release(conn) }, 2},
		{"idle for long", func(_ *testServer, pool *Pool, conn *Conn) {
			pool.Release(conn)
			conn.idleSince = time.Now().Add(-time.Minute)
		}, 1},
		{"idle for long and unresponsive", func(s *testServer, pool *Pool, conn *Conn) {
			pool.Release(conn)
			conn.idleSince = time.Now().Add(-time.Minute)
			s.setUnresponsive(true)
		}, 2},
		{"address changed", func(s *testServer, pool *Pool, conn *Conn) {
			setDatabase(pool, netip.MustParseAddrPort("127.0.0.1:1"), 2, false)
			pool.Release(conn)
			setDatabase(pool, s.address(), 2, false)
		}, 2},
		{"limit lowered", func(s *testServer, pool *Pool, conn *Conn) {
			setDatabase(pool, s.address(), 0, false)
			pool.Release(conn)
			setDatabase(pool, s.address(), 2, false)
		}, 2},
		{"removed and added again", func(s *testServer, pool *Pool, conn *Conn) {
			pool.HandleAction(message.SetDatabases{})
			pool.Release(conn)
			setDatabase(pool, s.address(), 2, false)
		}, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t)
			pool := newPool(t, s)
			test.giveBack(s, pool, acquire(t, pool))
			pool.Release(acquire(t, pool))
			if diff := cmp.Diff(test.wantSessions, s.sessionCount()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAcquireFailureReasons checks the reason that Acquire reports when no connection to a
// database can be opened.
func TestAcquireFailureReasons(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(s *testServer, pool *Pool)
		want    message.NotStartedReason
	}{
		{"too many connections", func(s *testServer, _ *Pool) { s.startupErrorCode = "53300" }, message.NotStartedTooManyConnections},
		{"shutting down", func(s *testServer, _ *Pool) { s.startupErrorCode = "57P01" }, message.NotStartedShuttingDown},
		{"starting", func(s *testServer, _ *Pool) { s.startupErrorCode = "57P03" }, message.NotStartedShuttingDown},
		{"another error", func(s *testServer, _ *Pool) { s.startupErrorCode = "28000" }, message.NotStartedUnreachable},
		{"no listener", func(s *testServer, _ *Pool) { s.listener.Close() }, message.NotStartedUnreachable},
		{"draining", func(s *testServer, pool *Pool) { setDatabase(pool, s.address(), 2, true) }, message.NotStartedShuttingDown},
		{"removed", func(_ *testServer, pool *Pool) { pool.HandleAction(message.SetDatabases{}) }, message.NotStartedShuttingDown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t)
			pool := newPool(t, s)
			test.prepare(s, pool)
			for range 3 {
				_, _, err := pool.Acquire(context.Background(), "a", time.Now().Add(time.Minute))
				if diff := cmp.Diff(test.want, reasonOf(err)); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// TestAcquireFromUnknownDatabase acquires a connection to a database that is not
// in SetDatabases.
func TestAcquireFromUnknownDatabase(t *testing.T) {
	pool := newPool(t, newTestServer(t))
	_, _, err := pool.Acquire(context.Background(), "b", time.Now().Add(time.Minute))
	if diff := cmp.Diff(message.NotStartedUnreachable, reasonOf(err)); diff != "" {
		t.Error(diff)
	}
}

// TestConnectionLimit acquires one connection more than the limit allows. The
// waiting call must fail at its deadline, or succeed as soon as another holder
// releases or discards its connection.
func TestConnectionLimit(t *testing.T) {
	for name, giveBack := range map[string]func(pool *Pool, conn *Conn){
		"released":  func(pool *Pool, conn *Conn) { pool.Release(conn) },
		"discarded": func(pool *Pool, conn *Conn) { pool.Discard(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			pool := newPool(t, s)
			first, second := acquire(t, pool), acquire(t, pool)
			_, _, err := pool.Acquire(context.Background(), "a", time.Now())
			if diff := cmp.Diff(message.NotStartedTooManyConnections, reasonOf(err)); diff != "" {
				t.Error(diff)
			}
			waiterResult := make(chan error, 1)
			go func() {
				conn, _, err := pool.Acquire(context.Background(), "a", time.Now().Add(time.Minute))
				if err == nil {
					pool.Release(conn)
				}
				waiterResult <- err
			}()
			giveBack(pool, first)
			if err := <-waiterResult; err != nil {
				t.Error(err)
			}
			pool.Release(second)
		})
	}
}

// TestConnectionBrokenWhileIdle closes a connection at the database's end before it
// is released. The next Acquire must return another connection.
func TestConnectionBrokenWhileIdle(t *testing.T) {
	s := newTestServer(t)
	pool := newPool(t, s)
	conn := acquire(t, pool)
	s.closeConnections()
	// A failed read shows that the close has arrived at this end.
	_, err := conn.Reader.Next()
	if err == nil {
		t.Fatal("the connection is still open")
	}
	pool.Release(conn)
	replacement := acquire(t, pool)
	if replacement == conn {
		t.Error("a broken connection was reused")
	}
	pool.Release(replacement)
}

// TestCloseIdleKeepsConnectionsUsedLater releases one connection before and one
// after the cutoff of CloseIdle. Only the second may be reused.
func TestCloseIdleKeepsConnectionsUsedLater(t *testing.T) {
	s := newTestServer(t)
	pool := newPool(t, s)
	earlier, later := acquire(t, pool), acquire(t, pool)
	pool.Release(earlier)
	cutoff := time.Now()
	pool.Release(later)
	pool.CloseIdle(later, cutoff)
	first, second := acquire(t, pool), acquire(t, pool)
	if first != later || second == earlier {
		t.Errorf("reused: connection used later %v, connection used earlier %v", first == later, second == earlier)
	}
	if diff := cmp.Diff(3, s.sessionCount()); diff != "" {
		t.Error(diff)
	}
	pool.Release(first)
	pool.Release(second)
}

// slowConn is a connection whose first writes take long, as on a busy machine.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return c.Conn.Write(b)
}

// While a write takes long, pgconn reads in the background. It must have stopped when
// the pool hands the connection out: otherwise it takes the first answer, and the
// holder waits for it until its deadline.
func TestFirstAnswerAfterSlowStartup(t *testing.T) {
	s := newTestServer(t)
	pool := newPool(t, s)
	pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := socket.Dial(ctx, network, address)
		return slowConn{conn}, err
	}
	for range 5 {
		conn := acquire(t, pool)
		if !conn.answersEmptyQuery(2 * time.Second) {
			t.Error("the answer to the first query did not arrive")
		}
		pool.Discard(conn)
	}
}

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
)

// server is the little of a database that a pool needs.
type server struct {
	listener net.Listener

	mu     sync.Mutex
	conns  []net.Conn
	opened int
	// refuse is the SQLSTATE given to each new connection, where it is set.
	refuse string
	// mute lets queries go unanswered.
	mute bool
}

func newServer(t *testing.T) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener}
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
		s.cut()
		running.Wait()
	})
	return s
}

// cut closes all connections.
func (s *server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
	s.conns = nil
}

func (s *server) setMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
}

func (s *server) isMute() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

func (s *server) serve(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	_, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if s.refuse != "" {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: s.refuse})
		backend.Flush()
		return
	}
	s.mu.Lock()
	s.opened++
	s.mu.Unlock()
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		_, err = backend.Receive()
		if err != nil {
			return
		}
		if !s.isMute() {
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
	}
}

// newPool returns a pool of two connections before a server.
func newPool(t *testing.T, s *server) *Pool {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	pool := NewPool(PoolOptions{User: "eelgrassfold"}, logr.Discard())
	ended, err := pool.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-ended
	})
	set(pool, s.address(), 2, false)
	return pool
}

func (s *server) address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

func set(pool *Pool, address netip.AddrPort, connections int, leaving bool) {
	pool.HandleAction(message.SetDatabases{Databases: []message.DatabaseTarget{
		{Database: "a", Group: "ratings", Address: address, Connections: connections, Leaving: leaving},
	}})
}

func take(t *testing.T, pool *Pool) *Conn {
	t.Helper()
	conn, _, err := pool.Acquire(context.Background(), "a", time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// whyOf returns the reason of an *AcquireError, or -1.
func whyOf(err error) message.NotStartedReason {
	var refused *AcquireError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return -1
}

// TestReuse gives connections back in every state: only a whole one is used
// again.
func TestReuse(t *testing.T) {
	cases := []struct {
		name string
		back func(s *server, pool *Pool, conn *Conn)
		want int
	}{
		{"released", func(_ *server, pool *Pool, conn *Conn) { pool.Release(conn) }, 1},
		{"discarded", func(_ *server, pool *Pool, conn *Conn) { pool.Discard(conn) }, 2},
		{"tainted", func(_ *server, pool *Pool, conn *Conn) { conn.Taint(); pool.Release(conn) }, 2},
		{"idle for long", func(_ *server, pool *Pool, conn *Conn) {
			pool.Release(conn)
			conn.idle = time.Now().Add(-time.Minute)
		}, 1},
		{"idle for long and mute", func(s *server, pool *Pool, conn *Conn) {
			pool.Release(conn)
			conn.idle = time.Now().Add(-time.Minute)
			s.setMute(true)
		}, 2},
		{"address moved", func(s *server, pool *Pool, conn *Conn) {
			set(pool, netip.MustParseAddrPort("127.0.0.1:1"), 2, false)
			pool.Release(conn)
			set(pool, s.address(), 2, false)
		}, 2},
		{"limit lowered", func(s *server, pool *Pool, conn *Conn) {
			set(pool, s.address(), 0, false)
			pool.Release(conn)
			set(pool, s.address(), 2, false)
		}, 2},
		{"taken away and named again", func(s *server, pool *Pool, conn *Conn) {
			pool.HandleAction(message.SetDatabases{})
			pool.Release(conn)
			set(pool, s.address(), 2, false)
		}, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t)
			pool := newPool(t, s)
			test.back(s, pool, take(t, pool))
			pool.Release(take(t, pool))
			if diff := cmp.Diff(test.want, s.count()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRefusals gives databases that let nobody in.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *server, pool *Pool)
		want   message.NotStartedReason
	}{
		{"full", func(s *server, _ *Pool) { s.refuse = "53300" }, message.NotStartedTooManyConnections},
		{"shutting down", func(s *server, _ *Pool) { s.refuse = "57P01" }, message.NotStartedShuttingDown},
		{"starting", func(s *server, _ *Pool) { s.refuse = "57P03" }, message.NotStartedShuttingDown},
		{"another error", func(s *server, _ *Pool) { s.refuse = "28000" }, message.NotStartedUnreachable},
		{"gone", func(s *server, _ *Pool) { s.listener.Close() }, message.NotStartedUnreachable},
		{"leaving", func(s *server, pool *Pool) { set(pool, s.address(), 2, true) }, message.NotStartedShuttingDown},
		{"taken away", func(_ *server, pool *Pool) { pool.HandleAction(message.SetDatabases{}) }, message.NotStartedShuttingDown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t)
			pool := newPool(t, s)
			test.change(s, pool)
			for range 3 {
				_, _, err := pool.Acquire(context.Background(), "a", time.Now().Add(time.Minute))
				if diff := cmp.Diff(test.want, whyOf(err)); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// TestUnknownDatabase asks for a database that nobody has named.
func TestUnknownDatabase(t *testing.T) {
	pool := newPool(t, newServer(t))
	_, _, err := pool.Acquire(context.Background(), "b", time.Now().Add(time.Minute))
	if diff := cmp.Diff(message.NotStartedUnreachable, whyOf(err)); diff != "" {
		t.Error(diff)
	}
}

// TestLimit takes more connections than there may be: who waits gets the next
// that comes free, or an error at the deadline.
func TestLimit(t *testing.T) {
	for name, free := range map[string]func(pool *Pool, conn *Conn){
		"released":  func(pool *Pool, conn *Conn) { pool.Release(conn) },
		"discarded": func(pool *Pool, conn *Conn) { pool.Discard(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			pool := newPool(t, s)
			first, second := take(t, pool), take(t, pool)
			_, _, err := pool.Acquire(context.Background(), "a", time.Now())
			if diff := cmp.Diff(message.NotStartedTooManyConnections, whyOf(err)); diff != "" {
				t.Error(diff)
			}
			got := make(chan error, 1)
			go func() {
				conn, _, err := pool.Acquire(context.Background(), "a", time.Now().Add(time.Minute))
				if err == nil {
					pool.Release(conn)
				}
				got <- err
			}()
			free(pool, first)
			if err := <-got; err != nil {
				t.Error(err)
			}
			pool.Release(second)
		})
	}
}

// TestBrokenWhileIdle has the database close an idle connection: the next to
// ask gets another, and nothing was sent on the broken one.
func TestBrokenWhileIdle(t *testing.T) {
	s := newServer(t)
	pool := newPool(t, s)
	conn := take(t, pool)
	s.cut()
	// The end has arrived once a read sees it.
	_, err := conn.Reader.Next()
	if err == nil {
		t.Fatal("the connection is still open")
	}
	pool.Release(conn)
	again := take(t, pool)
	if again == conn {
		t.Error("a broken connection was used again")
	}
	pool.Release(again)
}

// TestDistrust gives two connections back, one of them after the time that the
// silence began: that one alone is used again.
func TestDistrust(t *testing.T) {
	s := newServer(t)
	pool := newPool(t, s)
	before, after := take(t, pool), take(t, pool)
	pool.Release(before)
	since := time.Now()
	pool.Release(after)
	pool.CloseIdle(after, since)
	first, second := take(t, pool), take(t, pool)
	if first != after || second == before {
		t.Errorf("used again: the later one %v, the earlier one %v", first == after, second == before)
	}
	if diff := cmp.Diff(3, s.count()); diff != "" {
		t.Error(diff)
	}
	pool.Release(first)
	pool.Release(second)
}

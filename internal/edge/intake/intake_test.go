package intake

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/budget"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// testMemory is the budget of the limits under test, and testMessage a message of which
// one fits into it and two do not.
const (
	testMemory  = 4 * drawStep
	testMessage = 3 * drawStep
)

// fixture is a set of limits with connections whose other ends the test holds.
type fixture struct {
	t      *testing.T
	limits *Limits
	// closed receives the resource of each connection that had to give way.
	closed chan string
}

func newFixture(t *testing.T, connections int) *fixture {
	f := &fixture{t: t, closed: make(chan string, 10)}
	f.limits = NewLimits(Options{Memory: testMemory, Connections: connections, MessageCost: 1, Log: func(_ event.Event, fields ...event.Field) {
		f.closed <- fields[0].Value.(string)
	}})
	return f
}

// open returns a connection with its account, and the caller's end.
func (f *fixture) open() (Conn, net.Conn) {
	near, far := net.Pipe()
	f.t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	account := f.limits.Open(f.t.Context(), near)
	if account == nil {
		f.t.Fatal("no account")
	}
	return Conn{Conn: near, Account: account}, far
}

// receive passes a message of a size through a connection.
func (f *fixture) receive(conn Conn, far net.Conn, size int) {
	f.t.Helper()
	written := make(chan error, 1)
	go func() {
		_, err := far.Write(make([]byte, size))
		written <- err
	}()
	data := make([]byte, size)
	for read := 0; read < size; {
		n, err := conn.Read(data[read:])
		if err != nil {
			f.t.Fatal(err)
		}
		read += n
	}
	if err := <-written; err != nil {
		f.t.Fatal(err)
	}
}

// expectClosed checks how many connections had to give way.
func (f *fixture) expectClosed(want int) {
	f.t.Helper()
	if got := len(f.closed); got != want {
		f.t.Errorf("%d connections gave way, want %d", got, want)
	}
}

// idle is a little more than the time after which a connection counts as idle.
const idle = budget.IdleAfter + 50*time.Millisecond

// A session inside a transaction does not give way while its large message or answer is on
// the way.
func TestTransactionIsKeptDuringMessage(t *testing.T) {
	behaviours := map[string]func(f *fixture, conn Conn, far net.Conn){
		"message": func(f *fixture, conn Conn, far net.Conn) { f.receive(conn, far, testMessage) },
		"answer": func(_ *fixture, conn Conn, _ net.Conn) {
			conn.Account.Proceed()
			_ = conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
			_, _ = conn.Write(make([]byte, testMessage))
		},
	}
	for name, behave := range behaviours {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			conn, far := f.open()
			conn.Account.AwaitCaller(true)
			behave(f, conn, far)
			time.Sleep(idle)
			other, _ := net.Pipe()
			if f.limits.Open(context.Background(), other) != nil {
				t.Error("the session gave way to a new connection")
			}
			f.expectClosed(0)
		})
	}
}

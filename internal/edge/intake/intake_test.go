package intake

import (
	"context"
	"io"
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
			go func() { _, _ = conn.Write(make([]byte, testMessage)) }()
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

// A statement that works after a part of its answer was sent does not count as idle.
func TestWorkAfterAnswerIsProgress(t *testing.T) {
	f := newFixture(t, 1)
	conn, far := f.open()
	conn.Account.AwaitCaller(false)
	conn.Account.Proceed()
	read := make(chan struct{})
	go func() {
		defer close(read)
		data := make([]byte, testMessage)
		for total := 0; total < testMessage; {
			n, err := far.Read(data)
			if err != nil {
				return
			}
			total += n
		}
	}()
	if _, err := conn.Write(make([]byte, testMessage)); err != nil {
		t.Fatal(err)
	}
	<-read
	time.Sleep(idle)
	other, _ := net.Pipe()
	if f.limits.Open(t.Context(), other) != nil {
		t.Error("a session with a statement in progress gave way")
	}
	f.expectClosed(0)
}

// A caller that goes on reading a large answer does not count as idle.
func TestSlowReaderIsProgress(t *testing.T) {
	f := newFixture(t, 1)
	conn, far := f.open()
	conn.Account.AwaitCaller(false)
	conn.Account.Proceed()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 3*drawStep))
		written <- err
	}()
	data := make([]byte, drawStep)
	for range 3 {
		time.Sleep(idle / 2)
		other, _ := net.Pipe()
		if f.limits.Open(t.Context(), other) != nil {
			t.Error("a session whose caller reads its answer gave way")
		}
		if _, err := io.ReadFull(far, data); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
	f.expectClosed(0)
}

// Reading ahead while a statement works neither waits for memory nor makes the session
// idle; what was read counts for the next message.
func TestReadAheadDoesNotWait(t *testing.T) {
	f := newFixture(t, 0)
	conn, far := f.open()
	f.receive(conn, far, testMessage)
	conn.Account.Proceed()
	other, _ := f.open()
	other.Account.Proceed()
	if err := other.Account.Draw(testMemory - testMessage); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	conn.Account.ReadAhead(true)
	f.receive(conn, far, drawStep)
	conn.Account.ReadAhead(false)
	if took := time.Since(started); took > budget.IdleAfter/2 {
		t.Errorf("reading ahead took %v", took)
	}
	conn.Account.EndMessage()
	if conn.Account.messageBytes != drawStep {
		t.Errorf("%d bytes count for the next message, want %d", conn.Account.messageBytes, drawStep)
	}
	time.Sleep(idle)
	other.Account.Return(testMemory - testMessage)
	if held := conn.Account.bytes.Held(); held != 0 {
		t.Errorf("the ended message holds %d bytes", held)
	}
	f.expectClosed(0)
}

// A connection that waits for memory and has to give way is closed and logged once.
func TestGivesWayOnce(t *testing.T) {
	f := newFixture(t, 0)
	first, _ := f.open()
	first.Account.AwaitCaller(true)
	if err := first.Account.Draw(testMemory); err != nil {
		t.Fatal(err)
	}
	second, far := f.open()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = far.Write(make([]byte, testMessage))
	}()
	for {
		if _, err := second.Read(make([]byte, testMessage)); err != nil {
			break
		}
	}
	if err := second.Account.Draw(1); err == nil {
		t.Error("a connection that gave way got memory")
	}
	_ = second.Close()
	<-written
	f.expectClosed(1)
}

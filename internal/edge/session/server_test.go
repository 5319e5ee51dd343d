package session

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// lineProtocol is a protocol of lines: the first one names the route, and each further
// one is a read. An answer is the code of its failure, or "ok".
type lineProtocol struct{}

func (lineProtocol) NewCodec(conn net.Conn) Codec {
	return &lineCodec{conn: conn, reader: bufio.NewReader(conn)}
}

type lineCodec struct {
	conn   net.Conn
	reader *bufio.Reader
	// beforeWait, if set, is called before each wait for a request.
	beforeWait func()
}

func (c *lineCodec) AwaitRequest() error {
	if c.beforeWait != nil {
		c.beforeWait()
	}
	_, err := c.reader.Peek(1)
	return err
}

// slowProtocol is lineProtocol in a process that has too little processor time: it calls
// beforeWait before each wait for a request.
type slowProtocol struct{ beforeWait func() }

func (p slowProtocol) NewCodec(conn net.Conn) Codec {
	return &lineCodec{conn: conn, reader: bufio.NewReader(conn), beforeWait: p.beforeWait}
}

func (c *lineCodec) HasUnread() bool { return c.reader.Buffered() > 0 }

func (c *lineCodec) ReadStartup() (StartupMessage, error) {
	line, err := c.reader.ReadString('\n')
	return StartupMessage{RouteName: line}, err
}

func (c *lineCodec) ReadRequest() (Request, error) {
	line, err := c.reader.ReadString('\n')
	return Request{ID: line, Statement: statement.Read{}}, err
}

func (c *lineCodec) WriteReady() error { return c.write("ready") }

func (c *lineCodec) WriteRejection(failure *statement.FailureError) error {
	return c.write(failure.Code.String())
}

func (c *lineCodec) WriteAnswer(answer statement.Answer) error {
	if answer.Failure != nil {
		return c.write(answer.Failure.Code.String())
	}
	return c.write("ok")
}

func (c *lineCodec) WriteRows(rows []string) error { return c.write(strings.Join(rows, "\n")) }

func (c *lineCodec) write(line string) error {
	_, err := c.conn.Write([]byte(line + "\n"))
	return err
}

// oneRoute knows one route for all names, and confirms nothing.
type oneRoute struct {
	fresh.PositionSamples
	// isRevoked is set when the key of all callers identifies no tenant any more;
	// isOld is set while it is not known whether the configuration is the newest.
	isRevoked, isOld atomic.Bool
}

func (r *oneRoute) Admit(string, route.KeyDigest) route.Admission {
	admission := route.Admission{Route: route.Route{Group: "ratings", Timeout: 200 * time.Millisecond}}
	if r.isRevoked.Load() {
		admission.Refusal = route.RefusalUnknownKey
	}
	return admission
}

func (r *oneRoute) ConfirmAdmission(_ context.Context, name string, key route.KeyDigest) (route.Admission, bool) {
	return r.Admit(name, key), !r.isOld.Load()
}
func (*oneRoute) IdleTransactionTimeout() time.Duration            { return 0 }
func (*oneRoute) ConfigurationVersion() uint64                     { return 1 }
func (*oneRoute) IsPartitioned(model.GroupID) bool                 { return false }
func (*oneRoute) ReportSuspectedPrimary(model.GroupID)             {}
func (r *oneRoute) SamplesOf(model.GroupID) *fresh.PositionSamples { return &r.PositionSamples }

func (*oneRoute) ConfirmPrimary(context.Context, lease.Grant, time.Time) lease.Validity {
	return lease.ValidityPending
}

// startServer starts a server without databases. It returns its address, the function
// that stops it, and the channel that receives its end.
func startServer(t *testing.T) (netip.AddrPort, context.CancelFunc, <-chan error) {
	t.Helper()
	server, stop, ended := startServerWith(t, lineProtocol{})
	return server.options.ListenAddress, stop, ended
}

// startServerWith starts a server without databases whose callers speak the protocol.
func startServerWith(t *testing.T, protocol Protocol) (*Server, context.CancelFunc, <-chan error) {
	t.Helper()
	reservation, err := deploy.ReserveAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reservation.Close() })
	address := reservation.Addresses[0]
	routes := &oneRoute{}
	server := NewServer(Options{
		ListenAddress: address, Protocol: protocol, Router: routes, KeyDigest: func(string) route.KeyDigest { return route.KeyDigest{} }, PrimaryConfirmer: routes, Samples: routes,
		Scheduler: placement.NewScheduler("lanier", lease.NewTable()),
		Log:       eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond),
	})
	ctx, stop := context.WithCancel(context.Background())
	ended, err := server.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return server, stop, ended
}

func dial(t *testing.T, address netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return conn
}

// The end of a server must not wait for connections that have sent nothing, or only
// part of a startup message, nor for idle sessions.
func TestEndDoesNotWaitForCallers(t *testing.T) {
	address, stop, ended := startServer(t)
	silent, partial, idle := dial(t, address), dial(t, address), dial(t, address)
	_, _ = partial.Write([]byte("entr"))
	_, _ = idle.Write([]byte("entries\n"))
	if line, err := bufio.NewReader(idle).ReadString('\n'); line != "ready\n" {
		t.Fatal(line, err)
	}
	time.Sleep(50 * time.Millisecond)
	stop()
	select {
	case <-ended:
	case <-time.After(startupTimeout / 2):
		t.Fatal("the server waits for its callers")
	}
	for _, conn := range []net.Conn{silent, partial, idle} {
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a connection is still open")
		}
	}
}

// readLines reads lines until the connection ends.
func readLines(conn net.Conn) []string {
	lines := []string{}
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return lines
		}
		lines = append(lines, line)
	}
}

// Guards against requests that arrive behind another one and get no answer: a session
// that is closed after an answer first serves what has arrived.
func TestDrainAnswersRequestsThatHaveArrived(t *testing.T) {
	server, _, _ := startServerWith(t, lineProtocol{})
	conn := dial(t, server.options.ListenAddress)
	_, _ = conn.Write([]byte("entries\nfirst\nsecond\n"))
	for server.SessionCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	server.StartDraining()
	rejected := statement.CodeBusy.String() + "\n"
	if diff := cmp.Diff([]string{"ready\n", rejected, rejected}, readLines(conn)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a request that arrives before its session is closed and gets no answer
// because the process has too little processor time to read it at once.
func TestDrainAnswersRequestsOfSlowProcess(t *testing.T) {
	const maxWaits = 10
	waiting, drained := make(chan struct{}, maxWaits), make(chan struct{})
	server, _, _ := startServerWith(t, slowProtocol{beforeWait: func() {
		waiting <- struct{}{}
		<-drained
		time.Sleep(20 * time.Millisecond)
	}})
	conn := dial(t, server.options.ListenAddress)
	_, _ = conn.Write([]byte("entries\n"))
	<-waiting
	_, _ = conn.Write([]byte("first\n"))
	server.StartDraining()
	close(drained)
	if diff := cmp.Diff([]string{"ready\n", statement.CodeBusy.String() + "\n"}, readLines(conn)); diff != "" {
		t.Error(diff)
	}
}

// longProtocol is lineProtocol with an answer of the given length to each request.
type longProtocol struct {
	lineProtocol
	length int
}

func (p longProtocol) NewCodec(conn net.Conn) Codec {
	return &longCodec{Codec: p.lineProtocol.NewCodec(conn), conn: conn, length: p.length}
}

type longCodec struct {
	Codec
	conn   net.Conn
	length int
}

func (c *longCodec) WriteAnswer(statement.Answer) error {
	_, err := c.conn.Write(make([]byte, c.length))
	return err
}

// Guards against an answer that is cut off because its caller reads slowly: only a caller
// that reads nothing for replyTimeout is given up.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	t.Parallel()
	// The operating system buffers less than the last third of the answer.
	const length, parts = 48 << 20, 24
	server, _, _ := startServerWith(t, longProtocol{length: length})
	conn := dial(t, server.options.ListenAddress)
	if err := conn.(*net.TCPConn).SetReadBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte("entries\nfirst\n"))
	if _, err := io.ReadFull(conn, make([]byte, len("ready\n"))); err != nil {
		t.Fatal(err)
	}
	part := make([]byte, length/parts)
	for i := range parts {
		time.Sleep(replyTimeout * 3 / 2 / parts)
		if n, err := io.ReadFull(conn, part); err != nil {
			t.Fatalf("the answer ended after %d of %d bytes: %v", i*len(part)+n, length, err)
		}
	}
}

// A statement that no database can run is rejected as not run once the part of its time
// that it may wait has passed, before the route's timeout.
func TestStatementWithoutDatabaseIsRejected(t *testing.T) {
	address, _, _ := startServer(t)
	conn := dial(t, address)
	_, _ = conn.Write([]byte("entries\nfirst\n"))
	reader := bufio.NewReader(conn)
	startedAt := time.Now()
	var lines []string
	for range 2 {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	if diff := cmp.Diff([]string{"ready\n", statement.CodeBusy.String() + "\n"}, lines); diff != "" {
		t.Error(diff)
	}
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("rejected after %v", took)
	}
}

// Callers that were rejected together must not return together, and neither must the
// proxy's own retries; and both must come less often the longer the wait is.
func TestReturnsAreSpread(t *testing.T) {
	for _, c := range []struct {
		name         string
		draw         func() time.Duration
		lowest, most time.Duration
	}{
		{"a short wait", func() time.Duration { return retryAfter(time.Millisecond) }, minRetryAfter * 3 / 4, minRetryAfter * 5 / 4},
		{"a second", func() time.Duration { return retryAfter(time.Second) }, 750 * time.Millisecond, 1250 * time.Millisecond},
		{"a long wait", func() time.Duration { return retryAfter(time.Hour) }, maxRetryAfter * 3 / 4, maxRetryAfter * 5 / 4},
		{"the first retry", func() time.Duration { return retryPause(1) }, retryDelay / 2, retryDelay * 3 / 2},
		{"the third retry", func() time.Duration { return retryPause(3) }, 2 * retryDelay, 6 * retryDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			drawn := map[time.Duration]bool{}
			for range 200 {
				d := c.draw()
				drawn[d] = true
				if d < c.lowest || d > c.most {
					t.Fatalf("%v, want %v to %v", d, c.lowest, c.most)
				}
			}
			if len(drawn) < 10 {
				t.Errorf("%d different times of 200", len(drawn))
			}
		})
	}
}

package platform_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/platform"
)

// unreachedTimeout is a timeout that does not expire in a passing test.
const unreachedTimeout = time.Minute

type sink chan message.Event

func (s sink) Post(event message.Event) { s <- event }

func startClient(t *testing.T, options platform.Options) (*platform.Client, sink) {
	t.Helper()
	events := make(sink, 2000)
	client := platform.NewClient(options, events, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	stopped, err := client.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); <-stopped })
	return client, events
}

func newService(address net.Addr) platform.Service {
	return platform.NewHTTPService(platform.HTTPOptions{Address: address.(*net.TCPAddr).AddrPort(), Token: "secret"})
}

// -----------------------------------------------------------------------------
// Requests and responses.

var (
	readRow       = message.ReadRow{CorrelationID: 7, Table: "groups", Key: "a/b c", Timeout: unreachedTimeout}
	scanRows      = message.ScanRows{CorrelationID: 7, Table: "groups", Prefix: "a/&", Timeout: unreachedTimeout}
	writeRows     = message.WriteRows{CorrelationID: 7, Rows: []message.Row{{Table: "t", Key: "k", Version: "1", Body: []byte("new")}}, Timeout: unreachedTimeout}
	readObject    = message.ReadObject{CorrelationID: 7, Name: "sum", Timeout: unreachedTimeout}
	writeObject   = message.WriteObject{CorrelationID: 7, Name: "sum", Body: []byte("body"), Timeout: unreachedTimeout}
	listInstances = message.ListInstances{CorrelationID: 7, Timeout: unreachedTimeout}
)

// TestRequestsAndResponses checks the request that each action sends, and the event
// for each kind of response. A write is reported as refused only if the response
// shows that nothing was changed (status 3xx or 4xx). After a 202, a 5xx or a 200
// that can't be decoded, the change may have taken effect, and the outcome is unknown.
func TestRequestsAndResponses(t *testing.T) {
	tooLarge := strings.Repeat("x", 4<<20+1)
	unknown := message.RowsWritten{CorrelationID: 7, Result: message.PlatformUnknown}
	refused := message.RowsWritten{CorrelationID: 7, Result: message.PlatformRefused}
	sentWrite := `POST /transact {"rows":[{"table":"t","key":"k","version":"1","body":"bmV3"}]}`
	cases := []struct {
		name   string
		action message.Action
		status int
		etag   string
		body   string
		want   message.Event
		sent   string
	}{
		{
			"row", readRow, 200, `"v1"`, "old",
			message.RowsRead{CorrelationID: 7, Rows: []message.Row{{Table: "groups", Key: "a/b c", Version: "v1", Body: []byte("old")}}},
			"GET /tables/groups/a%2Fb%20c ",
		},
		{"row missing", readRow, 404, "", "", message.RowsRead{CorrelationID: 7, Result: message.PlatformNotFound}, "GET /tables/groups/a%2Fb%20c "},
		{"row refused", readRow, 503, "", "", message.RowsRead{CorrelationID: 7, Result: message.PlatformRefused}, "GET /tables/groups/a%2Fb%20c "},
		{"row too large", readRow, 200, "", tooLarge, message.RowsRead{CorrelationID: 7, Result: message.PlatformUnknown}, "GET /tables/groups/a%2Fb%20c "},
		{
			"scan", scanRows, 200, "", `[{"key":"a","version":"1","body":"b2xk"},{"key":"b","version":"2"}]`,
			message.RowsRead{CorrelationID: 7, Rows: []message.Row{
				{Table: "groups", Key: "a", Version: "1", Body: []byte("old")}, {Table: "groups", Key: "b", Version: "2"},
			}},
			"GET /tables/groups?prefix=a%2F%26 ",
		},
		{"scan not decodable", scanRows, 200, "", `{`, message.RowsRead{CorrelationID: 7, Result: message.PlatformRefused}, "GET /tables/groups?prefix=a%2F%26 "},
		{
			"write", writeRows, 200, "", `{"rows":[{"table":"t","key":"k","version":"2"}]}`,
			message.RowsWritten{CorrelationID: 7, Rows: []message.Row{{Table: "t", Key: "k", Version: "2", Body: []byte("new")}}},
			sentWrite,
		},
		{
			"write conflict", writeRows, 409, "", `{"rows":[{"table":"t","key":"k","version":"3","body":"b2xk"}]}`,
			message.RowsWritten{
				CorrelationID: 7, Rows: []message.Row{{Table: "t", Key: "k", Version: "3", Body: []byte("old")}}, Result: message.PlatformConflict,
			},
			sentWrite,
		},
		{"write conflict not decodable", writeRows, 409, "", `{`, message.RowsWritten{CorrelationID: 7, Result: message.PlatformConflict}, sentWrite},
		{"write answered with other rows", writeRows, 200, "", `{"rows":[{"table":"t","key":"z","version":"2"}]}`, unknown, sentWrite},
		{"write answered with too few rows", writeRows, 200, "", `{"rows":[]}`, unknown, sentWrite},
		{"write not decodable", writeRows, 200, "", `{`, unknown, sentWrite},
		{"write response too large", writeRows, 200, "", tooLarge, unknown, sentWrite},
		{"write accepted only", writeRows, 202, "", ``, unknown, sentWrite},
		{"write bad gateway", writeRows, 502, "", ``, unknown, sentWrite},
		{"write unauthorized", writeRows, 401, "", ``, refused, sentWrite},
		{"write redirected", writeRows, 307, "", ``, refused, sentWrite},
		{"write redirected to another page", writeRows, 303, "", ``, refused, sentWrite},
		{"row redirected", readRow, 302, "", "", message.RowsRead{CorrelationID: 7, Result: message.PlatformRefused}, "GET /tables/groups/a%2Fb%20c "},
		{"object", readObject, 200, "", "body", message.ObjectRead{CorrelationID: 7, Name: "sum", Body: []byte("body")}, "GET /objects/sum "},
		{"object missing", readObject, 404, "", "", message.ObjectRead{CorrelationID: 7, Name: "sum", Result: message.PlatformNotFound}, "GET /objects/sum "},
		{"object written", writeObject, 204, "", "", message.ObjectWritten{CorrelationID: 7, Name: "sum"}, "PUT /objects/sum body"},
		{"object server error", writeObject, 500, "", "", message.ObjectWritten{CorrelationID: 7, Name: "sum", Result: message.PlatformUnknown}, "PUT /objects/sum body"},
		{
			"instances", listInstances, 200, "", `[{"instance":"i1","zone":"lanier","peer":"127.0.0.1:7","leaving":true}]`,
			message.InstancesListed{CorrelationID: 7, Instances: []message.ListedInstance{
				{Instance: "i1", Zone: "lanier", PeerAddress: netip.MustParseAddrPort("127.0.0.1:7"), Leaving: true},
			}},
			"GET /instances ",
		},
		{"instances not decodable", listInstances, 200, "", `[{"peer":"here"}]`, message.InstancesListed{CorrelationID: 7, Result: message.PlatformRefused}, "GET /instances "},
	}
	compare := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := make(chan string, 10)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				sent <- r.Method + " " + r.RequestURI + " " + string(body)
				if r.Header.Get("Authorization") != "Bearer secret" {
					t.Error("request without the token")
				}
				w.Header().Set("ETag", c.etag)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			client, events := startClient(t, platform.Options{Service: newService(server.Listener.Addr())})
			if !client.HandleAction(c.action) {
				t.Fatal("the action was not handled")
			}
			if diff := cmp.Diff(c.want, <-events, compare); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff([]string{c.sent}, drain(sent)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func drain(sent chan string) []string {
	close(sent)
	var requests []string
	for request := range sent {
		requests = append(requests, request)
	}
	return requests
}

// -----------------------------------------------------------------------------
// Connection failures.

// listen runs serve for each accepted connection. It returns the counter that serve
// receives.
func listen(t *testing.T, serve func(conn net.Conn, requests *atomic.Int32)) (net.Addr, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, &requests)
			}()
		}
	}()
	return listener.Addr(), &requests
}

// readWrite reads a complete request of writeRows and counts it. It returns false if
// the connection fails before the end of the request.
func readWrite(conn net.Conn, requests *atomic.Int32) bool {
	var received []byte
	buffer := make([]byte, 4096)
	for !bytes.HasSuffix(received, []byte("}]}")) {
		n, err := conn.Read(buffer)
		received = append(received, buffer[:n]...)
		if err != nil {
			return false
		}
	}
	requests.Add(1)
	return true
}

// The platform reads a write and closes the connection before a complete response.
// The outcome of each write must be unknown, and each must be sent only once.
func TestLostAnswersToWrites(t *testing.T) {
	cases := []struct {
		name string
		// answer is sent before the connection is closed.
		answer string
		want   message.PlatformResult
	}{
		{"closed without a response", "", message.PlatformUnknown},
		{"not HTTP", "hello\r\n\r\n", message.PlatformUnknown},
		{"closed inside the headers", "HTTP/1.1 200 OK\r\nContent-Le", message.PlatformUnknown},
		{"closed inside the body", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"rows", message.PlatformUnknown},
		{"closed inside a conflict", "HTTP/1.1 409 Conflict\r\nContent-Length: 50\r\n\r\n{\"rows", message.PlatformUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, requests := listen(t, func(conn net.Conn, requests *atomic.Int32) {
				if readWrite(conn, requests) {
					_, _ = io.WriteString(conn, c.answer)
				}
			})
			client, events := startClient(t, platform.Options{Service: newService(address)})
			for range 3 {
				client.HandleAction(writeRows)
				if diff := cmp.Diff(message.RowsWritten{CorrelationID: 7, Result: c.want}, <-events); diff != "" {
					t.Error(diff)
				}
			}
			if diff := cmp.Diff(int32(3), requests.Load()); diff != "" {
				t.Errorf("HTTP requests for 3 writes: %s", diff)
			}
		})
	}
}

// Each write must use a new connection. The platform's connections become
// unresponsive after one response, as they do if a firewall or proxy between the
// two ends drops its state of them.
func TestWritesUseNewConnections(t *testing.T) {
	testDone := make(chan struct{})
	defer close(testDone)
	const body = `{"rows":[{"table":"t","key":"k","version":"2"}]}`
	address, _ := listen(t, func(conn net.Conn, requests *atomic.Int32) {
		readWrite(conn, requests)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		<-testDone
	})
	client, events := startClient(t, platform.Options{Service: newService(address)})
	for range 3 {
		client.HandleAction(writeRows)
		if diff := cmp.Diff(message.PlatformOK, (<-events).(message.RowsWritten).Result); diff != "" {
			t.Error(diff)
		}
	}
}

// Two connections are idle after reads, and both become unresponsive. The first
// read that times out must close both, so that the next read succeeds.
func TestLostReadClosesAllIdleConnections(t *testing.T) {
	testDone, received, released := make(chan struct{}), make(chan struct{}, 10), make(chan struct{})
	defer close(testDone)
	address, _ := listen(t, func(conn net.Conn, _ *atomic.Int32) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		received <- struct{}{}
		<-released
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		<-testDone
	})
	service, kept := newService(address), make(chan error, 10)
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		PutIdleConn: func(err error) { kept <- err },
	})
	for range 2 {
		go func() { _, _ = service.ReadObject(ctx, "sum") }()
	}
	<-received
	<-received
	close(released)
	if diff := cmp.Diff([]error{nil, nil}, []error{<-kept, <-kept}); diff != "" {
		t.Fatal(diff)
	}
	client, events := startClient(t, platform.Options{Service: service})
	unanswered := readObject
	unanswered.Timeout = 30 * time.Millisecond
	client.HandleAction(unanswered)
	if diff := cmp.Diff(message.PlatformOK, (<-events).(message.ObjectRead).Result); diff == "" {
		t.Error("an unresponsive connection answered")
	}
	client.HandleAction(readObject)
	want := message.ObjectRead{CorrelationID: 7, Name: "sum", Body: []byte("body")}
	if diff := cmp.Diff(want, <-events); diff != "" {
		t.Error(diff)
	}
}

// A write to an address where nothing listens must be reported as not sent.
func TestRefusedConnectionIsReportedAsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	client, events := startClient(t, platform.Options{Service: newService(listener.Addr())})
	client.HandleAction(writeRows)
	if diff := cmp.Diff(message.RowsWritten{CorrelationID: 7, Result: message.PlatformUnreachable}, <-events); diff != "" {
		t.Error(diff)
	}
}

// The platform reads the request and never responds. With increasing timeouts, a
// write may be reported as unsent only if the platform has received no byte of it.
func TestTimeoutIsUnsentOnlyIfNothingWasRead(t *testing.T) {
	var mu sync.Mutex
	read := false
	testDone := make(chan struct{})
	defer close(testDone)
	address, _ := listen(t, func(conn net.Conn, _ *atomic.Int32) {
		n, _ := conn.Read(make([]byte, 1))
		mu.Lock()
		read = read || n > 0
		mu.Unlock()
		<-testDone
	})
	client, events := startClient(t, platform.Options{Service: newService(address)})
	for timeout := time.Microsecond; ; timeout *= 2 {
		request := writeRows
		request.Timeout = timeout
		client.HandleAction(request)
		outcome := (<-events).(message.RowsWritten).Result
		mu.Lock()
		wasRead := read
		mu.Unlock()
		if wasRead && outcome == message.PlatformUnreachable {
			t.Fatalf("timeout %s: reported as unsent, but the platform received it", timeout)
		}
		if outcome == message.PlatformUnknown {
			return
		}
	}
}

// -----------------------------------------------------------------------------
// Request queue.

// blockedService blocks reads until released is closed, and signals each one on
// entered.
type blockedService struct {
	platform.Service
	entered  chan struct{}
	released chan struct{}
}

func (s *blockedService) ReadObject(context.Context, string) ([]byte, error) {
	s.entered <- struct{}{}
	<-s.released
	return nil, nil
}

// A request must fail as unreachable if it expires in the queue, or if the queue
// already holds maxQueuedRequests (1024) requests. All other requests must be
// answered, of which no more than Options.Concurrency are executed at once.
func TestQueueIsBoundedInNumberAndTime(t *testing.T) {
	service := &blockedService{entered: make(chan struct{}, 2000), released: make(chan struct{})}
	client, events := startClient(t, platform.Options{Service: service, Concurrency: 2})
	request := func(id uint64, timeout time.Duration) {
		client.HandleAction(message.ReadObject{CorrelationID: id, Timeout: timeout})
	}
	request(1, unreachedTimeout)
	request(2, unreachedTimeout)
	<-service.entered
	<-service.entered
	request(3, time.Millisecond)
	if diff := cmp.Diff(message.ObjectRead{CorrelationID: 3, Result: message.PlatformUnreachable}, <-events); diff != "" {
		t.Errorf("expired in the queue: %s", diff)
	}
	for i := uint64(4); i < 4+1024; i++ {
		request(i, unreachedTimeout)
	}
	request(9999, unreachedTimeout)
	if diff := cmp.Diff(message.ObjectRead{CorrelationID: 9999, Result: message.PlatformUnreachable}, <-events); diff != "" {
		t.Errorf("request beyond the queue limit: %s", diff)
	}
	if diff := cmp.Diff(0, len(service.entered)); diff != "" {
		t.Errorf("requests executed beyond the concurrency: %s", diff)
	}
	close(service.released)
	answered := map[uint64]message.PlatformResult{}
	for range 2 + 1024 {
		event := (<-events).(message.ObjectRead)
		answered[event.CorrelationID] = event.Result
	}
	if diff := cmp.Diff(2+1024, len(answered)); diff != "" {
		t.Errorf("number of answers: %s", diff)
	}
}

// At shutdown, the outcome of a write that was sent must be unknown, and writes that
// are queued or arrive later must be reported as not sent.
func TestShutdownAnswersAllRequests(t *testing.T) {
	received, testDone := make(chan struct{}), make(chan struct{})
	defer close(testDone)
	address, _ := listen(t, func(conn net.Conn, requests *atomic.Int32) {
		readWrite(conn, requests)
		close(received)
		<-testDone
	})
	events := make(sink, 10)
	client := platform.NewClient(platform.Options{Service: newService(address), Concurrency: 1}, events, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	stopped, err := client.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	client.HandleAction(writeRows)
	<-received
	queued := writeRows
	queued.CorrelationID = 8
	client.HandleAction(queued)
	cancel()
	<-stopped
	late := writeRows
	late.CorrelationID = 9
	client.HandleAction(late)
	want := []message.Event{
		message.RowsWritten{CorrelationID: 7, Result: message.PlatformUnknown},
		message.RowsWritten{CorrelationID: 8, Result: message.PlatformUnreachable},
		message.RowsWritten{CorrelationID: 9, Result: message.PlatformUnreachable},
	}
	if diff := cmp.Diff(want, []message.Event{<-events, <-events, <-events}); diff != "" {
		t.Error(diff)
	}
}

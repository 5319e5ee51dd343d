package group_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/group"
)

// -----------------------------------------------------------------------------
// A scripted database.

// reply is the scripted database's reaction to one statement.
type reply struct {
	// columns and values are the names and the values of the result row,
	// separated by spaces; "-" stands for an empty value.
	columns, values string
	// errorCode is the SQLSTATE of an error that is sent instead of a row.
	errorCode string
	// releaseAnswer delays the answer until the channel is closed.
	releaseAnswer <-chan struct{}
	// closeInstead closes the connection instead of answering.
	closeInstead bool
	// closeAfter closes the connection after the answer.
	closeAfter bool
}

const statusColumnNames = "database role term nonce received applied source streaming leaving slots busy"

func statusReply(values string) reply { return reply{columns: statusColumnNames, values: values} }

func healthyReply() reply { return statusReply("a replica 4 n4 4:120 4:118 b t f 3 1") }

func healthyStatus() message.DatabaseStatus {
	return message.DatabaseStatus{
		Role: model.RoleReplica, Term: 4, Nonce: "n4",
		Received: model.Position{Term: 4, Offset: 120}, Applied: model.Position{Term: 4, Offset: 118},
		Source: "b", Streaming: true, Slots: 3, SlotsInUse: 1,
	}
}

// scriptedDatabase is a server that computes its replies by a function.
type scriptedDatabase struct {
	listener net.Listener
	answer   func(statement string) reply
	// loginErrorCode is the SQLSTATE with which connections are rejected, or
	// empty.
	loginErrorCode string

	mu                 sync.Mutex
	statements         []string
	startups           []map[string]string
	openConnections    int
	maxOpenConnections int
}

func newScriptedDatabase(t *testing.T, answer func(statement string) reply) *scriptedDatabase {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedDatabase{listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *scriptedDatabase) address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *scriptedDatabase) receivedStatements() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.statements...)
}

func (s *scriptedDatabase) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	startup, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	s.mu.Lock()
	s.startups = append(s.startups, startup.(*pgproto3.StartupMessage).Parameters)
	s.openConnections++
	s.maxOpenConnections = max(s.maxOpenConnections, s.openConnections)
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.openConnections--; s.mu.Unlock() }()
	if s.loginErrorCode != "" {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: s.loginErrorCode})
		_ = backend.Flush()
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = backend.Flush()
	for s.serveStatement(backend) {
	}
}

func (s *scriptedDatabase) serveStatement(backend *pgproto3.Backend) bool {
	received, err := backend.Receive()
	if err != nil {
		return false
	}
	query, isQuery := received.(*pgproto3.Query)
	if !isQuery {
		return false
	}
	s.mu.Lock()
	s.statements = append(s.statements, query.String)
	s.mu.Unlock()
	reply := s.answer(query.String)
	if reply.releaseAnswer != nil {
		<-reply.releaseAnswer
	}
	if reply.closeInstead {
		return false
	}
	sendReply(backend, reply)
	return backend.Flush() == nil && !reply.closeAfter
}

func sendReply(backend *pgproto3.Backend, reply reply) {
	switch {
	case reply.errorCode != "":
		backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: reply.errorCode, Message: "no"})
	case reply.columns != "":
		description := &pgproto3.RowDescription{}
		for _, name := range strings.Fields(reply.columns) {
			description.Fields = append(description.Fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: 25})
		}
		data := &pgproto3.DataRow{}
		for _, value := range strings.Fields(reply.values) {
			data.Values = append(data.Values, []byte(strings.Trim(value, "-")))
		}
		backend.Send(description)
		backend.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: "4:118"})
		backend.Send(data)
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("CALL")})
	default:
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("CALL")})
	}
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// -----------------------------------------------------------------------------
// The client under test.

type sink chan message.Event

func (s sink) Post(event message.Event) { s <- event }

// longTimeout is a timeout that never passes in a test that succeeds.
const longTimeout = time.Minute

// shortTimeout is the timeout of requests that are expected to time out.
const shortTimeout = 40 * time.Millisecond

func startClient(t *testing.T, addresses map[model.DatabaseID]netip.AddrPort) (*group.Client, sink) {
	t.Helper()
	return startClientWithOptions(t, group.Options{ConnectTimeout: longTimeout, MaxBackoff: time.Millisecond}, addresses)
}

func startClientWithOptions(
	t *testing.T, options group.Options, addresses map[model.DatabaseID]netip.AddrPort,
) (*group.Client, sink) {
	t.Helper()
	events := make(sink, 100)
	client := group.NewClient(options, events, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done, err := client.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); <-done })
	client.HandleAction(setDatabases(addresses))
	return client, events
}

func setDatabases(addresses map[model.DatabaseID]netip.AddrPort) message.SetDatabases {
	var action message.SetDatabases
	for id, address := range addresses {
		action.Databases = append(action.Databases, message.DatabaseTarget{Database: id, Group: "ratings", Address: address})
	}
	return action
}

var ignoreSentAt = cmpopts.IgnoreFields(message.ControlAnswered{}, "SentAt")

// expectEvent checks the next event, except its SentAt.
func expectEvent(t *testing.T, events sink, want message.Event) {
	t.Helper()
	if diff := cmp.Diff(want, <-events, ignoreSentAt); diff != "" {
		t.Error(diff)
	}
}

// addressWithoutListener returns an address at which nothing listens.
func addressWithoutListener(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// -----------------------------------------------------------------------------
// Requests and failures.

// TestRequestsAndFailures checks, for each kind of request and each failure, the
// statements that the database receives and the event that answers the request.
func TestRequestsAndFailures(t *testing.T) {
	status := healthyStatus()
	alwaysReply := func(r reply) func(string) reply { return func(string) reply { return r } }
	conflictThenStatus := func(statement string) reply {
		if statement == "CALL group_status()" {
			return healthyReply()
		}
		return reply{errorCode: "EG001"}
	}
	resolve := message.ResolveInDoubt{Database: "a", CorrelationID: 7, IdempotencyKey: "k'1", Term: 4, Timeout: longTimeout}
	fence := message.Fence{Database: "a", CorrelationID: 7, Term: 5, Nonce: "n'5", Timeout: longTimeout}
	probe := message.Probe{Database: "a", CorrelationID: 7, Timeout: longTimeout}
	answeredEvent := func(err message.ControlResult) message.Event {
		event := message.ControlAnswered{Database: "a", CorrelationID: 7, Result: err}
		if err == message.ControlOK || err == message.ControlConflict {
			event.Status = status
		}
		return event
	}
	resolvedEvent := func(committed bool, position model.Position, err message.ControlResult) message.Event {
		return message.InDoubtResolved{Database: "a", CorrelationID: 7, IdempotencyKey: "k'1", Committed: committed, Position: position, Result: err}
	}
	cases := []struct {
		name           string
		action         message.Action
		answer         func(string) reply
		loginErrorCode string
		noListener     bool
		want           message.Event
		wantStatements []string
	}{
		{
			name: "probe", action: probe, answer: alwaysReply(healthyReply()), want: answeredEvent(message.ControlOK),
			wantStatements: []string{"CALL group_status()"},
		},
		{
			name: "fence", action: fence, answer: alwaysReply(healthyReply()), want: answeredEvent(message.ControlOK),
			wantStatements: []string{"CALL group_fence(5, 'n''5')"},
		},
		{
			name:   "promote",
			action: message.Promote{Database: "a", CorrelationID: 7, Term: 5, Nonce: "n5", Timeout: longTimeout},
			answer: alwaysReply(healthyReply()), want: answeredEvent(message.ControlOK),
			wantStatements: []string{"CALL group_promote(5, 'n5')"},
		},
		{
			name: "follow",
			action: message.Follow{
				Database: "a", CorrelationID: 7, Term: 5, Source: "b",
				Address: netip.MustParseAddrPort("127.0.0.1:99"), Timeout: longTimeout,
			},
			answer: alwaysReply(healthyReply()), want: answeredEvent(message.ControlOK),
			wantStatements: []string{"CALL group_follow(5, 'b', '127.0.0.1:99')"},
		},
		{
			name: "settle committed", action: resolve,
			answer: alwaysReply(reply{columns: "committed position", values: "t 4:99"}),
			want:   resolvedEvent(true, model.Position{Term: 4, Offset: 99}, message.ControlOK), wantStatements: []string{"CALL group_settle(4, 'k''1')"},
		},
		{
			name: "settle not committed", action: resolve,
			answer: alwaysReply(reply{columns: "committed position", values: "f 4:121"}),
			want:   resolvedEvent(false, model.Position{Term: 4, Offset: 121}, message.ControlOK), wantStatements: []string{"CALL group_settle(4, 'k''1')"},
		},
		{
			name: "settle conflict", action: resolve, answer: alwaysReply(reply{errorCode: "EG001"}),
			want: resolvedEvent(false, model.Position{}, message.ControlConflict), wantStatements: []string{"CALL group_settle(4, 'k''1')"},
		},
		{
			name: "settle row unreadable", action: resolve,
			answer: alwaysReply(reply{columns: "committed position", values: "yes 4:121"}),
			want:   resolvedEvent(false, model.Position{}, message.ControlUnreachable), wantStatements: []string{"CALL group_settle(4, 'k''1')"},
		},
		{
			name: "conflict with status", action: fence, answer: conflictThenStatus, want: answeredEvent(message.ControlConflict),
			wantStatements: []string{"CALL group_fence(5, 'n''5')", "CALL group_status()"},
		},
		{
			name: "conflict without status", action: fence, answer: alwaysReply(reply{errorCode: "EG001"}), want: answeredEvent(message.ControlRefused),
			wantStatements: []string{"CALL group_fence(5, 'n''5')", "CALL group_status()"},
		},
		{
			name: "other error", action: probe, answer: alwaysReply(reply{errorCode: "42501"}), want: answeredEvent(message.ControlRefused),
			wantStatements: []string{"CALL group_status()"},
		},
		{
			name: "no listener", action: probe, noListener: true, answer: alwaysReply(healthyReply()), want: answeredEvent(message.ControlUnreachable),
		},
		{
			name: "too many connections", action: probe, loginErrorCode: "53300", answer: alwaysReply(healthyReply()), want: answeredEvent(message.ControlUnreachable),
		},
		{
			name: "connection broken", action: fence, answer: alwaysReply(reply{closeInstead: true}), want: answeredEvent(message.ControlUnreachable),
			wantStatements: []string{"CALL group_fence(5, 'n''5')"},
		},
		{
			name: "other database at the address", action: probe,
			answer: alwaysReply(statusReply("c replica 4 n4 4:120 4:118 b t f 3 1")), want: answeredEvent(message.ControlUnreachable),
			wantStatements: []string{"CALL group_status()"},
		},
		{
			name: "position unreadable", action: probe,
			answer: alwaysReply(statusReply("a replica 4 n4 4-120 4:118 b t f 3 1")), want: answeredEvent(message.ControlUnreachable),
			wantStatements: []string{"CALL group_status()"},
		},
		{
			name: "role unreadable", action: probe,
			answer: alwaysReply(statusReply("a leader 4 n4 4:120 4:118 b t f 3 1")), want: answeredEvent(message.ControlUnreachable),
			wantStatements: []string{"CALL group_status()"},
		},
		{
			name: "column missing", action: probe,
			answer: alwaysReply(reply{columns: "database role", values: "a replica"}), want: answeredEvent(message.ControlUnreachable),
			wantStatements: []string{"CALL group_status()"},
		},
		{
			name: "no row", action: probe, answer: alwaysReply(reply{}), want: answeredEvent(message.ControlUnreachable),
			wantStatements: []string{"CALL group_status()"},
		},
		{
			name:   "zero byte in a key",
			action: message.ResolveInDoubt{Database: "a", CorrelationID: 7, IdempotencyKey: "k\x00", Term: 4, Timeout: longTimeout},
			answer: alwaysReply(healthyReply()),
			want:   message.InDoubtResolved{Database: "a", CorrelationID: 7, IdempotencyKey: "k\x00", Result: message.ControlRefused},
		},
		{
			name: "unknown database", action: message.Probe{Database: "z", CorrelationID: 7, Timeout: longTimeout}, answer: alwaysReply(healthyReply()),
			want: message.ControlAnswered{Database: "z", CorrelationID: 7, Result: message.ControlUnreachable},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			database := newScriptedDatabase(t, c.answer)
			database.loginErrorCode = c.loginErrorCode
			address := database.address()
			if c.noListener {
				address = addressWithoutListener(t)
			}
			client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": address})
			if !client.HandleAction(c.action) {
				t.Fatal("the action was not handled")
			}
			expectEvent(t, events, c.want)
			if diff := cmp.Diff(c.wantStatements, database.receivedStatements()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestStartupRequestsControlConnection checks the parameters of the startup message.
func TestStartupRequestsControlConnection(t *testing.T) {
	database := newScriptedDatabase(t, func(string) reply { return healthyReply() })
	client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: longTimeout})
	<-events
	want := []map[string]string{{
		"user": "eelgrassfold", "database": "ratings",
		"application_name": "eelgrassfold", "group_control": "on",
	}}
	if diff := cmp.Diff(want, database.startups); diff != "" {
		t.Error(diff)
	}
}

// -----------------------------------------------------------------------------
// Order, unresponsive databases and timeouts.

// TestProbeDoesNotWaitBehindAwait guards against a Probe that is queued behind a
// blocked AwaitPosition: the two must use separate connections.
func TestProbeDoesNotWaitBehindAwait(t *testing.T) {
	release := make(chan struct{})
	database := newScriptedDatabase(t, func(statement string) reply {
		answer := healthyReply()
		if strings.HasPrefix(statement, "CALL group_wait('4:200', ") {
			answer.releaseAnswer = release
		}
		return answer
	})
	client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	client.HandleAction(message.AwaitPosition{Database: "a", CorrelationID: 1, Position: model.Position{Term: 4, Offset: 200}, Timeout: longTimeout})
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 2, Timeout: longTimeout})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 2, Status: healthyStatus()})
	close(release)
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 1, Status: healthyStatus()})
	if diff := cmp.Diff(2, database.maxOpenConnections); diff != "" {
		t.Errorf("connections: %s", diff)
	}
}

// TestWaitingProbesShareALaterAnswer queues several Probes while another one is
// being answered. One statement must answer them, and it must have been sent after
// they were queued, since an earlier one may show an outdated status.
func TestWaitingProbesShareALaterAnswer(t *testing.T) {
	releaseFirst, firstReceived := make(chan struct{}), make(chan struct{})
	var once sync.Once
	database := newScriptedDatabase(t, func(string) reply {
		answer := healthyReply()
		once.Do(func() { close(firstReceived); answer.releaseAnswer = releaseFirst })
		return answer
	})
	client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: longTimeout})
	<-firstReceived
	for id := uint64(2); id <= 4; id++ {
		client.HandleAction(message.Probe{Database: "a", CorrelationID: id, Timeout: longTimeout})
	}
	client.HandleAction(message.Fence{Database: "a", CorrelationID: 5, Term: 5, Nonce: "n5", Timeout: longTimeout})
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 6, Timeout: longTimeout})
	enqueuedAt := time.Now()
	close(releaseFirst)
	for id := uint64(1); id <= 6; id++ {
		answered := (<-events).(message.ControlAnswered)
		if diff := cmp.Diff(id, answered.CorrelationID); diff != "" {
			t.Errorf("order: %s", diff)
		}
		if id > 1 && answered.SentAt.Before(enqueuedAt) {
			t.Errorf("request %d is answered by a statement sent before the request was queued", id)
		}
	}
	want := []string{
		"CALL group_status()", "CALL group_status()", "CALL group_fence(5, 'n5')", "CALL group_status()",
	}
	if diff := cmp.Diff(want, database.receivedStatements()); diff != "" {
		t.Error(diff)
	}
}

// TestWaitsForPositionsShareAnswers queues AwaitPosition requests out of order. They
// must be sent in order of their positions, and one answer must serve all requests
// whose position has been reached.
func TestWaitsForPositionsShareAnswers(t *testing.T) {
	releaseFirst, firstReceived := make(chan struct{}), make(chan struct{})
	database := newScriptedDatabase(t, func(statement string) reply {
		switch {
		case strings.HasPrefix(statement, "CALL group_wait('4:100', "):
			close(firstReceived)
			answer := healthyReply()
			answer.releaseAnswer = releaseFirst
			return answer
		case strings.HasPrefix(statement, "CALL group_wait('4:110', "):
			return healthyReply()
		default:
			return statusReply("a replica 4 n4 4:300 4:118 b t f 3 1")
		}
	})
	client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	await := func(id, offset uint64) {
		client.HandleAction(message.AwaitPosition{Database: "a", CorrelationID: id, Position: model.Position{Term: 4, Offset: offset}, Timeout: longTimeout})
	}
	await(1, 100)
	<-firstReceived
	await(2, 300)
	await(3, 120)
	await(4, 110)
	close(releaseFirst)
	var order []uint64
	for range 4 {
		order = append(order, (<-events).(message.ControlAnswered).CorrelationID)
	}
	if diff := cmp.Diff([]uint64{1, 4, 3, 2}, order); diff != "" {
		t.Errorf("order: %s", diff)
	}
	if diff := cmp.Diff(3, len(database.receivedStatements())); diff != "" {
		t.Errorf("statements: %s", diff)
	}
}

// TestUnresponsiveConnectionIsReplacedAndLateAnswerDropped guards against taking the
// late answer to an expired request for the answer to the next one.
func TestUnresponsiveConnectionIsReplacedAndLateAnswerDropped(t *testing.T) {
	releaseLateAnswer := make(chan struct{})
	database := newScriptedDatabase(t, func(statement string) reply {
		if strings.HasPrefix(statement, "CALL group_fence") {
			answer := statusReply("a primary 9 late 9:1 9:1 - f f 3 0")
			answer.releaseAnswer = releaseLateAnswer
			return answer
		}
		return healthyReply()
	})
	client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: longTimeout})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 1, Status: healthyStatus()})
	client.HandleAction(message.Fence{Database: "a", CorrelationID: 2, Term: 5, Nonce: "n5", Timeout: shortTimeout})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 2, Result: message.ControlTimeout})
	close(releaseLateAnswer)
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 3, Timeout: longTimeout})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 3, Status: healthyStatus()})
}

// TestRequestQueuedBehindBlockedOneTimesOut checks that a request expires also while
// it has not been sent.
func TestRequestQueuedBehindBlockedOneTimesOut(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	database := newScriptedDatabase(t, func(statement string) reply {
		answer := healthyReply()
		if strings.HasPrefix(statement, "CALL group_fence") {
			answer.releaseAnswer = release
		}
		return answer
	})
	client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: longTimeout})
	<-events
	client.HandleAction(message.Fence{Database: "a", CorrelationID: 2, Term: 5, Nonce: "n5", Timeout: longTimeout})
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 3, Timeout: shortTimeout})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 3, Result: message.ControlTimeout})
}

// TestBrokenIdleConnectionIsReplacedWithoutError closes the connection after each
// answer. Each request must be sent again on a new connection and succeed.
func TestBrokenIdleConnectionIsReplacedWithoutError(t *testing.T) {
	database := newScriptedDatabase(t, func(string) reply {
		answer := healthyReply()
		answer.closeAfter = true
		return answer
	})
	client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	for id := uint64(1); id <= 3; id++ {
		client.HandleAction(message.Probe{Database: "a", CorrelationID: id, Timeout: longTimeout})
		expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: id, Status: healthyStatus()})
	}
}

// TestDatabaseReachableAtNewAddress changes the address of an unreachable database to
// one that answers.
func TestDatabaseReachableAtNewAddress(t *testing.T) {
	database := newScriptedDatabase(t, func(string) reply { return healthyReply() })
	client, events := startClient(t, map[model.DatabaseID]netip.AddrPort{"a": addressWithoutListener(t)})
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: longTimeout})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 1, Result: message.ControlUnreachable})
	client.HandleAction(setDatabases(map[model.DatabaseID]netip.AddrPort{"a": database.address()}))
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 2, Timeout: longTimeout})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 2, Status: healthyStatus()})
}

// TestShutdownAnswersAllRequests checks that the end of the context answers the
// request that was sent, the one that is queued, and one that is made afterwards.
func TestShutdownAnswersAllRequests(t *testing.T) {
	release, firstReceived := make(chan struct{}), make(chan struct{})
	defer close(release)
	database := newScriptedDatabase(t, func(string) reply {
		close(firstReceived)
		answer := healthyReply()
		answer.releaseAnswer = release
		return answer
	})
	events := make(sink, 10)
	client := group.NewClient(group.Options{ConnectTimeout: longTimeout}, events, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done, err := client.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	client.HandleAction(setDatabases(map[model.DatabaseID]netip.AddrPort{"a": database.address()}))
	client.HandleAction(message.Fence{Database: "a", CorrelationID: 1, Term: 5, Nonce: "n5", Timeout: longTimeout})
	<-firstReceived
	client.HandleAction(message.Fence{Database: "a", CorrelationID: 2, Term: 5, Nonce: "n5", Timeout: longTimeout})
	cancel()
	<-done
	client.HandleAction(message.Probe{Database: "a", CorrelationID: 3, Timeout: longTimeout})
	answered := map[uint64]message.ControlResult{}
	for range 3 {
		event := (<-events).(message.ControlAnswered)
		answered[event.CorrelationID] = event.Result
	}
	want := map[uint64]message.ControlResult{1: message.ControlUnreachable, 2: message.ControlUnreachable, 3: message.ControlUnreachable}
	if diff := cmp.Diff(want, answered); diff != "" {
		t.Error(diff)
	}
}

// TestOtherActionsAreNotHandled passes an action that belongs to another edge.
func TestOtherActionsAreNotHandled(t *testing.T) {
	client := group.NewClient(group.Options{}, make(sink), logr.Discard())
	if client.HandleAction(message.Terminate{}) {
		t.Error("an action of another edge was handled")
	}
}

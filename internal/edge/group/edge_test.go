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

// reply is what the scripted database does with one statement.
type reply struct {
	// columns and values are the answered row.
	columns, values string
	// state is the SQLSTATE of an error in place of a row.
	state string
	// hold delays the answer until the channel is closed.
	hold <-chan struct{}
	// hangUp closes the connection in place of an answer.
	hangUp bool
	// hangUpAfter closes the connection after the answer.
	hangUpAfter bool
}

const statusColumns = "database role term nonce received applied source streaming leaving slots busy"

func row(values string) reply { return reply{columns: statusColumns, values: values} }

func healthy() reply { return row("a replica 4 n4 4:120 4:118 b t f 3 1") }

func healthyStatus() message.DatabaseStatus {
	return message.DatabaseStatus{
		Role: model.RoleReplica, Term: 4, Nonce: "n4",
		Received: model.Position{Term: 4, Offset: 120}, Applied: model.Position{Term: 4, Offset: 118},
		Source: "b", Streaming: true, Slots: 3, SlotsInUse: 1,
	}
}

// scripted is a database that answers by a function.
type scripted struct {
	listener net.Listener
	answer   func(statement string) reply
	// login is the SQLSTATE with which connections are refused, or empty.
	login string

	mu         sync.Mutex
	statements []string
	startups   []map[string]string
	open       int
	most       int
}

func newScripted(t *testing.T, answer func(statement string) reply) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{listener: listener, answer: answer}
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

func (s *scripted) address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *scripted) asked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.statements...)
}

func (s *scripted) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	startup, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	s.mu.Lock()
	s.startups = append(s.startups, startup.(*pgproto3.StartupMessage).Parameters)
	s.open++
	s.most = max(s.most, s.open)
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.open--; s.mu.Unlock() }()
	if s.login != "" {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: s.login})
		_ = backend.Flush()
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = backend.Flush()
	for s.serveStatement(backend) {
	}
}

func (s *scripted) serveStatement(backend *pgproto3.Backend) bool {
	received, err := backend.Receive()
	if err != nil {
		return false
	}
	query, found := received.(*pgproto3.Query)
	if !found {
		return false
	}
	s.mu.Lock()
	s.statements = append(s.statements, query.String)
	s.mu.Unlock()
	reply := s.answer(query.String)
	if reply.hold != nil {
		<-reply.hold
	}
	if reply.hangUp {
		return false
	}
	sendReply(backend, reply)
	return backend.Flush() == nil && !reply.hangUpAfter
}

func sendReply(backend *pgproto3.Backend, reply reply) {
	switch {
	case reply.state != "":
		backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: reply.state, Message: "no"})
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
// The edge under test.

type sink chan message.Event

func (s sink) Post(event message.Event) { s <- event }

// long is a time that no passing test waits for.
const long = time.Minute

// brief is a time that tests of timeouts wait for.
const brief = 40 * time.Millisecond

func startEdge(t *testing.T, addresses map[model.DatabaseID]netip.AddrPort) (*group.Client, sink) {
	t.Helper()
	return startEdgeWith(t, group.Options{ConnectTimeout: long, MaxBackoff: time.Millisecond}, addresses)
}

func startEdgeWith(
	t *testing.T, options group.Options, addresses map[model.DatabaseID]netip.AddrPort,
) (*group.Client, sink) {
	t.Helper()
	events := make(sink, 100)
	edge := group.NewClient(options, events, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	over, err := edge.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); <-over })
	edge.HandleAction(targets(addresses))
	return edge, events
}

func targets(addresses map[model.DatabaseID]netip.AddrPort) message.SetDatabases {
	var set message.SetDatabases
	for id, address := range addresses {
		set.Databases = append(set.Databases, message.DatabaseTarget{Database: id, Group: "ratings", Address: address})
	}
	return set
}

var ignoreAsked = cmpopts.IgnoreFields(message.ControlAnswered{}, "SentAt")

func expectEvent(t *testing.T, events sink, want message.Event) {
	t.Helper()
	if diff := cmp.Diff(want, <-events, ignoreAsked); diff != "" {
		t.Error(diff)
	}
}

func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// -----------------------------------------------------------------------------
// Questions and faults.

func TestQuestionsAndFaults(t *testing.T) {
	status := healthyStatus()
	always := func(r reply) func(string) reply { return func(string) reply { return r } }
	conflict := func(statement string) reply {
		if statement == "CALL group_status()" {
			return healthy()
		}
		return reply{state: "EG001"}
	}
	settle := message.ResolveInDoubt{Database: "a", CorrelationID: 7, IdempotencyKey: "k'1", Term: 4, Timeout: long}
	fence := message.Fence{Database: "a", CorrelationID: 7, Term: 5, Nonce: "n'5", Timeout: long}
	probe := message.Probe{Database: "a", CorrelationID: 7, Timeout: long}
	answered := func(err message.ControlErr) message.Event {
		event := message.ControlAnswered{Database: "a", CorrelationID: 7, Err: err}
		if err == message.ControlOK || err == message.ControlConflict {
			event.Status = status
		}
		return event
	}
	settled := func(committed bool, position model.Position, err message.ControlErr) message.Event {
		return message.InDoubtResolved{Database: "a", CorrelationID: 7, IdempotencyKey: "k'1", Committed: committed, Position: position, Err: err}
	}
	cases := []struct {
		name     string
		action   message.Action
		answer   func(string) reply
		login    string
		absent   bool
		want     message.Event
		sentWant []string
	}{
		{
			name: "probe", action: probe, answer: always(healthy()), want: answered(message.ControlOK),
			sentWant: []string{"CALL group_status()"},
		},
		{
			name: "fence", action: fence, answer: always(healthy()), want: answered(message.ControlOK),
			sentWant: []string{"CALL group_fence(5, 'n''5')"},
		},
		{
			name:   "promote",
			action: message.Promote{Database: "a", CorrelationID: 7, Term: 5, Nonce: "n5", Timeout: long},
			answer: always(healthy()), want: answered(message.ControlOK),
			sentWant: []string{"CALL group_promote(5, 'n5')"},
		},
		{
			name: "follow",
			action: message.Follow{
				Database: "a", CorrelationID: 7, Term: 5, Source: "b",
				Address: netip.MustParseAddrPort("127.0.0.1:99"), Timeout: long,
			},
			answer: always(healthy()), want: answered(message.ControlOK),
			sentWant: []string{"CALL group_follow(5, 'b', '127.0.0.1:99')"},
		},
		{
			name: "settle committed", action: settle,
			answer: always(reply{columns: "committed position", values: "t 4:99"}),
			want:   settled(true, model.Position{Term: 4, Offset: 99}, message.ControlOK), sentWant: []string{"CALL group_settle(4, 'k''1')"},
		},
		{
			name: "settle never", action: settle,
			answer: always(reply{columns: "committed position", values: "f 4:121"}),
			want:   settled(false, model.Position{Term: 4, Offset: 121}, message.ControlOK), sentWant: []string{"CALL group_settle(4, 'k''1')"},
		},
		{
			name: "settle conflict", action: settle, answer: always(reply{state: "EG001"}),
			want: settled(false, model.Position{}, message.ControlConflict), sentWant: []string{"CALL group_settle(4, 'k''1')"},
		},
		{
			name: "settle row unreadable", action: settle,
			answer: always(reply{columns: "committed position", values: "yes 4:121"}),
			want:   settled(false, model.Position{}, message.ControlUnreachable), sentWant: []string{"CALL group_settle(4, 'k''1')"},
		},
		{
			name: "conflict with status", action: fence, answer: conflict, want: answered(message.ControlConflict),
			sentWant: []string{"CALL group_fence(5, 'n''5')", "CALL group_status()"},
		},
		{
			name: "conflict without status", action: fence, answer: always(reply{state: "EG001"}), want: answered(message.ControlRefused),
			sentWant: []string{"CALL group_fence(5, 'n''5')", "CALL group_status()"},
		},
		{
			name: "other error", action: probe, answer: always(reply{state: "42501"}), want: answered(message.ControlRefused),
			sentWant: []string{"CALL group_status()"},
		},
		{
			name: "no listener", action: probe, absent: true, answer: always(healthy()), want: answered(message.ControlUnreachable),
		},
		{
			name: "too many connections", action: probe, login: "53300", answer: always(healthy()), want: answered(message.ControlUnreachable),
		},
		{
			name: "connection broken", action: fence, answer: always(reply{hangUp: true}), want: answered(message.ControlUnreachable),
			sentWant: []string{"CALL group_fence(5, 'n''5')"},
		},
		{
			name: "other database at the address", action: probe,
			answer: always(row("c replica 4 n4 4:120 4:118 b t f 3 1")), want: answered(message.ControlUnreachable),
			sentWant: []string{"CALL group_status()"},
		},
		{
			name: "position unreadable", action: probe,
			answer: always(row("a replica 4 n4 4-120 4:118 b t f 3 1")), want: answered(message.ControlUnreachable),
			sentWant: []string{"CALL group_status()"},
		},
		{
			name: "role unreadable", action: probe,
			answer: always(row("a leader 4 n4 4:120 4:118 b t f 3 1")), want: answered(message.ControlUnreachable),
			sentWant: []string{"CALL group_status()"},
		},
		{
			name: "column absent", action: probe,
			answer: always(reply{columns: "database role", values: "a replica"}), want: answered(message.ControlUnreachable),
			sentWant: []string{"CALL group_status()"},
		},
		{
			name: "no row", action: probe, answer: always(reply{}), want: answered(message.ControlUnreachable),
			sentWant: []string{"CALL group_status()"},
		},
		{
			name:   "zero byte in a key",
			action: message.ResolveInDoubt{Database: "a", CorrelationID: 7, IdempotencyKey: "k\x00", Term: 4, Timeout: long},
			answer: always(healthy()),
			want:   message.InDoubtResolved{Database: "a", CorrelationID: 7, IdempotencyKey: "k\x00", Err: message.ControlRefused},
		},
		{
			name: "unknown database", action: message.Probe{Database: "z", CorrelationID: 7, Timeout: long}, answer: always(healthy()),
			want: message.ControlAnswered{Database: "z", CorrelationID: 7, Err: message.ControlUnreachable},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			database := newScripted(t, c.answer)
			database.login = c.login
			address := database.address()
			if c.absent {
				address = closedAddress(t)
			}
			edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": address})
			if !edge.HandleAction(c.action) {
				t.Fatal("the action was not taken")
			}
			expectEvent(t, events, c.want)
			if diff := cmp.Diff(c.sentWant, database.asked()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestStartupAsksForControl(t *testing.T) {
	database := newScripted(t, func(string) reply { return healthy() })
	edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: long})
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
// Order, silence and time.

func TestProbeDoesNotWaitBehindAwait(t *testing.T) {
	released := make(chan struct{})
	database := newScripted(t, func(statement string) reply {
		answer := healthy()
		if strings.HasPrefix(statement, "CALL group_wait('4:200', ") {
			answer.hold = released
		}
		return answer
	})
	edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	edge.HandleAction(message.AwaitPosition{Database: "a", CorrelationID: 1, Position: model.Position{Term: 4, Offset: 200}, Timeout: long})
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 2, Timeout: long})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 2, Status: healthyStatus()})
	close(released)
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 1, Status: healthyStatus()})
	if diff := cmp.Diff(2, database.most); diff != "" {
		t.Errorf("connections: %s", diff)
	}
}

func TestWaitingProbesShareALaterAnswer(t *testing.T) {
	first, reached := make(chan struct{}), make(chan struct{})
	var once sync.Once
	database := newScripted(t, func(string) reply {
		answer := healthy()
		once.Do(func() { close(reached); answer.hold = first })
		return answer
	})
	edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: long})
	<-reached
	for ask := uint64(2); ask <= 4; ask++ {
		edge.HandleAction(message.Probe{Database: "a", CorrelationID: ask, Timeout: long})
	}
	edge.HandleAction(message.Fence{Database: "a", CorrelationID: 5, Term: 5, Nonce: "n5", Timeout: long})
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 6, Timeout: long})
	arrived := time.Now()
	close(first)
	for ask := uint64(1); ask <= 6; ask++ {
		answered := (<-events).(message.ControlAnswered)
		if diff := cmp.Diff(ask, answered.CorrelationID); diff != "" {
			t.Errorf("order: %s", diff)
		}
		if ask > 1 && answered.SentAt.Before(arrived) {
			t.Errorf("question %d is answered by a statement sent before it arrived", ask)
		}
	}
	want := []string{
		"CALL group_status()", "CALL group_status()", "CALL group_fence(5, 'n5')", "CALL group_status()",
	}
	if diff := cmp.Diff(want, database.asked()); diff != "" {
		t.Error(diff)
	}
}

func TestWaitsForPositionsShareAnswers(t *testing.T) {
	first, reached := make(chan struct{}), make(chan struct{})
	database := newScripted(t, func(statement string) reply {
		switch {
		case strings.HasPrefix(statement, "CALL group_wait('4:100', "):
			close(reached)
			answer := healthy()
			answer.hold = first
			return answer
		case strings.HasPrefix(statement, "CALL group_wait('4:110', "):
			return healthy()
		default:
			return row("a replica 4 n4 4:300 4:118 b t f 3 1")
		}
	})
	edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	await := func(ask, offset uint64) {
		edge.HandleAction(message.AwaitPosition{Database: "a", CorrelationID: ask, Position: model.Position{Term: 4, Offset: offset}, Timeout: long})
	}
	await(1, 100)
	<-reached
	await(2, 300)
	await(3, 120)
	await(4, 110)
	close(first)
	var order []uint64
	for range 4 {
		order = append(order, (<-events).(message.ControlAnswered).CorrelationID)
	}
	if diff := cmp.Diff([]uint64{1, 4, 3, 2}, order); diff != "" {
		t.Errorf("order: %s", diff)
	}
	if diff := cmp.Diff(3, len(database.asked())); diff != "" {
		t.Errorf("statements: %s", diff)
	}
}

func TestSilentConnectionIsReplacedAndItsLateAnswerDropped(t *testing.T) {
	late := make(chan struct{})
	database := newScripted(t, func(statement string) reply {
		if strings.HasPrefix(statement, "CALL group_fence") {
			answer := row("a primary 9 late 9:1 9:1 - f f 3 0")
			answer.hold = late
			return answer
		}
		return healthy()
	})
	edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: long})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 1, Status: healthyStatus()})
	edge.HandleAction(message.Fence{Database: "a", CorrelationID: 2, Term: 5, Nonce: "n5", Timeout: brief})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 2, Err: message.ControlTimeout})
	close(late)
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 3, Timeout: long})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 3, Status: healthyStatus()})
}

func TestQuestionBehindABlockedOneTimesOut(t *testing.T) {
	released := make(chan struct{})
	defer close(released)
	database := newScripted(t, func(statement string) reply {
		answer := healthy()
		if strings.HasPrefix(statement, "CALL group_fence") {
			answer.hold = released
		}
		return answer
	})
	edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: long})
	<-events
	edge.HandleAction(message.Fence{Database: "a", CorrelationID: 2, Term: 5, Nonce: "n5", Timeout: long})
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 3, Timeout: brief})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 3, Err: message.ControlTimeout})
}

func TestBrokenIdleConnectionIsReplacedUnseen(t *testing.T) {
	database := newScripted(t, func(string) reply {
		answer := healthy()
		answer.hangUpAfter = true
		return answer
	})
	edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": database.address()})
	for ask := uint64(1); ask <= 3; ask++ {
		edge.HandleAction(message.Probe{Database: "a", CorrelationID: ask, Timeout: long})
		expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: ask, Status: healthyStatus()})
	}
}

func TestDatabaseComesBack(t *testing.T) {
	database := newScripted(t, func(string) reply { return healthy() })
	edge, events := startEdge(t, map[model.DatabaseID]netip.AddrPort{"a": closedAddress(t)})
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 1, Timeout: long})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 1, Err: message.ControlUnreachable})
	edge.HandleAction(targets(map[model.DatabaseID]netip.AddrPort{"a": database.address()}))
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 2, Timeout: long})
	expectEvent(t, events, message.ControlAnswered{Database: "a", CorrelationID: 2, Status: healthyStatus()})
}

func TestEndAnswersAllQuestions(t *testing.T) {
	released, reached := make(chan struct{}), make(chan struct{})
	defer close(released)
	database := newScripted(t, func(string) reply {
		close(reached)
		answer := healthy()
		answer.hold = released
		return answer
	})
	events := make(sink, 10)
	edge := group.NewClient(group.Options{ConnectTimeout: long}, events, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	over, err := edge.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	edge.HandleAction(targets(map[model.DatabaseID]netip.AddrPort{"a": database.address()}))
	edge.HandleAction(message.Fence{Database: "a", CorrelationID: 1, Term: 5, Nonce: "n5", Timeout: long})
	<-reached
	edge.HandleAction(message.Fence{Database: "a", CorrelationID: 2, Term: 5, Nonce: "n5", Timeout: long})
	cancel()
	<-over
	edge.HandleAction(message.Probe{Database: "a", CorrelationID: 3, Timeout: long})
	answered := map[uint64]message.ControlErr{}
	for range 3 {
		event := (<-events).(message.ControlAnswered)
		answered[event.CorrelationID] = event.Err
	}
	want := map[uint64]message.ControlErr{1: message.ControlUnreachable, 2: message.ControlUnreachable, 3: message.ControlUnreachable}
	if diff := cmp.Diff(want, answered); diff != "" {
		t.Error(diff)
	}
}

func TestOtherActionsAreLeft(t *testing.T) {
	edge := group.NewClient(group.Options{}, make(sink), logr.Discard())
	if edge.HandleAction(message.Terminate{}) {
		t.Error("took an action of another edge")
	}
}

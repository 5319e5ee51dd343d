// Package session serves callers' sessions. It works on statements and answers,
// independently of the callers' protocol.
//
// # What flows in and out
//
// The input is callers' connections. A Protocol reads statements from them and
// writes answers. Each statement gets a reservation from the scheduler and runs on
// a connection from the pool. Its answer is returned once it is known to be valid:
//
//	primary   the answer is held until the leases confirm that the database was
//	          the primary at that time
//	replica   the statement carries the minimum position that the replica's log
//	          must have reached, so that the answer is known to be fresh enough
//
// Variables and prepared statements belong to the session. A connection is
// synchronized with them before each statement. A transaction keeps its connection
// from its first statement to its end.
//
// A statement has one of three results, which are always kept apart: executed, not
// executed, outcome unknown. A statement that was not executed is retried as long
// as the route's timeout allows. After that it is rejected with the time after
// which the caller should retry.
//
// # How it is laid out
//
//	server.go       listening, and the requests of a session
//	stage.go        closing and draining sessions
//	admission.go    routes, and keys of tenants
//	admission.go    refusals, and keys that are taken away
//	session.go      one session: its state, and the dispatch of statements
//	single.go       statements outside transactions
//	transaction.go  transactions
//	attempt.go      one attempt to run a statement at a database
//	limit.go        the limits of tenants
//
// # Usage
//
//	server := session.NewServer(options)
//	ended, err := server.Start(ctx)
package session

import (
	"net"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/intake"
)

// replyTimeout is how long a caller may read nothing of an answer.
const replyTimeout = 5 * time.Second

// stateEntryBytes is the fixed cost of a variable or prepared statement of a session.
const stateEntryBytes = 128

// StartupMessage is the first message of a caller. User is the caller's key where the
// configuration lists tenants.
type StartupMessage struct{ RouteName, User string }

// Request is one statement of a caller.
type Request struct {
	ID        string
	Statement statement.Statement
}

// Protocol creates the codecs for callers' connections.
type Protocol interface {
	NewCodec(conn net.Conn) Codec
}

// Codec reads requests and writes answers on one caller's connection.
type Codec interface {
	// AwaitRequest waits for the first byte of a request without consuming it.
	AwaitRequest() error
	// HasUnread reports whether data was read from the connection that belongs to no
	// request read so far.
	HasUnread() bool
	// ReadStartup reads the startup message, ReadRequest the next request. Their error
	// is a *statement.FailureError if the message is not valid, which the caller is
	// told.
	ReadStartup() (StartupMessage, error)
	ReadRequest() (Request, error)
	// WriteReady accepts the caller. WriteRejection rejects it with the reason.
	WriteReady() error
	WriteRejection(failure *statement.FailureError) error
	// WriteRows writes the first rows of the answer to the request read last.
	WriteRows(rows []string) error
	// WriteAnswer answers the request read last, or writes the rest of that answer.
	WriteAnswer(answer statement.Answer) error
}

// session is one caller's connection.
type session struct {
	server    *Server
	conn      net.Conn
	account   *intake.Account
	codec     Codec
	routeName string
	// key stands for the key that the caller has presented.
	key route.KeyDigest
	// variables and prepared are the variables and prepared statements that the
	// caller has set, as acknowledged to it.
	variables backend.Variables
	prepared  map[string]statement.Prepare
	// minPosition is the newest position that the session has written, and
	// minPositionAsOf the time at which it was recorded.
	minPosition     model.Position
	minPositionAsOf time.Time
	// transaction is the open transaction, or nil.
	transaction *transaction
}

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	Request
	arrivedAt time.Time
	route     route.Route
	// tenant is the tenant of the session as of the request, or of its transaction.
	tenant model.TenantID
	// attempts is the number of attempts, queuedFor their total time in queues.
	attempts  int
	queuedFor time.Duration
	// hasForwarded is set once rows of an answer were written to the caller. The statement
	// is not sent again then.
	hasForwarded bool
	// rejected is set once the scheduler has rejected the statement for good.
	rejected bool
	// excludedRelays are the relays that have failed to run the statement.
	excludedRelays []netip.AddrPort
}

// remaining returns the time until the route's timeout for the statement.
func (req *pendingRequest) remaining() time.Duration {
	return req.route.Timeout - clock.Since(req.arrivedAt)
}

// handle answers one request.
func (s *session) handle(request Request, arrivedAt time.Time) statement.Answer {
	if s.transaction != nil {
		return s.handleInTransaction(request, arrivedAt)
	}
	if s.server.hasReached(stageEnding) {
		return failureAnswer(statement.CodeBusy, shuttingDownText, statement.TransactionStateIdle)
	}
	admission, failure := s.admission()
	if failure != nil {
		return statement.Answer{Failure: failure, TransactionState: statement.TransactionStateIdle}
	}
	if answer, done := s.handleLocal(request.Statement); done {
		return answer
	}
	if admission.Refusal == route.RefusalNoRoute {
		return statement.Answer{Failure: noRoute(s.routeName), TransactionState: statement.TransactionStateIdle}
	}
	req := &pendingRequest{Request: request, arrivedAt: arrivedAt, route: admission.Route, tenant: admission.Tenant}
	if failure := s.refuseAboveLimit(req); failure != nil {
		return s.logFailure(req, placement.Reservation{}, failure, statement.TransactionStateIdle)
	}
	switch stmt := request.Statement.(type) {
	case statement.Begin:
		s.transaction = &transaction{readOnly: stmt.ReadOnly, beganAt: arrivedAt, route: admission.Route, tenant: admission.Tenant}
		return statement.Answer{TransactionState: statement.TransactionStateOpen}
	case statement.Read:
		return s.runSingle(req, false)
	case statement.Write:
		return s.runSingle(req, true)
	case statement.Execute:
		prepare, found := s.prepared[stmt.Name]
		if !found {
			return failureAnswer(statement.CodePreparedStatementNotFound, stmt.Name, statement.TransactionStateIdle)
		}
		return s.runSingle(req, prepare.Access == model.AccessWrite)
	default:
		return failureAnswer(statement.CodeMalformed, "the statement is malformed or not valid outside a transaction", statement.TransactionStateIdle)
	}
}

// handleLocal answers a statement that needs no database. It returns false for any
// other statement.
func (s *session) handleLocal(stmt statement.Statement) (statement.Answer, bool) {
	if s.account.Resize(s.stateChange(stmt)) != nil {
		return failureAnswer(statement.CodeBusy, "the callers of this instance hold too much", s.transactionState()), true
	}
	switch stmt := stmt.(type) {
	case statement.Set:
		if s.variables == nil {
			s.variables = backend.Variables{}
		}
		s.variables[stmt.Name] = stmt.Value
	case statement.Prepare:
		if s.prepared == nil {
			s.prepared = map[string]statement.Prepare{}
		}
		s.prepared[stmt.Name] = stmt
	case statement.Deallocate:
		delete(s.prepared, stmt.Name)
	default:
		return statement.Answer{}, false
	}
	return statement.Answer{TransactionState: s.transactionState()}, true
}

// stateChange returns by how many bytes a statement changes the size of the session's
// variables and prepared statements.
func (s *session) stateChange(stmt statement.Statement) int64 {
	entrySize := func(name, value string) int64 { return int64(len(name)+len(value)) + stateEntryBytes }
	prepared := func(name string) int64 {
		if old, found := s.prepared[name]; found {
			return entrySize(name, old.Template)
		}
		return 0
	}
	switch stmt := stmt.(type) {
	case statement.Set:
		change := entrySize(stmt.Name, stmt.Value)
		if old, found := s.variables[stmt.Name]; found {
			change -= entrySize(stmt.Name, old)
		}
		return change
	case statement.Prepare:
		return entrySize(stmt.Name, stmt.Template) - prepared(stmt.Name)
	case statement.Deallocate:
		return -prepared(stmt.Name)
	default:
		return 0
	}
}

// transactionState returns the session's transaction state between two requests.
func (s *session) transactionState() statement.TransactionState {
	switch {
	case s.transaction == nil:
		return statement.TransactionStateIdle
	case s.transaction.failed:
		return statement.TransactionStateFailed
	default:
		return statement.TransactionStateOpen
	}
}

// recordWrittenPosition raises the session's minimum position to that of a write of
// the session, so that later reads see the write.
func (s *session) recordWrittenPosition(position model.Position) {
	if s.minPosition.Less(position) {
		s.minPosition, s.minPositionAsOf = position, clock.Now()
	}
}

func failureAnswer(code statement.Code, text string, state statement.TransactionState) statement.Answer {
	return statement.Answer{Failure: &statement.FailureError{Code: code, Message: text}, TransactionState: state}
}

// Package session serves callers' sessions: it knows statements and answers, and
// no protocol.
//
// # What flows in and out
//
// Callers' connections flow in; a Protocol reads statements from them and writes
// answers. Each statement gets a seat from the scheduler and runs on a
// connection from the pool; its answer flows back once it is known to hold:
//
//	primary   what the primary answered is held until the leases prove that it
//	          was the primary then
//	replica   the statement names the position that the replica's log must have
//	          reached, so that the answer itself proves its age
//
// Values and prepared statements are the session's; connections are brought
// into its state before each statement. A transaction keeps its connection from
// its first statement to its end.
//
// Three results are never blurred: done, not run, outcome unknown. What is not
// run is tried again here as long as the route's time-out allows, and then
// refused with the time after which to come back.
//
// # How it is laid out
//
//	server.go       listening, ends, drain
//	session.go      one session: its state, and which statement does what
//	single.go       statements outside transactions
//	transaction.go  transactions
//	attempt.go      one attempt at a database, and what its end means
//
// # Usage
//
//	server := session.NewServer(options)
//	ended, err := server.Start(ctx)
package session

import (
	"net"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
)

const (
	// replyTimeout bounds the writing of one answer to a caller that does not
	// read.
	replyTimeout = 5 * time.Second
	// requestTimeout bounds the reading of one request, from its first byte to
	// its last.
	requestTimeout = 10 * time.Second
)

// StartupMessage is how a caller introduces itself.
type StartupMessage struct{ RouteName, User string }

// Request is one statement of a caller.
type Request struct {
	ID        string
	Statement statement.Statement
}

// Protocol speaks to callers.
type Protocol interface {
	NewCodec(conn net.Conn) Codec
}

// Codec reads requests and writes answers on one caller's connection.
type Codec interface {
	// AwaitRequest waits for the first byte of a request and takes nothing in.
	AwaitRequest() error
	// ReadStartup reads the caller's introduction, Next its next request.
	ReadStartup() (StartupMessage, error)
	ReadRequest() (Request, error)
	// WriteReady accepts the caller, Refuse tells why not.
	WriteReady() error
	WriteRejection(failure *statement.FailureError) error
	// WriteAnswer answers the request read last.
	WriteAnswer(answer statement.Answer) error
}

// session is one caller's connection.
type session struct {
	server *Server
	conn   net.Conn
	wire   Codec
	name   string
	// values and prepared are what the caller was told that the session has.
	values   backend.Variables
	prepared map[string]statement.Prepare
	// floor is the last position that the session wrote, at floorAt.
	floor   model.Position
	floorAt time.Time
	// transaction is nil outside of one.
	transaction *transaction
}

// asked is a request on its way through the session.
type asked struct {
	Request
	arrived time.Time
	route   route.Route
	// attempts counts the tries, waited sums the time in queues.
	attempts int
	waited   time.Duration
}

// remaining returns what is left of the statement's time.
func (a *asked) remaining() time.Duration { return a.route.Timeout - clock.Since(a.arrived) }

// handle answers one request.
func (s *session) handle(request Request, arrived time.Time) statement.Answer {
	if s.transaction != nil {
		return s.handleInside(request, arrived)
	}
	if answer, done := s.handleLocal(request.Statement); done {
		return answer
	}
	chosen, found := s.server.options.Router.Route(s.name)
	if !found {
		return failed(statement.CodeGroupNotFound, "no route has the name "+s.name, statement.TransactionStateIdle)
	}
	a := &asked{Request: request, arrived: arrived, route: chosen}
	switch wanted := request.Statement.(type) {
	case statement.Begin:
		s.transaction = &transaction{readOnly: wanted.ReadOnly, began: arrived, route: chosen}
		return statement.Answer{TransactionState: statement.TransactionStateOpen}
	case statement.Read:
		return s.single(a, false)
	case statement.Write:
		return s.single(a, true)
	case statement.Execute:
		known, found := s.prepared[wanted.Name]
		if !found {
			return failed(statement.CodePreparedStatementNotFound, wanted.Name, statement.TransactionStateIdle)
		}
		return s.single(a, known.Access == model.AccessWrite)
	default:
		return failed(statement.CodeMalformed, "not outside a transaction", statement.TransactionStateIdle)
	}
}

// handleLocal answers the statements that need no database, and reports whether
// it was one of them.
func (s *session) handleLocal(wanted statement.Statement) (statement.Answer, bool) {
	switch wanted := wanted.(type) {
	case statement.Set:
		if s.values == nil {
			s.values = backend.Variables{}
		}
		s.values[wanted.Name] = wanted.Value
	case statement.Prepare:
		if s.prepared == nil {
			s.prepared = map[string]statement.Prepare{}
		}
		s.prepared[wanted.Name] = wanted
	case statement.Deallocate:
		delete(s.prepared, wanted.Name)
	default:
		return statement.Answer{}, false
	}
	return statement.Answer{TransactionState: s.state()}, true
}

// state returns where the session stands between two requests.
func (s *session) state() statement.TransactionState {
	switch {
	case s.transaction == nil:
		return statement.TransactionStateIdle
	case s.transaction.failed:
		return statement.TransactionStateFailed
	default:
		return statement.TransactionStateOpen
	}
}

// wrote notes a position that the session has written.
func (s *session) wrote(position model.Position) {
	if s.floor.Less(position) {
		s.floor, s.floorAt = position, clock.Now()
	}
}

func failed(code statement.Code, text string, state statement.TransactionState) statement.Answer {
	return statement.Answer{Failure: &statement.FailureError{Code: code, Message: text}, TransactionState: state}
}
